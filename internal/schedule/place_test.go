package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// TestSearchAfterSample guards against a job that waits although one of many
// workers has room, whatever the sample saw.
func TestSearchAfterSample(t *testing.T) {
	for _, strategy := range []contract.Strategy{contract.Pack, contract.LeastLoaded, contract.SpreadRacks, contract.SpreadFailureDomains} {
		b := newFixture()
		b.alter("desk", func(p *contract.Profile) { p.Placement.Strategy = strategy })
		const workers = 2000
		for i := range workers {
			// All have processors, one has memory.
			c := worker.Capacity{Resources: worker.Resources{MilliCPU: 32000, MemoryMiB: 512}, Slots: 8}
			if i == 1234 {
				c.MemoryMiB = 1024
			}
			b.gain(fmt.Sprint("w", i), c)
		}
		r := b.submit(Job{ID: "1", Team: "team0", Service: "desk"})
		require.NotNil(t, r.placement, strategy)
		require.Equal(t, "w1234", r.placement.Members[0].Worker)
		require.Nil(t, b.submit(Job{ID: "2", Team: "team0", Service: "desk"}).placement)
	}
}

// TestStrategies guards the ranking of the workers that fit, and that workers
// with accelerators are kept for work that needs them.
func TestStrategies(t *testing.T) {
	for name, c := range map[string]struct {
		strategy contract.Strategy
		keep     bool
		need     worker.Resources
		want     []string
	}{
		"pack":              {strategy: contract.Pack, need: cores(1), want: []string{"aa-full"}},
		"least loaded":      {strategy: contract.LeastLoaded, need: cores(1), keep: true, want: []string{"bb-empty"}},
		"racks":             {strategy: contract.SpreadRacks, need: cores(1), keep: true, want: []string{"bb-empty", "bb-half"}},
		"keep accelerators": {strategy: contract.LeastLoaded, keep: true, need: cores(30), want: []string{"bb-empty"}},
		"none but with":     {strategy: contract.LeastLoaded, keep: true, need: cores(50), want: []string{"cc-gpu"}},
		"accelerators":      {strategy: contract.Pack, keep: true, need: worker.Resources{MilliCPU: 1000, Accelerators: 1}, want: []string{"cc-gpu"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.config.service("x", contract.Service{Resources: c.need, RunTimeMS: 10}, contract.Profile{
				Placement: contract.Placement{Strategy: c.strategy, KeepAccelerators: c.keep}, Queue: contract.Queue{Borrow: true}})
			load := func(name string, n int64, service string) worker.Task {
				return worker.Task{ID: worker.TaskID(name), State: worker.TaskRunning, Team: "team1", Service: service, Resources: cores(n)}
			}
			b.gain("aa-full", capacity(32, 0), load("1", 24, "x"))
			b.gain("bb-half", capacity(32, 0), load("2", 16, "desk"))
			b.gain("bb-empty", capacity(32, 0), load("3", 1, "desk"))
			b.gain("cc-gpu", capacity(64, 8))
			r := b.submit(Job{ID: "1", Team: "team0", Service: "x"})
			require.NotNil(t, r.placement)
			require.Contains(t, c.want, r.placement.Members[0].Worker)
		})
	}
}

// TestGangBackfill guards a reservation: short work runs around it, work that
// would outlast it does not, and the job starts when its members have room.
func TestGangBackfill(t *testing.T) {
	for name, c := range map[string]struct {
		cores   int64
		run     time.Duration
		elapsed time.Duration
		placed  bool
	}{
		"short":              {cores: 4, run: 2 * time.Second, placed: true},
		"long":               {cores: 4, run: 20 * time.Second},
		"short but too late": {cores: 4, run: 2 * time.Second, elapsed: 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.gain("w0", capacity(16, 0))
			b.gain("w1", capacity(16, 0))
			running := b.submit(Job{ID: "0", Team: "team0", Service: "batch", Resources: cores(12)})
			gang := b.submit(Job{ID: "1", Team: "team1", Service: "gang", Members: 4})
			require.Nil(t, gang.placement)
			require.NotNil(t, b.gangs.held)
			b.now = b.now.Add(c.elapsed)
			around := b.submit(Job{ID: "2", Team: "team2", Service: "batch", Resources: cores(c.cores), RunTime: c.run})
			require.Equal(t, c.placed, around.placement != nil)
			if c.placed {
				around.placement.Release(0, TaskResult{Ran: true})
			}
			around.cancel()
			running.placement.Release(0, TaskResult{Ran: true, RunTime: 10 * time.Second})
			require.NotNil(t, gang.placement)
			require.Len(t, gang.placement.Members, 4)
			b.check(t)
		})
	}
}

// TestReopening guards against work that waits on after capacity was freed for
// it, whatever freed it: two jobs of 16 cores wait for two workers.
func TestReopening(t *testing.T) {
	for name, free := range map[string]func(b *fixture, p *Placement){
		"all released": func(_ *fixture, p *Placement) { p.ReleaseAll(TaskResult{Ran: true}) },
		"released in turn": func(_ *fixture, p *Placement) {
			p.Release(1, TaskResult{})
			p.Release(0, TaskResult{})
		},
		"ended": func(b *fixture, p *Placement) {
			for _, m := range p.Members {
				b.TaskEnded(m.Worker, worker.Task{ID: worker.TaskID(fmt.Sprintf("0#%d.0", m.Member)), State: worker.TaskEnded})
			}
		},
		"gained": func(b *fixture, _ *Placement) {
			b.gain("w2", capacity(16, 0))
			b.gain("w3", capacity(16, 0))
		},
		"gained with more": func(b *fixture, _ *Placement) { b.gain("w0", capacity(64, 0)) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.gain("w0", capacity(16, 0))
			b.gain("w1", capacity(16, 0))
			p, ok := b.TryReserve(Job{ID: "0", Team: "team0", Service: "gang", Resources: cores(16)}, 2)
			require.True(t, ok)
			first := b.submit(Job{ID: "1", Team: "team1", Service: "batch", Resources: cores(16)})
			second := b.submit(Job{ID: "2", Team: "team2", Service: "batch", Resources: cores(16)})
			require.Nil(t, first.placement)
			free(b, p)
			require.NotNil(t, first.placement)
			require.NotNil(t, second.placement)
			b.check(t)
		})
	}
}

// TestGangPartial guards against members that stay reserved when the rest of
// their job has no room outside the reservation of an older job.
func TestGangPartial(t *testing.T) {
	b := newFixture()
	b.gain("w0", capacity(32, 0))
	b.gain("w1", capacity(8, 0))
	b.submit(Job{ID: "0", Team: "team0", Service: "batch", Resources: cores(8), RunTime: 5 * time.Second})
	later := b.submit(Job{ID: "1", Team: "team0", Service: "batch", Resources: cores(8), RunTime: time.Minute})
	older := b.submit(Job{ID: "2", Team: "team1", Service: "gang", Members: 4})
	require.Nil(t, older.placement)
	later.placement.Release(0, TaskResult{Ran: true})
	younger := b.submit(Job{ID: "3", Team: "team2", Service: "gang", Members: 2, RunTime: time.Minute})
	b.Tick()
	require.Nil(t, older.placement)
	require.Nil(t, younger.placement)
	require.Zero(t, b.Demand()["team2"].Running)
	b.check(t)
}

// TestGangLiveness guards against deadlock between gang jobs and against a
// stream of small work, or the team's own, that keeps a gang job out.
func TestGangLiveness(t *testing.T) {
	b := newFixture()
	b.config.quotas["team1"] = contract.Quota{Slots: 12, Weight: 1}
	for i := range 4 {
		b.gain(fmt.Sprint("w", i), capacity(32, 0))
	}
	type ending struct {
		at time.Time
		p  *Placement
		m  int
	}
	var endings []ending
	id, started := 0, 0
	follow := func(job Job, run time.Duration) {
		id++
		job.ID = fmt.Sprint(id)
		b.Submit(job, func(p *Placement, err error) {
			if err != nil {
				return
			}
			if len(p.Members) > 1 {
				require.Len(t, p.Members, job.Members)
				started++
			}
			for _, m := range p.Members {
				endings = append(endings, ending{b.now.Add(run), p, m.Member})
			}
		})
	}
	for i := range 4 {
		follow(Job{Team: "team1", Service: "gang", Members: 10 - i}, 5*time.Second)
	}
	for step := 0; step < 1200 && started < 4; step++ {
		// Twice what the workers can do, of other teams and of the gangs' own.
		for team := range 4 {
			if step%10 == 0 {
				follow(Job{Team: fmt.Sprint("team", team), Service: "batch"}, 5*time.Second)
				follow(Job{Team: fmt.Sprint("team", team), Service: "batch"}, 5*time.Second)
			}
		}
		b.now = b.now.Add(100 * time.Millisecond)
		due := endings
		endings = nil
		for _, e := range due {
			if e.at.After(b.now) {
				endings = append(endings, e)
			} else {
				e.p.Release(e.m, TaskResult{Ran: true, RunTime: 5 * time.Second})
			}
		}
		b.Tick()
	}
	b.check(t)
	require.Equal(t, 4, started, "a gang job starved")
}

// TestLargeJob guards against a job of nearly a whole worker that smaller work
// keeps out for ever.
func TestLargeJob(t *testing.T) {
	b := newFixture()
	b.gain("w0", capacity(32, 0))
	var running []*Placement
	for i := range 500 {
		b.Submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "batch"}, func(p *Placement, _ error) { running = append(running, p) })
	}
	large := b.submit(Job{ID: "large", Team: "team1", Service: "batch", Resources: cores(30)})
	for i := 0; i < 100 && large.placement == nil && len(running) > 0; i++ {
		b.now = b.now.Add(time.Second)
		p := running[0]
		running = running[1:]
		p.Release(0, TaskResult{Ran: true, RunTime: 8 * time.Second})
		b.Tick()
	}
	require.NotNil(t, large.placement)
}

// TestGangPlan guards the workers that a reservation takes: those that are
// free first, not those with accelerators unless the wait is long, and never
// what is guaranteed to work with accelerators.
func TestGangPlan(t *testing.T) {
	for name, c := range map[string]struct {
		run        time.Duration // of the tasks on the workers without accelerators
		guaranteed int           // to work with accelerators in percent
		want       int           // members on the worker with accelerators
		start      time.Duration
	}{
		"short wait":      {run: 5 * time.Second, want: 0, start: 5 * time.Second},
		"long wait":       {run: time.Minute, want: 6, start: time.Second},
		"guaranteed slot": {run: time.Minute, guaranteed: 20, want: 3, start: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.alter("gang", func(p *contract.Profile) { p.Placement.KeepAccelerators = true })
			b.config.service("gpu", contract.Service{Resources: worker.Resources{Accelerators: 1}}, contract.Profile{
				Queue: contract.Queue{GuaranteedPercent: c.guaranteed, Borrow: true}})
			b.gain("w0", capacity(32, 0))
			b.gain("w1", capacity(32, 0))
			b.submit(Job{ID: "a", Team: "team0", Service: "batch", Resources: cores(32), RunTime: c.run})
			b.submit(Job{ID: "b", Team: "team0", Service: "batch", Resources: cores(16), RunTime: c.run - time.Second})
			b.gain("w2", capacity(64, 8))
			b.submit(Job{ID: "g", Team: "team2", Service: "gpu"}).placement.Release(0, TaskResult{})
			// Two of its slots are taken, so that the gang job has to wait.
			b.submit(Job{ID: "c", Team: "team0", Service: "batch", Resources: cores(32), RunTime: time.Second})
			require.Nil(t, b.submit(Job{ID: "j", Team: "team1", Service: "gang", Members: 8}).placement)
			require.Equal(t, c.want, b.gangs.held.members[b.nodes["w2"]])
			require.Equal(t, c.start, b.gangs.held.start.Sub(b.now))
		})
	}
}
