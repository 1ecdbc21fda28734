package main

import (
	"fmt"
	"time"
)

func init() { cases["crashes"] = playCrashes }

// playCrashes crashes one runner of eight at a time, in turn. Jobs whose tasks last must
// go on: none of them is cancelled, and no run of theirs ends "failed".
func playCrashes(w *world) {
	w.publish(1, nil)
	w.addRunners(8, 32000)
	w.addHosts(3)
	const jobs = 8
	name := func(n int) string { return fmt.Sprintf("c0000000000000%02x", n) }
	for n := range jobs {
		w.submit(name(n), `{"spec":"lasts","steps":[{"count":3,"cpu":4000,"mem-mb":1024,"estimate-ms":400,"long-running":true}]}`)
	}
	time.Sleep(3 * time.Second)
	begun, lives := time.Now(), len(w.runners)
	for n := 0; time.Since(begun) < 75*time.Second; n++ {
		r := w.runners[n%len(w.runners)]
		if w.trouble {
			r.crash(false)
		}
		time.Sleep(1500 * time.Millisecond)
		if w.trouble {
			r.start(fmt.Sprintf("i-%04d", lives)) // a new process at the same address
			lives++
		}
		time.Sleep(time.Second)
	}
	time.Sleep(10 * time.Second)
	for n := range jobs {
		status, state := w.state(name(n))
		if status == 410 || status == 200 && state != "running" && state != "queued" {
			w.breaks("LOST: job %s, which nobody cancelled and no run of which ended failed, is shown as %q (%d)", name(n), state, status)
		}
		for t := range 3 {
			if task := fmt.Sprintf("%s.0.0.%d", name(n), t); !w.running(task) {
				w.breaks("LOST: %s is to last and has no run 10 s after the last crash", task)
			}
		}
	}
}
