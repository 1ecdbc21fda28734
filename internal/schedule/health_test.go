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

// TestBadWorkers guards against a worker that fails what it starts and
// attracts work because it is always free, and against healthy workers that
// are set aside for what the work itself does.
func TestBadWorkers(t *testing.T) {
	bad := func(workers ...string) func(string, string, *rand.Rand) bool {
		return func(w, _ string, _ *rand.Rand) bool { return slices.Contains(workers, w) }
	}
	for name, c := range map[string]struct {
		fails   func(w, service string, rng *rand.Rand) bool
		light   int // failures at most when there is room on other workers: two and, once aside, five probes a worker
		full    int // failures at most when there is none
		aside   int // workers set aside at the end
		service []string
	}{
		"one worker fails everything":    {fails: bad("w7"), light: 2, full: 30, aside: 1, service: []string{"desk"}},
		"three workers fail everything":  {fails: bad("w3", "w7", "w9"), light: 6, full: 90, aside: 3, service: []string{"desk"}},
		"eight of 20 workers fail":       {fails: bad("w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"), light: 8 * 7, full: 4000, aside: 5, service: []string{"desk"}},
		"one service fails everywhere":   {fails: func(_, s string, _ *rand.Rand) bool { return s == "batch" }, light: 2000, full: 2000, service: []string{"desk", "batch"}},
		"all work fails everywhere":      {fails: func(string, string, *rand.Rand) bool { return true }, light: 4000, full: 4000, service: []string{"desk"}},
		"a fifth fails at random":        {fails: func(_, _ string, r *rand.Rand) bool { return r.IntN(5) == 0 }, light: 4000, full: 4000, service: []string{"desk"}},
		"one worker beside failing work": {fails: func(w, s string, _ *rand.Rand) bool { return w == "w7" || s == "batch" }, light: 2000 + 7, full: 2030, aside: 1, service: []string{"desk", "batch"}},
	} {
		for _, most := range []int{60, 1000} {
			t.Run(fmt.Sprint(name, " at ", most), func(t *testing.T) {
				b := newFixture()
				b.alter("desk", func(p *contract.Profile) { p.Placement.Strategy = contract.LeastLoaded })
				for i := range 20 {
					b.gain(fmt.Sprint("w", i), capacity(32, 0))
				}
				rng := rand.New(rand.NewPCG(1, 1))
				var running []*Placement
				failed := 0
				for step := range 4000 {
					b.now = b.now.Add(10 * time.Millisecond)
					s := c.service[step%len(c.service)]
					r := b.submit(Job{ID: fmt.Sprint(step), Team: fmt.Sprint("team", step%4), Service: s})
					if r.placement == nil {
						r.cancel()
					} else if w := r.placement.Members[0].Worker; c.fails(w, s, rng) {
						failed++
						r.placement.Release(0, TaskResult{Ran: true, Failed: true, RunTime: time.Millisecond})
					} else {
						running = append(running, r.placement)
					}
					if len(running) > 0 && (r.placement == nil || len(running) > most) {
						running[0].Release(0, TaskResult{Ran: true, RunTime: 100 * time.Millisecond})
						running = running[1:]
					}
					if step%10 == 0 {
						b.Tick()
					}
				}
				limit := c.light
				if most > 160 {
					limit = c.full
				}
				require.LessOrEqual(t, failed, limit)
				require.LessOrEqual(t, len(b.health.aside), c.aside)
				if most > 160 {
					// All slots are asked for, those of bad workers too.
					require.Len(t, b.health.aside, c.aside)
				}
				b.check(t)
			})
		}
	}
}

// TestProbe guards the way back: a worker that is set aside gets one task at
// a time, and all of its slots once that task succeeds. The loss of its lease
// does not clear its record; a restart does.
func TestProbe(t *testing.T) {
	b := newFixture()
	b.gain("w0", capacity(32, 0))
	for i := range 20 {
		only := b.submit(Job{ID: fmt.Sprint("only", i), Team: "team0", Service: "batch"})
		require.NotNil(t, only.placement, "the only worker was set aside")
		only.placement.Release(0, TaskResult{Ran: true, Failed: true})
	}
	n := b.nodes["w0"]
	n.state.backoff = firstProbe
	b.setAside(n, b.now)
	first := b.submit(Job{ID: "1", Team: "team0", Service: "batch"})
	second := b.submit(Job{ID: "2", Team: "team0", Service: "batch"})
	b.Tick()
	require.Nil(t, first.placement)
	b.now = b.now.Add(firstProbe)
	b.Tick()
	require.NotNil(t, first.placement)
	b.Tick()
	require.Nil(t, second.placement, "a second task before the probe ended")
	first.placement.Release(0, TaskResult{})
	b.Tick()
	require.NotNil(t, second.placement, "a probe that did not start is offered again")
	second.placement.Release(0, TaskResult{Ran: true, Failed: true})
	b.Lost("w0")
	b.gain("w0", capacity(32, 0))
	third := b.submit(Job{ID: "3", Team: "team0", Service: "batch"})
	require.Nil(t, third.placement, "the loss of the lease cleared the record")
	b.now = b.now.Add(lastProbe)
	b.Tick()
	require.NotNil(t, third.placement)
	fourth := b.submit(Job{ID: "4", Team: "team0", Service: "batch"})
	fifth := b.submit(Job{ID: "5", Team: "team0", Service: "batch"})
	third.placement.Release(0, TaskResult{Ran: true})
	require.NotNil(t, fourth.placement, "restored")
	require.NotNil(t, fifth.placement, "restored")
	b.check(t)
}

// TestLedgerCases guards capacity at the seams between a loss, an adoption
// and the end of a task.
func TestLedgerCases(t *testing.T) {
	job := Job{ID: "j", Team: "team0", Service: "batch", Resources: cores(20)}
	next := Job{ID: "k", Team: "team0", Service: "batch", Resources: cores(20)}
	task := worker.Task{ID: job.TaskID(0), State: worker.TaskRunning, Team: "team0", Service: "batch", Resources: cores(20)}
	ended := task
	ended.State = worker.TaskEnded
	for name, c := range map[string]struct {
		do   func(b *fixture, p *Placement)
		room bool // for next
	}{
		"nothing":                          {do: func(*fixture, *Placement) {}},
		"released":                         {room: true, do: func(_ *fixture, p *Placement) { p.Release(0, TaskResult{}) }},
		"ended":                            {room: true, do: func(b *fixture, _ *Placement) { b.TaskEnded("w0", ended); b.TaskEnded("w0", ended) }},
		"lost and gained before the start": {do: func(b *fixture, _ *Placement) { b.Lost("w0"); b.gain("w0", capacity(32, 0)) }},
		"lost and gained while it runs":    {do: func(b *fixture, _ *Placement) { b.Lost("w0"); b.gain("w0", capacity(32, 0), task) }},
		"released as lost, still runs": {do: func(b *fixture, p *Placement) {
			b.Lost("w0")
			p.Release(0, TaskResult{})
			b.gain("w0", capacity(32, 0), task)
		}},
		"adopted, then released as lost": {do: func(b *fixture, p *Placement) {
			b.Lost("w0")
			b.gain("w0", capacity(32, 0), task)
			p.Release(0, TaskResult{})
		}},
		"adopted, then its answer came": {room: true, do: func(b *fixture, p *Placement) {
			b.Lost("w0")
			b.gain("w0", capacity(32, 0), task)
			p.Release(0, TaskResult{Ran: true})
		}},
		"adopted, then ended": {room: true, do: func(b *fixture, _ *Placement) { b.gain("w0", capacity(32, 0), task); b.TaskEnded("w0", ended) }},
		"leaving":             {do: func(b *fixture, p *Placement) { b.Leaving("w0"); p.Release(0, TaskResult{}) }},
		"leaving is kept over a loss": {do: func(b *fixture, p *Placement) {
			b.Leaving("w0")
			p.Release(0, TaskResult{})
			b.Lost("w0")
			b.gain("w0", capacity(32, 0))
		}},
		"back with a new incarnation": {room: true, do: func(b *fixture, p *Placement) {
			b.Leaving("w0")
			p.Release(0, TaskResult{})
			b.Lost("w0")
			b.Gained(worker.Info{Name: "w0", Incarnation: "2"}, capacity(32, 0), nil)
		}},
		"outgrew its size": {do: func(b *fixture, p *Placement) {
			p.Release(0, TaskResult{})
			b.submit(Job{ID: "s", Team: "team0", Service: "batch"})
			b.Usage("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{"s#0.0": cores(16)}})
		}},
		"uses less than declared": {do: func(b *fixture, _ *Placement) {
			b.Usage("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{job.TaskID(0): cores(1)}})
		}},
		"shrank to its declared size": {room: true, do: func(b *fixture, p *Placement) {
			p.Release(0, TaskResult{})
			b.submit(Job{ID: "s", Team: "team0", Service: "batch"})
			b.Usage("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{"s#0.0": cores(16)}})
			b.Usage("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{"s#0.0": cores(2)}})
		}},
		"one attempt placed twice": {do: func(b *fixture, p *Placement) {
			p.Release(0, TaskResult{})
			for range 2 {
				b.submit(Job{ID: "s", Team: "team0", Service: "batch", Resources: cores(8)})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.gain("w0", capacity(32, 0))
			first := b.submit(job)
			require.NotNil(t, first.placement)
			c.do(b, first.placement)
			require.Equal(t, c.room, b.submit(next).placement != nil)
			b.check(t)
		})
	}
}

// TestReportShrank guards against work that waits on after a task was measured
// smaller than before.
func TestReportShrank(t *testing.T) {
	b := newFixture()
	b.gain("w0", capacity(32, 0))
	b.submit(Job{ID: "s", Team: "team0", Service: "batch"})
	measure := func(n int64) {
		b.Usage("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{"s#0.0": cores(n)}})
	}
	measure(16)
	next := b.submit(Job{ID: "n", Team: "team0", Service: "batch", Resources: cores(20)})
	require.Nil(t, next.placement)
	measure(2)
	require.NotNil(t, next.placement)
}

// TestLearned guards the plan for tasks whose declared size or run time is
// wrong, and the bound of the table.
func TestLearned(t *testing.T) {
	b := newFixture()
	b.gain("w0", capacity(32, 0))
	for i := range 20 {
		r := b.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "desk"})
		id := Job{ID: fmt.Sprint(i)}.TaskID(0)
		b.Usage("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{id: cores(10)}})
		r.placement.Release(0, TaskResult{Ran: true, RunTime: 3 * time.Second})
	}
	p, _ := b.TryReserve(Job{ID: "p", Team: "team0", Service: "desk"}, 8)
	require.Len(t, p.Members, 2, "planned at the learned 10 to 12 cores")
	d, ok := b.learned.runTime("desk", "team0")
	require.True(t, ok)
	require.InDelta(t, 3.0, d.Seconds(), 0.7)
	p.ReleaseAll(TaskResult{})
	other, _ := b.TryReserve(Job{ID: "o", Team: "team1", Service: "desk"}, 8)
	require.Len(t, other.Members, 8, "another team's plan")
	other.ReleaseAll(TaskResult{})
	for range enough {
		b.learned.size("desk", "team2", cores(100))
	}
	outgrown := b.submit(Job{ID: "g", Team: "team2", Service: "desk"})
	require.NotNil(t, outgrown.placement, "a learned size beyond every worker kept the job out")
	outgrown.placement.Release(0, TaskResult{})
	large := b.submit(Job{ID: "l", Team: "team0", Service: "desk", Resources: cores(31)})
	require.NotNil(t, large.placement)
	for i := range 3 * maxLearned {
		b.learned.ran("desk", fmt.Sprint("t", i), time.Second)
	}
	require.Len(t, b.learned.records, maxLearned)
	require.Len(t, b.learned.list, maxLearned)
}

// TestOverruns guards the order of the actions and that each gets time to
// show in a measurement.
func TestOverruns(t *testing.T) {
	b := newFixture()
	b.alter("batch", func(p *contract.Profile) {
		p.Overrun, p.OverrunPercent = []contract.Overrun{contract.OverrunThrottle, contract.OverrunStop}, 150
	})
	b.gain("w0", capacity(32, 0))
	b.submit(Job{ID: "1", Team: "team0", Service: "batch"})
	for _, step := range []struct {
		cores  int64
		at     time.Duration
		action contract.Overrun
	}{{5, 0, ""}, {6, 1, ""}, {7, 1, contract.OverrunThrottle}, {7, 3, ""}, {5, 9, ""}, {7, 10, contract.OverrunStop}, {7, 20, ""}} {
		b.now = time.Unix(1000, 0).Add(step.at * time.Second)
		b.Usage("w0", worker.Usage{Tasks: map[worker.TaskID]worker.Resources{"1#0.0": cores(step.cores)}})
		actions := b.TakeOverrunActions()
		if step.action == "" {
			require.Empty(t, actions, "%+v", step)
			continue
		}
		require.Equal(t, []OverrunAction{{Worker: "w0", Task: "1#0.0", Kind: step.action, Limit: cores(4)}}, actions)
	}
}
