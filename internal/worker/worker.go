// Package worker defines the workers, the machines that run tasks: their
// resources, the lease under which one entry host starts tasks on them, and the
// interface through which an entry host calls them.
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

// Fits reports whether r fits into o, that is, r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// Max returns the larger of r and o in every dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMiB, o.MemoryMiB), max(r.Accelerators, o.Accelerators)}
}

// Capacity is the maximum that a worker can run at one time.
type Capacity struct {
	Resources
	// Slots is the maximum number of running tasks.
	Slots int `json:"slots"`
	// Connections is the maximum number of TCP connections that the worker
	// accepts.
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

// TaskID identifies one placement of one member of a request. Its format is
// "<request ID>#<member>.<task number>"; see schedule.Job.TaskNumber. A start with
// the same ID is sent again only when it is certain that no earlier start with it
// has begun a task or will.
type TaskID string

// TaskState is a worker's view of a task.
type TaskState string

const (
	// TaskRunning means that the task occupies a slot.
	TaskRunning TaskState = "running"
	// TaskEnded means that the task ended by itself. Its answer is known unless
	// the worker's retention time for answers has passed.
	TaskEnded TaskState = "ended"
	// TaskStopped means that the task began, but was stopped or its lease expired
	// before it ended.
	TaskStopped TaskState = "stopped"
	// TaskFenced means that the task has not begun on this incarnation of the
	// worker and that any later start of it will be rejected.
	TaskFenced TaskState = "fenced"
	// TaskUnknown means that the worker does not know the state: it has restarted
	// since the task was sent, or it has not received the task and the query did
	// not set Fence.
	TaskUnknown TaskState = "unknown"
)

// Answer is what a task returned.
type Answer struct {
	Task TaskID `json:"task"`
	// Failed is set when the task ran and returned an error; Body then holds
	// the error's text.
	Failed bool   `json:"failed"`
	Body   []byte `json:"body"`
	// Length is the number of bytes in Body when the task wrote it.
	Length int `json:"length"`
	// Checksum is the CRC-32C (Castagnoli) of Body when the task wrote it.
	Checksum uint32 `json:"checksum"`
}

// Task is a worker's description of one task.
type Task struct {
	ID        TaskID    `json:"id"`
	State     TaskState `json:"state"`
	Team      string    `json:"team"`
	Service   string    `json:"service"`
	Resources Resources `json:"resources"`
	// LeaseRemaining is the time until the task's lease expires and the worker
	// stops the task.
	LeaseRemaining time.Duration `json:"lease_remaining_ns"`
	// Answer is set for an ended task while the worker retains it, which is 60 s
	// at least.
	Answer *Answer `json:"answer,omitempty"`
}

// HoldRequest requests the worker lease.
type HoldRequest struct {
	Holder string        `json:"holder"`
	TTL    time.Duration `json:"ttl_ns"`
}

// HoldReply grants the worker lease.
type HoldReply struct {
	// Epoch increases with each grant to a new holder, also across restarts of
	// the worker, whose first epoch is its start time in milliseconds.
	Epoch       uint64   `json:"epoch"`
	Incarnation string   `json:"incarnation"`
	Capacity    Capacity `json:"capacity"`
	// Tasks lists the running tasks and the ended ones that the worker still
	// retains.
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

// RenewReply reports the tasks that have ended and the worker's resource usage.
type RenewReply struct {
	// Ended lists the tasks of the request that do not run.
	Ended []Task `json:"ended"`
	// Usage is the worker's latest measurement, which may be seconds old.
	Usage Usage `json:"usage"`
}

// ReleaseRequest releases the worker lease to Successor. The worker's tasks
// continue under their own leases.
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
	// LeaseEnd is the absolute time at which the task lease expires. The worker
	// does not start the task after it, and stops the task when it is reached.
	LeaseEnd time.Time `json:"lease_end"`
	// Wait makes the worker reply when the task has ended. Otherwise the worker
	// replies as soon as the task runs.
	Wait bool   `json:"wait"`
	Body []byte `json:"body"`
}

// StartReply is the reply to StartRequest. Answer is set if Wait was set.
type StartReply struct {
	State  TaskState `json:"state"`
	Answer *Answer   `json:"answer,omitempty"`
}

// StatusRequest queries the state of a task.
type StatusRequest struct {
	Task TaskID `json:"task"`
	// Incarnation is the incarnation of the worker that the task was sent to.
	// If the worker has restarted since, it replies TaskUnknown.
	Incarnation string `json:"incarnation"`
	// Fence makes the worker reject any later start of the task if it has not
	// received the task yet.
	Fence bool `json:"fence"`
}

// Usage is a measurement of the resources that the tasks of a worker use.
type Usage struct {
	// MeasuredAt is the time of the measurement by the worker's clock.
	MeasuredAt time.Time            `json:"measured_at"`
	Tasks      map[TaskID]Resources `json:"tasks"`
}

// Worker is a client of one worker. All methods may be called concurrently.
//
// A method returns ErrNotDelivered only if the call certainly had no effect,
// ErrNoReply if it may have had an effect, or one of the other errors of this
// package if the worker rejected the call.
type Worker interface {
	// Hold requests the worker lease. It returns *HeldError while another
	// holder's lease is valid and has not been released to the requesting host.
	Hold(ctx context.Context, req HoldRequest) (HoldReply, error)
	// Renew extends the worker lease and the leases of tasks. It returns
	// ErrStaleEpoch if the worker lease has been granted to another holder, or
	// has expired and been granted again.
	Renew(ctx context.Context, req RenewRequest) (RenewReply, error)
	// Release releases the worker lease. It is idempotent.
	Release(ctx context.Context, req ReleaseRequest) error
	// Start starts a task. It returns ErrStaleEpoch, ErrFenced (also if LeaseEnd
	// has passed) or ErrDuplicateTask if this call did not start the task.
	Start(ctx context.Context, req StartRequest) (StartReply, error)
	// Status returns the state of a task and can fence it. Any entry host may
	// call it.
	Status(ctx context.Context, req StatusRequest) (Task, error)
	// Stop stops a running task, or fences one that has not begun. It is
	// idempotent and returns the resulting state.
	Stop(ctx context.Context, task TaskID) (TaskState, error)
	// Checkpoint saves a running task's progress.
	Checkpoint(ctx context.Context, task TaskID) error
	// Throttle limits a running task to limit.
	Throttle(ctx context.Context, task TaskID, limit Resources) error
	// Usage returns the latest measurement.
	Usage(ctx context.Context) (Usage, error)
}
