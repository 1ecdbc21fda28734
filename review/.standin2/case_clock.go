package main

import (
	"fmt"
	"time"
)

func init() { cases["clock"] = playClock }

const lastingBody = `{"spec":"lasts","steps":[{"count":1,"cpu":4000,"mem-mb":1024,"estimate-ms":400,"long-running":true}]}`

// playClock restarts a young runner under its ID after its machine's time of day was set
// back. Its tasks have to run again.
func playClock(w *world) {
	w.publish(1, nil)
	w.addRunners(7, 32000)
	w.addHosts(3)
	accepted := make(map[string]time.Time)
	handIn := func(job string) { accepted[job+".0.0.0"] = w.submit(job, lastingBody) }
	for n := range 14 {
		handIn(fmt.Sprintf("a0000000000000%02x", n))
	}
	time.Sleep(2 * time.Second)
	// A runner begins on a machine whose time of day is ahead.
	young := &runner{w: w, index: len(w.runners), address: w.freeAddress(), labels: []string{"a", "r1-9"}, cpu: 32000, memMB: 65536, conns: makeConns()}
	if w.trouble {
		young.clockOffset = 2400 * time.Millisecond
		w.note("time of day of m%d is 2400 ms ahead", young.index)
	}
	w.runners = append(w.runners, young)
	id := fmt.Sprintf("i-%04d", young.index)
	begun := time.Now()
	young.start(id)
	for n := range 6 {
		handIn(fmt.Sprintf("b0000000000000%02x", n))
	}
	for young.runCount() == 0 && time.Since(begun) < 1100*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
	if young.runCount() == 0 {
		w.cannotRun("the new runner got no task")
	}
	time.Sleep(time.Until(begun.Add(1100 * time.Millisecond)))
	young.crash(false)
	if young.clockOffset > 0 {
		young.clockOffset = 0
		w.note("time of day of m%d is right again", young.index)
	}
	time.Sleep(time.Until(begun.Add(1900 * time.Millisecond)))
	young.restart(id)
	judgeLasting(w, accepted, time.Now(), 40*time.Second)
}
