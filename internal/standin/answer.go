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

// TaskBody is the JSON body of a task. An empty or invalid body stands for a
// task that succeeds with a run time of 0.
type TaskBody struct {
	// RunMS is the run time in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Fail makes the task end with an error.
	Fail bool `json:"fail"`
	// AnswerBytes is the minimum length of the answer.
	AnswerBytes int `json:"answer_bytes"`
	// ActualUsage is what the task actually uses; nil means its declared
	// resources.
	ActualUsage *worker.Resources `json:"use,omitempty"`
}

// maxAnswerBytes limits the memory that one task's answer can take.
const maxAnswerBytes = 16 << 20

// parseTaskBody decodes the body of a task and clamps its answer length.
func parseTaskBody(body []byte) TaskBody {
	var b TaskBody
	if json.Unmarshal(body, &b) != nil {
		return TaskBody{}
	}
	b.AnswerBytes = min(max(b.AnswerBytes, 0), maxAnswerBytes)
	return b
}

func (b TaskBody) duration() time.Duration { return time.Duration(max(b.RunMS, 0)) * time.Millisecond }

// ExpectedAnswer returns the answer body that a worker returns for a task of
// the given request. It contains the request ID and a digest of the ID and the
// body, repeated up to the length that the body asks for. A task that fails
// returns FailureText instead.
func ExpectedAnswer(requestID string, body []byte) []byte {
	sum := sha256.Sum256(append([]byte(requestID+"\n"), body...))
	unit := []byte(requestID + " " + hex.EncodeToString(sum[:]) + "\n")
	size := parseTaskBody(body).AnswerBytes
	if size <= len(unit) {
		return unit
	}
	return bytes.Repeat(unit, size/len(unit)+1)[:size]
}

// FailureText returns the answer body of a failed task of the request.
func FailureText(requestID string) string { return "task of request " + requestID + " failed" }

// SplitTaskID returns the parts of "<request ID>#<member>.<attempt>". An ID of
// any other form is returned whole as the request, with 0 for member and
// attempt.
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

// cutLast is strings.Cut for the last instance of sep.
func cutLast(s, sep string) (before, after string, ok bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func newAnswer(task worker.TaskID, failed bool, body []byte) *worker.Answer {
	return &worker.Answer{
		Task: task, Failed: failed, Body: body,
		Length: len(body), Checksum: crc32.Checksum(body, castagnoliTable),
	}
}
