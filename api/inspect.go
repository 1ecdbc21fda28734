package api

import "time"

// Paths on the readiness listener of an entry host for jobs, for operators.
const (
	// PathServices returns a list of ServiceView.
	PathServices = "/v1/services"
	// PathQuotas returns a QuotaList.
	PathQuotas = "/v1/quotas"
	// PathJobs, "/" and a job's ID return a JobView; 404 means that no scheduler
	// knows the job, 503 that one did not answer.
	PathJobs = "/v1/jobs"
	// PathTimeline returns the events of all entry hosts, about the job of the
	// query parameter "job" if there is one.
	PathTimeline = "/v1/timeline"
)

// ServiceView describes which entry host schedules a service, according to the
// entry host that replies.
type ServiceView struct {
	Service string `json:"service"`
	// Host is the entry host that schedules the service; empty if none is known.
	Host string `json:"host,omitempty"`
	// Address is where Host listens for other entry hosts.
	Address string `json:"address,omitempty"`
	// Epoch is the fencing token of the scheduler's term.
	Epoch int64 `json:"epoch,omitempty"`
	// Since is when the term began, according to the scheduler's wall clock.
	Since time.Time `json:"since,omitzero"`
	// Resigned is set if the scheduler has resigned and no successor is known.
	Resigned bool `json:"resigned,omitempty"`
}

// JobView is the state of a job in its scheduler.
type JobView struct {
	ID      string   `json:"id"`
	Service string   `json:"service"`
	Queue   string   `json:"queue"`
	State   JobState `json:"state"`
	// Accepted is when the job was first stored.
	Accepted time.Time `json:"accepted"`
	// Scheduler is the entry host that schedules the job and sent this view.
	Scheduler string     `json:"scheduler"`
	Steps     []StepView `json:"steps,omitempty"`
	// Runs lists the runs that may be on a worker now.
	Runs []RunView `json:"runs,omitempty"`
}

// StepView counts the tasks of one step of one occurrence by their state.
type StepView struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Tasks      int `json:"tasks"`
	Done       int `json:"done"`
	Running    int `json:"running"`
	// Failures counts the failed runs of all tasks.
	Failures int `json:"failures"`
	// Blocked is set while a step that this one depends on is not done.
	Blocked bool `json:"blocked,omitempty"`
}

// RunView is one start of a task on a worker.
type RunView struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Worker string `json:"worker"`
	// State is "planned" while the placement is being stored, "ordered" while the
	// worker's reply to the start request is not known, "unconfirmed" if an
	// earlier scheduler placed the run and the worker has not listed it yet,
	// "active" once the worker has accepted it, or "revoked" once it has accepted
	// a stop.
	State   string `json:"state"`
	Percent int    `json:"percent"`
}
