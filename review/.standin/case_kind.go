package main

import (
	"slices"
	"time"
)

// otherKind crashes one of two runners of a kind that a queue's tasks require. It starts
// again under its ID and address as a runner of another kind.
func otherKind(c *play) error {
	const traffic = 25 * time.Second
	q := queue{name: "lathe-batch", service: "order-desk", priority: 2, attempts: 2, stretch: 4, targetMS: 3000}
	c.work = func(string) time.Duration { return 700 * time.Millisecond }
	if err := c.addRunners(q.service, "a", 35, 5, 32000, 65536, 0); err != nil {
		return err
	}
	special := []*runner{c.runners[3], c.runners[20]}
	for _, r := range special {
		r.crash()
		if err := r.start([]string{"b", r.labels[1]}); err != nil {
			return err
		}
	}
	c.onBegun = func(r *runner, o order) {
		if !slices.Contains(r.labels, o.Spec) {
			c.breach("ROUTE: %s requires the label %s and starts on %s with the labels %v", runName(o.Task, o.Run), o.Spec, r.id, r.labels)
		}
	}
	c.publish(1, []queue{q})
	if err := c.begin(); err != nil {
		return err
	}
	if c.trouble {
		r := special[0]
		time.AfterFunc(8*time.Second, r.crash)
		time.AfterFunc(10*time.Second, func() { _ = r.start([]string{"a", r.labels[1]}) })
	}
	return c.playJobs(q, traffic, 4, 20*time.Second, func(int) job {
		return job{Spec: "b", Steps: []step{{Count: 5, CPU: 3000, MemMB: 3000, EstimateMS: 700, Requires: "b"}}}
	})
}
