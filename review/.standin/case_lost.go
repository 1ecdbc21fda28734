package main

import (
	"fmt"
	"time"
)

// schedulerAndRunnersLost kills the entry host that schedules the service, which starts
// again 3 s later, and at the same moment 5 of 35 runners for good, under two watches.
func schedulerAndRunnersLost(c *play) error {
	const (
		dark = 3 * time.Second
		lost = 5
		// A task that lasts must have a run 6 s after its last one, for 3 s that are calm
		// like the 4 s before them.
		restart, idle, calm = 6 * time.Second, 3 * time.Second, 7 * time.Second
		watchTasks          = 35
	)
	q := queue{name: "cellar-watch", service: "order-desk", priority: 1, attempts: 4, stretch: 2.2, targetMS: 2500}
	c.work = func(string) time.Duration { return 0 }
	if err := c.addRunners(q.service, "a", 35, 5, 32000, 65536, 0); err != nil {
		return err
	}
	c.publish(1, []queue{q})
	if err := c.begin(); err != nil {
		return err
	}
	id := newID()
	watch := job{Spec: "watch", Steps: []step{{Count: watchTasks, CPU: 8000, MemMB: 15000, EstimateMS: 400, LongRunning: true}}}
	if !c.hosts.submit(q, id, watch) {
		return fmt.Errorf("the watch was not accepted")
	}
	for end := time.Now().Add(10 * time.Second); c.tasksRunning() < watchTasks; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d tasks run", c.tasksRunning(), watchTasks)
		}
	}
	time.Sleep(4 * time.Second)
	if c.trouble {
		leader := c.hosts.holder(q.service)
		if leader == nil {
			return fmt.Errorf("no entry host schedules the service")
		}
		c.record.say("trouble: %s, which schedules the service, is killed for %s, and %d of %d runners for good", leader.name, dark, lost, len(c.runners))
		leader.kill()
		for n := range lost {
			c.runners[n*7].crash()
		}
		time.Sleep(dark)
		if err := c.hosts.start(leader); err != nil {
			return err
		}
	}
	time.Sleep(calm)
	broken := make(map[int]bool)
	longest := 0
	for begin := time.Now(); time.Since(begin) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
		missing := 0
		for n := range watchTasks {
			task := fmt.Sprintf("%s.0.0.%d", id, n)
			without := c.withoutRun(task)
			if without == 0 {
				continue
			}
			missing++
			if without > restart+idle && !broken[n] {
				broken[n] = true
				c.breach("LOST: %s is to last and has had no run for %.1f s, the last %s of them calm, with %d runners up that have room", task, without.Seconds(), calm, len(c.runners)-lost)
			}
		}
		longest = max(longest, missing)
	}
	c.record.say("at most %d of %d tasks had no run after the calm; %d at the end", longest, watchTasks, watchTasks-c.tasksRunning())
	return nil
}

// withoutRun returns for how long a task has had no run; 0 if it has one.
func (s *standIns) withoutRun(task string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.running[task]) > 0 {
		return 0
	}
	return max(time.Since(s.lastEnd[task]), 1)
}
