// Package cell holds the objects of the world in which jobs run: queues,
// services, workers, and what workers say about the tasks on them.
package cell

import (
	"strings"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// PolicyService says how the policy service of a queue answers.
type PolicyService struct {
	// DecisionTime is the time that a call takes beside TimePerWorker.
	DecisionTime time.Duration
	// TimePerWorker is added for each worker that a call names.
	TimePerWorker time.Duration
	// TicketLifetime is how long a ticket can be used.
	TicketLifetime time.Duration
}

// Queue takes the jobs of one kind of work.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	// Priority is 0 for the most urgent work.
	Priority    int
	MaxAttempts int
	// Stretch and TargetLatency give the latency objective: Stretch times the longest
	// chain of work, and TargetLatency more.
	Stretch       float64
	TargetLatency time.Duration
	// Timeout bounds the answer to a caller.
	Timeout time.Duration
	// Policy is nil for a queue whose tasks may run on any worker.
	Policy *PolicyService
}

// Service is a pool of workers.
type Service struct {
	Name string
	// RejectsOverload says that its workers reject a start that does not fit.
	RejectsOverload bool
	// Standby pools have their workers switched off.
	Standby bool
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	// MaxBodyBytes bounds a caller's request body; 0 means no bound.
	MaxBodyBytes int
}

// Match returns the queue of a caller's request: that of its host with the
// longest path prefix. It returns nil if there is none.
func (c *Configuration) Match(host, path string) *Queue {
	var best *Queue
	for n := range c.Queues {
		q := &c.Queues[n]
		if q.Host == host && strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}

// Queue returns the queue of that name, or nil.
func (c *Configuration) Queue(name string) *Queue {
	for n := range c.Queues {
		if c.Queues[n].Name == name {
			return &c.Queues[n]
		}
	}
	return nil
}

// WorkerEntry is what a worker says of itself in the registry.
type WorkerEntry struct {
	ID      string
	Service string
	// Address is an IP address and port.
	Address       string
	FailureDomain string
	// Machine stays when the worker is replaced by another one on it.
	Machine string
	// Incarnation is the Unix millisecond of the worker's start.
	Incarnation int64
	Draining    bool
	Capacity    worker.Resources
	Labels      []string
}

// Rack returns the label that names the worker's rack, empty if it has none.
// A worker lists its kind first and its rack last.
func (e *WorkerEntry) Rack() string {
	if len(e.Labels) < 2 {
		return ""
	}
	return e.Labels[len(e.Labels)-1]
}

// HasLabel tells whether the worker carries label.
func (e *WorkerEntry) HasLabel(label string) bool {
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// StartRequest orders a worker to run a task.
type StartRequest struct {
	Task string
	// Run numbers the starts of the task from 1.
	Run     int
	Payload string
	// LeaseUntilMS is the end of the worker's lease on its own clock.
	LeaseUntilMS int64
	// Fence is the fencing token: the epoch of the scheduler.
	Fence int64
	// Checkpoint is empty for a run from the beginning.
	Checkpoint string
	// Ticket is the approval of the queue's policy service, empty without one.
	Ticket string
}

// RejectReason is why a worker did not carry out an order.
type RejectReason string

// Reasons for which a worker rejects a start.
const (
	// RejectedFence means that the worker has seen a higher fencing token.
	RejectedFence RejectReason = "fence"
	// RejectedStaleRun means that this run, or a later one, has ended or was stopped.
	RejectedStaleRun RejectReason = "old"
	// RejectedExpired means that the order's lease has expired.
	RejectedExpired RejectReason = "late"
	// RejectedCapacity means that the task does not fit.
	RejectedCapacity RejectReason = "room"
	// RejectedTicket means that the approval is missing or has expired.
	RejectedTicket RejectReason = "ticket"
	// RejectedInvalid means that the worker did not accept the order's form.
	RejectedInvalid RejectReason = "invalid"
	// RejectedUnhealthy means that the worker takes no work for now.
	RejectedUnhealthy RejectReason = "unhealthy"
	// RejectedIncarnation means that another worker runs at the address.
	RejectedIncarnation RejectReason = "incarnation"
)

// RejectedError is a worker's definite refusal: the order was not carried out.
type RejectedError struct {
	Reason RejectReason
	// ClockMS is the worker's clock, 0 if it was not in the reply.
	ClockMS int64
}

// Error implements error.
func (e *RejectedError) Error() string { return "worker rejected the order: " + string(e.Reason) }

// HoldRequest renews a worker's lease and asks what runs there.
type HoldRequest struct {
	Fence int64
	// AckCursor acknowledges all ends up to this number.
	AckCursor int64
	// LeaseUntilMS extends the lease, on the worker's clock; 0 leaves it.
	LeaseUntilMS int64
	// Wait is how long the worker may wait for an end; at most 2 s.
	Wait time.Duration
}

// RunningTask is one entry of a worker's list of what runs.
type RunningTask struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the progress; 100 for a long-running task that is at work.
	Percent int
	// Load is the tail latency in milliseconds of a task that serves, and the
	// processor use in thousandths of a core of any other.
	Load int64
}

// EndKind says how a run ended.
type EndKind string

// Kinds of ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the worker's lease expired.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not come in time.
	EndGangIncomplete EndKind = "alone"
)

// EndedTask is one entry of a worker's list of ends.
type EndedTask struct {
	// Sequence counts the ends of one incarnation from 1.
	Sequence   int64
	Task       string
	Run        int
	Kind       EndKind
	Checkpoint string
}

// HoldReply is a worker's reply to a HoldRequest.
type HoldReply struct {
	ClockMS     int64
	Incarnation int64
	Running     []RunningTask
	Ended       []EndedTask
}

// Approval is a policy service's permission to run a step on a worker.
type Approval struct {
	Worker string
	Ticket string
}
