package api

import (
	"fmt"
	"math/rand/v2"

	"github.com/pkg/errors"
)

// Bounds of a job.
const (
	// MaxPayloadBytes bounds a job's payload; it is the longest text that
	// workers accept with a start.
	MaxPayloadBytes = 4000
	// MaxTasks bounds the tasks of all steps of one occurrence. It is ten times
	// what a cell of the design size can run for one job.
	MaxTasks = 20_000
	// MaxOccurrences bounds how often a job's steps run: once a minute for two
	// weeks.
	MaxOccurrences = 20_160
)

// JobState is what a caller sees of a job.
type JobState string

// States of a job.
const (
	// JobQueued means that the job is stored and none of its tasks has begun.
	JobQueued JobState = "queued"
	// JobRunning means that at least one task has begun.
	JobRunning JobState = "running"
	// JobCompleted means that every task has ended successfully.
	JobCompleted JobState = "completed"
	// JobFailed means that a task, or an all-at-once step, has failed as often
	// as its queue allows.
	JobFailed JobState = "failed"
	// JobCancelled means that a caller has cancelled the job.
	JobCancelled JobState = "cancelled"
)

// Terminal tells whether a job in this state will not run again.
func (s JobState) Terminal() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// JobIDDigits is the length of a job's ID, in hexadecimal digits.
const JobIDDigits = 16

// NewJobID returns a random ID for a job.
func NewJobID() string { return fmt.Sprintf("%0*x", JobIDDigits, rand.Uint64()) }

// ErrJob is wrapped by all errors of Job.Validate.
var ErrJob = errors.New("invalid job")

// Job is work of one or more steps. It is stored before it is acknowledged.
type Job struct {
	// Payload is passed to the worker with each start, unchanged.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Occurrences is how often the steps run; 0 means once, at once.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstRunUnixMS is when the first occurrence is due.
	FirstRunUnixMS int64 `json:"first_run_unix_ms,omitempty"`
	// IntervalMS is the time between the due times of two occurrences.
	IntervalMS int64 `json:"interval_ms,omitempty"`
}

// Step is a number of like tasks of a job.
type Step struct {
	Count int `json:"count"`
	// MilliCPU is in thousandths of a processor core, for each task.
	MilliCPU     int64 `json:"milli_cpu,omitempty"`
	MemoryMiB    int64 `json:"memory_mib,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
	// EstimateMS is the submitter's guess of a task's run time.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// DependsOn lists earlier steps that must be done first, counted from 0.
	DependsOn []int `json:"depends_on,omitempty"`
	// Checkpointable says that tasks write checkpoints.
	Checkpointable bool `json:"checkpointable,omitempty"`
	// Gang says that the tasks only run all at once.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that the tasks of a gang run slower on several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// RequiredLabel is a label that the worker must have.
	RequiredLabel string `json:"required_label,omitempty"`
	// PreferredRack is the rack on which the step's data lies.
	PreferredRack string `json:"preferred_rack,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; 0 means
	// no bound.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative allows several copies of a task at one time.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted
	// however they end.
	LongRunning bool `json:"long_running,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetMS is the tail latency below which long-running tasks must stay.
	TargetMS int64 `json:"target_ms,omitempty"`
	// Filler tasks only use the processor time that other tasks leave, so
	// their MilliCPU does not count against a worker's capacity.
	Filler bool `json:"filler,omitempty"`
	// MayMiss bounds the tasks of a long-running step that the system may
	// interrupt at one time; 0 means that there is no such promise.
	MayMiss int `json:"may_miss,omitempty"`
}

// Validate returns an error that wraps ErrJob if the job contradicts itself.
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

// TaskName names a task of a job.
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
