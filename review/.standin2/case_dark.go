package main

import (
	"fmt"
	"time"
)

func init() { cases["dark"] = playDark }

// playDark loses one runner of eight for good and without a sign while jobs whose tasks last
// are handed in. All their tasks have to run: seven runners have room for them.
func playDark(w *world) {
	w.publish(1, map[string]any{"priority": 1})
	w.addRunners(8, 32000)
	w.addHosts(3)
	accepted := make(map[string]time.Time)
	handIn := func(n int) {
		job := fmt.Sprintf("da000000000000%02x", n)
		at := w.submit(job, `{"spec":"lasts","steps":[{"count":4,"cpu":500,"mem-mb":512,"estimate-ms":400,"long-running":true}]}`)
		for t := range 4 {
			accepted[fmt.Sprintf("%s.0.0.%d", job, t)] = at
		}
	}
	const jobs = 30
	lost := time.Time{}
	for n := range jobs {
		if n == jobs/2 {
			lost = time.Now()
			if w.trouble {
				w.runners[3].crash(true)
			}
		}
		handIn(n)
		time.Sleep(150 * time.Millisecond)
	}
	w.note("end of the traffic")
	judgeLasting(w, accepted, lost, 20*time.Second)
}
