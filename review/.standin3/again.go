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
	if c.trouble {
		c.note("runner i-3 falls silent")
		_ = c.runners["i-3"].cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		c.crashRunner("i-3")
		c.startRunner("i-3", c.runners["i-3"].args...)
		time.Sleep(6 * time.Second)
		c.crashRunner("i-3")
		c.note("runner i-3 is lost for good")
	}
	var tasks []string
	for n := range 2 * runners {
		tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", id, n))
	}
	c.watch(30*time.Second, lastingRule{
		tasks: tasks, cpu: func(string) int { return 1000 }, capacity: 8000,
		eligible: func(string) bool { return true },
	})
	close(stop)
	<-done
}
