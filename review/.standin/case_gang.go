package main

import (
	"strings"
	"sync"
	"time"
)

// finish is how long after the traffic the jobs are asked for, finish_s.
const finish = 14 * time.Second

// hopelessGang hands in one gang that needs one runner more than there are, beside usual
// work of the same service.
func hopelessGang(c *play) error {
	const traffic = 30 * time.Second
	scan := queue{name: "grain-scan", service: "inspection", priority: 1, attempts: 3, stretch: 2.2, targetMS: 1200}
	check := queue{name: "crack-check", service: "inspection", priority: 2, attempts: 2, stretch: 4, targetMS: 3000}
	c.work = func(string) time.Duration { return 2 * time.Second }
	if err := c.addRunners(scan.service, "a", 13, 3, 64000, 131072, 8); err != nil {
		return err
	}
	c.publish(1, []queue{scan, check})
	if err := c.begin(); err != nil {
		return err
	}
	if c.trouble {
		time.AfterFunc(5*time.Second, func() {
			c.record.add("trouble: a gang of 14 tasks with 8 GPUs each; there are 13 runners with 8 GPUs")
			c.hosts.submit(scan, newID(), job{Spec: "scan", Steps: []step{{Count: 14, CPU: 31000, MemMB: 45000, GPU: 8, EstimateMS: 2000, Gang: true}}})
		})
	}
	var scans, checks []string
	var both sync.WaitGroup
	both.Go(func() {
		// At 8 a second, the gang is one of 25 jobs of its class in 3 s.
		scans = c.handIn(scan, traffic, 8, func(int) job {
			return job{Spec: "scan", Steps: []step{{Count: 1, CPU: 8000, MemMB: 11000, GPU: 1, EstimateMS: 2000}}}
		})
	})
	both.Go(func() {
		checks = c.handIn(check, traffic, 2, func(int) job {
			return job{Spec: "check", Steps: []step{{Count: 6, CPU: 5600, MemMB: 11000, GPU: 1, EstimateMS: 2000}}}
		})
	})
	both.Wait()
	c.record.say("traffic ends: %d grain-scan jobs and %d crack-check jobs accepted", len(scans), len(checks))
	time.Sleep(finish)
	c.checkIdle(check, checks, 6, 3*time.Second)
	return nil
}

// checkIdle reports the accepted jobs of so many tasks that have nothing running for the
// given time though tasks are left and hardly a runner is at work.
func (c *play) checkIdle(q queue, ids []string, tasks int, d time.Duration) {
	idle := make(map[string]bool)
	for _, id := range ids {
		if s := c.hosts.state(q, id); s != "completed" && c.tasksDone(id) < tasks {
			idle[id] = true
		}
	}
	atWork := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		atWork = max(atWork, c.tasksRunning())
		for id := range idle {
			if c.isRunning(id) {
				delete(idle, id)
			}
		}
	}
	c.record.say("%s: %d of %d accepted jobs are not completed and had nothing running for %s; at most %d runs were at work on %d runners meanwhile", q.name, len(idle), len(ids), d, atWork, len(c.runners))
	if atWork > len(c.runners)/4 {
		return // the service may be in use
	}
	for id := range idle {
		if s := c.hosts.state(q, id); s == "queued" || s == "running" {
			c.breach("LOST: %s of %s is %s, %s after the traffic has ended, with %d of %d tasks done and nothing running for %s", id, q.name, s, finish, c.tasksDone(id), tasks, d)
		}
	}
}

// isRunning reports whether a task of the job is at work.
func (s *standIns) isRunning(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for task, runs := range s.running {
		if strings.HasPrefix(task, id+".") && len(runs) > 0 {
			return true
		}
	}
	return false
}

// tasksDone returns how many tasks of a job have ended done.
func (s *standIns) tasksDone(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for task := range s.done {
		if strings.HasPrefix(task, id+".") {
			n++
		}
	}
	return n
}
