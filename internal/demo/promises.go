package demo

import (
	"fmt"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// CheckGuarantees compares the outcomes of a load with the workers' journals and
// lists the violated guarantees: an answer that is damaged or belongs to another
// request, an outcome that contradicts the journals, a non-idempotent request
// that ran twice, and a worker above its capacity. Any outcome that agrees with
// the journals is allowed, including an unknown one. Call it only when no request
// is in progress any more.
func CheckGuarantees(results []Result, journals []*standin.Journal) []string {
	startCounts := make(map[string]int)
	for _, j := range journals {
		for _, e := range j.Events() {
			if e.Kind == standin.EventBegin {
				request, _, _ := standin.SplitTaskID(e.Task)
				startCounts[request]++
			}
		}
	}
	var violations []string
	idempotent := make(map[string]bool)
	for i := range results {
		r := &results[i]
		id := r.Request.ID
		idempotent[id] = r.Request.Idempotent
		switch r.Response.Outcome {
		case api.Answered:
			if err := r.checkAnswer(); err != nil {
				violations = append(violations, fmt.Sprintf("answer of %s: %s", id, err))
			}
			if startCounts[id] == 0 {
				violations = append(violations, fmt.Sprintf("%s was answered but did not run", id))
			}
		case api.NotRun:
			if startCounts[id] > 0 {
				violations = append(violations, fmt.Sprintf("%s is 'not run' (%s) but ran", id, r.Response.Reason))
			}
		}
	}
	for _, v := range standin.CheckJournals(journals...) {
		if v.Kind == standin.ViolationRanTwice && idempotent[v.Request] {
			continue
		}
		violations = append(violations, "violation in the workers' journals: "+v.String())
	}
	return violations
}

// checkAnswer checks an answer. Unlike Check it accepts that of a failed task.
func (r *Result) checkAnswer() error {
	if r.Response.Failed {
		return r.Response.Verify(r.Request.ID)
	}
	return r.Check(standin.ExpectedAnswer)
}

// CountOutcomes returns the number of requests by outcome and reason, or by error.
func CountOutcomes(results []Result) map[string]int {
	counts := make(map[string]int)
	for i := range results {
		key := string(results[i].Response.Outcome)
		if reason := results[i].Response.Reason; reason != "" {
			key += " " + string(reason)
		}
		if results[i].Err != nil {
			key = "error: " + results[i].Err.Error()
		}
		counts[key]++
	}
	return counts
}
