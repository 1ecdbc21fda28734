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
// workers has room, because the sample did not contain that worker.
func TestSearchAfterSample(t *testing.T) {
	for _, strategy := range []contract.Strategy{contract.Pack, contract.LeastLoaded, contract.SpreadRacks, contract.SpreadFailureDomains} {
		f := newFixture()
		f.changeProfile("desk", func(p *contract.Profile) { p.Placement.Strategy = strategy })
		const workers = 2000
		for i := range workers {
			// All workers have enough processors, only one has enough memory.
			c := worker.Capacity{Resources: worker.Resources{MilliCPU: 32000, MemoryMiB: 512}, Slots: 8}
			if i == 1234 {
				c.MemoryMiB = 1024
			}
			f.gain(fmt.Sprint("w", i), c)
		}
		r := f.submit(Job{ID: "1", Team: "team0", Service: "desk"})
		require.NotNil(t, r.placement, strategy)
		require.Equal(t, "w1234", r.placement.Members[0].Worker)
		require.Nil(t, f.submit(Job{ID: "2", Team: "team0", Service: "desk"}).placement)
	}
}

// TestStrategies checks the ranking of feasible workers by each strategy, and that
// KeepAccelerators avoids workers with accelerators.
func TestStrategies(t *testing.T) {
	for name, c := range map[string]struct {
		strategy contract.Strategy
		keep     bool
		need     worker.Resources
		want     []string
	}{
		"pack":                         {strategy: contract.Pack, need: cores(1), want: []string{"aa-full"}},
		"least loaded":                 {strategy: contract.LeastLoaded, need: cores(1), keep: true, want: []string{"bb-empty"}},
		"racks":                        {strategy: contract.SpreadRacks, need: cores(1), keep: true, want: []string{"bb-empty", "bb-half"}},
		"keep accelerators":            {strategy: contract.LeastLoaded, keep: true, need: cores(30), want: []string{"bb-empty"}},
		"only accelerator workers fit": {strategy: contract.LeastLoaded, keep: true, need: cores(50), want: []string{"cc-gpu"}},
		"accelerators":                 {strategy: contract.Pack, keep: true, need: worker.Resources{MilliCPU: 1000, Accelerators: 1}, want: []string{"cc-gpu"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.config.addService("x", contract.Service{Resources: c.need, RunTimeMS: 10}, contract.Profile{
				Placement: contract.Placement{Strategy: c.strategy, KeepAccelerators: c.keep}, Queue: contract.Queue{Borrow: true}})
			load := func(name string, n int64, service string) worker.Task {
				return worker.Task{ID: worker.TaskID(name), State: worker.TaskRunning, Team: "team1", Service: service, Resources: cores(n)}
			}
			f.gain("aa-full", capacity(32, 0), load("1", 24, "x"))
			f.gain("bb-half", capacity(32, 0), load("2", 16, "desk"))
			f.gain("bb-empty", capacity(32, 0), load("3", 1, "desk"))
			f.gain("cc-gpu", capacity(64, 8))
			r := f.submit(Job{ID: "1", Team: "team0", Service: "x"})
			require.NotNil(t, r.placement)
			require.Contains(t, c.want, r.placement.Members[0].Worker)
		})
	}
}

// TestGangBackfill checks backfilling around a reservation: short jobs run on the
// reserved workers, jobs that would end too late do not, and the reserved job
// starts once all its members have room.
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
			f := newFixture()
			f.gain("w0", capacity(16, 0))
			f.gain("w1", capacity(16, 0))
			running := f.submit(Job{ID: "0", Team: "team0", Service: "batch", Resources: cores(12)})
			gang := f.submit(Job{ID: "1", Team: "team1", Service: "gang", Members: 4})
			require.Nil(t, gang.placement)
			require.NotNil(t, f.gangs.reservation)
			f.now = f.now.Add(c.elapsed)
			backfill := f.submit(Job{ID: "2", Team: "team2", Service: "batch", Resources: cores(c.cores), RunTime: c.run})
			require.Equal(t, c.placed, backfill.placement != nil)
			if c.placed {
				backfill.placement.Release(0, TaskResult{Ran: true})
			}
			backfill.cancel()
			running.placement.Release(0, TaskResult{Ran: true, RunTime: 10 * time.Second})
			require.NotNil(t, gang.placement)
			require.Len(t, gang.placement.Members, 4)
			f.checkInvariants(t)
		})
	}
}

// TestFreedCapacityStartsQueuedJobs guards against jobs that still wait after
// capacity for them was freed or added in any way: two jobs of 16 cores wait for
// two workers.
func TestFreedCapacityStartsQueuedJobs(t *testing.T) {
	for name, free := range map[string]func(f *fixture, p *Placement){
		"all released": func(_ *fixture, p *Placement) { p.ReleaseAll(TaskResult{Ran: true}) },
		"released in turn": func(_ *fixture, p *Placement) {
			p.Release(1, TaskResult{})
			p.Release(0, TaskResult{})
		},
		"ended": func(f *fixture, p *Placement) {
			for _, m := range p.Members {
				f.TaskEnded(m.Worker, worker.Task{ID: worker.TaskID(fmt.Sprintf("0#%d.0", m.Member)), State: worker.TaskEnded})
			}
		},
		"gained": func(f *fixture, _ *Placement) {
			f.gain("w2", capacity(16, 0))
			f.gain("w3", capacity(16, 0))
		},
		"gained with more": func(f *fixture, _ *Placement) { f.gain("w0", capacity(64, 0)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.gain("w0", capacity(16, 0))
			f.gain("w1", capacity(16, 0))
			p, ok := f.TryReserve(Job{ID: "0", Team: "team0", Service: "gang", Resources: cores(16)}, 2)
			require.True(t, ok)
			first := f.submit(Job{ID: "1", Team: "team1", Service: "batch", Resources: cores(16)})
			second := f.submit(Job{ID: "2", Team: "team2", Service: "batch", Resources: cores(16)})
			require.Nil(t, first.placement)
			free(f, p)
			require.NotNil(t, first.placement)
			require.NotNil(t, second.placement)
			f.checkInvariants(t)
		})
	}
}

// TestGangPartial guards against members that stay allocated when the other members
// of their job have no room outside the reservation of an older job.
func TestGangPartial(t *testing.T) {
	f := newFixture()
	f.gain("w0", capacity(32, 0))
	f.gain("w1", capacity(8, 0))
	f.submit(Job{ID: "0", Team: "team0", Service: "batch", Resources: cores(8), RunTime: 5 * time.Second})
	longRunning := f.submit(Job{ID: "1", Team: "team0", Service: "batch", Resources: cores(8), RunTime: time.Minute})
	older := f.submit(Job{ID: "2", Team: "team1", Service: "gang", Members: 4})
	require.Nil(t, older.placement)
	longRunning.placement.Release(0, TaskResult{Ran: true})
	younger := f.submit(Job{ID: "3", Team: "team2", Service: "gang", Members: 2, RunTime: time.Minute})
	f.Tick()
	require.Nil(t, older.placement)
	require.Nil(t, younger.placement)
	require.Zero(t, f.Demand()["team2"].Running)
	f.checkInvariants(t)
}

// TestGangLiveness guards against deadlock between gang jobs, and against a
// continuous load of small jobs, of other teams or of the same team, that keeps a
// gang job from starting.
func TestGangLiveness(t *testing.T) {
	f := newFixture()
	f.config.quotas["team1"] = contract.Quota{Slots: 12, Weight: 1}
	for i := range 4 {
		f.gain(fmt.Sprint("w", i), capacity(32, 0))
	}
	type ending struct {
		at time.Time
		p  *Placement
		m  int
	}
	var endings []ending
	id, started := 0, 0
	submitAndTrack := func(job Job, run time.Duration) {
		id++
		job.ID = fmt.Sprint(id)
		f.Submit(job, func(p *Placement, err error) {
			if err != nil {
				return
			}
			if len(p.Members) > 1 {
				require.Len(t, p.Members, job.Members)
				started++
			}
			for _, m := range p.Members {
				endings = append(endings, ending{f.now.Add(run), p, m.Member})
			}
		})
	}
	for i := range 4 {
		submitAndTrack(Job{Team: "team1", Service: "gang", Members: 10 - i}, 5*time.Second)
	}
	for step := 0; step < 1200 && started < 4; step++ {
		// The load is twice what the workers can process and comes from all teams,
		// including the team of the gang jobs.
		for team := range 4 {
			if step%10 == 0 {
				submitAndTrack(Job{Team: fmt.Sprint("team", team), Service: "batch"}, 5*time.Second)
				submitAndTrack(Job{Team: fmt.Sprint("team", team), Service: "batch"}, 5*time.Second)
			}
		}
		f.now = f.now.Add(100 * time.Millisecond)
		due := endings
		endings = nil
		for _, e := range due {
			if e.at.After(f.now) {
				endings = append(endings, e)
			} else {
				e.p.Release(e.m, TaskResult{Ran: true, RunTime: 5 * time.Second})
			}
		}
		f.Tick()
	}
	f.checkInvariants(t)
	require.Equal(t, 4, started, "a gang job starved")
}

// TestLargeJob guards against a job that needs nearly a whole worker and never
// starts because smaller jobs take all capacity that is freed.
func TestLargeJob(t *testing.T) {
	f := newFixture()
	f.gain("w0", capacity(32, 0))
	var running []*Placement
	for i := range 500 {
		f.Submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "batch"}, func(p *Placement, _ error) { running = append(running, p) })
	}
	large := f.submit(Job{ID: "large", Team: "team1", Service: "batch", Resources: cores(30)})
	for i := 0; i < 100 && large.placement == nil && len(running) > 0; i++ {
		f.now = f.now.Add(time.Second)
		p := running[0]
		running = running[1:]
		p.Release(0, TaskResult{Ran: true, RunTime: 8 * time.Second})
		f.Tick()
	}
	require.NotNil(t, large.placement)
}

// TestGangPlan checks the choice of workers for a reservation: those that have room
// first, workers with accelerators only if the wait is long otherwise, and never
// the slots that are guaranteed to work with accelerators.
func TestGangPlan(t *testing.T) {
	for name, c := range map[string]struct {
		run        time.Duration // run time of the tasks on the workers without accelerators
		guaranteed int           // percentage guaranteed to work with accelerators
		want       int           // members on the worker with accelerators
		start      time.Duration
	}{
		"short wait":      {run: 5 * time.Second, want: 0, start: 5 * time.Second},
		"long wait":       {run: time.Minute, want: 6, start: time.Second},
		"guaranteed slot": {run: time.Minute, guaranteed: 20, want: 3, start: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.changeProfile("gang", func(p *contract.Profile) { p.Placement.KeepAccelerators = true })
			f.config.addService("gpu", contract.Service{Resources: worker.Resources{Accelerators: 1}}, contract.Profile{
				Queue: contract.Queue{GuaranteedPercent: c.guaranteed, Borrow: true}})
			f.gain("w0", capacity(32, 0))
			f.gain("w1", capacity(32, 0))
			f.submit(Job{ID: "a", Team: "team0", Service: "batch", Resources: cores(32), RunTime: c.run})
			f.submit(Job{ID: "b", Team: "team0", Service: "batch", Resources: cores(16), RunTime: c.run - time.Second})
			f.gain("w2", capacity(64, 8))
			f.submit(Job{ID: "g", Team: "team2", Service: "gpu"}).placement.Release(0, TaskResult{})
			// Half of the cores of w2 are taken, so that the gang job has to wait.
			f.submit(Job{ID: "c", Team: "team0", Service: "batch", Resources: cores(32), RunTime: time.Second})
			require.Nil(t, f.submit(Job{ID: "j", Team: "team1", Service: "gang", Members: 8}).placement)
			require.Equal(t, c.want, f.gangs.reservation.members[f.workers["w2"]])
			require.Equal(t, c.start, f.gangs.reservation.expectedStart.Sub(f.now))
		})
	}
}
