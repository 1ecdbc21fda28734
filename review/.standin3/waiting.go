package main

import (
	"fmt"
	"time"
)

func init() { cases["waiting"] = playWaiting }

// playWaiting: seven runners of eight cores, of which short and long tasks and two gangs that
// wait take most. A job that lasts has room for five of its six tasks. Later there is room for
// all, and a runner with tasks of that job is lost for good.
func playWaiting(c *cellTest) {
	const runners = 7
	c.publish(manifest("desk"))
	for n := range runners {
		c.startRunner(fmt.Sprintf("i-%d", n), "-service", "desk", "-labels", fmt.Sprintf("a,r%d", n), "-cpu", "8000")
	}
	c.startHosts(6)
	submit := func(n int, spec, step string) {
		if !c.submit(path, jobID(n), fmt.Sprintf(`{"spec":%q,"steps":[{%s}]}`, spec, step)) {
			panic(impossible("a job is not accepted"))
		}
	}
	started := func(n, count int) func() bool {
		return func() bool {
			tasks := map[string]bool{}
			for _, e := range c.all(func(e event) bool { return e.kind == "start" }) {
				if len(e.task) > 16 && e.task[:16] == jobID(n) {
					tasks[e.task] = true
				}
			}
			return len(tasks) >= count
		}
	}
	submit(1, "work=105000", `"count":32,"cpu":1000,"mem-mb":256,"estimate-ms":100000`)
	c.await("the long tasks run", 10*time.Second, started(1, 32))
	submit(2, "work=16000", `"count":14,"cpu":1000,"mem-mb":256,"estimate-ms":16000`)
	c.await("the shorter tasks run", 10*time.Second, started(2, 14))
	submit(3, "lasts", `"count":6,"cpu":2000,"mem-mb":256,"estimate-ms":400,"long-running":true`)
	c.await("five tasks that last run", 10*time.Second, started(3, 5))
	for n := 4; n < 6; n++ {
		submit(n, "work=20000", `"count":2,"cpu":8000,"mem-mb":256,"estimate-ms":60000,"gang":true`)
	}
	time.Sleep(20 * time.Second) // the shorter tasks have ended
	u := c.usage()
	count := map[string]int{}
	var tasks []string
	for n := range 6 {
		task := fmt.Sprintf("%s.0.0.%d", jobID(3), n)
		tasks = append(tasks, task)
		if runner := u.on[task]; runner != "" {
			count[runner]++
		}
	}
	most := ""
	for runner, n := range count {
		if n > count[most] {
			most = runner
		}
	}
	c.note("%d tasks that last run on %s", count[most], most)
	if c.trouble {
		c.crashRunner(most)
		c.note("%s is lost for good", most)
	}
	c.watch(30*time.Second, lastingRule{
		tasks: tasks, capacity: 8000, eligible: func(string) bool { return true },
		cpu: func(task string) int {
			switch task[:16] {
			case jobID(3):
				return 2000
			case jobID(4), jobID(5):
				return 8000
			}
			return 1000
		},
	})
}
