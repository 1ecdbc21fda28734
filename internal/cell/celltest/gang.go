package celltest

import (
	"sync"
	"time"
)

// Gangs connects the members of gangs that run on several workers: they work only
// while all members of one run are present, and they end together.
type Gangs struct {
	// Size returns how many members the gang of a task has, 0 for a task that
	// belongs to none. Members of one gang have the same step.
	Size func(task string) int
	// Step returns the name of the step of a task.
	Step func(task string) string
	// Timeout is how long a member waits for the others.
	Timeout time.Duration

	mu   sync.Mutex
	runs map[gangRun]*gangState
}

type gangRun struct {
	step string
	run  int
}

type gangState struct {
	members map[string]bool
	// completeAt is when the last member arrived, zero before that.
	completeAt time.Time
	// broken is set once a member has ended without being done.
	broken bool
	// doneAt is when all members end as done, zero while that is unknown.
	doneAt time.Time
}

func (g *Gangs) member(task string) bool { return g != nil && g.Size(task) > 0 }

func (g *Gangs) state(task string, run int) *gangState {
	key := gangRun{g.Step(task), run}
	if g.runs == nil {
		g.runs = make(map[gangRun]*gangState)
	}
	if g.runs[key] == nil {
		g.runs[key] = &gangState{members: make(map[string]bool)}
	}
	return g.runs[key]
}

// join adds a member that works for the given time once all are present.
func (g *Gangs) join(task string, run int, work time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(task, run)
	s.members[task] = true
	if len(s.members) == g.Size(task) && s.completeAt.IsZero() && !s.broken {
		s.completeAt = time.Now()
		s.doneAt = s.completeAt.Add(work)
	}
}

// breakUp ends the gang because a member ended without being done.
func (g *Gangs) breakUp(task string, run int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.state(task, run); s.doneAt.IsZero() || time.Now().Before(s.doneAt) {
		s.broken = true
	}
}

// status returns what becomes of a member that started at startedAt.
func (g *Gangs) status(task string, run int, startedAt time.Time) (done, broken, alone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(task, run)
	switch {
	case s.broken:
		return false, true, false
	case s.completeAt.IsZero():
		return false, false, time.Since(startedAt) > g.Timeout
	}
	return !time.Now().Before(s.doneAt), false, false
}
