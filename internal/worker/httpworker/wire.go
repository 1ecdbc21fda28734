package httpworker

import "github.com/laburnumpass/laburnumpass/internal/worker"

// Paths of a worker's calls. Each takes a POST with a JSON body.
const (
	PathHold       = "/v1/hold"
	PathRenew      = "/v1/renew"
	PathRelease    = "/v1/release"
	PathStart      = "/v1/start"
	PathStatus     = "/v1/status"
	PathStop       = "/v1/stop"
	PathCheckpoint = "/v1/checkpoint"
	PathThrottle   = "/v1/throttle"
	PathUsage      = "/v1/usage"
)

// Codes of an ErrorBody. Each stands for the error of that name in package
// worker. A reply with a status other than 200 and without one of these codes
// means worker.ErrNoReply, or worker.ErrNotDelivered if its status shows that the
// request was rejected before it was processed.
const (
	CodeNotDelivered  = "not_delivered"
	CodeStaleEpoch    = "stale_epoch"
	CodeFenced        = "fenced"
	CodeDuplicateTask = "duplicate_task"
	CodeHeld          = "held"
)

// ErrorBody is the JSON body of a reply with a status other than 200.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Holder and RemainingNS are set with CodeHeld.
	Holder      string `json:"holder,omitempty"`
	RemainingNS int64  `json:"remaining_ns,omitempty"`
}

// TaskRequest is the request body of stop, checkpoint and throttle calls.
type TaskRequest struct {
	Task worker.TaskID `json:"task"`
	// Limit is used by throttle only.
	Limit worker.Resources `json:"limit"`
}

// StopReply is the reply body of a stop call.
type StopReply struct {
	State worker.TaskState `json:"state"`
}
