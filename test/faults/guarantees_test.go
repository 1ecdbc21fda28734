package faults

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/configuration"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/operator"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// inForceLimit is the time within which an accepted configuration is in force.
const inForceLimit = 3 * time.Second

// TestConfigurationUnderLoad guards against a configuration that takes longer
// than 3 s to be in force on every host, or goes back, while a load surges or
// while all callers become active in the same second after a power cut.
func TestConfigurationUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		name  string
		load  []demo.Workload
		least float64
		cut   bool
	}{
		{name: "surge", load: []demo.Workload{prices(6), surging("batch", 6)}, least: 0.1},
		{name: "same_second_after_power_cut", load: []demo.Workload{prices(8)}, least: 0.3, cut: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCell(t, options{entryHosts: []int{2, 2, 2}, shape: smallShape})
			var changing errgroup.Group
			changing.Go(func() error {
				c.awaitRuns(60)
				version := c.salesVersion(0)
				if tc.cut {
					// The last change is accepted right before the cut.
					report := c.publish(0, "before-cut", version, 5)
					assert.Equal(t, configuration.StatusAccepted, report.Status)
					version = report.Offset
					c.cutPower()
					for i := range c.Settings {
						assert.Equal(t, version, c.salesVersion(i), "host %s serves and has gone back", c.Settings[i].Host)
					}
				}
				var waking errgroup.Group
				waking.Go(func() error {
					if tc.cut {
						c.becomeActive()
					}
					return nil
				})
				for i := range 10 {
					report := c.publish(i%len(c.Settings), fmt.Sprintf("change-%d", i), version, 10+i)
					if !assert.Equal(t, configuration.StatusAccepted, report.Status) {
						break
					}
					version = report.Offset
					c.awaitInForce(version, time.Now().Add(inForceLimit))
				}
				return waking.Wait()
			})
			sent, err := demo.Run(t.Context(), c.client, tc.load, 1)
			require.NoError(t, err)
			require.NoError(t, changing.Wait())
			c.check(sent, tc.least)
		})
	}
}

// awaitInForce waits until every host has applied an offset, and requires that
// no host falls back from an offset that it had applied.
func (c *cell) awaitInForce(offset uint64, deadline time.Time) {
	applied := make([]uint64, len(c.Settings))
	for ahead := 0; ahead < len(applied); time.Sleep(poll) {
		late := time.Now().After(deadline)
		ahead = 0
		for i := range applied {
			now := c.ConfigOffset(i)
			assert.GreaterOrEqual(c.t, now, applied[i], "host %s has gone back", c.Settings[i].Host)
			if applied[i] = now; now >= offset {
				ahead++
			} else if late {
				assert.Fail(c.t, "not in force after 3 s", "host %s has applied offset %d, not %d", c.Settings[i].Host, now, offset)
			}
		}
		if late {
			return
		}
	}
}

// TestWrongSizes guards against tasks that run in two places or whose answers
// are not whole because tasks are far larger or smaller than declared: the
// ledger then differs from what the workers report, and tasks are throttled or
// stopped. A stopped task must not run again elsewhere.
func TestWrongSizes(t *testing.T) {
	for _, stop := range []bool{false, true} {
		t.Run(fmt.Sprintf("stop=%t", stop), func(t *testing.T) {
			t.Parallel()
			c := newCell(t, options{shape: smallShape})
			if stop {
				c.publishBatchProfile(contract.OverrunStop)
			}
			sent, err := demo.Run(t.Context(), c.client, wrongSizes(6), 1)
			require.NoError(t, err)
			c.check(sent, 1)
			failed, stopped := 0, 0
			for i := range sent {
				runs, ended := 0, true
				c.taskEvents(sent[i].Request.ID, func(j *standin.Journal, e standin.Event) {
					switch e.Kind {
					case standin.EventBegin:
						runs++
						ended = false
					case standin.EventEnd:
						ended = true
						if e.State == "stopped" {
							stopped++
						}
					}
				})
				assert.Equal(t, 1, runs, "runs of %s", c.trace(&sent[i]))
				assert.True(t, ended, "it runs after its answer: %s", c.trace(&sent[i]))
				if sent[i].Response.Failed {
					failed++
				}
			}
			assert.Equal(t, stopped, failed, "answers that tell that the task was stopped")
			assert.Equal(t, stop, stopped > 0, "%d tasks were stopped", stopped)
		})
	}
}

// publishBatchProfile makes an action the first one against batch tasks that
// outgrow their declared size.
func (c *cell) publishBatchProfile(action contract.Overrun) {
	var changes []contract.Change
	require.NoError(c.t, c.operator(0, fasthttp.MethodGet, "/v1/config/history?kind=profile&name=batch", nil, &changes))
	profile := contract.Sample().Profiles["batch"]
	profile.Overrun = []contract.Overrun{action}
	value, err := json.Marshal(profile)
	require.NoError(c.t, err)
	var report operator.PublishReport
	require.NoError(c.t, c.operator(0, fasthttp.MethodPost, "/v1/publish", map[string]any{
		"publish_id": "batch-profile", "kind": "profile", "name": "batch", "based_on": changes[len(changes)-1].Offset, "author": "test",
		"value": json.RawMessage(value),
	}, &report))
	require.Equal(c.t, configuration.StatusAccepted, report.Status)
	c.awaitInForce(report.Offset, time.Now().Add(inForceLimit))
}

// appendAgain appends a copy of the log record at an offset and returns the
// offset of the copy.
func (c *cell) appendAgain(offset uint64) uint64 {
	reply, err := c.platform.Log.Read(c.t.Context(), offset, 1)
	if !assert.NoError(c.t, err) || !assert.NotEmpty(c.t, reply.Records) {
		return 0
	}
	again, err := c.platform.Log.Append(c.t.Context(), reply.Records[0].Data)
	assert.NoError(c.t, err)
	return again
}

// filling is small work for 125 slots.
func filling(team string) demo.Workload {
	return demo.Workload{Name: "fill", Service: "batch", Team: team, Requests: 500, RequestsPerSecond: 125, RunMS: 1000, Deadline: time.Minute, AnswerBytes: 100,
		Resources: api.Resources{MilliCPU: 500, MemoryMiB: 256}}
}
