package main

import (
	"fmt"
	"strings"
	"time"
)

// flappingRunner lets one runner of 35 go down and up by turns, twice, under a watch
// with one lasting task on each runner.
func flappingRunner(c *play) error {
	const (
		down, up = 1400 * time.Millisecond, 1400 * time.Millisecond
		// crashes is how often the runner goes down in each of the two spells of 6.5 s.
		crashes = 3
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
	watch := job{Spec: "watch", Steps: []step{{Count: 35, CPU: 8000, MemMB: 15000, EstimateMS: 400, AntiAffinity: 1, LongRunning: true, MayMiss: 3}}}
	if !c.hosts.submit(q, id, watch) {
		return fmt.Errorf("the watch was not accepted")
	}
	for end := time.Now().Add(10 * time.Second); c.tasksRunning() < 35; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("only %d of 35 tasks run", c.tasksRunning())
		}
	}
	time.Sleep(4 * time.Second)
	failed := ""
	look := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if s := c.hosts.state(q, id); s == "failed" && failed == "" {
				failed = s
				c.breach("LOST: the watch is shown as failed; %d runs have ended failed, %d by crashes of a runner; starts of its task there: %s", c.endsBy("failed"), c.endsBy("crash"), c.startsByTask(id))
			}
		}
	}
	flapping := c.runners[17]
	for range 2 {
		for range crashes {
			if c.trouble {
				flapping.crash()
			}
			look(down)
			if c.trouble {
				if err := flapping.start(flapping.labels); err != nil {
					return err
				}
			}
			look(up)
		}
		look(3 * time.Second)
	}
	look(8 * time.Second)
	c.record.say("the watch is %q at the end, %d of 35 tasks run", c.hosts.state(q, id), c.tasksRunning())
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
