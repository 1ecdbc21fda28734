package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// step and job are the parts of a job that the cases use.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMB        int64  `json:"mem-mb"`
	GPU          int64  `json:"gpu,omitempty"`
	EstimateMS   int64  `json:"estimate-ms"`
	DependsOn    []int  `json:"depends-on,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Requires     string `json:"requires,omitempty"`
	AntiAffinity int    `json:"anti-affinity,omitempty"`
	LongRunning  bool   `json:"long-running,omitempty"`
	MayMiss      int    `json:"may-miss,omitempty"`
}

type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// Doses of the faults, from the pages.
const (
	// lateShare is the share of the start orders that get no answer and are carried out
	// lateAfter later, for lateFor.
	lateShare = 0.2
	lateAfter = 2200 * time.Millisecond
	lateFor   = 5500 * time.Millisecond
	// busyRunners is how many of the runners answer busyShare of the start orders with
	// 503, for busyFor.
	busyRunners = 5
	busyShare   = 0.4
	busyFor     = 6500 * time.Millisecond
)

// lateStartThenBusy lets runners leave start orders unanswered and carry them out late
// while some of the runners refuse orders with 503 at times.
func lateStartThenBusy(c *play) error {
	const traffic, perSecond = 40 * time.Second, 15
	q := queue{name: "price-quote", service: "order-desk", priority: 0, attempts: 4, stretch: 1.5, targetMS: 300}
	c.work = func(string) time.Duration { return 2 * time.Second }
	if err := c.addRunners(q.service, "a", 35, 5, 32000, 65536, 0); err != nil {
		return err
	}
	c.publish(1, []queue{q})

	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 2))
	chance := func(share float64) bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < share
	}
	var lateFrom, busyFrom time.Time
	within := func(from time.Time, d time.Duration) bool {
		mu.Lock()
		defer mu.Unlock()
		return !from.IsZero() && time.Since(from) >= 0 && time.Since(from) < d
	}
	for n, r := range c.runners {
		busy := n%(len(c.runners)/busyRunners) == 0
		r.fault = func(order) startFault {
			if busy && within(busyFrom, busyFor) && chance(busyShare) {
				return startFault{status: http.StatusServiceUnavailable}
			}
			if within(lateFrom, lateFor) && chance(lateShare) {
				return startFault{late: lateAfter}
			}
			return startFault{}
		}
	}
	if err := c.begin(); err != nil {
		return err
	}
	if c.trouble {
		for _, at := range []time.Duration{5 * time.Second, 17 * time.Second, 29 * time.Second} {
			time.AfterFunc(at, func() {
				mu.Lock()
				busyFrom, lateFrom = time.Now(), time.Now().Add(500*time.Millisecond)
				mu.Unlock()
				c.record.add("trouble: %d of %d runners refuse %.0f%% of the starts for %s; from 0.5 s later, %.0f%% of the starts are carried out late for %s", busyRunners, len(c.runners), 100*busyShare, busyFor, 100*lateShare, lateFor)
			})
		}
	}
	return c.playJobs(q, traffic, perSecond, 20*time.Second, func(int) job {
		return job{Spec: "price", Steps: []step{{Count: 10, CPU: 3000, MemMB: 3100, EstimateMS: 2000}}}
	})
}
