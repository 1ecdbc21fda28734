package faults

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/configuration"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/standin"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// drainFault is a fault while an entry host stops as planned.
type drainFault struct {
	name, guards string
	entryHosts   []int
	load         []demo.Workload
	// strike causes the fault while host 1 drains; nil if the load is the fault.
	strike func(c *cell)
	// restarts is set if the fault restarts a worker, which makes the outcome of
	// the tasks that it ends unknown.
	restarts bool
}

var drainFaults = []drainFault{
	{
		name: "host_dies", guards: "requests of a stopping host whose successor dies", entryHosts: []int{3, 2, 2},
		strike: func(c *cell) {
			c.Abort(0)
			time.Sleep(time.Second)
			c.restart(0)
		},
	},
	{
		name: "worker_restarts", guards: "tasks that are lost between the old holder and its successor", restarts: true,
		strike: func(c *cell) { c.platform.Workers[0].Restart() },
	},
	{
		name: "bad_worker", guards: "requests that fail on a bad worker and are told as unknown",
		strike: func(c *cell) { c.platform.Workers[0].SetFailMode(standin.FailImmediately) },
	},
	{
		// 600 s of work arrive in 2 s at 72 slots. The deadline is far off, so that
		// no outcome is unknown because of it.
		name: "surge", guards: "the queue of a stopping host that is dropped",
		load: []demo.Workload{prices(6), {Name: "surge", Service: "batch", Team: "research", Requests: 2000, RequestsPerSecond: 1000, RunMS: 300, Deadline: time.Minute, AnswerBytes: 100,
			Resources: api.Resources{MilliCPU: 500, MemoryMiB: 256}}},
	},
	{
		name: "cancellations", guards: "requests that a wave of cancellations cuts off besides the cancelled ones",
		strike: func(c *cell) { c.cancelWave(200, func() { time.Sleep(300 * time.Millisecond) }) },
	},
	{
		name: "wrong_sizes", guards: "tasks larger than declared that are stopped or lost in the hand-over",
		load: wrongSizes(6),
	},
	{
		name: "publish", guards: "a publish through a stopping host that fails, and requests that the change cuts off",
		strike: func(c *cell) {
			report := c.publish(0, "while-draining", c.salesVersion(0), 7)
			assert.Equal(c.t, configuration.StatusAccepted, report.Status)
		},
	},
}

// long is work that runs longer than one question of a new record keeper about
// it, 2 s.
var long = demo.Workload{Name: "long", Service: "batch", Team: "planning", Requests: 20, RequestsPerSecond: 5, RunMS: 3000, Deadline: time.Minute, AnswerBytes: 500}

// TestPlannedStop guards against requests that a planned stop cuts off under a
// fault at the same time: each request has to get its whole answer. In no case
// may the stop make an outcome unknown or a refusal necessary, since another
// host takes every request over. Some requests come from a client that knows only
// the stopping host, since a retry at another host would hide that it cut the
// request off.
//
// The restart of a worker makes the outcomes of the tasks that it ends unknown.
// These are told from those of the stop by the worker's journal, which has the
// end of such a task with the state unknown. The outcomes of the cancelled jobs
// only have to be true.
func TestPlannedStop(t *testing.T) {
	for _, f := range drainFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			passOver(t)
			if f.entryHosts == nil {
				f.entryHosts = []int{2, 2, 2}
			}
			c := newCell(t, options{entryHosts: f.entryHosts, shape: smallShape})
			t.Logf("guards against %s", f.guards)
			direct, err := api.NewClient(api.ClientOptions{Addresses: c.CallerAddresses()[1:2]})
			require.NoError(t, err)
			defer direct.Close()
			var sentDirect []demo.Result
			var striking errgroup.Group
			striking.Go(func() error {
				c.awaitRuns(100)
				var stopping errgroup.Group
				stopping.Go(func() error {
					// The last of them is sent well within the second after which a
					// balancer has taken the host out of its rotation.
					kinds := []demo.Workload{prices(1), long}
					kinds[0].Requests, kinds[1].Requests, kinds[1].RequestsPerSecond = 40, 8, 20
					var err error
					sentDirect, err = demo.Run(t.Context(), direct, kinds, 2)
					return err
				})
				time.Sleep(200 * time.Millisecond)
				stopping.Go(func() error { return c.Drain(1) })
				// The host has left its failure domain, and its requests run.
				time.Sleep(50 * time.Millisecond)
				if f.strike != nil {
					f.strike(c)
				}
				assert.NoError(t, stopping.Wait())
				c.restart(1)
				return nil
			})
			load := f.load
			if load == nil {
				// The long tasks run when the host has gone.
				load = []demo.Workload{prices(6), long}
			}
			sent, err := demo.Run(t.Context(), c.client, load, 1)
			require.NoError(t, err)
			require.NoError(t, striking.Wait())
			sent = append(sent, sentDirect...)
			c.check(sent, 0.9)
			for i := range sent {
				s := &sent[i]
				excused := f.restarts && s.Response.Outcome == api.Unknown && c.endedByRestart(s.Request.ID)
				assert.True(t, s.Response.Outcome == api.Answered || excused, "cut off: %s", c.trace(s))
			}
		})
	}
}

// wrongSizes is a load of tasks that use far more or far less than they
// declare, beside tasks that use what they declare.
func wrongSizes(seconds int) []demo.Workload {
	price, large := prices(seconds), prices(seconds)
	price.Requests, price.RequestsPerSecond = 50*seconds, 50
	large.Name, large.Requests, large.RequestsPerSecond, large.RunMS = "price_large", 20*seconds, 20, 300
	large.ActualUsage = &api.Resources{MilliCPU: 8000, MemoryMiB: 8192}
	report := func(name string, use api.Resources, idempotent bool) demo.Workload {
		return demo.Workload{Name: name, Service: "batch", Team: "planning", Requests: 8 * seconds, RequestsPerSecond: 8, RunMS: 1000, Deadline: time.Minute, AnswerBytes: 500,
			ActualUsage: &use, Idempotent: idempotent}
	}
	return []demo.Workload{
		price, large,
		report("report_large", api.Resources{MilliCPU: 12_000, MemoryMiB: 24 << 10}, false),
		report("report_large_idempotent", api.Resources{MilliCPU: 12_000, MemoryMiB: 24 << 10}, true),
		report("report_small", api.Resources{MilliCPU: 100, MemoryMiB: 64}, false),
	}
}

// taskEvents calls f with each event of a request's tasks in the journals.
func (c *cell) taskEvents(id string, f func(j *standin.Journal, e standin.Event)) {
	for _, j := range c.platform.Journals() {
		for _, e := range j.Events() {
			if request, _, _ := standin.SplitTaskID(e.Task); request == id {
				f(j, e)
			}
		}
	}
}

// endedByRestart reports whether a restart of its worker ended a task of the
// request.
func (c *cell) endedByRestart(id string) (ended bool) {
	c.taskEvents(id, func(_ *standin.Journal, e standin.Event) {
		ended = ended || e.Kind == standin.EventEnd && e.State == worker.TaskUnknown
	})
	return ended
}

// trace tells what is known of a request.
func (c *cell) trace(s *demo.Result) string {
	out := fmt.Sprintf("%s of kind %s: %s %s %s after %s", s.Request.ID, s.Workload.Name, s.Response.Outcome, s.Response.Reason, s.Response.Detail, s.Latency)
	c.taskEvents(s.Request.ID, func(j *standin.Journal, e standin.Event) {
		out += fmt.Sprintf("; %s %s %s on %s by %s at %s", e.Task, e.Kind, e.State, j.Worker(), e.Holder, e.Time.Format("05.000"))
	})
	return out
}
