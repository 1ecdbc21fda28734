package e2e

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/configuration"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// clientOf returns a client that reaches only one failure domain.
func (c *cluster) clientOf(domain string) *api.Client {
	c.t.Helper()
	var addresses []string
	for _, s := range c.settings {
		if self, _ := s.Self(); self.FailureDomain == domain {
			addresses = append(addresses, s.Listen.Callers)
		}
	}
	client, err := api.NewClient(api.ClientOptions{Addresses: addresses})
	require.NoError(c.t, err)
	c.t.Cleanup(client.Close)
	return client
}

// orders is a small load of requests that are not idempotent.
func orders(count int) []demo.Workload {
	return []demo.Workload{{
		Name: "price", Service: "order-desk", Team: "sales", Requests: count, RequestsPerSecond: 150, RunMS: 20,
		Deadline: 5 * time.Second, AnswerBytes: 100,
	}}
}

// TestPlannedStop guards against requests that a planned stop cuts off or
// refuses: each host is stopped by SIGTERM and replaced while requests run.
func TestPlannedStop(t *testing.T) {
	c := newCluster(t, nil, 2, 2, 2)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for _, s := range c.settings {
			c.signal(s.Host, syscall.SIGTERM)
			<-c.process(s.Host).exited
			c.start(s)
			ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
			assert.NoError(t, awaitReady(ctx, s))
			cancel()
		}
	}()
	client := c.client()
	var sent []demo.Result
	for done := false; !done; {
		select {
		case <-stopped:
			done = true
		default:
		}
		part, err := demo.Run(t.Context(), client, orders(150), uint64(len(sent)))
		require.NoError(t, err)
		sent = append(sent, part...)
	}
	for i := range sent {
		assert.NoError(t, sent[i].Check(standin.ExpectedAnswer), sent[i].Request.ID)
	}
	c.checkPromises(sent)
}

// TestCutOffFailureDomain guards against a failure domain that stops serving
// its own callers when it is cut off, against a request that runs on both
// sides of the cut, and against a configuration that goes back when it heals.
func TestCutOffFailureDomain(t *testing.T) {
	l := newLinks(t)
	c := newCluster(t, l.adjust, 2, 2, 2)
	inside, outside := c.clientOf("fd-c"), c.clientOf("fd-a")
	before, err := demo.Run(t.Context(), outside, orders(100), 1)
	require.NoError(t, err)
	cut, connected := c.settings[5], c.settings[0]
	was := c.offset(cut)

	l.cut("fd-c")
	report := c.publish(connected, "during-cut", c.versionOfSales(), 77)
	require.Equal(t, configuration.StatusAccepted, report.Status)
	during, err := demo.Run(t.Context(), inside, orders(300), 2)
	require.NoError(t, err)
	for i := range during {
		assert.NoError(t, during[i].Check(standin.ExpectedAnswer), "own caller of the cut-off failure domain")
	}
	// Retries of requests whose home is on the other side.
	for i := range before[:20] {
		req := before[i].Request
		req.DeadlineMS = 1000
		resp, err := inside.Do(t.Context(), req)
		require.NoError(t, err)
		assert.Equal(t, api.Unknown, resp.Outcome, "the home of %s cannot be asked", req.ID)
	}
	assert.Equal(t, was, c.offset(cut), "the cut-off host keeps its configuration")

	l.heal("fd-c")
	c.awaitOffset(cut, report.Offset, 5*time.Second)
	for i := range before[:20] {
		resp, err := inside.Do(t.Context(), before[i].Request)
		require.NoError(t, err)
		assert.Equal(t, before[i].Response.Body, resp.Body, "the kept answer after the cut has healed")
	}
	c.checkPromises(append(before, during...))
}

// TestFailureDomainPowerCut guards against requests that run again after all
// hosts of their home failure domain have lost their records.
func TestFailureDomainPowerCut(t *testing.T) {
	c := newCluster(t, nil, 2, 1, 1)
	client := c.clientOf("fd-a")
	before, err := demo.Run(t.Context(), client, orders(100), 1)
	require.NoError(t, err)
	hosts := []settings.Settings{c.settings[0], c.settings[1]}
	for _, s := range hosts {
		c.kill(s.Host)
	}
	for _, s := range hosts {
		c.start(s)
	}
	c.awaitReady(hosts[0].Listen.Callers, hosts[1].Listen.Callers)
	for i := range before {
		resp, err := client.Do(t.Context(), before[i].Request)
		require.NoError(t, err)
		assert.Equal(t, api.Unknown, resp.Outcome, "a retry from before the power cut")
	}
	after, err := demo.Run(t.Context(), client, orders(100), 2)
	require.NoError(t, err)
	for i := range after {
		assert.NoError(t, after[i].Check(standin.ExpectedAnswer), "a new request after the power cut")
	}
	c.checkPromises(append(before, after...))
}

// TestLeavingWorker guards against new work on a leaving backend server.
func TestLeavingWorker(t *testing.T) {
	c := newCluster(t, nil, 1, 1, 1)
	client := c.client()
	sent, err := demo.Run(t.Context(), client, orders(100), 1)
	require.NoError(t, err)
	leaving := c.busiest()
	listed := time.Now()
	c.platform.HostList.MarkLeaving(leaving.Info().Name)
	after, err := demo.Run(t.Context(), client, orders(900), 2)
	require.NoError(t, err)
	sent = append(sent, after...)
	for _, e := range leaving.Journal().Events() {
		if e.Kind == standin.EventBegin {
			assert.Less(t, e.Time.Sub(listed), 3*time.Second, "task %s began after the limit", e.Task)
		}
	}
	c.checkPromises(sent)
}

// busiest returns the worker that has begun the most tasks.
func (c *cluster) busiest() *standin.Worker {
	best, most := c.platform.Workers[0], 0
	for _, w := range c.platform.Workers {
		if n := len(w.Journal().Events()); n > most {
			best, most = w, n
		}
	}
	return best
}

// TestConfigurationInForce guards against a change that is not in force on
// every host within 3 s, with appends whose replies are lost and two operators
// racing for each change.
func TestConfigurationInForce(t *testing.T) {
	c := newCluster(t, nil, 3, 2, 2)
	version := c.versionOfSales()
	for i := range 10 {
		if i%3 == 0 {
			c.platform.Log.DropAppendReplies(1)
		}
		type outcome struct {
			id     string
			status configuration.Status
			offset uint64
		}
		outcomes := make(chan outcome, 2)
		for _, operator := range []int{0, 6} {
			go func() {
				id := fmt.Sprintf("change-%d-%d", i, operator)
				r := c.publish(c.settings[operator], id, version, 10+i)
				outcomes <- outcome{id, r.Status, r.Offset}
			}()
		}
		first, second := <-outcomes, <-outcomes
		statuses := []configuration.Status{first.status, second.status}
		require.ElementsMatch(t, []configuration.Status{configuration.StatusAccepted, configuration.StatusLostRace}, statuses)
		version = first.offset
		if first.status != configuration.StatusAccepted {
			version = second.offset
		}
		for _, s := range c.settings {
			c.awaitOffset(s, version, 3*time.Second)
		}
	}
}
