//go:build review3

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["clock"] = playClock }

// playClock: seven runners with much room. An empty one is added, and a task that lasts
// starts there. The time of day of its machine jumps back by 2.4 s, and it crashes once and
// starts again under its id.
func playClock(c *cellTest) {
	const runners, jump = 7, 2400 * time.Millisecond
	c.publish(manifest("desk"))
	args := func(n int) []string {
		return []string{"-service", "desk", "-labels", fmt.Sprintf("a,r%d", n)}
	}
	for n := range runners {
		c.startRunner(fmt.Sprintf("i-%d", n), args(n)...)
	}
	c.startHosts(6)
	submit := func(id string, tasks int) {
		if !c.submit(path, id, fmt.Sprintf(`{"spec":"lasts","steps":[{"count":%d,"cpu":1000,"mem-mb":512,"estimate-ms":400,"long-running":true}]}`, tasks)) {
			panic(impossible("the job is not accepted"))
		}
	}
	first, second := jobID(1), jobID(2)
	submit(first, runners)
	// runningOn returns where a task runs, empty if it runs nowhere. A crash ends all runs.
	runningOn := func(task string) string {
		on := ""
		for _, e := range c.all(func(event) bool { return true }) {
			switch {
			case e.kind == "start" && e.task == task:
				on = e.runner
			case e.kind == "end" && e.task == task && on == e.runner, e.kind == "crash" && on == e.runner:
				on = ""
			}
		}
		return on
	}
	var tasks []string
	for n := range runners {
		tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", first, n))
	}
	run := func() bool {
		for _, task := range tasks {
			if runningOn(task) == "" {
				return false
			}
		}
		return true
	}
	c.await("all tasks run", 20*time.Second, run)
	time.Sleep(4 * time.Second)
	c.note("runner i-7 is added")
	c.startRunner("i-7", args(7)...)
	time.Sleep(500 * time.Millisecond)
	submit(second, 1)
	tasks = append(tasks, second+".0.0.0")
	c.await("the task of the second job runs", 5*time.Second, run)
	if on := runningOn(second + ".0.0.0"); on != "i-7" {
		panic(impossible("the task of the second job runs on " + on))
	}
	if c.trouble {
		time.Sleep(200 * time.Millisecond)
		c.note("the time of day of the machine of i-7 jumps back by %s", jump)
		c.crashRunner("i-7")
		c.mu.Lock()
		c.events = append(c.events, event{runner: "i-7", kind: "crash"})
		c.mu.Unlock()
		time.Sleep(800 * time.Millisecond)
		c.startRunner("i-7", append(args(7), "-ahead", (-jump).String())...)
	}
	// From here on nothing is disturbed. The rule allows 6 s after the last run, and 3 s.
	since := make(map[string]time.Time)
	for begin := time.Now(); time.Since(begin) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, task := range tasks {
			if on := runningOn(task); on != "" {
				delete(since, task)
			} else if since[task].IsZero() {
				since[task] = time.Now()
			}
		}
	}
	status, state := c.state(0, path, second)
	c.note("GET %s: %d %s", second, status, state)
	for task, at := range since {
		if out := time.Since(at); out > 9*time.Second {
			c.breaks("LOST: %s, a task that lasts, has not run for %.0f s, with 6 calm runners of which 3 of 4 cores are free", task, out.Seconds())
		}
	}
	if ends := c.all(func(e event) bool { return e.kind == "end" && !strings.Contains(e.rest, "stopped") }); len(ends) > 0 {
		c.note("%d runs ended other than stopped", len(ends))
	}
}
