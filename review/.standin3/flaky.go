package main

import (
	"fmt"
	"time"
)

func init() { cases["flaky"] = playFlaky }

// playFlaky: forty jobs that last require a kind that two of seven runners have, which have
// room for twice as many. One run in ten ends failed.
func playFlaky(c *cellTest) {
	const runners, ofKind, jobs, perJob = 7, 2, 40, 6
	c.publish(manifest("desk"))
	for n := range runners {
		kind := "b"
		if n < ofKind {
			kind = "a"
		}
		c.startRunner(fmt.Sprintf("i-%d", n), "-service", "desk", "-labels", fmt.Sprintf("%s,r%d", kind, n), "-cpu", "16000")
	}
	c.startHosts(6)
	spec := "lasts"
	if c.trouble {
		spec = "lasts fails=10 min=1000 max=45000"
	}
	var tasks []string
	for n := range jobs {
		if !c.submit(path, jobID(n), fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":400,"long-running":true,"requires":"a"}]}`, spec, perJob, 16000/perJob/jobs)) {
			panic(impossible("the job is not accepted"))
		}
		for i := range perJob {
			tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", jobID(n), i))
		}
	}
	c.watch(70*time.Second, lastingRule{
		tasks: tasks, cpu: func(string) int { return 16000 / perJob / jobs }, capacity: 16000,
		eligible: func(runner string) bool { return runner < fmt.Sprintf("i-%d", ofKind) },
	})
}
