package entryhost

import (
	"encoding/json"
	"hash/crc32"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/schedule"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// castagnoli is the table for CRC-32C, the checksum of answer bodies.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// stoppedTaskBody is the answer body of a task that a worker stopped before it ended.
const stoppedTaskBody = "the task was stopped before it ended"

func notRun(reason api.Reason, retryAfter time.Duration) request.Result {
	return request.Result{Outcome: api.NotRun, Reason: reason, RetryAfter: retryAfter}
}

func unknown(reason api.Reason) request.Result {
	return request.Result{Outcome: api.Unknown, Reason: reason}
}

func answered(worker string, a *worker.Answer) request.Result {
	return request.Result{
		Outcome:  api.Answered,
		Failed:   a.Failed,
		Body:     a.Body,
		Length:   uint32(a.Length),
		Checksum: a.Checksum,
		Worker:   worker,
	}
}

// failedAnswer returns the result of a request that ran but has no answer of its own.
func failedAnswer(worker, text string) request.Result {
	return answeredBody(worker, []byte(text), true)
}

func answeredBody(worker string, body []byte, failed bool) request.Result {
	return request.Result{
		Outcome:  api.Answered,
		Failed:   failed,
		Body:     body,
		Length:   uint32(len(body)),
		Checksum: crc32.Checksum(body, castagnoli),
		Worker:   worker,
	}
}

// fromScheduleError converts an error of Scheduler.Place to a result. An error other
// than a refusal is reported as a cancellation.
func fromScheduleError(err error) request.Result {
	var r *schedule.Refusal
	if errors.As(err, &r) {
		res := notRun(r.Reason, r.RetryAfter)
		res.Detail = r.Detail
		return res
	}
	return notRun(api.ReasonCancelled, 0)
}

// fromTask converts the state of a task that no longer runs, as reported by its
// worker, to a result.
func fromTask(name string, task worker.Task) request.Result {
	switch {
	case task.State == worker.TaskEnded && task.Answer != nil:
		return answered(name, task.Answer)
	case task.State == worker.TaskStopped:
		return failedAnswer(name, stoppedTaskBody)
	case task.State == worker.TaskFenced:
		return notRun(api.ReasonWorkerFailed, routeRetryDelay)
	default:
		return unknown(api.ReasonNoReply)
	}
}

// memberAnswer is one element of the answer body of a gang job.
type memberAnswer struct {
	Member int    `json:"member"`
	Worker string `json:"worker"`
	Failed bool   `json:"failed,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// combineMemberResults combines the members' results into one answer whose body is a
// JSON array. The job's outcome is unknown if that of any member is. The job fails
// if any member failed or could not start.
func combineMemberResults(results []request.Result) request.Result {
	answers := make([]memberAnswer, len(results))
	failed := false
	for i, r := range results {
		if r.Outcome == api.Unknown {
			return unknown(api.ReasonNoReply)
		}
		answers[i] = memberAnswer{Member: i, Worker: r.Worker, Failed: r.Failed, Body: r.Body}
		if r.Outcome == api.NotRun {
			answers[i].Failed = true
			answers[i].Body = []byte("the member could not start; the others were stopped")
		}
		failed = failed || answers[i].Failed
	}
	body, err := json.Marshal(answers)
	if err != nil {
		return failedAnswer("", "encode answers: "+err.Error())
	}
	return answeredBody("", body, failed)
}

// toReply converts a result to a reply message.
func toReply(id string, r request.Result) *rpc.SubmitReply {
	return &rpc.SubmitReply{
		Id:           id,
		Outcome:      string(r.Outcome),
		Reason:       string(r.Reason),
		Detail:       r.Detail,
		RetryAfterMs: uint32(r.RetryAfter / time.Millisecond),
		Failed:       r.Failed,
		Body:         r.Body,
		BodyLength:   r.Length,
		Checksum:     r.Checksum,
		Worker:       r.Worker,
	}
}

// fromReply is the inverse of toReply.
func fromReply(r *rpc.SubmitReply) request.Result {
	return request.Result{
		Outcome:    api.Outcome(r.Outcome),
		Reason:     api.Reason(r.Reason),
		Detail:     r.Detail,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		Failed:     r.Failed,
		Body:       r.Body,
		Length:     r.BodyLength,
		Checksum:   r.Checksum,
		Worker:     r.Worker,
	}
}
