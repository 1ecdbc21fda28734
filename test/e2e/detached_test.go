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
	results := make([]demo.Result, jobs)
	workload := &demo.Workload{Name: "report"}
	for i := range results {
		id, err := client.NewID(t.Context())
		require.NoError(t, err)
		results[i] = demo.Result{Workload: workload, Request: api.Request{
			ID: id, Team: "planning", Service: "batch", DeadlineMS: 5000, Detach: true,
			Body: fmt.Appendf(nil, `{"run_ms":%d,"answer_bytes":10}`, 1000),
		}}
		resp, err := client.Do(t.Context(), results[i].Request)
		require.NoError(t, err)
		require.Equal(t, api.ReasonPending, resp.Reason)
	}
	c.kill("fd-a-1")
	deadline := time.Now().Add(startTimeout)
	for i := range results {
		for {
			resp, err := client.Status(t.Context(), results[i].Request.ID)
			require.NoError(t, err)
			if results[i].Response = resp; resp.Outcome == api.Answered || time.Now().After(deadline) {
				break
			}
		}
		assert.Equal(t, api.Answered, results[i].Response.Outcome, "%s: %s", results[i].Request.ID, results[i].Response.Reason)
	}
	c.checkGuarantees(results)
}
