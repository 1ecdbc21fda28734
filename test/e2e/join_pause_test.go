package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/request"
)

// TestPausedWhileJoining guards against a host that takes its records for complete since
// it began to join, although it was paused before its peer replied, the peer ran requests
// alone and died with their records.
func TestPausedWhileJoining(t *testing.T) {
	const keeper, joining = "fd-a-1", "fd-a-2"
	c := newCluster(t, nil, 2, 1, 1)
	joiner := c.settingsFor(joining)
	c.kill(joining)
	c.signal(keeper, syscall.SIGSTOP)
	// While its peer is paused, the host goes on joining until it declares the peer dead.
	c.start(joiner)
	c.await(func() bool {
		resp, err := http.Get("http://" + joiner.Listen.Callers + "/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return err == nil && strings.Contains(string(body), "joining")
	}, "the host joins")
	c.signal(joining, syscall.SIGSTOP)
	pausedAt := time.Now()
	c.signal(keeper, syscall.SIGCONT)
	c.awaitReady(c.settingsFor(keeper).Listen.Callers)

	submit := func(host string, results []demo.Result) {
		client, err := api.NewClient(api.ClientOptions{Addresses: []string{c.settingsFor(host).Listen.Callers}})
		require.NoError(t, err)
		defer client.Close()
		for i := range results {
			results[i].Response, err = client.Do(t.Context(), results[i].Request)
			require.NoError(t, err)
		}
	}
	// Younger requests are refused anyway, because of the clock skew.
	c.await(func() bool { return time.Since(pausedAt) > request.DefaultMaxClockSkew }, "the clock skew has passed")
	first := make([]demo.Result, 20)
	for i := range first {
		id, err := api.NewID("fd-a")
		require.NoError(t, err)
		first[i] = demo.Result{Workload: &demo.Workload{Name: "price"}, Request: api.Request{
			ID: id, Team: "sales", Service: "order-desk", DeadlineMS: 10_000, Body: fmt.Appendf(nil, `{"run_ms":%d,"answer_bytes":10}`, 10),
		}}
	}
	submit(keeper, first)
	for _, r := range first {
		require.Equal(t, api.Answered, r.Response.Outcome, r.Response.Reason)
	}
	c.kill(keeper)
	c.signal(joining, syscall.SIGCONT)
	c.awaitReady(joiner.Listen.Callers)
	second := append([]demo.Result(nil), first...)
	submit(joining, second)
	for _, r := range second {
		assert.Equal(t, api.ReasonBeforeHorizon, r.Response.Reason, r.Response.Outcome)
	}
	c.checkGuarantees(first)
}
