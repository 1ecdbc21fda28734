package pool

import (
	"fmt"
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Job is a stored job.
type Job struct {
	id    string
	queue cell.Queue
	spec  *api.Job
	// accepted is when the job was first stored, by the wall clock.
	accepted  time.Time
	cancelled bool
	// failed is set once a task has used up its attempts.
	failed bool
	// state is what callers are told: it is terminal only once that is stored.
	state api.JobState
	// final is the terminal state that is being stored.
	final       api.JobState
	endedAt     time.Time
	started     bool
	stored      bool
	occurrences []*occurrence
	// criticalPaths has the estimated run time from each step to the end.
	criticalPaths []time.Duration
	// waiters learn when the job is stored.
	waiters []func(error)
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number    int
	due       time.Time
	steps     []*step
	doneSteps int
}

// step is the like tasks of one step in one occurrence.
type step struct {
	job        *Job
	occurrence *occurrence
	index      int
	spec       *api.Step
	tasks      []*task
	doneTasks  int
	// readyAt is when the steps before were done; zero before that.
	readyAt time.Time
	// gangFailures counts the failed runs of a gang.
	gangFailures int
	// lastFailedRun is the number of the gang's last failed run.
	lastFailedRun int
	advice        advice
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	// lastRun is the number of the last run.
	lastRun    int
	currentRun *run
	failures   int
	checkpoint string
	done       bool
	// evictions is how often the task was stopped to make room.
	evictions int
	// lastFailedWorker is the ID of the worker on which the task failed last.
	lastFailedWorker string
}

type runState int

const (
	// runPlanned: the placement is being stored.
	runPlanned runState = iota
	// runOrdered: the start is on its way or its outcome is unknown.
	runOrdered
	// runUnconfirmed: an earlier scheduler has ordered it.
	runUnconfirmed
	// runActive: the worker has accepted it.
	runActive
	// runRevoked: a stop was accepted; the end is not listed yet.
	runRevoked
)

// run is one start of a task on a worker. It holds its capacity until the
// worker can no longer be running it.
type run struct {
	task      *task
	number    int
	node      *node
	resources worker.Resources
	state     runState
	// acknowledgedAt is the boot time from which a list of the worker that lacks the
	// run shows that it is not there.
	acknowledgedAt time.Duration
	checkpoint     string
	ticket         ticket
	// maybeDelivered is set once a start may have reached the worker.
	maybeDelivered   bool
	startSentAt      time.Time
	startedAt        time.Time
	percent          int
	percentChangedAt time.Time
	load             int64
	pace             int
	paceSent         int
	paceChangedAt    time.Time
	stopping         bool
	stopReason       string
	// revoking is set while the worker is asked to stop the run.
	revoking bool
}

func newJob(id string, queue cell.Queue, spec *api.Job, accepted time.Time) *Job {
	return &Job{id: id, queue: queue, spec: spec, accepted: accepted, state: api.JobQueued}
}

func (j *Job) occurrenceCount() int { return max(j.spec.Occurrences, 1) }

func (j *Job) recurring() bool { return j.spec.Occurrences > 0 }

// dueAt returns when an occurrence is due.
func (j *Job) dueAt(k int) time.Time {
	if !j.recurring() {
		return j.accepted
	}
	return time.UnixMilli(j.spec.FirstRunUnixMS + int64(k)*j.spec.IntervalMS)
}

// occurrence returns occurrence k, which it makes with all before it.
func (j *Job) occurrence(k int) *occurrence {
	for len(j.occurrences) <= k {
		n := len(j.occurrences)
		o := &occurrence{number: n, due: j.dueAt(n)}
		for index := range j.spec.Steps {
			s := &step{job: j, occurrence: o, index: index, spec: &j.spec.Steps[index]}
			for i := range s.spec.Count {
				s.tasks = append(s.tasks, &task{step: s, index: i})
			}
			o.steps = append(o.steps, s)
		}
		j.occurrences = append(j.occurrences, o)
	}
	return j.occurrences[k]
}

// allTasksDone tells whether every task of every occurrence has ended successfully.
func (j *Job) allTasksDone() bool {
	if len(j.occurrences) < j.occurrenceCount() {
		return false
	}
	for _, o := range j.occurrences {
		if o.doneSteps < len(o.steps) {
			return false
		}
	}
	return true
}

// active tells whether tasks of the job may still be started.
func (j *Job) active() bool { return !j.cancelled && !j.failed && j.final == "" && !j.state.Terminal() }

// dependenciesDone tells whether the steps on which s depends are done.
func (s *step) dependenciesDone() bool {
	for _, d := range s.spec.DependsOn {
		if before := s.occurrence.steps[d]; before.doneTasks < len(before.tasks) {
			return false
		}
	}
	return true
}

func (s *step) name() string {
	return fmt.Sprintf("%s.%d.%d", s.job.id, s.occurrence.number, s.index)
}

// unplacedTasks returns the tasks that can be placed.
func (s *step) unplacedTasks() []*task {
	var unplaced []*task
	for _, t := range s.tasks {
		if !t.done && t.currentRun == nil {
			unplaced = append(unplaced, t)
		}
	}
	return unplaced
}

// hasUnplacedTask tells whether any task can be placed.
func (s *step) hasUnplacedTask() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.done && t.currentRun == nil })
}

// need returns what a task takes of a worker's capacity.
func (s *step) need() worker.Resources {
	r := worker.Resources{MilliCPU: s.spec.MilliCPU, MemoryMiB: s.spec.MemoryMiB, Accelerators: s.spec.Accelerators}
	if s.spec.Filler {
		r.MilliCPU = 0
	}
	return r
}

// exhausted tells whether the task has failed as often as its queue allows.
func (t *task) exhausted() bool {
	if t.step.spec.LongRunning {
		return false
	}
	failures := t.failures
	if t.step.spec.Gang {
		failures = t.step.gangFailures
	}
	return failures >= max(t.step.job.queue.MaxAttempts, 1)
}

func (t *task) name() string {
	return api.TaskName{Job: t.step.job.id, Occurrence: t.step.occurrence.number, Step: t.step.index, Index: t.index}.String()
}

// nextRun returns the number for the next start: members of a gang share it.
func (t *task) nextRun() int {
	if !t.step.spec.Gang {
		return t.lastRun + 1
	}
	next := 1
	for _, member := range t.step.tasks {
		next = max(next, member.lastRun+1)
	}
	return next
}
