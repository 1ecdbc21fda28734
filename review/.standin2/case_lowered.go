package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["lowered"] = playLowered }

// playLowered lowers a tenant's limit below the size of one task of jobs that were
// accepted before. The rule QUOTA allows one task more than the limit, so they can be done.
func playLowered(w *world) {
	w.publishTenants(1, tenantCores)
	w.addRunners(8, 32000)
	w.addHosts(3)
	job := func(n int) string { return fmt.Sprintf("ab000000000000%02x", n) }
	for n := range 6 {
		w.submitAs(batchPath, job(n), tenantKey, `{"spec":"run 2s","steps":[{"count":2,"cpu":2000,"mem-mb":512,"estimate-ms":2000},{"count":1,"cpu":8000,"mem-mb":512,"estimate-ms":2000,"depends-on":[0]}]}`)
	}
	if w.trouble {
		w.publishTenants(2, 6)
	}
	time.Sleep(45 * time.Second)
	for n := range 6 {
		if state := w.stateAs(batchPath, job(n), tenantKey); state != "completed" {
			w.breaks("LOST: accepted job %s is %q after 45 s; its second step has run: %v", job(n), state, len(w.runsOf(job(n)+".0.1.0")) > 0)
		}
	}
	status, _ := w.callAs(http.MethodPost, "http://"+w.hosts[0].callers+batchPath+job(99), tenantKey, `{"spec":"run 1s","steps":[{"count":1,"cpu":1000,"mem-mb":512,"estimate-ms":1000}]}`)
	time.Sleep(5 * time.Second)
	w.note("a small job afterwards: %d %s", status, w.stateAs(batchPath, job(99), tenantKey))
}
