// Package api holds the types of laburnumpass's HTTP API towards callers and
// a client for it.
package api

// Outcome is what became of a request.
type Outcome string

const (
	// Answered means that the request ran once and Body is its whole answer.
	Answered Outcome = "answered"
	// NotRun means that the request has not run and that this attempt of the
	// caller will not run.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run or may still run. The ID is
	// the handle under which to ask later.
	Unknown Outcome = "unknown"
)

// Reason says why a request was not run or why its outcome is unknown.
type Reason string

// Reasons of NotRun.
const (
	// ReasonInvalid means that a field is missing, malformed or out of range.
	ReasonInvalid Reason = "invalid"
	// ReasonNeverFits means that no worker has the declared resources.
	ReasonNeverFits Reason = "never_fits"
	// ReasonQueueFull means that the queue bound of the profile was reached.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline means that the request would have waited past its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonQuota means that the team's quota is used up.
	ReasonQuota Reason = "quota"
	// ReasonCancelled means that the caller cancelled it while it was queued.
	ReasonCancelled Reason = "cancelled"
	// ReasonNotReady means that the entry host does not serve yet or no longer.
	ReasonNotReady Reason = "not_ready"
	// ReasonWorkerFailed means that the worker refused the task or was lost
	// before it began.
	ReasonWorkerFailed Reason = "worker_failed"
)

// Reasons of Unknown.
const (
	// ReasonHomeUnreachable means that the home failure domain of the request
	// could not be asked.
	ReasonHomeUnreachable Reason = "home_unreachable"
	// ReasonBeforeHorizon means that the request was created before the record
	// keeper's records began and may have run then.
	ReasonBeforeHorizon Reason = "before_horizon"
	// ReasonNoReply means that a worker did not reply.
	ReasonNoReply Reason = "no_reply"
	// ReasonPending means that the request is still queued or running.
	ReasonPending Reason = "pending"
)

// Request is a caller's request.
type Request struct {
	// ID is "<home failure domain>/<UUID version 7>" or a UUID version 7
	// alone. A retry carries the same ID and the same content.
	ID string `json:"id"`
	// Team is charged for the request.
	Team string `json:"team"`
	// Service names the kind of work.
	Service string `json:"service"`
	// Idempotent allows the system to run the request more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// DeadlineMS is how long the caller waits for an answer, in milliseconds.
	DeadlineMS int `json:"deadline_ms"`
	// Resources of each member; zero takes the service's declared ones.
	Resources Resources `json:"resources,omitzero"`
	// Members is the number of members of an all-at-once job; 0 means 1.
	Members int `json:"members,omitempty"`
	// RunTimeMS is the declared run time in milliseconds; 0 takes the service's.
	RunTimeMS int `json:"run_time_ms,omitempty"`
	// Detach returns as soon as the request is queued; ask for the outcome later.
	Detach bool `json:"detach,omitempty"`
	// Body is passed to the task.
	Body []byte `json:"body,omitempty"`
}

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	// MilliCPU is in thousandths of a processor core.
	MilliCPU int64 `json:"milli_cpu,omitempty"`
	// MemoryMiB is in mebibytes.
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
	// Detail explains the reason to a person.
	Detail string `json:"detail,omitempty"`
	// RetryAfterMS is when a new attempt may succeed, in milliseconds; 0 if never.
	RetryAfterMS int `json:"retry_after_ms,omitempty"`
	// Failed is set when the task ran and returned an error, which Body holds.
	Failed bool   `json:"failed,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Length and Checksum (CRC-32C) describe the whole body.
	Length   int    `json:"length"`
	Checksum uint32 `json:"checksum"`
	// BodyDropped is set when the request was answered earlier and its body
	// is no longer kept.
	BodyDropped bool `json:"body_dropped,omitempty"`
	// State is the state of a request whose reason is ReasonPending.
	State string `json:"state,omitempty"`
	// Worker names the worker that ran it.
	Worker string `json:"worker,omitempty"`
}

// Home tells a client which failure domain to put into new request IDs.
type Home struct {
	FailureDomain string `json:"failure_domain"`
}
