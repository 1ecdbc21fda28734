package e2e

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/domain"
)

// TestDetachedRequestsRunDuringPause guards against a host that runs detached requests a
// second time: they were stored on it before a pause, its only peer ran them in the pause
// and died with their records.
func TestDetachedRequestsRunDuringPause(t *testing.T) {
	const keeper, paused = "fd-a-1", "fd-a-2"
	c := newCluster(t, nil, 2, 1, 1)
	client := c.clientForDomain("fd-a")
	results := make([]demo.Result, 300)
	workload := &demo.Workload{Name: "report"}
	for i := range results {
		id, err := client.NewID(t.Context())
		require.NoError(t, err)
		for domain.RendezvousFirst(id, []string{keeper, paused}) != keeper {
			id, err = client.NewID(t.Context())
			require.NoError(t, err)
		}
		results[i] = demo.Result{Workload: workload, Request: api.Request{
			ID: id, Team: "planning", Service: "batch", DeadlineMS: 5000, Detach: true,
			Body: fmt.Appendf(nil, `{"run_ms":%d,"answer_bytes":10}`, 1000),
		}}
		resp, err := client.Do(t.Context(), results[i].Request)
		require.NoError(t, err)
		require.Equal(t, api.ReasonPending, resp.Reason)
	}
	c.signal(paused, syscall.SIGSTOP)
	c.await(func() bool { return c.workersHeldBy(paused) == 0 }, "the peer has taken the workers over")
	before := c.startedTasks()
	c.await(func() bool { return c.startedTasks() > before+20 }, "requests run without a backup")
	c.kill(keeper)
	c.signal(paused, syscall.SIGCONT)
	c.awaitReady(c.settingsFor(paused).Listen.Callers)
	deadline := time.Now().Add(startTimeout)
	for i := range results {
		for {
			resp, err := client.Status(t.Context(), results[i].Request.ID)
			require.NoError(t, err)
			if results[i].Response = resp; resp.Reason != api.ReasonPending {
				break
			}
			if !assert.True(t, time.Now().Before(deadline), "%s is still pending", results[i].Request.ID) {
				break
			}
		}
	}
	c.checkGuarantees(results)
}
