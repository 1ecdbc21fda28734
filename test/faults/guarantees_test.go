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

// configurationTimeout is the time within which every host must have applied an
// accepted configuration.
const configurationTimeout = 3 * time.Second

// TestConfigurationUnderLoad guards against a configuration that takes longer
// than 3 s to take effect on every host, or is rolled back on one, during a load
// surge or when all callers become active in the same second after a power cut.
func TestConfigurationUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		name        string
		load        []demo.Workload
		minAnswered float64
		powerCut    bool
	}{
		{name: "surge", load: []demo.Workload{priceLoad(6), surgeLoad("batch", 6)}, minAnswered: 0.1},
		{name: "same_second_after_power_cut", load: []demo.Workload{priceLoad(8)}, minAnswered: 0.3, powerCut: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCell(t, options{entryHosts: []int{2, 2, 2}, shape: smallShape})
			var changing errgroup.Group
			changing.Go(func() error {
				c.awaitTaskStarts(60)
				version := c.salesQuotaVersion(0)
				if tc.powerCut {
					// The last change is accepted right before the power cut.
					report := c.publishSalesQuota(0, "before-cut", version, 5)
					assert.Equal(t, configuration.StatusAccepted, report.Status)
					version = report.Offset
					c.powerCycleHosts()
					for i := range c.Settings {
						assert.Equal(t, version, c.salesQuotaVersion(i), "host %s is ready with an older configuration", c.Settings[i].Host)
					}
				}
				var activation errgroup.Group
				activation.Go(func() error {
					if tc.powerCut {
						c.sendCallerBurst()
					}
					return nil
				})
				for i := range 10 {
					report := c.publishSalesQuota(i%len(c.Settings), fmt.Sprintf("change-%d", i), version, 10+i)
					if !assert.Equal(t, configuration.StatusAccepted, report.Status) {
						break
					}
					version = report.Offset
					c.awaitConfigNoRollback(version, time.Now().Add(configurationTimeout))
				}
				return activation.Wait()
			})
			sent, err := demo.Run(t.Context(), c.client, tc.load, 1)
			require.NoError(t, err)
			require.NoError(t, changing.Wait())
			c.checkOutcomes(sent, tc.minAnswered)
		})
	}
}

// awaitConfigNoRollback waits until every host has applied an offset and requires
// that no host returns to an offset below one that it had applied.
func (c *cell) awaitConfigNoRollback(offset uint64, deadline time.Time) {
	applied := make([]uint64, len(c.Settings))
	for reached := 0; reached < len(applied); time.Sleep(pollInterval) {
		expired := time.Now().After(deadline)
		reached = 0
		for i := range applied {
			current := c.ConfigOffset(i)
			assert.GreaterOrEqual(c.t, current, applied[i], "host %s has rolled its configuration back", c.Settings[i].Host)
			if applied[i] = current; current >= offset {
				reached++
			} else if expired {
				assert.Fail(c.t, "not in effect after 3 s", "host %s has applied offset %d, not %d", c.Settings[i].Host, current, offset)
			}
		}
		if expired {
			return
		}
	}
}

// TestWrongSizes guards against tasks that run on two workers or have incomplete
// answers because tasks use far more or less resources than they declare: the
// scheduler's resource accounting then differs from what the workers report, and
// tasks are throttled or stopped. A stopped task must not run again elsewhere.
func TestWrongSizes(t *testing.T) {
	for _, stopOverrun := range []bool{false, true} {
		t.Run(fmt.Sprintf("stop=%t", stopOverrun), func(t *testing.T) {
			t.Parallel()
			c := newCell(t, options{shape: smallShape})
			if stopOverrun {
				c.publishBatchOverrun(contract.OverrunStop)
			}
			sent, err := demo.Run(t.Context(), c.client, misdeclaredLoad(6), 1)
			require.NoError(t, err)
			c.checkOutcomes(sent, 1)
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
				assert.Equal(t, 1, runs, "runs of %s", c.describeRequest(&sent[i]))
				assert.True(t, ended, "still running after its answer: %s", c.describeRequest(&sent[i]))
				if sent[i].Response.Failed {
					failed++
				}
			}
			assert.Equal(t, stopped, failed, "answers that report a stopped task")
			assert.Equal(t, stopOverrun, stopped > 0, "%d tasks were stopped", stopped)
		})
	}
}

// publishBatchOverrun changes the batch profile so that action is the only measure
// against tasks that exceed their declared resources.
func (c *cell) publishBatchOverrun(action contract.OverrunAction) {
	var changes []contract.Change
	require.NoError(c.t, c.callOperatorAPI(0, fasthttp.MethodGet, "/v1/config/history?kind=profile&name=batch", nil, &changes))
	profile := contract.Sample().Profiles["batch"]
	profile.Overrun = []contract.OverrunAction{action}
	value, err := json.Marshal(profile)
	require.NoError(c.t, err)
	var report operator.PublishReport
	require.NoError(c.t, c.callOperatorAPI(0, fasthttp.MethodPost, "/v1/publish", map[string]any{
		"publish_id": "batch-profile", "kind": "profile", "name": "batch", "based_on": changes[len(changes)-1].Offset, "author": "test",
		"value": json.RawMessage(value),
	}, &report))
	require.Equal(c.t, configuration.StatusAccepted, report.Status)
	c.awaitConfigNoRollback(report.Offset, time.Now().Add(configurationTimeout))
}

// appendDuplicate appends a copy of the log record at an offset to the log and
// returns the offset of the copy.
func (c *cell) appendDuplicate(offset uint64) uint64 {
	reply, err := c.platform.Log.Read(c.t.Context(), offset, 1)
	if !assert.NoError(c.t, err) || !assert.NotEmpty(c.t, reply.Records) {
		return 0
	}
	duplicate, err := c.platform.Log.Append(c.t.Context(), reply.Records[0].Data)
	assert.NoError(c.t, err)
	return duplicate
}

// fillLoad is a load of small tasks that occupies 125 slots.
func fillLoad(team string) demo.Workload {
	return demo.Workload{Name: "fill", Service: "batch", Team: team, Requests: 500, RequestsPerSecond: 125, RunMS: 1000, Deadline: time.Minute, AnswerBytes: 100,
		Resources: api.Resources{MilliCPU: 500, MemoryMiB: 256}}
}
