package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// playJobs hands jobs in at a steady rate and waits until all accepted ones are
// completed, at most for the given time after the traffic. It returns an error if the
// case shows nothing because no job was accepted.
func (c *play) playJobs(q queue, traffic time.Duration, perSecond int, wait time.Duration, next func(n int) job) error {
	ids := c.handIn(q, traffic, perSecond, next)
	if len(ids) == 0 {
		return fmt.Errorf("no job of %s was accepted", q.name)
	}
	open := ids
	for end := time.Now().Add(wait); len(open) > 0 && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		var left []string
		for _, id := range open {
			if s := c.hosts.state(q, id); s != "completed" {
				left = append(left, id)
			}
		}
		open = left
	}
	c.record.say("%s: %d jobs accepted, %d not completed at the end", q.name, len(ids), len(open))
	return nil
}

// handIn hands jobs in at a steady rate and returns the IDs of the accepted ones.
func (c *play) handIn(q queue, traffic time.Duration, perSecond int, next func(n int) job) []string {
	var mu sync.Mutex
	var ids []string
	var consumers sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	end := time.Now().Add(traffic)
	for n := 0; time.Now().Before(end); n++ {
		consumers.Go(func() {
			id := newID()
			if c.hosts.submit(q, id, next(n)) {
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
			}
		})
		<-ticker.C
	}
	consumers.Wait()
	return ids
}
