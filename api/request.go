// Package api defines the types of the HTTP API that laburnumpass offers to
// callers, and a client for it.
package api

// Outcome is the result of a request.
type Outcome string

const (
	// Answered means that the request has run: exactly once, or at least once if
	// it is idempotent. Body is the complete answer, or the task's error if Failed
	// is set; it is empty if BodyDropped is set.
	Answered Outcome = "answered"
	// NotRun means that the request has not run and that the caller's current
	// attempt will not run. With ReasonInvalid or ReasonNotReady this covers only
	// the current attempt; an earlier one with the same ID may have run.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run or may still run. A later query
	// by the request's ID returns the outcome if it has become known; with
	// ReasonBeforeHorizon it may stay unknown.
	Unknown Outcome = "unknown"
)

// Reason says why a request was not run or why its outcome is unknown.
type Reason string

// Reasons of NotRun.
const (
	// ReasonInvalid means that a field is missing, malformed or out of range, or
	// that a request with the same ID but other content is recorded.
	ReasonInvalid Reason = "invalid"
	// ReasonNeverFits means that no worker has the declared resources.
	ReasonNeverFits Reason = "never_fits"
	// ReasonQueueFull means that the queue limit of the profile was reached.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline means that the request would have been queued past its
	// deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonQuota means that the team's quota is used up.
	ReasonQuota Reason = "quota"
	// ReasonCancelled means that the request was cancelled before it started.
	ReasonCancelled Reason = "cancelled"
	// ReasonNotReady means that the entry host does not accept requests yet or
	// no longer accepts them. It is also a reason of Unknown, when the entry host
	// did not ask the record keeper, so that an earlier attempt may have run.
	ReasonNotReady Reason = "not_ready"
	// ReasonWorkerFailed means that the worker refused the task or was lost
	// before the task started.
	ReasonWorkerFailed Reason = "worker_failed"
)

// Reasons of Unknown.
const (
	// ReasonHomeUnreachable means that the home failure domain of the request
	// could not be reached.
	ReasonHomeUnreachable Reason = "home_unreachable"
	// ReasonBeforeHorizon means that the request was created before the time from
	// which the record keeper has complete records, so it may have run.
	ReasonBeforeHorizon Reason = "before_horizon"
	// ReasonNoReply means that a worker or another entry host did not reply, or
	// that a Client got no usable reply from an entry host in time.
	ReasonNoReply Reason = "no_reply"
	// ReasonPending means that the request is still queued or running, or that
	// its record keeper has no record of it and it may still arrive.
	ReasonPending Reason = "pending"
)

// Request is a caller's request to run a task of a service.
type Request struct {
	// ID is "<home failure domain>/<UUID version 7>" or a UUID version 7
	// alone. A retry carries the same ID and the same content.
	ID string `json:"id"`
	// Team is the team whose quota is charged for the request.
	Team string `json:"team"`
	// Service names the service that defines the kind of work.
	Service string `json:"service"`
	// Idempotent allows the system to run the request more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// DeadlineMS is how long the caller waits for an answer, in milliseconds.
	DeadlineMS int `json:"deadline_ms"`
	// Resources are the resources of each member; zero takes those that the
	// service declares.
	Resources Resources `json:"resources,omitzero"`
	// Members is the number of members of a gang, whose tasks are started
	// together; 0 means 1.
	Members int `json:"members,omitempty"`
	// RunTimeMS is the declared run time in milliseconds; 0 takes the service's.
	RunTimeMS int `json:"run_time_ms,omitempty"`
	// Detach makes the call return as soon as the request is queued. The outcome
	// can be queried later.
	Detach bool `json:"detach,omitempty"`
	// Body is passed to the task.
	Body []byte `json:"body,omitempty"`
}

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	// MilliCPU is the processor amount in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu,omitempty"`
	// MemoryMiB is the memory in mebibytes.
	MemoryMiB int64 `json:"memory_mib,omitempty"`
	// Accelerators counts whole devices.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Response is the outcome of a request.
type Response struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Reason is set unless the outcome is Answered.
	Reason Reason `json:"reason,omitempty"`
	// Detail is a human-readable explanation of the reason.
	Detail string `json:"detail,omitempty"`
	// RetryAfterMS is the time in milliseconds after which a new attempt may
	// succeed; 0 if none can.
	RetryAfterMS int `json:"retry_after_ms,omitempty"`
	// Failed is set when the task ran and returned an error, which Body holds.
	Failed bool   `json:"failed,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Length and Checksum (CRC-32C) describe the complete body.
	Length   int    `json:"length"`
	Checksum uint32 `json:"checksum"`
	// BodyDropped is set when the request was answered earlier and its body
	// is no longer kept.
	BodyDropped bool `json:"body_dropped,omitempty"`
	// State is the state of a request whose reason is ReasonPending.
	State string `json:"state,omitempty"`
	// Worker names the worker that ran the request.
	Worker string `json:"worker,omitempty"`
}

// Home is the reply to a request for PathHome.
type Home struct {
	// FailureDomain is the failure domain that a client puts into new request
	// IDs.
	FailureDomain string `json:"failure_domain"`
}
