package api

// PathExplain on the readiness listener of an entry host returns a
// PlacementExplanation. POST with a Job as JSON and the query parameter "queue" explains
// where the job would be placed if it were submitted; GET with the query parameter "id"
// explains a job that is known. Nothing is stored or placed. It needs the same API key
// as calls to the queue: 401 means that the key is missing or unknown, 404 that the
// queue or job is.
const PathExplain = "/v1/explain"

// PlacementExplanation describes where the tasks of a job would be placed now.
type PlacementExplanation struct {
	// ID is the ID of the job, empty for one that is not submitted.
	ID    string `json:"id,omitempty"`
	Queue string `json:"queue"`
	Team  string `json:"team,omitempty"`
	// Shard is the part of the service whose scheduler replied, on the entry host
	// Scheduler.
	Shard     string `json:"shard"`
	Scheduler string `json:"scheduler"`
	// StepsAhead and TasksAhead count the ready steps that are more urgent and their
	// tasks without a worker.
	StepsAhead int `json:"steps_ahead"`
	TasksAhead int `json:"tasks_ahead"`
	// SlackMS is how long the first step may wait for the job to be in time.
	SlackMS int64 `json:"slack_ms"`
	// ApprovalShare is the share of workers that the policy is expected to approve;
	// 0 if the queue needs no approvals. The policy service is not asked, so workers
	// that it has not denied count as approved.
	ApprovalShare float64           `json:"approval_share,omitempty"`
	Steps         []StepExplanation `json:"steps"`
	// StepsLeftOut counts further steps, which are not explained.
	StepsLeftOut int `json:"steps_left_out,omitempty"`
}

// StepExplanation describes where the tasks of a step would be placed now if the steps
// on which it depends were done.
type StepExplanation struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	// Tasks counts the tasks without a worker, and Considered those that the
	// explanation covers.
	Tasks      int `json:"tasks"`
	Considered int `json:"considered"`
	// Blocked is set while a step on which this one depends is not done.
	Blocked bool `json:"blocked,omitempty"`
	// Placed counts the tasks that would be placed, and Waiting those that would wait
	// for their rack.
	Placed  int `json:"placed"`
	Waiting int `json:"waiting"`
	// Workers counts the workers that could take a task now, and RuledOut the others
	// by reason.
	Workers  int            `json:"workers"`
	RuledOut map[string]int `json:"ruled_out,omitempty"`
	// Best lists the workers with the highest scores that could take a task now.
	Best []WorkerScore     `json:"best,omitempty"`
	Rack *RackExplanation  `json:"rack,omitempty"`
	Stop []StopExplanation `json:"stop,omitempty"`
	// Note says why the step is not explained.
	Note string `json:"note,omitempty"`
}

// WorkerScore is the score of a worker for a step, the sum of its parts.
type WorkerScore struct {
	Worker      string  `json:"worker"`
	Fits        int     `json:"fits"`
	Score       float64 `json:"score"`
	Rack        float64 `json:"rack"`
	Utilization float64 `json:"utilization"`
	Colocation  float64 `json:"colocation"`
	Health      float64 `json:"health"`
	Speed       float64 `json:"speed"`
}

// RackExplanation describes the choice between the rack that a step prefers, or one rack
// for a gang, and other workers.
type RackExplanation struct {
	// Rack is empty for a gang that needs any one rack.
	Rack   string `json:"rack,omitempty"`
	InRack int    `json:"in_rack"`
	// Elsewhere counts the tasks that would be placed outside the rack.
	Elsewhere int `json:"elsewhere"`
	// Reason says why the last task that found the rack full would wait or not. The
	// fields below belong to it; they are 0 if no task found the rack full.
	Reason string `json:"reason,omitempty"`
	// ForecastMS is the expected time until a place in the rack, -1 if none is
	// expected, and LimitMS the longest wait.
	ForecastMS int64 `json:"forecast_ms"`
	LimitMS    int64 `json:"limit_ms"`
	// RunMS is the expected run time in the rack, and ElsewhereMS outside of it.
	RunMS       int64 `json:"run_ms"`
	ElsewhereMS int64 `json:"elsewhere_ms"`
	// GainMS is how much earlier a task ends if it waits; negative if later.
	GainMS int64 `json:"gain_ms"`
}

// StopExplanation is a running task that would be stopped to make room.
type StopExplanation struct {
	Task   string `json:"task"`
	Worker string `json:"worker"`
}
