package celltest

import (
	"fmt"
	"slices"
	"sync"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// RunRecorder records the runs of tasks on several workers and detects violations
// of invariants, such as a task that runs on two workers at the same time.
type RunRecorder struct {
	mu sync.Mutex
	// running contains the worker of each task that runs.
	running map[string]string
	done    map[string]bool
	starts  map[string]int
	// violations contains a description of each violation.
	violations []string
	// forbidden contains the tasks that must not start any more.
	forbidden map[string]bool
}

// NewRunRecorder returns a RunRecorder without records.
func NewRunRecorder() *RunRecorder {
	return &RunRecorder{running: make(map[string]string), done: make(map[string]bool), starts: make(map[string]int), forbidden: make(map[string]bool)}
}

// Violations returns a description of each violation so far.
func (r *RunRecorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// Starts returns the number of times that a task was started.
func (r *RunRecorder) Starts(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task]
}

// ForbidStart makes every later start of a task a violation.
func (r *RunRecorder) ForbidStart(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forbidden[task] = true
}

func (r *RunRecorder) recordStart(task, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	if other, ok := r.running[task]; ok {
		r.violations = append(r.violations, fmt.Sprintf("%s runs on %s and on %s", task, other, worker))
	}
	if r.done[task] {
		r.violations = append(r.violations, task+" started after it was done")
	}
	if r.forbidden[task] {
		r.violations = append(r.violations, task+" started after it was cancelled")
	}
	r.running[task] = worker
}

func (r *RunRecorder) recordEnd(task string, kind cell.EndKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, task)
	if kind == cell.EndDone {
		r.done[task] = true
	}
}

func (r *RunRecorder) forgetCompletion(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.done, task)
}

func (r *RunRecorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}
