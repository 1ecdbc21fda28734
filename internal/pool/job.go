package pool

import (
	"fmt"
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Job is a stored job and its execution state.
type Job struct {
	id    string
	queue cell.Queue
	// team is the team to which the job belongs, empty if it has none.
	team string
	// beyondRate is set if the team had submitted more jobs than its rate allows when
	// the job was accepted.
	beyondRate bool
	spec       *api.Job
	// accepted is when the job was first stored, by the wall clock.
	accepted  time.Time
	cancelled bool
	// failed is set once a task has used up its attempts or was given up. The job
	// fails once no run is left. failureStored is set once that is stored with the
	// task.
	failed, failureStored bool
	// state is JobQueued until the terminal state is stored, then that state.
	// Pool.State derives what callers see from it and from cancelled, failed
	// and started.
	state api.JobState
	// final is the terminal state once its storage has begun, empty before
	// that.
	final   api.JobState
	endedAt time.Time
	// started is set once a worker is known to have begun a run of the job.
	started bool
	// placedBefore is set if a predecessor has placed a run of the job, which may have
	// begun.
	placedBefore bool
	stored       bool
	occurrences  []*occurrence
	// criticalPaths holds, by step, the estimated run time from the start of
	// the step to the end of the job.
	criticalPaths []time.Duration
	// waiters are called once the job is stored or has failed to be stored.
	waiters []func(error)
	// portion is the part of the job's tasks that this shard runs.
	portion shard.Portion
	// spread is set for a job of this shard whose other portions other shards run.
	spread bool
	// portionFailed is set once a portion of another shard has failed.
	portionFailed bool
	// cancelsSent is set once the other shards are told to cancel their portions, and
	// openPortions counts those that have not stored that yet.
	cancelsSent  bool
	openPortions int
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number    int
	due       time.Time
	steps     []*step
	doneSteps int
}

// step is one step in one occurrence, with its identical tasks.
type step struct {
	job        *Job
	occurrence *occurrence
	index      int
	spec       *api.Step
	tasks      []*task
	doneTasks  int
	// readyAt is when the scheduler first saw all dependencies done; zero
	// before that.
	readyAt time.Time
	// lostSince is since when tasks of a long-running step wait to run again; zero before that.
	lostSince time.Time
	// triedAt is when a pass last tried to place tasks of the step.
	triedAt time.Time
	// gangFailures counts the failed runs of a gang.
	gangFailures int
	// lastFailedRun is the number of the gang's last failed run.
	lastFailedRun int
	// failedRuns holds the numbers of the failed runs of a gang.
	failedRuns []int
	// completeRun is the number of the gang's last run of which all members have begun.
	completeRun int
	// runTimes holds the run times of the tasks that are done, shortest first.
	runTimes []time.Duration
	advice   advice
	times    stepTimes
	// rackWait is nil while no task waits for a rack.
	rackWait *rackWait
	// rackDemandNoted is set once the step counts in the demand for its rack.
	rackDemandNoted bool
	// original is the step of which this one is a copy for an explanation, nil for
	// any other step.
	original *step
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	// lastRun is the number of the last run.
	lastRun    int
	currentRun *run
	// copyRun is the second run of a speculative task, set only beside currentRun.
	copyRun  *run
	failures int
	// failedRuns holds the numbers of the failed runs, except those of gangs and of
	// long-running tasks.
	failedRuns []int
	checkpoint string
	done       bool
	// started is set once a worker is known to have begun a run of the task.
	started bool
	// evictions counts how often the task was stopped to free capacity for more
	// urgent work.
	evictions int
	// lastFailedWorker is the ID of the worker on which the task last failed.
	lastFailedWorker string
	// crashes counts the workers whose processes ended while they ran the task, and
	// possibleCrashes those that may have run it.
	crashes, possibleCrashes int
	// suspect is set while the task may be the cause of such a crash.
	suspect bool
	// suspectSince is when the last crash under a suspect was noticed, or when this
	// scheduler has read the task's record.
	suspectSince time.Time
	// givenUp is set once such crashes are attributed to the task.
	givenUp bool
}

type runState int

const (
	// runPlanned: the placement is being stored, or is stored and no start
	// request has been sent yet.
	runPlanned runState = iota
	// runStartSent: the start request is in flight or its outcome is unknown.
	runStartSent
	// runInherited: a predecessor placed the run; the worker has not listed it
	// to this scheduler yet.
	runInherited
	// runActive: the worker has accepted the run.
	runActive
	// runStopAccepted: the worker has accepted a stop request, or has rejected
	// the start request because the run has ended or was stopped there. The end
	// is not listed yet.
	runStopAccepted
)

// run is one start of a task on a worker. It holds its capacity until the
// worker can no longer be running it.
type run struct {
	task      *task
	number    int
	node      *node
	resources worker.Resources
	state     runState
	// address is the only address to which start requests for the run are sent, empty for
	// a run of a predecessor that did not store it.
	address string
	// incarnation is the process of the worker that the start requests are meant for.
	incarnation int64
	// acknowledgedAt is the reading of the boot clock at which the worker
	// accepted the run or a stop, rejected the start as stale, or first listed
	// the run. If a hold call was sent after that and its reply does not list
	// the run, the run is not on the worker.
	acknowledgedAt time.Duration
	// listed is set once the worker has listed the run as running.
	listed bool
	// processConfirmed is set once a reply to a start request has shown that the process
	// that the scheduler knew when it sent the request has carried it out.
	processConfirmed bool
	// settled is set once the run is known to be on the process of its worker that has last
	// replied, and that process to have a usual lease. It is stored for long-running runs.
	settled bool
	// checkpoint is where the run resumes, and later the last checkpoint that
	// it has reported.
	checkpoint string
	ticket     ticket
	// rejectedAsStale is set if the worker rejected the start because the run had ended or
	// had been stopped there.
	rejectedAsStale bool
	// maybeDelivered is set once a start request may have reached the worker.
	maybeDelivered bool
	// unansweredAt is when a start request was last not answered.
	unansweredAt time.Time
	// storedAt is when the placement was stored; zero if a predecessor placed it.
	storedAt         time.Time
	startSentAt      time.Time
	startedAt        time.Time
	percent          int
	percentChangedAt time.Time
	// reportedLoad is the tail latency in milliseconds of a long-running task
	// that serves, or the processor use in thousandths of a core of any other
	// task.
	reportedLoad  int64
	pace          int
	paceSent      int
	paceChangedAt time.Time
	stopping      bool
	stopReason    string
	// begun is set once the worker has accepted the run or listed it.
	begun bool
	// probe is set while the run keeps other starts away from its worker.
	probe bool
	// processEnd is set once the process that the run was on has ended.
	processEnd *processEnd
	// isCopy is set if the run was started as a copy, and copyCost is what the budget
	// of copies was charged for it, in core seconds.
	isCopy   bool
	copyCost float64
	// sendingStop is set while stop requests for the run are being sent.
	sendingStop bool
}

func newJob(id string, queue cell.Queue, team string, spec *api.Job, accepted time.Time) *Job {
	return &Job{id: id, queue: queue, team: team, spec: spec, accepted: accepted, state: api.JobQueued}
}

// newShardJob returns a job with the portion that this shard runs. A whole job belongs
// to the shard, which may have to spread it.
func (p *Pool) newShardJob(id string, queue cell.Queue, team string, spec *api.Job, accepted time.Time, portion shard.Portion) *Job {
	j := newJob(id, queue, team, spec, accepted)
	j.portion = portion
	if portion.Whole() && p.spreads(spec) {
		j.spread, j.portion = true, p.opts.Shard.PortionOf(p.opts.Shard.Index)
	}
	return j
}

func (j *Job) occurrenceCount() int { return max(j.spec.Occurrences, 1) }

func (j *Job) recurring() bool { return j.spec.Occurrences > 0 }

// dueAt returns when occurrence k is due.
func (j *Job) dueAt(k int) time.Time {
	if !j.recurring() {
		return j.accepted
	}
	return time.UnixMilli(j.spec.FirstRunUnixMS + int64(k)*j.spec.IntervalMS)
}

// occurrence returns occurrence k. It creates all occurrences up to k.
func (j *Job) occurrence(k int) *occurrence {
	for len(j.occurrences) <= k {
		n := len(j.occurrences)
		o := &occurrence{number: n, due: j.dueAt(n)}
		for index := range j.spec.Steps {
			s := &step{job: j, occurrence: o, index: index, spec: &j.spec.Steps[index]}
			for i := range s.spec.Count {
				if j.portion.Includes(i) {
					s.tasks = append(s.tasks, &task{step: s, index: i})
				}
			}
			o.steps = append(o.steps, s)
		}
		j.occurrences = append(j.occurrences, o)
	}
	return j.occurrences[k]
}

// allTasksDone reports whether every task of every occurrence has ended
// successfully.
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

// mayHaveStarted reports whether a worker has, or may have, begun a run of the job.
func (j *Job) mayHaveStarted() bool { return j.started || j.placedBefore }

// active reports whether tasks of the job may still be started.
func (j *Job) active() bool { return !j.cancelled && !j.failed && j.final == "" && !j.state.Terminal() }

// done reports whether all tasks of the step have ended successfully.
func (s *step) done() bool { return s.doneTasks == len(s.tasks) }

// markDone marks a task as successfully ended and returns the tasks that were not
// done before. The end of one gang member counts for the whole gang.
func (s *step) markDone(t *task) []*task {
	members := []*task{t}
	if s.spec.Gang {
		members = s.tasks
	}
	var changed []*task
	for _, m := range members {
		if !m.done {
			m.done = true
			changed = append(changed, m)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	s.doneTasks += len(changed)
	if s.done() {
		s.occurrence.doneSteps++
	}
	return changed
}

// dependenciesDone reports whether the steps on which s depends are done.
func (s *step) dependenciesDone() bool {
	for _, d := range s.spec.DependsOn {
		if !s.occurrence.steps[d].done() {
			return false
		}
	}
	return true
}

func (s *step) name() string {
	return fmt.Sprintf("%s.%d.%d", s.job.id, s.occurrence.number, s.index)
}

// unplacedTasks returns the tasks that are neither done nor assigned to a
// worker.
func (s *step) unplacedTasks() []*task {
	var unplaced []*task
	for _, t := range s.tasks {
		if !t.done && t.currentRun == nil {
			unplaced = append(unplaced, t)
		}
	}
	return unplaced
}

// hasUnplacedTask reports whether any task is neither done nor assigned to a
// worker.
func (s *step) hasUnplacedTask() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.done && t.currentRun == nil })
}

// need returns the resources that a task reserves on a worker. Fillers reserve
// no processor time.
func (s *step) need() worker.Resources {
	r := worker.Resources{MilliCPU: s.spec.MilliCPU, MemoryMiB: s.spec.MemoryMiB, Accelerators: s.spec.Accelerators}
	if s.spec.Filler {
		r.MilliCPU = 0
	}
	return r
}

// exhausted reports whether the task has failed as often as its queue allows, or
// crashes its workers.
func (t *task) exhausted() bool {
	if t.givenUp {
		return true
	}
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

// nextRun returns the number for the next start. All members of a gang share
// it.
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
