package main

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"
)

func makeConns() map[net.Conn]bool { return make(map[net.Conn]bool) }

// Figures of the rule LOST.
const (
	lastingGrace = 6 * time.Second  // after the last run of a task that lasts
	gap          = 3 * time.Second  // with nothing running
	calmBefore   = 4 * time.Second  // before the gap, for tasks that last
	finish       = 14 * time.Second // after the end of the traffic, for other jobs
)

// noteJob keeps what the tasks of a job take, by step, in thousandths of a core.
func (w *world) noteJob(id, body string) {
	var job struct {
		Steps []struct {
			CPU int `json:"cpu"`
		} `json:"steps"`
	}
	if err := json.Unmarshal([]byte(body), &job); err != nil {
		w.cannotRun("job %s: %v", id, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.demands[id] = nil
	for _, s := range job.Steps {
		w.demands[id] = append(w.demands[id], s.CPU)
	}
}

// demand returns what a task, ID.K.STEP.INDEX, takes. The caller must hold w.mu.
func (w *world) demand(task string) int {
	parts := strings.Split(task, ".")
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(w.demands[parts[0]]) {
		return 0
	}
	return w.demands[parts[0]][step]
}

// usage is what runs at a moment.
type usage struct {
	free       map[string]int // by runner that is up
	used, room int
	running    map[string]bool
	done       map[string]bool
	lastEnd    map[string]time.Time
}

func (w *world) usage() usage {
	u := usage{free: make(map[string]int), running: make(map[string]bool), done: make(map[string]bool), lastEnd: make(map[string]time.Time)}
	for _, r := range w.runners {
		r.mu.Lock()
		if r.life != nil {
			u.free[r.life.id] = r.cpu
			u.room += r.cpu
		}
		r.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.ended.IsZero() {
			u.running[r.task] = true
			u.used += w.demand(r.task)
			u.free[r.runner] -= w.demand(r.task)
			continue
		}
		u.done[r.task] = u.done[r.task] || r.how == "done"
		if r.ended.After(u.lastEnd[r.task]) {
			u.lastEnd[r.task] = r.ended
		}
	}
	return u
}

// hasRoom reports whether there is capacity for a task twice over, and under half of the
// service's capacity is in use.
func (u usage) hasRoom(cpu int) bool {
	fits := 0
	for _, free := range u.free {
		fits += max(free, 0) / cpu
	}
	return fits >= 2 && 2*u.used < u.room
}

// gaps notes since when tasks have met all conditions of the rule LOST.
type gaps struct {
	w     *world
	since map[string]time.Time
	told  map[string]bool
}

func newGaps(w *world) *gaps {
	return &gaps{w: w, since: make(map[string]time.Time), told: make(map[string]bool)}
}

// note is told in each sample whether a task waits although it could run.
func (g *gaps) note(name string, waits bool, format string, args ...any) {
	now := time.Now()
	switch {
	case !waits:
		delete(g.since, name)
	case g.since[name].IsZero():
		g.since[name] = now
	case now.Sub(g.since[name]) > gap && !g.told[name]:
		g.told[name] = true
		g.w.breaks("LOST: "+format, args...)
	}
}

// judgeLasting watches for a while and checks the rule LOST for tasks that last, with when
// each job was accepted: from then, from lastingGrace after the task's last run and from
// calmBefore after the last disturbance on, none may be without a run for the gap while there
// is room for it.
func judgeLasting(w *world, accepted map[string]time.Time, calmSince time.Time, watch time.Duration) {
	g := newGaps(w)
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		now, u := time.Now(), w.usage()
		for task, at := range accepted {
			from := at
			if e := u.lastEnd[task]; !e.IsZero() {
				from = e.Add(lastingGrace)
			}
			if calm := calmSince.Add(calmBefore); calm.After(from) {
				from = calm
			}
			w.mu.Lock()
			cpu := w.demand(task)
			w.mu.Unlock()
			waits := !u.running[task] && now.After(from) && u.hasRoom(cpu)
			g.note(task, waits, "%s is to last and has had nothing running for 3 calm seconds, %.1f s after its job was accepted, with %d of %d cores in use", task, now.Sub(at).Seconds(), u.used/1000, u.room/1000)
		}
	}
}

// judgeTenant watches for a while and checks the rule LOST for one task of each of a tenant's
// jobs whose turn has come: from finish after the end of the traffic on, no job may have
// nothing running for the gap while there is room for the task and the tenant has under half
// of its limit.
func judgeTenant(w *world, tasks []string, tenantJobs []string, limit int, endOfTraffic time.Time, watch time.Duration) {
	g := newGaps(w)
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		u := w.usage()
		if time.Since(endOfTraffic) < finish {
			continue
		}
		held, busy := 0, make(map[string]bool)
		w.mu.Lock()
		for task := range u.running {
			job, _, _ := strings.Cut(task, ".")
			busy[job] = true
			for _, own := range tenantJobs {
				if job == own {
					held += w.demand(task)
				}
			}
		}
		w.mu.Unlock()
		for _, task := range tasks {
			job, _, _ := strings.Cut(task, ".")
			w.mu.Lock()
			cpu := w.demand(task)
			w.mu.Unlock()
			waits := !u.done[task] && !busy[job] && u.hasRoom(cpu) && 2*held < limit
			g.note(task, waits, "job %s has had nothing running for 3 s, %.1f s after the end of the traffic, and %s waits, with %d of %d cores in use and %d of %d by its tenant", job, time.Since(endOfTraffic).Seconds(), task, u.used/1000, u.room/1000, held/1000, limit/1000)
		}
	}
}
