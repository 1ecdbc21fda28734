package celltest

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// RunRecorder records the runs of tasks on several workers and detects violations
// of invariants, such as a task that runs on two workers at the same time.
type RunRecorder struct {
	mu sync.Mutex
	// Copies reports whether two runs of a task may be at work at one time on different
	// workers, and whether a start may follow within lateStart of the acknowledgement
	// that the task is done. It may be nil and must be set before the first start.
	Copies func(task string) bool
	// running contains the workers of each task that runs.
	running map[string][]string
	done    map[string]bool
	starts  map[string]int
	// acknowledged is when the scheduler acknowledged that a task is done.
	acknowledged map[string]time.Time
	// overlaps counts the starts beside another run of the same task.
	overlaps int
	// violations contains a description of each violation.
	violations []string
	// forbidden contains the tasks that must not start any more.
	forbidden map[string]bool
}

// NewRunRecorder returns a RunRecorder without records.
func NewRunRecorder() *RunRecorder {
	return &RunRecorder{running: make(map[string][]string), acknowledged: make(map[string]time.Time), done: make(map[string]bool), starts: make(map[string]int), forbidden: make(map[string]bool)}
}

// lateStart is how long after the acknowledgement that a task is done another run of it
// may still start, if it may have copies.
const lateStart = time.Second

// maxRuns is how many runs of a task that may have copies may be at work at one time.
const maxRuns = 2

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

// Overlaps returns how many runs were started beside another run of the same task.
func (r *RunRecorder) Overlaps() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overlaps
}

// ForbidStart makes every later start of a task a violation.
func (r *RunRecorder) ForbidStart(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forbidden[task] = true
}

// recordStart records a start. late is set if its request was delayed: rules with a time
// bound do not apply to it.
func (r *RunRecorder) recordStart(task, worker string, late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	copies := r.Copies != nil && r.Copies(task)
	others := r.running[task]
	if len(others) > 0 && (!copies || len(others) >= maxRuns || slices.Contains(others, worker)) {
		r.violations = append(r.violations, fmt.Sprintf("%s runs on %v and on %s", task, others, worker))
	}
	if len(others) > 0 {
		r.overlaps++
	}
	if r.done[task] && !copies {
		r.violations = append(r.violations, task+" started after it was done")
	}
	if at, ok := r.acknowledged[task]; ok && copies && !late && time.Since(at) > lateStart {
		r.violations = append(r.violations, fmt.Sprintf("%s started %s after it was noted as done", task, time.Since(at)))
	}
	if r.forbidden[task] {
		r.violations = append(r.violations, task+" started after it was cancelled")
	}
	r.running[task] = append(others, worker)
}

func (r *RunRecorder) recordEnd(task, worker string, kind cell.EndKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[task] = slices.DeleteFunc(r.running[task], func(id string) bool { return id == worker })
	if kind == cell.EndDone {
		r.done[task] = true
	}
}

// recordAcknowledged records that the scheduler has acknowledged that a task is done.
func (r *RunRecorder) recordAcknowledged(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acknowledged[task].IsZero() {
		r.acknowledged[task] = time.Now()
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
