package main

import (
	"math/rand/v2"
	"time"
)

// quickRestart crashes one runner after the other. Each starts again at once under its ID
// and address.
func quickRestart(c *play) error {
	const (
		traffic, perSecond = 44 * time.Second, 10
		work               = 80 * time.Millisecond
		// down is how long a runner is down. One crashes in every crashEvery, at a random
		// moment, and is back before the next one crashes.
		down, crashEvery = 50 * time.Millisecond, 400 * time.Millisecond
		crashes          = 90
	)
	q := queue{name: "price-quote", service: "order-desk", priority: 0, attempts: 4, stretch: 1.5, targetMS: 300}
	c.work = func(string) time.Duration { return work }
	if err := c.addRunners(q.service, "a", 13, 3, 32000, 65536, 0); err != nil {
		return err
	}
	c.publish(1, []queue{q})
	if err := c.begin(); err != nil {
		return err
	}
	if c.trouble {
		for n := range crashes {
			r := c.runners[n%len(c.runners)]
			time.AfterFunc(5*time.Second+time.Duration(n)*crashEvery+rand.N(crashEvery-2*down), func() {
				r.crash()
				time.Sleep(down)
				if err := r.start(r.labels); err != nil {
					c.record.say("runner %s cannot start again: %v", r.id, err)
				}
			})
		}
	}
	return c.playJobs(q, traffic, perSecond, 20*time.Second, func(int) job {
		return job{Spec: "price", Steps: []step{{Count: 10, CPU: 3000, MemMB: 3100, EstimateMS: 80, AntiAffinity: 1}}}
	})
}
