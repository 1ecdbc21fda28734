// Package cell defines the data model of the cell in which jobs run: queues,
// services, workers, the requests that are sent to workers, and their replies.
package cell

import (
	"strings"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// PolicyTiming is the timing of the policy service that approves workers for a
// queue's tasks: how long a call takes and how long its tickets are valid.
//
// Its JSON form is part of the job records in the store, so a renamed field keeps
// its stored name in its tag.
type PolicyTiming struct {
	// DecisionTime is the fixed part of the duration of a call.
	DecisionTime time.Duration `json:"Decide"`
	// TimePerWorker is added to it for each worker that the call names.
	TimePerWorker time.Duration `json:"PerWorker"`
	// TicketLifetime is how long a ticket is valid.
	TicketLifetime time.Duration `json:"Valid"`
}

// Queue accepts the jobs of one kind of work and runs them on one service.
//
// Its JSON form is part of the job records in the store, so a renamed field keeps
// its stored name in its tag.
type Queue struct {
	Name string
	// Host and PathPrefix select the requests of callers for this queue; see
	// Configuration.Match.
	Host       string
	PathPrefix string
	// Service is the name of the group of workers that runs the tasks.
	Service string
	// Priority is 0 for the most urgent work; lower numbers are more urgent, unlike
	// in contract.Queue.
	Priority    int
	MaxAttempts int
	// Stretch and TargetLatency define the latency objective of a job: Stretch times
	// the estimated duration of its critical path, the longest chain of dependent
	// steps, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration `json:"Target"`
	// Timeout limits the time until a caller receives a reply.
	Timeout time.Duration
	// Policy is nil for a queue whose tasks may run on any worker.
	Policy *PolicyTiming `json:"Advice"`
	// Public is set if callers need no API key.
	Public bool `json:",omitempty"`
}

// Service is a group of workers on which queues run their tasks.
type Service struct {
	Name string
	// RejectsOverload is set if its workers reject a start that exceeds their
	// capacity.
	RejectsOverload bool
	// Standby is set if its workers are switched off.
	Standby bool
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	// MaxBodyBytes limits the body of a caller's request; 0 means no limit.
	MaxBodyBytes int
	// Teams are the teams by name. Without teams, callers need no API keys and nothing
	// is limited by quotas.
	Teams map[string]Team
	// Keys finds the team of an API key.
	Keys KeyIndex
}

// Match returns the queue for a caller's request: among the queues of its host,
// the one with the longest matching path prefix. It returns nil if there is none.
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

// Queue returns the queue with that name, or nil.
func (c *Configuration) Queue(name string) *Queue {
	for n := range c.Queues {
		if c.Queues[n].Name == name {
			return &c.Queues[n]
		}
	}
	return nil
}

// WorkerEntry is a worker's entry in the registry.
type WorkerEntry struct {
	ID      string
	Service string
	// Address is an IP address and port.
	Address       string
	FailureDomain string
	// Machine identifies the machine. It stays the same when another worker replaces
	// this one there.
	Machine string
	// Incarnation is the worker's start time in Unix milliseconds.
	Incarnation int64
	Draining    bool
	Capacity    worker.Resources
	Labels      []string
}

// Rack returns the label that names the worker's rack, empty if it has none. A
// worker's first label is its kind, and its last label is its rack.
func (e *WorkerEntry) Rack() string {
	if len(e.Labels) < 2 {
		return ""
	}
	return e.Labels[len(e.Labels)-1]
}

// HasLabel reports whether the worker has the label.
func (e *WorkerEntry) HasLabel(label string) bool {
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// StartRequest tells a worker to run a task.
type StartRequest struct {
	Task string
	// Run is the number of this start of the task, counted from 1.
	Run     int
	Payload string
	// LeaseUntilMS is the end of the worker's lease on its own clock.
	LeaseUntilMS int64
	// Fence is the fencing token, which is the epoch of the scheduler.
	Fence int64
	// Checkpoint is where the run resumes, empty for a run from the beginning.
	Checkpoint string
	// Ticket is the approval by the queue's policy service, empty if the queue has
	// none.
	Ticket string
}

// RejectReason is the reason why a worker rejected a request.
type RejectReason string

// Reasons for which a worker rejects a request. Most apply to starts only.
const (
	// RejectedFence means that the worker has seen a higher fencing token.
	RejectedFence RejectReason = "fence"
	// RejectedStaleRun means that this run of the task or a later one has ended or
	// was stopped.
	RejectedStaleRun RejectReason = "old"
	// RejectedExpired means that the lease in the request has expired.
	RejectedExpired RejectReason = "late"
	// RejectedCapacity means that the task exceeds the worker's free capacity.
	RejectedCapacity RejectReason = "room"
	// RejectedTicket means that the ticket is missing or has expired.
	RejectedTicket RejectReason = "ticket"
	// RejectedInvalid means that the request was malformed.
	RejectedInvalid RejectReason = "invalid"
	// RejectedUnhealthy means that the worker does not accept work for now.
	RejectedUnhealthy RejectReason = "unhealthy"
	// RejectedWorkerID means that the worker at the address has another ID.
	RejectedWorkerID RejectReason = "incarnation"
)

// RejectedError means that a worker rejected a request and did not execute it.
type RejectedError struct {
	Reason RejectReason
	// ClockMS is the worker's clock in milliseconds, 0 if the reply did not contain
	// it.
	ClockMS int64
}

// Error implements error.
func (e *RejectedError) Error() string { return "worker rejected the request: " + string(e.Reason) }

// HoldRequest renews the scheduler's lease on a worker and requests the state of
// the tasks there.
type HoldRequest struct {
	// Fence is the fencing token, which is the epoch of the scheduler.
	Fence int64
	// AckCursor acknowledges all ended tasks up to this sequence number.
	AckCursor int64
	// LeaseUntilMS is the new end of the lease on the worker's clock; 0 does not
	// change the lease.
	LeaseUntilMS int64
	// Wait is how long the worker may delay its reply until a task ends, at most 2 s.
	Wait time.Duration
	// SameConnection fails the call with httpcall.ErrConnChanged unless it can use the
	// connection on which the worker has last replied to one. A cursor and a lease are
	// meaningful only to the process that has given its numbers of ends and its clock,
	// and no other one has that connection.
	SameConnection bool
}

// RunningTask is an entry of a worker's list of running tasks.
type RunningTask struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the progress. It is 100 for a long-running task that is operating.
	Percent int
	// Load is the tail latency in milliseconds for a task that serves requests, and
	// the processor use in thousandths of a core for any other task.
	Load int64
}

// EndKind is the way in which a run ended.
type EndKind string

// Values of EndKind.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the worker's lease expired.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in
	// time.
	EndGangIncomplete EndKind = "alone"
)

// EndedTask is an entry of a worker's list of runs that have ended.
type EndedTask struct {
	// Sequence is the number of this entry in the worker's incarnation, counted
	// from 1.
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

// Approval is the permission of a policy service to run a step on a worker.
type Approval struct {
	Worker string
	Ticket string
}
