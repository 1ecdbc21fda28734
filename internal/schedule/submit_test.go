package schedule

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// TestRefusals guards against jobs that wait for what can never come and
// against refusals of jobs that could run later.
func TestRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	big := func(cores, gib, acc int64) worker.Resources {
		return worker.Resources{MilliCPU: cores * 1000, MemoryMiB: gib * 1024, Accelerators: acc}
	}
	for name, c := range map[string]struct {
		job    Job
		alter  func(*fixture)
		reason api.Reason // "" if the job waits or is placed
		detail string
	}{
		"fits":                   {job: Job{Service: "desk"}},
		"processors":             {job: Job{Service: "desk", Resources: big(65, 1, 0)}, reason: api.ReasonNeverFits, detail: "milli_cpu"},
		"memory":                 {job: Job{Service: "desk", Resources: big(1, 65, 0)}, reason: api.ReasonNeverFits, detail: "memory_mib"},
		"accelerators":           {job: Job{Service: "desk", Resources: big(1, 1, 9)}, reason: api.ReasonNeverFits, detail: "accelerators"},
		"combination":            {job: Job{Service: "desk", Resources: big(64, 1, 1)}, reason: api.ReasonNeverFits, detail: "combination"},
		"members":                {job: Job{Service: "gang", Members: 13}, reason: api.ReasonNeverFits, detail: "members"},
		"members that fit later": {job: Job{Service: "gang", Members: 12}},
		"held elsewhere": {job: Job{Service: "desk", Resources: big(128, 1, 0)}, alter: func(b *fixture) {
			b.options.MaxWorkerCapacity = func() worker.Capacity { return capacity(128, 0) }
		}},
		"no workers yet":      {job: Job{Service: "desk", Resources: big(128, 1, 0)}, alter: func(b *fixture) { b.Lost("w0"); b.Lost("w1") }},
		"unknown service":     {job: Job{Service: "none"}, reason: api.ReasonInvalid},
		"unknown team":        {job: Job{Service: "desk", Team: "none"}, reason: api.ReasonQuota},
		"members of a desk":   {job: Job{Service: "desk", Members: 2}, reason: api.ReasonInvalid},
		"more than the quota": {job: Job{Service: "gang", Members: 1001}, reason: api.ReasonQuota},
		"past deadline":       {job: Job{Service: "desk", Deadline: now}, reason: api.ReasonDeadline},
		"no configuration":    {job: Job{Service: "desk"}, alter: func(b *fixture) { b.options.Configuration = nil }, reason: api.ReasonNotReady},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.gain("w0", capacity(32, 8))
			b.gain("w1", capacity(64, 0))
			if c.alter != nil {
				c.alter(b)
			}
			if c.job.Team == "" {
				c.job.Team = "team0"
			}
			r := b.submit(c.job)
			if c.reason == "" {
				require.NoError(t, r.err)
				return
			}
			var refusal *Refusal
			require.True(t, errors.As(r.err, &refusal), "%v", r.err)
			require.Equal(t, c.reason, refusal.Reason)
			require.Contains(t, refusal.Detail, c.detail)
			require.Empty(t, b.Demand(), "a refused job stayed in the queue")
			require.Nil(t, b.services["none"], "an unknown name left state")
			require.Nil(t, b.teams["none"], "an unknown name left state")
		})
	}
}

// TestQueueBound guards against a queue without bound, against one team's
// surge that keeps the others out of the queue, and against callers that come
// back all at once.
func TestQueueBound(t *testing.T) {
	b := newFixture()
	b.config.service("desk", contract.Service{Resources: cores(1)}, contract.Profile{
		Queue:   contract.Queue{Limit: 100, Borrow: true},
		Refusal: contract.Refusal{RetryAfterMS: 1000, JitterPercent: 50}})
	var surge []*result
	for i := range 150 {
		surge = append(surge, b.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "desk"}))
	}
	require.Equal(t, 100, b.Demand()["team0"].Queued)
	retries := map[time.Duration]bool{}
	for _, r := range surge[100:] {
		refusal := r.err.(*Refusal)
		require.Equal(t, api.ReasonQueueFull, refusal.Reason)
		require.GreaterOrEqual(t, refusal.RetryAfter, time.Second)
		require.LessOrEqual(t, refusal.RetryAfter, 1500*time.Millisecond)
		retries[refusal.RetryAfter] = true
	}
	require.Greater(t, len(retries), 40)
	other := b.submit(Job{ID: "other", Team: "team1", Service: "desk"})
	require.NoError(t, other.err, "a full queue of one team kept another team out")
	require.Equal(t, api.ReasonQueueFull, surge[99].err.(*Refusal).Reason, "the newest job of the longest backlog gives way")
	require.Equal(t, map[string]Demand{"team0": {Queued: 99}, "team1": {Queued: 1}}, b.Demand())
}

// TestEarlyRefusal guards against work that waits although it will miss its
// deadline.
func TestEarlyRefusal(t *testing.T) {
	b := newFixture()
	b.alter("batch", func(p *contract.Profile) { p.Refusal.Early = true })
	b.gain("w0", capacity(4, 0))
	running := b.submit(Job{ID: "0", Team: "team0", Service: "batch"})
	for i := 1; i <= 5; i++ {
		b.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "batch"})
	}
	b.now = b.now.Add(10 * time.Second)
	running.placement.Release(0, TaskResult{Ran: true, RunTime: 10 * time.Second})
	hurried := b.submit(Job{ID: "h", Team: "team0", Service: "batch", Deadline: b.now.Add(20 * time.Second)})
	require.Equal(t, api.ReasonDeadline, hurried.err.(*Refusal).Reason, "four jobs of 10 s wait before it")
	patient := b.submit(Job{ID: "p", Team: "team0", Service: "batch", Deadline: b.now.Add(time.Minute)})
	require.NoError(t, patient.err)
}

// TestNoEarlyRefusalAfterStall guards against work that is refused although it
// would start at once, because nothing started for a second before.
func TestNoEarlyRefusalAfterStall(t *testing.T) {
	b := newFixture()
	b.alter("batch", func(p *contract.Profile) { p.Refusal.Early = true })
	b.gain("w0", capacity(16, 0))
	run := func(id string) {
		r := b.submit(Job{ID: id, Team: "team0", Service: "batch"})
		b.now = b.now.Add(40 * time.Millisecond)
		r.placement.Release(0, TaskResult{Ran: true, RunTime: 40 * time.Millisecond})
	}
	for i := range 50 {
		run(fmt.Sprint("before", i))
	}
	b.Lost("w0")
	b.submit(Job{ID: "waits", Team: "team0", Service: "batch"})
	b.now = b.now.Add(time.Second)
	b.gain("w1", capacity(16, 0))
	for i := range 40 {
		r := b.submit(Job{ID: fmt.Sprint("after", i), Team: "team0", Service: "batch", Deadline: b.now.Add(2 * time.Second)})
		require.NoError(t, r.err)
	}
}

// TestNoEarlyRefusalInPause guards against work of a team with short tasks that
// is refused early because other teams' tasks hold all slots for a moment: a
// pause counted for each queued job, or one interval of a new profile.
func TestNoEarlyRefusalInPause(t *testing.T) {
	for name, c := range map[string]struct {
		starts int           // of the team before the pause
		pause  time.Duration // without a start, or the first intervals
		runs   int           // tasks of the team that run at the end
	}{
		"pause":           {starts: 20, pause: 450 * time.Millisecond},
		"first intervals": {starts: 1, pause: 400 * time.Millisecond, runs: 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.config.service("batch", contract.Service{Resources: cores(4), RunTimeMS: 200}, contract.Profile{Queue: contract.Queue{Borrow: true}})
			b.alter("batch", func(p *contract.Profile) { p.Refusal.Early = true })
			b.config.quotas["team1"] = contract.Quota{Slots: 1000, Weight: 10}
			b.gain("w0", capacity(32, 0))
			var surge []*result
			for i := range 16 {
				surge = append(surge, b.submit(Job{ID: fmt.Sprint("s", i), Team: "team0", Service: "batch"}))
			}
			end := func(r *result, run time.Duration) { r.placement.Release(0, TaskResult{Ran: true, RunTime: run}) }
			var short []*result
			for i := range c.starts {
				short = append(short, b.submit(Job{ID: fmt.Sprint("t", i), Team: "team1", Service: "batch"}))
			}
			if c.runs > 0 {
				b.submit(Job{ID: "second", Team: "team1", Service: "batch"})
				for i := range c.runs {
					b.now = b.now.Add(c.pause)
					end(surge[i], c.pause)
				}
			} else {
				end(surge[0], time.Second)
				for _, r := range short {
					b.now = b.now.Add(30 * time.Millisecond)
					end(r, 30*time.Millisecond)
				}
			}
			for i := range 9 {
				require.NoError(t, b.submit(Job{ID: fmt.Sprint("q", i), Team: "team1", Service: "batch"}).err)
			}
			if c.runs == 0 {
				b.now = b.now.Add(c.pause)
			}
			require.Equal(t, Demand{Running: c.runs, Queued: 9}, b.Demand()["team1"])
			r := b.submit(Job{ID: "last", Team: "team1", Service: "batch", Deadline: b.now.Add(3600 * time.Millisecond)})
			require.NoError(t, r.err, "the queue takes less than half a second")
		})
	}
}

// TestNoEarlyRefusalInSurge guards against work of a team that has started
// little which is refused early because another team's surge is queued.
func TestNoEarlyRefusalInSurge(t *testing.T) {
	b := newFixture()
	b.alter("batch", func(p *contract.Profile) { p.Refusal.Early = true })
	b.gain("w0", capacity(4, 0))
	running := b.submit(Job{ID: "first", Team: "team0", Service: "batch"})
	surge := make([]*result, 100)
	for i := range surge {
		surge[i] = b.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "batch"})
	}
	for i := range 20 {
		b.now = b.now.Add(time.Second)
		running.placement.Release(0, TaskResult{Ran: true, RunTime: time.Second})
		running = surge[i]
	}
	for i := range 3 {
		r := b.submit(Job{ID: fmt.Sprint("other", i), Team: "team1", Service: "batch", Deadline: b.now.Add(10 * time.Second)})
		require.NoError(t, r.err, "the teams take turns")
	}
	late := b.submit(Job{ID: "late", Team: "team1", Service: "batch", Deadline: b.now.Add(5 * time.Second)})
	require.Equal(t, api.ReasonDeadline, late.err.(*Refusal).Reason, "three jobs of its team and three of the other start before it")
}

// TestDeadlineInQueue guards against work past its deadline that costs a
// worker.
func TestDeadlineInQueue(t *testing.T) {
	b := newFixture()
	b.gain("w0", capacity(4, 0))
	running := b.submit(Job{ID: "0", Team: "team0", Service: "batch"})
	late := b.submit(Job{ID: "1", Team: "team0", Service: "batch", Deadline: b.now.Add(time.Second)})
	next := b.submit(Job{ID: "2", Team: "team0", Service: "batch"})
	b.now = b.now.Add(2 * time.Second)
	running.placement.Release(0, TaskResult{Ran: true})
	require.Equal(t, api.ReasonDeadline, late.err.(*Refusal).Reason)
	require.NotNil(t, next.placement)
}

// TestPlaceWaits guards against callers that hang, that are woken too early,
// or whose cancelled job keeps a place or a reservation.
func TestPlaceWaits(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		deadline time.Duration // of the job
		cancel   time.Duration // of the context
		release  time.Duration // of the running task
		shorten  bool          // the configuration's longest wait falls to 2 s at 1 s
		members  int
		reason   api.Reason // "" if it is placed
		after    time.Duration
	}{
		"capacity is freed":               {deadline: 9 * second, release: 3 * second, after: 3 * second},
		"deadline":                        {deadline: 4 * second, release: 9 * second, reason: api.ReasonDeadline, after: 4 * second},
		"cancelled":                       {deadline: 9 * second, cancel: 2 * second, release: 9 * second, reason: api.ReasonCancelled, after: 2 * second},
		"shorter wait by configuration":   {deadline: 9 * second, release: 8 * second, shorten: true, reason: api.ReasonDeadline, after: 2 * second},
		"gang cancelled at a reservation": {deadline: 9 * second, cancel: 2 * second, release: 9 * second, members: 8, reason: api.ReasonCancelled, after: 2 * second},
		"gang":                            {deadline: 9 * second, release: 5 * second, members: 8, after: 5 * second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture()
				b.options.Now = time.Now
				b.gain("w0", capacity(64, 0))
				running, ok := b.TryReserve(Job{ID: "running", Team: "team1", Service: "gang"}, 8)
				require.True(t, ok)
				require.Len(t, running.Members, 8)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.cancel > 0 {
					time.AfterFunc(c.cancel, cancel)
				}
				time.AfterFunc(c.release, func() { running.ReleaseAll(TaskResult{Ran: true}) })
				if c.shorten {
					time.AfterFunc(second, func() {
						b.alter("gang", func(p *contract.Profile) { p.Queue.MaxWaitMS = 2000 })
						b.ConfigurationChanged()
					})
				}
				began := time.Now()
				p, err := b.Place(ctx, Job{ID: "waiting", Team: "team0", Service: "gang", Members: c.members, Deadline: began.Add(c.deadline)})
				require.Equal(t, c.after, time.Since(began))
				if c.reason == "" {
					require.NoError(t, err)
					require.Len(t, p.Members, max(c.members, 1))
					p.ReleaseAll(TaskResult{})
				} else {
					var refusal *Refusal
					require.True(t, errors.As(err, &refusal))
					require.Equal(t, c.reason, refusal.Reason)
				}
				running.ReleaseAll(TaskResult{})
				cancel()
				_, err = b.Place(ctx, Job{ID: "gone", Team: "team0", Service: "gang"})
				require.Equal(t, api.ReasonCancelled, err.(*Refusal).Reason)
				require.Empty(t, b.Demand())
				b.check(t)
			})
		})
	}
}

// TestPlaceConcurrent guards the lock and the race between a cancellation and
// a placement: after all callers are gone, nothing is charged.
func TestPlaceConcurrent(t *testing.T) {
	b := newFixture()
	b.gain("w0", capacity(16, 0))
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			for k := range 50 {
				ctx, cancel := context.WithCancel(t.Context())
				if (i+k)%3 == 0 {
					go cancel()
				}
				job := Job{ID: fmt.Sprint(i, "-", k), Team: fmt.Sprint("team", i%4), Service: "desk"}
				if p, err := b.Place(ctx, job); err == nil {
					p.Release(0, TaskResult{Ran: true, RunTime: time.Millisecond})
				}
				cancel()
			}
		})
	}
	wg.Wait()
	require.Empty(t, b.Demand())
	b.check(t)
}
