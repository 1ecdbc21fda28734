package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/demo"
)

// TestDetachedRequestsSurviveKeeper guards against accepted detached requests that
// are lost or run twice when their record keeper is killed while they are queued.
func TestDetachedRequestsSurviveKeeper(t *testing.T) {
	c := newCluster(t, nil, 3, 1, 1)
	client := c.clientForDomain("fd-a")
	const jobs = 300
	sent := make([]demo.Result, jobs)
	kind := &demo.Workload{Name: "report"}
	for i := range sent {
		id, err := client.NewID(t.Context())
		require.NoError(t, err)
		sent[i] = demo.Result{Workload: kind, Request: api.Request{
			ID: id, Team: "planning", Service: "batch", DeadlineMS: 5000, Detach: true,
			Body: fmt.Appendf(nil, `{"run_ms":%d,"answer_bytes":10}`, 1000),
		}}
		resp, err := client.Do(t.Context(), sent[i].Request)
		require.NoError(t, err)
		require.Equal(t, api.ReasonPending, resp.Reason)
	}
	c.kill("fd-a-1")
	deadline := time.Now().Add(startTimeout)
	for i := range sent {
		for {
			resp, err := client.Status(t.Context(), sent[i].Request.ID)
			require.NoError(t, err)
			if sent[i].Response = resp; resp.Outcome == api.Answered || time.Now().After(deadline) {
				break
			}
		}
		assert.Equal(t, api.Answered, sent[i].Response.Outcome, "%s: %s", sent[i].Request.ID, sent[i].Response.Reason)
	}
	c.checkGuarantees(sent)
}
