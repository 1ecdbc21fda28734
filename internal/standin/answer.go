package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash/crc32"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// TaskBody is the JSON body of a task. An empty body or one that isn't JSON is
// work of no length that succeeds.
type TaskBody struct {
	// RunMS is the run time in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Fail makes the task end with an error.
	Fail bool `json:"fail"`
	// AnswerBytes is the least length of the answer.
	AnswerBytes int `json:"answer_bytes"`
	// ActualUsage is what the task really uses; its declared resources by default.
	ActualUsage *worker.Resources `json:"use,omitempty"`
}

// maxAnswerBytes bounds the memory that one task's answer can take.
const maxAnswerBytes = 16 << 20

// parseWork reads the body of a task.
func parseWork(body []byte) TaskBody {
	var w TaskBody
	if json.Unmarshal(body, &w) != nil {
		return TaskBody{}
	}
	w.AnswerBytes = min(max(w.AnswerBytes, 0), maxAnswerBytes)
	return w
}

func (w TaskBody) duration() time.Duration { return time.Duration(max(w.RunMS, 0)) * time.Millisecond }

// ExpectedAnswer returns the body of the answer that a worker gives to a task
// of the request with that body. It contains the request ID and a digest of
// both, and is repeated up to the length that the body asks for. A task that
// fails returns FailureText instead.
func ExpectedAnswer(requestID string, body []byte) []byte {
	sum := sha256.Sum256(append([]byte(requestID+"\n"), body...))
	unit := []byte(requestID + " " + hex.EncodeToString(sum[:]) + "\n")
	size := parseWork(body).AnswerBytes
	if size <= len(unit) {
		return unit
	}
	return bytes.Repeat(unit, size/len(unit)+1)[:size]
}

// FailureText returns the error text of a failed task of the request.
func FailureText(requestID string) string { return "task of request " + requestID + " failed" }

// SplitTaskID returns the parts of "<request ID>#<member>.<attempt>". An ID of
// another form is all request.
func SplitTaskID(id worker.TaskID) (request string, member, attempt int) {
	request, rest, ok := cutLast(string(id), "#")
	if !ok {
		return string(id), 0, 0
	}
	m, a, ok := strings.Cut(rest, ".")
	member, err := strconv.Atoi(m)
	if !ok || err != nil {
		return string(id), 0, 0
	}
	if attempt, err = strconv.Atoi(a); err != nil {
		return string(id), 0, 0
	}
	return request, member, attempt
}

func cutLast(s, sep string) (before, after string, ok bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func newAnswer(task worker.TaskID, failed bool, body []byte) *worker.Answer {
	return &worker.Answer{
		Task: task, Failed: failed, Body: body,
		Length: len(body), Checksum: crc32.Checksum(body, castagnoli),
	}
}
