// Package worker models the machines that run tasks: what they carry, the
// lease under which one entry host starts tasks on them, and the interface
// through which an entry host reaches them.
package worker

import (
	"context"
	"time"
)

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	// MilliCPU is in thousandths of a processor core.
	MilliCPU int64 `json:"milli_cpu"`
	// MemoryMiB is in mebibytes.
	MemoryMiB int64 `json:"memory_mib"`
	// Accelerators counts whole devices.
	Accelerators int64 `json:"accelerators"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o. The result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// Max returns the larger of r and o in every dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMiB, o.MemoryMiB), max(r.Accelerators, o.Accelerators)}
}

// Capacity is all that a worker carries at one time.
type Capacity struct {
	Resources
	// Slots bounds the number of tasks that run at one time.
	Slots int `json:"slots"`
	// Connections bounds the TCP connections that the worker accepts.
	Connections int `json:"connections"`
}

// Info describes a worker. It comes from the platform's host list.
type Info struct {
	Name string `json:"name"`
	// Address is the worker's IP address and port.
	Address       string   `json:"address"`
	Region        string   `json:"region"`
	FailureDomain string   `json:"failure_domain"`
	Rack          string   `json:"rack"`
	Capacity      Capacity `json:"capacity"`
	// Incarnation changes each time the worker restarts.
	Incarnation string `json:"incarnation"`
}

// TaskID names one attempt to run one member of a request. It is unique over
// all workers and all time: "<request ID>#<member>.<attempt>".
type TaskID string

// TaskState is a worker's view of a task.
type TaskState string

const (
	// TaskRunning means that the task occupies a slot.
	TaskRunning TaskState = "running"
	// TaskEnded means that the task ended and its answer is known or was kept
	// for as long as the worker keeps answers.
	TaskEnded TaskState = "ended"
	// TaskStopped means that the task began and was stopped or that its lease
	// expired before it ended.
	TaskStopped TaskState = "stopped"
	// TaskFenced means that the task has not begun on this incarnation of the
	// worker and that any later start of it will be rejected.
	TaskFenced TaskState = "fenced"
	// TaskUnknown means that the worker cannot tell: it restarted since, or
	// was asked without a fence about a task that it has not seen.
	TaskUnknown TaskState = "unknown"
)

// Answer is what a task returned.
type Answer struct {
	Task TaskID `json:"task"`
	// Failed is set when the task ran and returned an error; Body then holds
	// the error's text.
	Failed bool   `json:"failed"`
	Body   []byte `json:"body"`
	// Length is the length of Body in bytes as the task wrote it.
	Length int `json:"length"`
	// Checksum is the CRC-32C (Castagnoli) of Body as the task wrote it.
	Checksum uint32 `json:"checksum"`
}

// Task is a worker's description of one task.
type Task struct {
	ID        TaskID    `json:"id"`
	State     TaskState `json:"state"`
	Team      string    `json:"team"`
	Service   string    `json:"service"`
	Resources Resources `json:"resources"`
	// LeaseRemaining is the time until the worker stops the task.
	LeaseRemaining time.Duration `json:"lease_remaining_ns"`
	// Answer is set for an ended task while the worker keeps it (at least 60 s).
	Answer *Answer `json:"answer,omitempty"`
}

// HoldRequest asks for the worker lease.
type HoldRequest struct {
	Holder string        `json:"holder"`
	TTL    time.Duration `json:"ttl_ns"`
}

// HoldReply grants the worker lease.
type HoldReply struct {
	// Epoch rises with each grant to a new holder, also over restarts of the
	// worker: a worker starts from its start time in milliseconds.
	Epoch       uint64   `json:"epoch"`
	Incarnation string   `json:"incarnation"`
	Capacity    Capacity `json:"capacity"`
	// Tasks lists the running tasks and the ended ones that are still kept.
	Tasks []Task `json:"tasks"`
}

// RenewRequest extends the worker lease and the leases of the named tasks.
type RenewRequest struct {
	Holder  string        `json:"holder"`
	Epoch   uint64        `json:"epoch"`
	TTL     time.Duration `json:"ttl_ns"`
	Tasks   []TaskID      `json:"tasks"`
	TaskTTL time.Duration `json:"task_ttl_ns"`
}

// RenewReply lists what changed since the last renewal.
type RenewReply struct {
	// Ended lists tasks of the request that no longer run.
	Ended []Task `json:"ended"`
	// Usage is the worker's latest measurement, which lags by seconds.
	Usage Usage `json:"usage"`
}

// ReleaseRequest gives the worker lease up in favour of Successor. The
// worker's tasks go on under the leases that they have.
type ReleaseRequest struct {
	Holder    string `json:"holder"`
	Epoch     uint64 `json:"epoch"`
	Successor string `json:"successor"`
}

// StartRequest starts a task.
type StartRequest struct {
	Epoch     uint64    `json:"epoch"`
	Task      TaskID    `json:"task"`
	Team      string    `json:"team"`
	Service   string    `json:"service"`
	Resources Resources `json:"resources"`
	// LeaseEnd is the absolute end of the task lease. A worker does not start
	// a task after it and stops a running one at it.
	LeaseEnd time.Time `json:"lease_end"`
	// Wait asks the worker to reply when the task has ended. Otherwise it
	// replies as soon as the task runs.
	Wait bool   `json:"wait"`
	Body []byte `json:"body"`
}

// StartReply is the reply to StartRequest. Answer is set when Wait was.
type StartReply struct {
	State  TaskState `json:"state"`
	Answer *Answer   `json:"answer,omitempty"`
}

// StatusRequest asks about a task.
type StatusRequest struct {
	Task TaskID `json:"task"`
	// Incarnation is the incarnation of the worker that the task was sent to.
	// If the worker has restarted since, it replies TaskUnknown.
	Incarnation string `json:"incarnation"`
	// Fence asks the worker to reject any later start of a task that it has
	// not seen.
	Fence bool `json:"fence"`
}

// Usage is a measurement of a worker.
type Usage struct {
	// MeasuredAt is the worker's time of the measurement.
	MeasuredAt time.Time            `json:"measured_at"`
	Tasks      map[TaskID]Resources `json:"tasks"`
}

// Worker reaches one worker. All methods may be called concurrently.
//
// A method returns ErrNotDelivered only if the worker certainly did not act,
// ErrNoReply if it may have acted, or one of the other errors of this package
// if the worker refused.
type Worker interface {
	// Hold asks for the worker lease. It returns *HeldError while another
	// holder's lease is valid and was not released to the asking one.
	Hold(ctx context.Context, req HoldRequest) (HoldReply, error)
	// Renew extends leases. It returns ErrStaleEpoch if the lease has gone to
	// another holder or has expired and been granted anew.
	Renew(ctx context.Context, req RenewRequest) (RenewReply, error)
	// Release gives the worker lease up. It is idempotent.
	Release(ctx context.Context, req ReleaseRequest) error
	// Start starts a task. It returns ErrStaleEpoch, ErrFenced (also for an
	// expired LeaseEnd) or ErrDuplicateTask, all without starting it.
	Start(ctx context.Context, req StartRequest) (StartReply, error)
	// Status tells about a task and can fence it. Any entry host may ask.
	Status(ctx context.Context, req StatusRequest) (Task, error)
	// Stop stops a running task and fences one that has not begun. It is
	// idempotent and returns the state after it.
	Stop(ctx context.Context, task TaskID) (TaskState, error)
	// Checkpoint saves a running task's progress.
	Checkpoint(ctx context.Context, task TaskID) error
	// Throttle limits a running task to limit.
	Throttle(ctx context.Context, task TaskID, limit Resources) error
	// Usage returns the latest measurement.
	Usage(ctx context.Context) (Usage, error)
}
