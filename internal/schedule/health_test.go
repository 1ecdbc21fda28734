package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// TestFailingWorkersAreQuarantined guards against a worker that fails its tasks
// and attracts more work because it is always free, and against the quarantine of
// healthy workers for failures that the work itself causes.
func TestFailingWorkersAreQuarantined(t *testing.T) {
	bad := func(workers ...string) func(string, string, *rand.Rand) bool {
		return func(w, _ string, _ *rand.Rand) bool { return slices.Contains(workers, w) }
	}
	for name, c := range map[string]struct {
		fails           func(w, service string, rng *rand.Rand) bool
		maxFailuresIdle int // maximum failures while other workers have room: two and, once quarantined, five probes per worker
		maxFailuresBusy int // maximum failures while they have none
		maxQuarantined  int // quarantined workers at the end
		services        []string
	}{
		"one worker fails everything":     {fails: bad("w7"), maxFailuresIdle: 2, maxFailuresBusy: 30, maxQuarantined: 1, services: []string{"desk"}},
		"three workers fail everything":   {fails: bad("w3", "w7", "w9"), maxFailuresIdle: 6, maxFailuresBusy: 90, maxQuarantined: 3, services: []string{"desk"}},
		"eight of 20 workers fail":        {fails: bad("w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"), maxFailuresIdle: 8 * 7, maxFailuresBusy: 4000, maxQuarantined: 5, services: []string{"desk"}},
		"one service fails everywhere":    {fails: func(_, s string, _ *rand.Rand) bool { return s == "batch" }, maxFailuresIdle: 2000, maxFailuresBusy: 2000, services: []string{"desk", "batch"}},
		"all work fails everywhere":       {fails: func(string, string, *rand.Rand) bool { return true }, maxFailuresIdle: 4000, maxFailuresBusy: 4000, services: []string{"desk"}},
		"a fifth of the tasks fails":      {fails: func(_, _ string, r *rand.Rand) bool { return r.IntN(5) == 0 }, maxFailuresIdle: 4000, maxFailuresBusy: 4000, services: []string{"desk"}},
		"one worker and one service fail": {fails: func(w, s string, _ *rand.Rand) bool { return w == "w7" || s == "batch" }, maxFailuresIdle: 2000 + 7, maxFailuresBusy: 2030, maxQuarantined: 1, services: []string{"desk", "batch"}},
	} {
		for _, maxRunning := range []int{60, 1000} {
			t.Run(fmt.Sprint(name, " at ", maxRunning), func(t *testing.T) {
				f := newFixture()
				f.changeProfile("desk", func(p *contract.Profile) { p.Placement.Strategy = contract.LeastLoaded })
				for i := range 20 {
					f.gain(fmt.Sprint("w", i), capacity(32, 0))
				}
				rng := rand.New(rand.NewPCG(1, 1))
				var running []*Placement
				failed := 0
				for step := range 4000 {
					f.now = f.now.Add(10 * time.Millisecond)
					s := c.services[step%len(c.services)]
					r := f.submit(Job{ID: fmt.Sprint(step), Team: fmt.Sprint("team", step%4), Service: s})
					if r.placement == nil {
						r.cancel()
					} else if w := r.placement.Members[0].Worker; c.fails(w, s, rng) {
						failed++
						r.placement.Release(0, TaskResult{Ran: true, Failed: true, RunTime: time.Millisecond})
					} else {
						running = append(running, r.placement)
					}
					if len(running) > 0 && (r.placement == nil || len(running) > maxRunning) {
						running[0].Release(0, TaskResult{Ran: true, RunTime: 100 * time.Millisecond})
						running = running[1:]
					}
					if step%10 == 0 {
						f.Tick()
					}
				}
				limit := c.maxFailuresIdle
				if maxRunning > 160 {
					limit = c.maxFailuresBusy
				}
				require.LessOrEqual(t, failed, limit)
				require.LessOrEqual(t, len(f.health.quarantined), c.maxQuarantined)
				if maxRunning > 160 {
					// The demand exceeds all slots, so bad workers get work too.
					require.Len(t, f.health.quarantined, c.maxQuarantined)
				}
				f.checkInvariants(t)
			})
		}
	}
}

// TestQuarantineProbe checks how a quarantined worker returns to service: it gets one task
// at a time, and all of its slots are used again once such a task succeeds. The
// loss of its lease does not end the quarantine; only a restart of the worker would.
func TestQuarantineProbe(t *testing.T) {
	f := newFixture()
	f.gain("w0", capacity(32, 0))
	for i := range 20 {
		only := f.submit(Job{ID: fmt.Sprint("only", i), Team: "team0", Service: "batch"})
		require.NotNil(t, only.placement, "the only worker was quarantined")
		only.placement.Release(0, TaskResult{Ran: true, Failed: true})
	}
	w := f.workers["w0"]
	w.health.probeBackoff = minProbeBackoff
	f.quarantine(w, f.now)
	first := f.submit(Job{ID: "1", Team: "team0", Service: "batch"})
	second := f.submit(Job{ID: "2", Team: "team0", Service: "batch"})
	f.Tick()
	require.Nil(t, first.placement)
	f.now = f.now.Add(minProbeBackoff)
	f.Tick()
	require.NotNil(t, first.placement)
	f.Tick()
	require.Nil(t, second.placement, "a second task started before the probe ended")
	first.placement.Release(0, TaskResult{})
	f.Tick()
	require.NotNil(t, second.placement, "a probe that did not start was not offered again")
	second.placement.Release(0, TaskResult{Ran: true, Failed: true})
	f.LeaseLost("w0")
	f.gain("w0", capacity(32, 0))
	third := f.submit(Job{ID: "3", Team: "team0", Service: "batch"})
	require.Nil(t, third.placement, "the loss of the lease ended the quarantine")
	f.now = f.now.Add(maxProbeBackoff)
	f.Tick()
	require.NotNil(t, third.placement)
	fourth := f.submit(Job{ID: "4", Team: "team0", Service: "batch"})
	fifth := f.submit(Job{ID: "5", Team: "team0", Service: "batch"})
	third.placement.Release(0, TaskResult{Ran: true})
	require.NotNil(t, fourth.placement, "the worker did not get all slots back after a successful probe")
	require.NotNil(t, fifth.placement, "the worker did not get all slots back after a successful probe")
	f.checkInvariants(t)
}

// TestLedgerCases guards against capacity that is leaked or allocated twice when
// the loss of a worker, the adoption of a task and the end of a task come in
// different orders.
func TestLedgerCases(t *testing.T) {
	job := Job{ID: "j", Team: "team0", Service: "batch", Resources: cores(20)}
	next := Job{ID: "k", Team: "team0", Service: "batch", Resources: cores(20)}
	task := worker.Task{ID: job.TaskID(0), State: worker.TaskRunning, Team: "team0", Service: "batch", Resources: cores(20)}
	ended := task
	ended.State = worker.TaskEnded
	for name, c := range map[string]struct {
		do       func(f *fixture, p *Placement)
		nextFits bool // whether the worker has room for next
	}{
		"nothing":                          {do: func(*fixture, *Placement) {}},
		"released":                         {nextFits: true, do: func(_ *fixture, p *Placement) { p.Release(0, TaskResult{}) }},
		"ended":                            {nextFits: true, do: func(f *fixture, _ *Placement) { f.TaskEnded("w0", ended); f.TaskEnded("w0", ended) }},
		"lost and gained before the start": {do: func(f *fixture, _ *Placement) { f.LeaseLost("w0"); f.gain("w0", capacity(32, 0)) }},
		"lost and gained while it runs":    {do: func(f *fixture, _ *Placement) { f.LeaseLost("w0"); f.gain("w0", capacity(32, 0), task) }},
		"released as lost, still runs": {do: func(f *fixture, p *Placement) {
			f.LeaseLost("w0")
			p.Release(0, TaskResult{})
			f.gain("w0", capacity(32, 0), task)
		}},
		"adopted, then released as lost": {do: func(f *fixture, p *Placement) {
			f.LeaseLost("w0")
			f.gain("w0", capacity(32, 0), task)
			p.Release(0, TaskResult{})
		}},
		"adopted, then its answer came": {nextFits: true, do: func(f *fixture, p *Placement) {
			f.LeaseLost("w0")
			f.gain("w0", capacity(32, 0), task)
			p.Release(0, TaskResult{Ran: true})
		}},
		"adopted, then ended": {nextFits: true, do: func(f *fixture, _ *Placement) { f.gain("w0", capacity(32, 0), task); f.TaskEnded("w0", ended) }},
		"leaving":             {do: func(f *fixture, p *Placement) { f.WorkerLeaving("w0"); p.Release(0, TaskResult{}) }},
		"leaving is kept over a loss": {do: func(f *fixture, p *Placement) {
			f.WorkerLeaving("w0")
			p.Release(0, TaskResult{})
			f.LeaseLost("w0")
			f.gain("w0", capacity(32, 0))
		}},
		"back with a new incarnation": {nextFits: true, do: func(f *fixture, p *Placement) {
			f.WorkerLeaving("w0")
			p.Release(0, TaskResult{})
			f.LeaseLost("w0")
			f.LeaseAcquired(worker.Info{Name: "w0", Incarnation: "2"}, capacity(32, 0), nil)
		}},
		"outgrew its size": {do: func(f *fixture, p *Placement) {
			p.Release(0, TaskResult{})
			f.submit(Job{ID: "s", Team: "team0", Service: "batch"})
			f.UsageMeasured("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{"s#0.0": cores(16)}})
		}},
		"uses less than declared": {do: func(f *fixture, _ *Placement) {
			f.UsageMeasured("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{job.TaskID(0): cores(1)}})
		}},
		"shrank to its declared size": {nextFits: true, do: func(f *fixture, p *Placement) {
			p.Release(0, TaskResult{})
			f.submit(Job{ID: "s", Team: "team0", Service: "batch"})
			f.UsageMeasured("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{"s#0.0": cores(16)}})
			f.UsageMeasured("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{"s#0.0": cores(2)}})
		}},
		"one task number placed twice": {do: func(f *fixture, p *Placement) {
			p.Release(0, TaskResult{})
			for range 2 {
				f.submit(Job{ID: "s", Team: "team0", Service: "batch", Resources: cores(8)})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.gain("w0", capacity(32, 0))
			first := f.submit(job)
			require.NotNil(t, first.placement)
			c.do(f, first.placement)
			require.Equal(t, c.nextFits, f.submit(next).placement != nil)
			f.checkInvariants(t)
		})
	}
}

// TestUsageReportFreesCapacity guards against jobs that still wait after a usage
// report shows that a running task uses less than before.
func TestUsageReportFreesCapacity(t *testing.T) {
	f := newFixture()
	f.gain("w0", capacity(32, 0))
	f.submit(Job{ID: "s", Team: "team0", Service: "batch"})
	measure := func(n int64) {
		f.UsageMeasured("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{"s#0.0": cores(n)}})
	}
	measure(16)
	next := f.submit(Job{ID: "n", Team: "team0", Service: "batch", Resources: cores(20)})
	require.Nil(t, next.placement)
	measure(2)
	require.NotNil(t, next.placement)
}

// TestEstimates checks the estimates for tasks whose declared size or run time is
// wrong, and the maximum number of history records.
func TestEstimates(t *testing.T) {
	f := newFixture()
	f.gain("w0", capacity(32, 0))
	for i := range 20 {
		r := f.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "desk"})
		id := Job{ID: fmt.Sprint(i)}.TaskID(0)
		f.UsageMeasured("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{id: cores(10)}})
		r.placement.Release(0, TaskResult{Ran: true, RunTime: 3 * time.Second})
	}
	p, _ := f.TryReserve(Job{ID: "p", Team: "team0", Service: "desk"}, 8)
	require.Len(t, p.Members, 2, "not planned with the estimate of 10 to 12 cores")
	d, ok := f.history.estimateRunTime("desk", "team0")
	require.True(t, ok)
	require.InDelta(t, 3.0, d.Seconds(), 0.7)
	p.ReleaseAll(TaskResult{})
	other, _ := f.TryReserve(Job{ID: "o", Team: "team1", Service: "desk"}, 8)
	require.Len(t, other.Members, 8, "the estimate of another team was used")
	other.ReleaseAll(TaskResult{})
	for range minObservations {
		f.history.observeSize("desk", "team2", cores(100))
	}
	outgrown := f.submit(Job{ID: "g", Team: "team2", Service: "desk"})
	require.NotNil(t, outgrown.placement, "an estimated size larger than every worker kept the job from running")
	outgrown.placement.Release(0, TaskResult{})
	large := f.submit(Job{ID: "l", Team: "team0", Service: "desk", Resources: cores(31)})
	require.NotNil(t, large.placement)
	for i := range 3 * maxHistoryRecords {
		f.history.observeRunTime("desk", fmt.Sprint("t", i), time.Second)
	}
	require.Len(t, f.history.records, maxHistoryRecords)
	require.Len(t, f.history.list, maxHistoryRecords)
}

// TestOverruns checks the order of the actions against an overrun, and the time
// after each action in which its effect can show in a measurement.
func TestOverruns(t *testing.T) {
	f := newFixture()
	f.changeProfile("batch", func(p *contract.Profile) {
		p.Overrun, p.OverrunPercent = []contract.OverrunAction{contract.OverrunThrottle, contract.OverrunStop}, 150
	})
	f.gain("w0", capacity(32, 0))
	f.submit(Job{ID: "1", Team: "team0", Service: "batch"})
	for _, step := range []struct {
		cores  int64
		at     time.Duration
		action contract.OverrunAction
	}{{5, 0, ""}, {6, 1, ""}, {7, 1, contract.OverrunThrottle}, {7, 3, ""}, {5, 9, ""}, {7, 10, contract.OverrunStop}, {7, 20, ""}} {
		f.now = time.Unix(1000, 0).Add(step.at * time.Second)
		f.UsageMeasured("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{"1#0.0": cores(step.cores)}})
		actions := f.TakeOverrunActions()
		if step.action == "" {
			require.Empty(t, actions, "%+v", step)
			continue
		}
		require.Equal(t, []OverrunAction{{Worker: "w0", Task: "1#0.0", Kind: step.action, Limit: cores(4)}}, actions)
	}
}
