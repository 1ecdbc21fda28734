package main

import (
	"net"
	"sort"
	"time"
)

func makeConns() map[net.Conn]bool { return make(map[net.Conn]bool) }

// Figures of the rule LOST for tasks that last.
const (
	lastingGrace = 6 * time.Second // after the last run of the task
	lastingGap   = 3 * time.Second // without a run
	calmBefore   = 4 * time.Second // before the gap
)

// judgeLasting watches for a while and checks the rule LOST for each task that has run and
// that lasts, as lasts says: from lastingGrace after its last run on, and once calm has lasted
// since, it must not be without a run for lastingGap.
func judgeLasting(w *world, lasts func(task string) bool, calmSince time.Time, watch time.Duration) {
	end := time.Now().Add(watch)
	told := make(map[string]bool)
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		w.mu.Lock()
		last := make(map[string]time.Time) // zero while it runs
		for _, r := range w.runs {
			if !lasts(r.task) {
				continue
			}
			if e, known := last[r.task]; known && e.IsZero() {
				continue
			}
			if r.ended.IsZero() {
				last[r.task] = time.Time{}
			} else if r.ended.After(last[r.task]) {
				last[r.task] = r.ended
			}
		}
		w.mu.Unlock()
		var tasks []string
		for task := range last {
			tasks = append(tasks, task)
		}
		sort.Strings(tasks)
		for _, task := range tasks {
			ended := last[task]
			from := ended.Add(lastingGrace)
			if calm := calmSince.Add(calmBefore); calm.After(from) {
				from = calm
			}
			if !ended.IsZero() && now.Sub(from) > lastingGap && !told[task] {
				told[task] = true
				w.breaks("LOST: %s is to last and has no run since %.1f s", task, now.Sub(ended).Seconds())
			}
		}
	}
}

// judgeAccepted watches for a while and checks the rule LOST for tasks that last, by when
// their jobs were accepted: each must not be without a run for lastingGap, counted from when
// it was accepted or from lastingGrace after its last run, once calm has lasted since.
func judgeAccepted(w *world, accepted map[string]time.Time, calmSince time.Time, watch time.Duration) {
	end := time.Now().Add(watch)
	told := make(map[string]bool)
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		for task, at := range accepted {
			from, runs := at, w.runsOf(task)
			for _, r := range runs {
				if r.ended.IsZero() {
					from = now
				} else if e := r.ended.Add(lastingGrace); e.After(from) {
					from = e
				}
			}
			if calm := calmSince.Add(calmBefore); calm.After(from) {
				from = calm
			}
			if now.Sub(from) > lastingGap && !told[task] {
				told[task] = true
				w.breaks("LOST: %s is to last, was accepted %.1f s ago and has had nothing running for 3 calm seconds (%d runs before)", task, now.Sub(at).Seconds(), len(runs))
			}
		}
	}
}
