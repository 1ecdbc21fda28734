package main

import (
	"fmt"
	"time"
)

func init() { cases["backlog"] = playBacklog }

// playBacklog loses one runner of eight for good while 60 jobs wait for a kind of which
// there is one runner. The tasks that last and were on the lost runner have to run again:
// six runners have room for them.
func playBacklog(w *world) {
	w.publish(1, map[string]any{"priority": 1})
	w.addRunners(7, 32000)
	scarce := &runner{w: w, index: 7, address: w.freeAddress(), labels: []string{"b", "r1-3"}, cpu: 32000, memMB: 65536, conns: makeConns()}
	w.runners = append(w.runners, scarce)
	scarce.start("i-0007")
	w.addHosts(3)
	accepted := make(map[string]time.Time)
	for n := range 6 {
		job := fmt.Sprintf("ca000000000000%02x", n)
		at := w.submit(job, `{"spec":"lasts","steps":[{"count":3,"cpu":4000,"mem-mb":1024,"estimate-ms":400,"long-running":true}]}`)
		for t := range 3 {
			accepted[fmt.Sprintf("%s.0.0.%d", job, t)] = at
		}
	}
	for n := range 60 {
		w.submit(fmt.Sprintf("bb000000000000%02x", n), `{"spec":"run 10s","steps":[{"count":1,"cpu":16000,"mem-mb":512,"estimate-ms":10000,"requires":"b"}]}`)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	var lost *runner
	for _, r := range w.runners[:7] {
		if lost == nil || r.runCount() > lost.runCount() {
			lost = r
		}
	}
	if lost.runCount() == 0 {
		w.cannotRun("no runner has a task that lasts")
	}
	calm := time.Now()
	if w.trouble {
		lost.crash(false)
	}
	judgeLasting(w, accepted, calm, 45*time.Second)
}
