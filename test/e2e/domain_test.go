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

// clientForDomain returns a client that knows only the entry hosts of one failure
// domain.
func (c *cluster) clientForDomain(domain string) *api.Client {
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

// priceLoad is a load of count requests, 150 a second, that are not idempotent.
func priceLoad(count int) []demo.Workload {
	return []demo.Workload{{
		Name: "price", Service: "order-desk", Team: "sales", Requests: count, RequestsPerSecond: 150, RunMS: 20,
		Deadline: 5 * time.Second, AnswerBytes: 100,
	}}
}

// TestPlannedStop guards against requests that a planned stop interrupts or
// refuses: each host in turn is stopped by SIGTERM and started again while requests
// run.
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
		part, err := demo.Run(t.Context(), client, priceLoad(150), uint64(len(sent)))
		require.NoError(t, err)
		sent = append(sent, part...)
	}
	for i := range sent {
		assert.NoError(t, sent[i].Check(standin.ExpectedAnswer), sent[i].Request.ID)
	}
	c.checkGuarantees(sent)
}

// TestCutOffFailureDomain guards against a failure domain that stops serving its
// own callers during a network partition, against a request that runs on both sides
// of the partition, and against a configuration that is rolled back when the
// partition heals.
func TestCutOffFailureDomain(t *testing.T) {
	l := newLinks(t)
	c := newCluster(t, l.insertRelays, 2, 2, 2)
	inside, outside := c.clientForDomain("fd-c"), c.clientForDomain("fd-a")
	before, err := demo.Run(t.Context(), outside, priceLoad(100), 1)
	require.NoError(t, err)
	isolatedHost, connectedHost := c.settings[5], c.settings[0]
	offsetBefore := c.configOffset(isolatedHost)

	l.isolate("fd-c")
	report := c.publishSalesQuota(connectedHost, "during-cut", c.salesQuotaVersion(), 77)
	require.Equal(t, configuration.StatusAccepted, report.Status)
	during, err := demo.Run(t.Context(), inside, priceLoad(300), 2)
	require.NoError(t, err)
	for i := range during {
		assert.NoError(t, during[i].Check(standin.ExpectedAnswer), "request of a caller in the isolated failure domain")
	}
	// Retries of requests whose home is on the other side of the partition.
	for i := range before[:20] {
		req := before[i].Request
		req.DeadlineMS = 1000
		resp, err := inside.Do(t.Context(), req)
		require.NoError(t, err)
		assert.Equal(t, api.Unknown, resp.Outcome, "the home of %s is unreachable", req.ID)
	}
	assert.Equal(t, offsetBefore, c.configOffset(isolatedHost), "the isolated host keeps its configuration")

	l.heal("fd-c")
	c.awaitConfigOffset(isolatedHost, report.Offset, 5*time.Second)
	for i := range before[:20] {
		resp, err := inside.Do(t.Context(), before[i].Request)
		require.NoError(t, err)
		assert.Equal(t, before[i].Response.Body, resp.Body, "the stored answer after the partition has healed")
	}
	c.checkGuarantees(append(before, during...))
}

// TestFailureDomainPowerCut guards against requests that run again after all
// hosts of their home failure domain have lost their records.
func TestFailureDomainPowerCut(t *testing.T) {
	c := newCluster(t, nil, 2, 1, 1)
	client := c.clientForDomain("fd-a")
	before, err := demo.Run(t.Context(), client, priceLoad(100), 1)
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
	after, err := demo.Run(t.Context(), client, priceLoad(100), 2)
	require.NoError(t, err)
	for i := range after {
		assert.NoError(t, after[i].Check(standin.ExpectedAnswer), "a new request after the power cut")
	}
	c.checkGuarantees(append(before, after...))
}

// TestLeavingWorker guards against tasks that start on a worker more than 3 s after
// the host list was changed to show it as leaving.
func TestLeavingWorker(t *testing.T) {
	c := newCluster(t, nil, 1, 1, 1)
	client := c.client()
	sent, err := demo.Run(t.Context(), client, priceLoad(100), 1)
	require.NoError(t, err)
	leaving := c.busiestWorker()
	listed := time.Now()
	c.platform.HostList.MarkLeaving(leaving.Info().Name)
	after, err := demo.Run(t.Context(), client, priceLoad(900), 2)
	require.NoError(t, err)
	sent = append(sent, after...)
	for _, e := range leaving.Journal().Events() {
		if e.Kind == standin.EventBegin {
			assert.Less(t, e.Time.Sub(listed), 3*time.Second, "task %s started after the limit", e.Task)
		}
	}
	c.checkGuarantees(sent)
}

// busiestWorker returns the worker with the most events in its journal.
func (c *cluster) busiestWorker() *standin.Worker {
	best, most := c.platform.Workers[0], 0
	for _, w := range c.platform.Workers {
		if n := len(w.Journal().Events()); n > most {
			best, most = w, n
		}
	}
	return best
}

// TestConfigurationInForce guards against a change that is not in effect on every
// host within 3 s, when replies to appends are lost and two operators publish
// conflicting changes at the same time.
func TestConfigurationInForce(t *testing.T) {
	c := newCluster(t, nil, 3, 2, 2)
	version := c.salesQuotaVersion()
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
		for _, host := range []int{0, 6} {
			go func() {
				id := fmt.Sprintf("change-%d-%d", i, host)
				r := c.publishSalesQuota(c.settings[host], id, version, 10+i)
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
			c.awaitConfigOffset(s, version, 3*time.Second)
		}
	}
}
