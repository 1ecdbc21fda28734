package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// largeJob hands in one job with thousands of steps, whose body is shorter than
// max-body-bytes, beside usual work of the same service.
func largeJob(c *play) error {
	const traffic = 20 * time.Second
	q := queue{name: "lathe-batch", service: "order-desk", priority: 2, attempts: 2, stretch: 4, targetMS: 3000}
	c.work = func(string) time.Duration { return time.Second }
	if err := c.addRunners(q.service, "a", 35, 5, 32000, 65536, 0); err != nil {
		return err
	}
	c.publish(1, []queue{q})
	if err := c.begin(); err != nil {
		return err
	}
	if c.trouble {
		time.AfterFunc(6*time.Second, func() {
			large := job{Spec: "large"}
			for n := range 3300 {
				s := step{Count: 1, CPU: 2000, MemMB: 1024, EstimateMS: 1000}
				if n > 0 {
					s.DependsOn = []int{n - 1}
				}
				large.Steps = append(large.Steps, s)
			}
			body, err := json.Marshal(large)
			if err != nil {
				panic(err) // plain fields can always be encoded
			}
			c.record.say("trouble: a job of %d steps, whose body has %d bytes", len(large.Steps), len(body))
			c.hosts.submit(q, newID(), large)
		})
	}
	ids := c.handIn(q, traffic, 4, func(int) job {
		return job{Spec: "batch", Steps: []step{
			{Count: 4, CPU: 6600, MemMB: 9400, EstimateMS: 1000},
			{Count: 4, CPU: 6600, MemMB: 9400, EstimateMS: 1000, DependsOn: []int{0}},
		}}
	})
	if len(ids) == 0 {
		return fmt.Errorf("no job was accepted")
	}
	c.record.say("traffic ends: %d jobs accepted", len(ids))
	time.Sleep(finish)
	c.checkIdle(q, ids, 8, 3*time.Second)
	return nil
}
