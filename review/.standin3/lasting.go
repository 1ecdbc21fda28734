package main

import (
	"maps"
	"slices"
	"time"
)

// The rule's figures for tasks that last: it counts from sinceRun after the last run, for
// missing on end, if calm lies between that and the last disturbance.
const (
	sinceRun = 6 * time.Second
	missing  = 3 * time.Second
	calm     = 4 * time.Second
)

// usage is what runs where, by what the runners have told.
type usage struct {
	on      map[string]string    // the runner of each task that runs
	ended   map[string]time.Time // when the last run of a task ended that does not run
	up      map[string]bool
	crashed time.Time // the last crash
}

func (c *cellTest) usage() usage {
	u := usage{on: map[string]string{}, ended: map[string]time.Time{}, up: map[string]bool{}}
	for _, e := range c.all(func(event) bool { return true }) {
		at := time.UnixMilli(e.at)
		switch e.kind {
		case "up":
			u.up[e.runner] = true
		case "start":
			u.on[e.task] = e.runner
			delete(u.ended, e.task)
		case "end":
			if u.on[e.task] == e.runner {
				delete(u.on, e.task)
				u.ended[e.task] = at
			}
		case "crash":
			delete(u.up, e.runner)
			u.crashed = at
			for task, runner := range u.on {
				if runner == e.runner {
					delete(u.on, task)
					u.ended[task] = at
				}
			}
		}
	}
	return u
}

// lastingRule is the rule LOST for tasks that last.
type lastingRule struct {
	tasks    []string
	cpu      func(task string) int // of any task, in thousandths of a core
	capacity int                   // of a runner, likewise
	eligible func(runner string) bool
}

// watch checks the rule for a time, whenever something may break it.
func (c *cellTest) watch(d time.Duration, rule lastingRule) {
	stretch, worst := map[string]time.Time{}, map[string]time.Duration{}
	room := map[string]int{}
	broken := map[string]bool{}
	for begin := time.Now(); time.Since(begin) < d; time.Sleep(100 * time.Millisecond) {
		u, now := c.usage(), time.Now()
		free := map[string]int{}
		for runner := range u.up {
			if rule.eligible(runner) {
				free[runner] = rule.capacity
			}
		}
		for task, runner := range u.on {
			if _, counts := free[runner]; counts {
				free[runner] -= rule.cpu(task)
			}
		}
		for _, task := range rule.tasks {
			ended, out := u.ended[task]
			fits := 0
			for _, f := range free {
				fits += max(f, 0) / rule.cpu(task)
			}
			if !out || fits < 2 || now.Sub(ended) < sinceRun || now.Sub(u.crashed) < calm+sinceRun {
				delete(stretch, task)
				continue
			}
			if stretch[task].IsZero() {
				stretch[task], room[task] = now, fits
			}
			room[task] = min(room[task], fits)
			if now.Sub(stretch[task]) >= missing {
				broken[task] = true
				worst[task] = max(worst[task], now.Sub(ended))
			}
		}
	}
	for _, task := range slices.Sorted(maps.Keys(broken)) {
		c.breaks("LOST: %s, a task that lasts, has not run for %.1f s, with room for %d such tasks at least", task, worst[task].Seconds(), room[task])
	}
}
