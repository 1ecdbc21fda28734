package demo

import (
	"fmt"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// CheckGuarantees compares the outcomes of a load with the workers' journals and lists
// the promises that were broken: an answer that is damaged or belongs to
// another request, an outcome that contradicts the journals, a non-idempotent
// request that ran twice, and an overfilled worker. Every outcome that tells
// the truth is allowed, also an unknown one. It is called when no request is
// in progress any more.
func CheckGuarantees(sent []Result, journals []*standin.Journal) []string {
	begun := make(map[string]int)
	for _, j := range journals {
		for _, e := range j.Events() {
			if e.Kind == standin.EventBegin {
				request, _, _ := standin.SplitTaskID(e.Task)
				begun[request]++
			}
		}
	}
	var broken []string
	idempotent := make(map[string]bool)
	for i := range sent {
		s := &sent[i]
		id := s.Request.ID
		idempotent[id] = s.Request.Idempotent
		switch s.Response.Outcome {
		case api.Answered:
			if err := s.checkAnswer(); err != nil {
				broken = append(broken, fmt.Sprintf("answer of %s: %s", id, err))
			}
			if begun[id] == 0 {
				broken = append(broken, fmt.Sprintf("%s was answered but did not run", id))
			}
		case api.NotRun:
			if begun[id] > 0 {
				broken = append(broken, fmt.Sprintf("%s is 'not run' (%s) but ran", id, s.Response.Reason))
			}
		}
	}
	for _, v := range standin.CheckJournals(journals...) {
		if v.Kind == standin.ViolationRanTwice && idempotent[v.Request] {
			continue
		}
		broken = append(broken, "violation in the workers' journals: "+v.String())
	}
	return broken
}

// checkAnswer checks an answer, also that of a task that failed.
func (s *Result) checkAnswer() error {
	if s.Response.Failed {
		return s.Response.Verify(s.Request.ID)
	}
	return s.Check(standin.ExpectedAnswer)
}

// CountOutcomes counts the outcomes of a load by outcome and reason.
func CountOutcomes(sent []Result) map[string]int {
	counts := make(map[string]int)
	for i := range sent {
		key := string(sent[i].Response.Outcome)
		if reason := sent[i].Response.Reason; reason != "" {
			key += " " + string(reason)
		}
		if sent[i].Err != nil {
			key = "error: " + sent[i].Err.Error()
		}
		counts[key]++
	}
	return counts
}
