//go:build review3

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["crashes"] = playCrashes }

// playCrashes: a job that lasts has one task on each of seven runners. One of the runners
// crashes four times, each time for 2 s.
func playCrashes(c *cellTest) {
	const runners, crashes = 7, 4
	c.publish(manifest("desk"))
	for n := range runners {
		c.startRunner(fmt.Sprintf("i-%d", n), "-service", "desk", "-labels", fmt.Sprintf("a,r%d", n))
	}
	c.startHosts(6)
	id := jobID(1)
	body := fmt.Sprintf(`{"spec":"lasts","steps":[{"count":%d,"cpu":1000,"mem-mb":512,"estimate-ms":400,"long-running":true,"anti-affinity":1}]}`, runners)
	if !c.submit(path, id, body) {
		panic(impossible("the job is not accepted"))
	}
	accepted := time.Now()
	working := func() bool {
		for n := range runners {
			task := fmt.Sprintf("%s.0.0.%d", id, n)
			e, ok := c.last(func(e event) bool { return e.task == task && (e.kind == "start" || e.kind == "end") })
			if !ok || e.kind != "start" {
				return false
			}
		}
		return true
	}
	c.await("all tasks run", 20*time.Second, working)
	shownFailed := func() bool {
		status, state := c.state(int(time.Now().UnixMilli()), path, id)
		if state == "failed" || state == "cancelled" {
			c.note("GET %s: %d %s, %.1f s after its acceptance", id, status, state, time.Since(accepted).Seconds())
			return true
		}
		return false
	}
	failed := false
	for n := 0; n < crashes && !failed; n++ {
		time.Sleep(6 * time.Second)
		if !c.trouble {
			continue
		}
		up := len(c.all(func(e event) bool { return e.runner == "i-3" && e.kind == "start" }))
		c.crashRunner("i-3")
		time.Sleep(2 * time.Second)
		c.startRunner("i-3", c.runners["i-3"].args...)
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline) && !failed; time.Sleep(100 * time.Millisecond) {
			if len(c.all(func(e event) bool { return e.runner == "i-3" && e.kind == "start" })) > up {
				c.note("a task runs again on i-3")
				break
			}
			failed = shownFailed()
		}
	}
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline) && !failed; time.Sleep(100 * time.Millisecond) {
		failed = shownFailed()
	}
	ends := c.all(func(e event) bool { return e.kind == "end" && strings.Contains(e.rest, "how=failed") })
	c.note("runs that ended failed: %d; nobody has cancelled the job", len(ends))
	if failed && len(ends) == 0 {
		c.breaks("LOST: the job is shown as failed, though none of its runs has ended failed and nobody has cancelled it")
	}
}
