package celltest

import (
	"fmt"
	"slices"
	"sync"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// RunRecorder notes what several workers have run, and what must not happen.
type RunRecorder struct {
	mu      sync.Mutex
	running map[string]string
	done    map[string]bool
	starts  map[string]int
	// violations describes each promise that was broken.
	violations []string
	stopped    map[string]bool
}

// NewRunRecorder returns an empty recorder.
func NewRunRecorder() *RunRecorder {
	return &RunRecorder{running: make(map[string]string), done: make(map[string]bool), starts: make(map[string]int), stopped: make(map[string]bool)}
}

// Violations returns what has gone wrong.
func (l *RunRecorder) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Starts returns how often a task was started.
func (l *RunRecorder) Starts(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[task]
}

// ForbidStart makes any later start of a task a violation.
func (l *RunRecorder) ForbidStart(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped[task] = true
}

func (l *RunRecorder) start(task, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[task]++
	if other, ok := l.running[task]; ok {
		l.violations = append(l.violations, fmt.Sprintf("%s runs on %s and on %s", task, other, worker))
	}
	if l.done[task] {
		l.violations = append(l.violations, task+" started after it was done")
	}
	if l.stopped[task] {
		l.violations = append(l.violations, task+" started though it was cancelled")
	}
	l.running[task] = worker
}

func (l *RunRecorder) end(task string, kind cell.EndKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, task)
	if kind == cell.EndDone {
		l.done[task] = true
	}
}

func (l *RunRecorder) forget(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.done, task)
}

func (l *RunRecorder) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}
