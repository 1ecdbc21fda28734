package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["again"] = playAgain }

// playAgain: a busy service of seven runners, and a job that lasts. One runner falls silent
// and crashes, starts again under its id, and some seconds later is lost for good.
func playAgain(c *cellTest) {
	const runners = 7
	c.publish(manifest("desk"))
	for n := range runners {
		c.startRunner(fmt.Sprintf("i-%d", n), "-service", "desk", "-labels", fmt.Sprintf("a,r%d", n), "-cpu", "8000")
	}
	c.startHosts(6)
	id := jobID(1)
	if !c.submit(path, id, fmt.Sprintf(`{"spec":"lasts","steps":[{"count":%d,"cpu":1000,"mem-mb":512,"estimate-ms":400,"long-running":true}]}`, 2*runners)) {
		panic(impossible("the job is not accepted"))
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { // a third of the capacity, evenly spread
		defer close(done)
		for n := 2; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			go c.submit(path, jobID(n), `{"spec":"work=250","steps":[{"count":7,"cpu":1000,"mem-mb":256,"estimate-ms":250,"anti-affinity":1}]}`)
		}
	}()
	time.Sleep(5 * time.Second)
	crash := event{runner: "i-3", kind: "crash"}
	crashed := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.events = append(c.events, crash)
	}
	if c.trouble {
		c.note("runner i-3 falls silent")
		_ = c.runners["i-3"].cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		c.crashRunner("i-3")
		crashed()
		c.startRunner("i-3", c.runners["i-3"].args...)
		time.Sleep(6 * time.Second)
		c.crashRunner("i-3")
		crashed()
		c.note("runner i-3 is lost for good")
	}
	lost := time.Now()
	worst := map[string]time.Duration{}
	since := map[string]time.Time{}
	for time.Since(lost) < 40*time.Second {
		time.Sleep(100 * time.Millisecond)
		on := map[string]string{}
		for _, e := range c.all(func(event) bool { return true }) {
			switch e.kind {
			case "start":
				on[e.task] = e.runner
			case "end":
				if on[e.task] == e.runner {
					delete(on, e.task)
				}
			case "crash":
				for task, r := range on {
					if r == e.runner {
						delete(on, task)
					}
				}
			}
		}
		for n := range 2 * runners {
			task := fmt.Sprintf("%s.0.0.%d", id, n)
			if on[task] != "" {
				delete(since, task)
				continue
			}
			if since[task].IsZero() {
				since[task] = time.Now()
			}
			worst[task] = max(worst[task], time.Since(since[task]))
		}
	}
	close(stop)
	<-done
	for task, out := range worst {
		c.note("%s did not run for %.1f s", task, out.Seconds())
		if out > 13*time.Second {
			c.breaks("LOST: %s, a task that lasts, has not run for %.1f s, with 6 calm runners that have room", task, out.Seconds())
		}
	}
}
