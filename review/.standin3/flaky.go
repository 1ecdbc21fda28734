package main

import (
	"fmt"
	"time"
)

func init() { cases["flaky"] = playFlaky }

// playFlaky: on seven runners with much room, a job that lasts has tasks that fail now and
// then. Later a sound job comes, which lasts too.
func playFlaky(c *cellTest) {
	const runners, ofKind, flaky = 7, 2, 12
	c.publish(manifest("desk"))
	for n := range runners {
		kind := "b"
		if n < ofKind {
			kind = "a"
		}
		c.startRunner(fmt.Sprintf("i-%d", n), "-service", "desk", "-labels", fmt.Sprintf("%s,r%d", kind, n))
	}
	c.startHosts(6)
	submit := func(id, spec string, count int) {
		if !c.submit(path, id, fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":500,"mem-mb":512,"estimate-ms":400,"long-running":true,"requires":"a"}]}`, spec, count)) {
			panic(impossible("the job is not accepted"))
		}
	}
	spec := "lasts"
	if c.trouble {
		spec = "lasts min=4000 max=20000"
	}
	submit(jobID(1), spec, flaky)
	tasks := []string{}
	for n := range flaky {
		tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", jobID(1), n))
	}
	worst := map[string]time.Duration{}
	watch := func(d time.Duration) {
		for begin := time.Now(); time.Since(begin) < d; time.Sleep(50 * time.Millisecond) {
			for _, task := range tasks {
				if e, ok := c.last(func(e event) bool { return e.task == task && (e.kind == "start" || e.kind == "end") }); ok && e.kind == "end" {
					worst[task] = max(worst[task], time.Since(time.UnixMilli(e.at)))
				}
			}
		}
	}
	watch(50 * time.Second)
	submit(jobID(2), "lasts", 1)
	sent := time.Now()
	watch(20 * time.Second)
	for _, task := range tasks {
		if worst[task] > 9*time.Second {
			c.breaks("LOST: %s, a task that lasts, has not run for %.1f s, while at most a quarter of the capacity was in use", task, worst[task].Seconds())
		}
	}
	if e := c.all(func(e event) bool { return e.task == jobID(2)+".0.0.0" && e.kind == "start" }); len(e) == 0 {
		c.breaks("LOST: nothing of the job %s runs %.0f s after it was accepted", jobID(2), time.Since(sent).Seconds())
	} else {
		c.note("the sound job began %d ms after it was sent", e[0].at-sent.UnixMilli())
	}
}
