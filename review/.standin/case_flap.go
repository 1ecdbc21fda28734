package main

import (
	"fmt"
	"strings"
	"time"
)

// cutRunner cuts one runner of 35 off four times, each time for longer than its lease, so
// that connections to it are refused, under a watch with one lasting task on each runner.
// The runner stays up.
func cutRunner(c *play) error {
	const (
		cut     = 5500 * time.Millisecond
		healed  = 2500 * time.Millisecond
		cuts    = 4
		watched = 35
	)
	q := queue{name: "cellar-watch", service: "order-desk", priority: 1, attempts: 4, stretch: 2.2, targetMS: 2500}
	c.work = func(string) time.Duration { return 0 }
	if err := c.addRunners(q.service, "a", watched, 5, 32000, 65536, 0); err != nil {
		return err
	}
	c.publish(1, []queue{q})
	if err := c.begin(); err != nil {
		return err
	}
	id := newID()
	watch := job{Spec: "watch", Steps: []step{{Count: watched, CPU: 8000, MemMB: 15000, EstimateMS: 400, AntiAffinity: 1, LongRunning: true, MayMiss: 3}}}
	if !c.hosts.submit(q, id, watch) {
		return fmt.Errorf("the watch was not accepted")
	}
	for end := time.Now().Add(10 * time.Second); c.tasksRunning() < watched; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d tasks run", c.tasksRunning(), watched)
		}
	}
	time.Sleep(4 * time.Second)
	failed := false
	look := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if !failed && c.hosts.state(q, id) == "failed" {
				failed = true
				c.breach("LOST: the watch is shown as failed; no runner has crashed, %d runs have ended failed, %d by a lapsed lease; starts of tasks started more than once: %s", c.endsBy("failed"), c.endsBy("lapsed"), c.startsByTask(id))
			}
		}
	}
	for range cuts {
		if c.trouble {
			c.runners[17].cutOff()
		}
		look(cut)
		if c.trouble {
			if err := c.runners[17].heal(); err != nil {
				return err
			}
		}
		look(healed)
	}
	look(8 * time.Second)
	c.record.say("the watch is %q at the end, %d of %d tasks run", c.hosts.state(q, id), c.tasksRunning(), watched)
	return nil
}

// startsByTask returns how often the tasks of a job were started that were started more
// than once.
func (s *standIns) startsByTask(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for task, n := range s.starts {
		if strings.HasPrefix(task, id) && n > 1 {
			list = append(list, fmt.Sprintf("%s %d", task, n))
		}
	}
	return strings.Join(list, ", ")
}
