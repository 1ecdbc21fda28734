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

// TestRefusals guards against jobs that are queued although they can never run,
// and against refusals of jobs that could run later.
func TestRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	big := func(cores, gib, acc int64) worker.Resources {
		return worker.Resources{MilliCPU: cores * 1000, MemoryMiB: gib * 1024, Accelerators: acc}
	}
	for name, c := range map[string]struct {
		job    Job
		alter  func(*fixture)
		reason api.Reason // "" if the job is queued or placed
		detail string
	}{
		"fits":                   {job: Job{Service: "desk"}},
		"processors":             {job: Job{Service: "desk", Resources: big(65, 1, 0)}, reason: api.ReasonNeverFits, detail: "milli_cpu"},
		"memory":                 {job: Job{Service: "desk", Resources: big(1, 65, 0)}, reason: api.ReasonNeverFits, detail: "memory_mib"},
		"accelerators":           {job: Job{Service: "desk", Resources: big(1, 1, 9)}, reason: api.ReasonNeverFits, detail: "accelerators"},
		"combination":            {job: Job{Service: "desk", Resources: big(64, 1, 1)}, reason: api.ReasonNeverFits, detail: "combination"},
		"members":                {job: Job{Service: "gang", Members: 13}, reason: api.ReasonNeverFits, detail: "members"},
		"members that fit later": {job: Job{Service: "gang", Members: 12}},
		"held elsewhere": {job: Job{Service: "desk", Resources: big(128, 1, 0)}, alter: func(f *fixture) {
			f.options.MaxWorkerCapacity = func() worker.Capacity { return capacity(128, 0) }
		}},
		"no workers yet":      {job: Job{Service: "desk", Resources: big(128, 1, 0)}, alter: func(f *fixture) { f.LeaseLost("w0"); f.LeaseLost("w1") }},
		"unknown service":     {job: Job{Service: "none"}, reason: api.ReasonInvalid},
		"unknown team":        {job: Job{Service: "desk", Team: "none"}, reason: api.ReasonQuota},
		"members of a desk":   {job: Job{Service: "desk", Members: 2}, reason: api.ReasonInvalid},
		"more than the quota": {job: Job{Service: "gang", Members: 1001}, reason: api.ReasonQuota},
		"past deadline":       {job: Job{Service: "desk", Deadline: now}, reason: api.ReasonDeadline},
		"no configuration":    {job: Job{Service: "desk"}, alter: func(f *fixture) { f.options.Configuration = nil }, reason: api.ReasonNotReady},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.gain("w0", capacity(32, 8))
			f.gain("w1", capacity(64, 0))
			if c.alter != nil {
				c.alter(f)
			}
			if c.job.Team == "" {
				c.job.Team = "team0"
			}
			r := f.submit(c.job)
			if c.reason == "" {
				require.NoError(t, r.err)
				return
			}
			var refusal *Refusal
			require.True(t, errors.As(r.err, &refusal), "%v", r.err)
			require.Equal(t, c.reason, refusal.Reason)
			require.Contains(t, refusal.Detail, c.detail)
			require.Empty(t, f.Demand(), "a refused job stayed in the queue or the ledger")
			require.Nil(t, f.services["none"], "state was created for an unknown name")
			require.Nil(t, f.teams["none"], "state was created for an unknown name")
		})
	}
}

// TestQueueBound guards against an unbounded queue, against a surge of one team
// that keeps other teams out of the queue, and against retries of refused jobs
// that all come at the same time.
func TestQueueBound(t *testing.T) {
	f := newFixture()
	f.config.addService("desk", contract.Service{Resources: cores(1)}, contract.Profile{
		Queue:   contract.Queue{Limit: 100, Borrow: true},
		Refusal: contract.Refusal{RetryAfterMS: 1000, JitterPercent: 50}})
	var surge []*submission
	for i := range 150 {
		surge = append(surge, f.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "desk"}))
	}
	require.Equal(t, 100, f.Demand()["team0"].Queued)
	retries := map[time.Duration]bool{}
	for _, r := range surge[100:] {
		refusal := r.err.(*Refusal)
		require.Equal(t, api.ReasonQueueFull, refusal.Reason)
		require.GreaterOrEqual(t, refusal.RetryAfter, time.Second)
		require.LessOrEqual(t, refusal.RetryAfter, 1500*time.Millisecond)
		retries[refusal.RetryAfter] = true
	}
	require.Greater(t, len(retries), 40)
	other := f.submit(Job{ID: "other", Team: "team1", Service: "desk"})
	require.NoError(t, other.err, "a queue filled by one team kept another team out")
	require.Equal(t, api.ReasonQueueFull, surge[99].err.(*Refusal).Reason, "the newest job of the longest backlog was not displaced")
	require.Equal(t, map[string]Demand{"team0": {Queued: 99}, "team1": {Queued: 1}}, f.Demand())
}

// TestEarlyRefusal guards against jobs that are queued although they will miss
// their deadline.
func TestEarlyRefusal(t *testing.T) {
	f := newFixture()
	f.changeProfile("batch", func(p *contract.Profile) { p.Refusal.Early = true })
	f.gain("w0", capacity(4, 0))
	running := f.submit(Job{ID: "0", Team: "team0", Service: "batch"})
	for i := 1; i <= 5; i++ {
		f.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "batch"})
	}
	f.now = f.now.Add(10 * time.Second)
	running.placement.Release(0, TaskResult{Ran: true, RunTime: 10 * time.Second})
	hurried := f.submit(Job{ID: "h", Team: "team0", Service: "batch", Deadline: f.now.Add(20 * time.Second)})
	require.Equal(t, api.ReasonDeadline, hurried.err.(*Refusal).Reason, "not refused although four jobs of 10 s are ahead of it")
	patient := f.submit(Job{ID: "p", Team: "team0", Service: "batch", Deadline: f.now.Add(time.Minute)})
	require.NoError(t, patient.err)
}

// TestNoEarlyRefusalAfterStall guards against jobs that are refused although they
// would start at once, because no job started in the second before.
func TestNoEarlyRefusalAfterStall(t *testing.T) {
	f := newFixture()
	f.changeProfile("batch", func(p *contract.Profile) { p.Refusal.Early = true })
	f.gain("w0", capacity(16, 0))
	run := func(id string) {
		r := f.submit(Job{ID: id, Team: "team0", Service: "batch"})
		f.now = f.now.Add(40 * time.Millisecond)
		r.placement.Release(0, TaskResult{Ran: true, RunTime: 40 * time.Millisecond})
	}
	for i := range 50 {
		run(fmt.Sprint("before", i))
	}
	f.LeaseLost("w0")
	f.submit(Job{ID: "waits", Team: "team0", Service: "batch"})
	f.now = f.now.Add(time.Second)
	f.gain("w1", capacity(16, 0))
	for i := range 40 {
		r := f.submit(Job{ID: fmt.Sprint("after", i), Team: "team0", Service: "batch", Deadline: f.now.Add(2 * time.Second)})
		require.NoError(t, r.err)
	}
}

// TestNoEarlyRefusalInPause guards against early refusals of jobs of a team with
// short tasks while tasks of other teams occupy all slots for a moment. They come
// about if the pause is counted for each queued job, or if the wait is estimated
// from the first intervals of a new profile alone.
func TestNoEarlyRefusalInPause(t *testing.T) {
	for name, c := range map[string]struct {
		starts int           // jobs of the team before the pause
		pause  time.Duration // time without a start, or length of the first intervals
		runs   int           // running tasks of the team at the end
	}{
		"pause":           {starts: 20, pause: 450 * time.Millisecond},
		"first intervals": {starts: 1, pause: 400 * time.Millisecond, runs: 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.config.addService("batch", contract.Service{Resources: cores(4), RunTimeMS: 200}, contract.Profile{Queue: contract.Queue{Borrow: true}})
			f.changeProfile("batch", func(p *contract.Profile) { p.Refusal.Early = true })
			f.config.quotas["team1"] = contract.Quota{Slots: 1000, Weight: 10}
			f.gain("w0", capacity(32, 0))
			var surge []*submission
			for i := range 16 {
				surge = append(surge, f.submit(Job{ID: fmt.Sprint("s", i), Team: "team0", Service: "batch"}))
			}
			end := func(r *submission, run time.Duration) { r.placement.Release(0, TaskResult{Ran: true, RunTime: run}) }
			var short []*submission
			for i := range c.starts {
				short = append(short, f.submit(Job{ID: fmt.Sprint("t", i), Team: "team1", Service: "batch"}))
			}
			if c.runs > 0 {
				f.submit(Job{ID: "second", Team: "team1", Service: "batch"})
				for i := range c.runs {
					f.now = f.now.Add(c.pause)
					end(surge[i], c.pause)
				}
			} else {
				end(surge[0], time.Second)
				for _, r := range short {
					f.now = f.now.Add(30 * time.Millisecond)
					end(r, 30*time.Millisecond)
				}
			}
			for i := range 9 {
				require.NoError(t, f.submit(Job{ID: fmt.Sprint("q", i), Team: "team1", Service: "batch"}).err)
			}
			if c.runs == 0 {
				f.now = f.now.Add(c.pause)
			}
			require.Equal(t, Demand{Running: c.runs, Queued: 9}, f.Demand()["team1"])
			r := f.submit(Job{ID: "last", Team: "team1", Service: "batch", Deadline: f.now.Add(3600 * time.Millisecond)})
			require.NoError(t, r.err, "refused although the queue needs less than half a second")
		})
	}
}

// TestNoEarlyRefusalInSurge guards against early refusals of jobs of a team with
// few starts because a surge of another team is queued.
func TestNoEarlyRefusalInSurge(t *testing.T) {
	f := newFixture()
	f.changeProfile("batch", func(p *contract.Profile) { p.Refusal.Early = true })
	f.gain("w0", capacity(4, 0))
	running := f.submit(Job{ID: "first", Team: "team0", Service: "batch"})
	surge := make([]*submission, 100)
	for i := range surge {
		surge[i] = f.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "batch"})
	}
	for i := range 20 {
		f.now = f.now.Add(time.Second)
		running.placement.Release(0, TaskResult{Ran: true, RunTime: time.Second})
		running = surge[i]
	}
	for i := range 3 {
		r := f.submit(Job{ID: fmt.Sprint("other", i), Team: "team1", Service: "batch", Deadline: f.now.Add(10 * time.Second)})
		require.NoError(t, r.err, "refused although the teams take turns")
	}
	late := f.submit(Job{ID: "late", Team: "team1", Service: "batch", Deadline: f.now.Add(5 * time.Second)})
	require.Equal(t, api.ReasonDeadline, late.err.(*Refusal).Reason, "not refused although three jobs of its team and three of the other start before it")
}

// TestDeadlineInQueue guards against jobs that are placed after their deadline.
func TestDeadlineInQueue(t *testing.T) {
	f := newFixture()
	f.gain("w0", capacity(4, 0))
	running := f.submit(Job{ID: "0", Team: "team0", Service: "batch"})
	late := f.submit(Job{ID: "1", Team: "team0", Service: "batch", Deadline: f.now.Add(time.Second)})
	next := f.submit(Job{ID: "2", Team: "team0", Service: "batch"})
	f.now = f.now.Add(2 * time.Second)
	running.placement.Release(0, TaskResult{Ran: true})
	require.Equal(t, api.ReasonDeadline, late.err.(*Refusal).Reason)
	require.NotNil(t, next.placement)
}

// TestPlaceWaits guards against calls of Place that hang or return too early, and
// against cancelled jobs that stay in the queue or keep a reservation.
func TestPlaceWaits(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		deadline time.Duration // of the job
		cancel   time.Duration // when the context is cancelled
		release  time.Duration // when the running tasks are released
		shorten  bool          // after 1 s the maximum wait of the profile is reduced to 2 s
		members  int
		reason   api.Reason // "" if the job is placed
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
				f := newFixture()
				f.options.Now = time.Now
				f.gain("w0", capacity(64, 0))
				running, ok := f.TryReserve(Job{ID: "running", Team: "team1", Service: "gang"}, 8)
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
						f.changeProfile("gang", func(p *contract.Profile) { p.Queue.MaxWaitMS = 2000 })
						f.ConfigurationChanged()
					})
				}
				start := time.Now()
				p, err := f.Place(ctx, Job{ID: "waiting", Team: "team0", Service: "gang", Members: c.members, Deadline: start.Add(c.deadline)})
				require.Equal(t, c.after, time.Since(start))
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
				_, err = f.Place(ctx, Job{ID: "gone", Team: "team0", Service: "gang"})
				require.Equal(t, api.ReasonCancelled, err.(*Refusal).Reason)
				require.Empty(t, f.Demand())
				f.checkInvariants(t)
			})
		})
	}
}

// TestPlaceConcurrent guards against missing locks and against slots that a
// cancellation racing with a placement leaves allocated: once all calls have
// returned, nothing is allocated.
func TestPlaceConcurrent(t *testing.T) {
	f := newFixture()
	f.gain("w0", capacity(16, 0))
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			for k := range 50 {
				ctx, cancel := context.WithCancel(t.Context())
				if (i+k)%3 == 0 {
					go cancel()
				}
				job := Job{ID: fmt.Sprint(i, "-", k), Team: fmt.Sprint("team", i%4), Service: "desk"}
				if p, err := f.Place(ctx, job); err == nil {
					p.Release(0, TaskResult{Ran: true, RunTime: time.Millisecond})
				}
				cancel()
			}
		})
	}
	wg.Wait()
	require.Empty(t, f.Demand())
	f.checkInvariants(t)
}
