package main

import (
	"fmt"
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
	limit := 1000 * tenantCores
	if w.trouble {
		w.publishTenants(2, 6)
		limit = 6000
	}
	end := time.Now()
	var tasks, jobs []string
	for n := range 6 {
		tasks, jobs = append(tasks, job(n)+".0.1.0"), append(jobs, job(n))
	}
	judgeTenant(w, tasks, jobs, limit, end, 35*time.Second)
	for n := range 6 {
		w.stateAs(batchPath, job(n), tenantKey)
	}
}
