package api

import (
	"fmt"
	"math/rand/v2"

	"github.com/pkg/errors"
)

// Bounds of a job.
const (
	// MaxPayloadBytes bounds a job's payload. It is the longest payload that
	// workers accept when a task is started.
	MaxPayloadBytes = 4000
	// MaxTasks bounds the tasks of all steps of one occurrence. It is ten times
	// the number of tasks of one job that a cell of the design size can run.
	MaxTasks = 20_000
	// MaxOccurrences bounds how often a job's steps run. It allows one
	// occurrence a minute for two weeks.
	MaxOccurrences = 20_160
)

// JobState is the state of a job as callers see it.
type JobState string

// States of a job.
const (
	// JobQueued means that the job is stored and none of its tasks has started.
	JobQueued JobState = "queued"
	// JobRunning means that at least one task has started.
	JobRunning JobState = "running"
	// JobCompleted means that every task has ended successfully.
	JobCompleted JobState = "completed"
	// JobFailed means that a task or a gang step has used up the attempts that
	// its queue allows.
	JobFailed JobState = "failed"
	// JobCancelled means that a caller has cancelled the job.
	JobCancelled JobState = "cancelled"
)

// Terminal reports whether a job in this state will not run again.
func (s JobState) Terminal() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// JobIDDigits is the number of hexadecimal digits of a job ID.
const JobIDDigits = 16

// NewJobID returns a random job ID.
func NewJobID() string { return fmt.Sprintf("%0*x", JobIDDigits, rand.Uint64()) }

// ErrJob is wrapped by all errors of Job.Validate.
var ErrJob = errors.New("invalid job")

// Job describes work that consists of one or more steps. An entry host stores a
// job before it acknowledges it.
type Job struct {
	// Payload is passed unchanged to the worker with each start of a task.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Occurrences is how often the steps run; 0 means once, immediately.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstRunUnixMS is when the first occurrence is due.
	FirstRunUnixMS int64 `json:"first_run_unix_ms,omitempty"`
	// IntervalMS is the time between the due times of two occurrences.
	IntervalMS int64 `json:"interval_ms,omitempty"`
}

// Step is a group of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// MilliCPU is the processor demand of each task in thousandths of a core.
	MilliCPU     int64 `json:"milli_cpu,omitempty"`
	MemoryMiB    int64 `json:"memory_mib,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
	// EstimateMS is the submitter's estimate of a task's run time in
	// milliseconds.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// DependsOn lists the indexes of earlier steps that must be done first; the
	// first step has index 0.
	DependsOn []int `json:"depends_on,omitempty"`
	// Checkpointable says that tasks write checkpoints.
	Checkpointable bool `json:"checkpointable,omitempty"`
	// Gang says that the tasks are started together or not at all.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that the tasks of a gang run slower if they are spread over
	// several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// RequiredLabel is a label that the worker must have.
	RequiredLabel string `json:"required_label,omitempty"`
	// PreferredRack is the rack on which the step's data is stored.
	PreferredRack string `json:"preferred_rack,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; 0 means
	// no bound.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative allows several copies of a task to run at the same time.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning says that the tasks run until the job is cancelled and are
	// restarted no matter how they end.
	LongRunning bool `json:"long_running,omitempty"`
	// Image names the program that the tasks run. Tasks with the same image
	// behave alike.
	Image string `json:"image,omitempty"`
	// TargetMS is the tail latency in milliseconds that long-running tasks must
	// stay below.
	TargetMS int64 `json:"target_ms,omitempty"`
	// Filler says that the tasks only use processor time that other tasks leave
	// idle. Their MilliCPU does not count against a worker's capacity.
	Filler bool `json:"filler,omitempty"`
	// MayMiss bounds how many tasks of a long-running step the system may
	// interrupt at the same time; 0 means that there is no such bound.
	MayMiss int `json:"may_miss,omitempty"`
}

// Validate returns an error that wraps ErrJob if a value is out of range or a
// step depends on a later one.
func (j *Job) Validate() error {
	if len(j.Payload) > MaxPayloadBytes {
		return errors.Wrapf(ErrJob, "payload of %d bytes exceeds %d", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) == 0 {
		return errors.Wrap(ErrJob, "no steps")
	}
	if j.Occurrences < 0 || j.IntervalMS < 0 {
		return errors.Wrap(ErrJob, "occurrences and interval must not be negative")
	}
	if j.Occurrences > MaxOccurrences {
		return errors.Wrapf(ErrJob, "%d occurrences exceed %d", j.Occurrences, MaxOccurrences)
	}
	tasks := 0
	for n := range j.Steps {
		if tasks += min(j.Steps[n].Count, MaxTasks+1); tasks > MaxTasks {
			return errors.Wrapf(ErrJob, "more than %d tasks", MaxTasks)
		}
		if err := j.Steps[n].validate(n); err != nil {
			return errors.Wrapf(ErrJob, "step %d: %v", n, err)
		}
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 {
		return errors.Errorf("count is %d", s.Count)
	}
	if s.MilliCPU < 0 || s.MemoryMiB < 0 || s.Accelerators < 0 || s.EstimateMS < 0 || s.MaxPerWorker < 0 || s.MayMiss < 0 {
		return errors.New("an amount is negative")
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= index {
			return errors.Errorf("depends on step %d, which is not an earlier one", d)
		}
	}
	return nil
}

// TaskName identifies a task of a job.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns "<job>.<occurrence>.<step>.<index>".
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}
