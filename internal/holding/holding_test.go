package holding

import (
	"context"
	"hash/crc32"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// assignment is the result of Options.Owner for the worker w1.
type assignment struct{ owner atomic.Value }

func (s *assignment) get() string { return s.owner.Load().(string) }

func (s *assignment) set(owner string, hosts ...*testHost) {
	s.owner.Store(owner)
	for _, h := range hosts {
		h.Rescan()
	}
}

func assignedTo(owner string) *assignment {
	s := &assignment{}
	s.set(owner)
	return s
}

// stopHosts stops the hosts and waits until all delayed calls have arrived, as
// the synctest bubble cannot end before all its goroutines have ended.
func stopHosts(hosts ...*testHost) {
	for _, h := range hosts {
		h.stop()
	}
	time.Sleep(2 * time.Hour)
}

// timeUntilStarted retries to start a task on h and returns the time until it
// succeeds.
func timeUntilStarted(t *testing.T, h *testHost, id worker.TaskID) time.Duration {
	begin := time.Now()
	for {
		if _, err := h.start(id, false); err == nil {
			return time.Since(begin)
		}
		time.Sleep(5 * time.Millisecond)
		require.Less(t, time.Since(begin), 20*time.Second)
	}
}

// Guards against a worker that remains without a holder for too long after its
// holder fails or hands it over, and against a successor that starts tasks
// before it has adopted the running ones.
func TestTakeover(t *testing.T) {
	for name, tc := range map[string]struct {
		leaseOnly bool
		fault     func(s *assignment, a, b *testHost)
		max       time.Duration
	}{
		"death": {fault: func(s *assignment, a, b *testHost) {
			a.stop()
			time.Sleep(time.Second)
			s.set("b", b)
		}, max: 600 * time.Millisecond},
		"death, lease only": {leaseOnly: true, fault: func(s *assignment, a, b *testHost) {
			a.stop()
			time.Sleep(time.Second)
			s.set("b", b)
		}, max: 600*time.Millisecond + 3250*time.Millisecond},
		"pause": {fault: func(s *assignment, a, b *testHost) {
			a.client.set(func() { a.client.delay = 4 * time.Second })
			time.Sleep(time.Second)
			s.set("b", a, b)
		}, max: 1100 * time.Millisecond},
		"handover": {fault: func(s *assignment, a, b *testHost) {
			s.set("b", b)
			time.Sleep(150 * time.Millisecond)
			_ = a.Handover(context.Background())
		}, max: 150 * time.Millisecond},
		"host that returns": {fault: func(s *assignment, a, b *testHost) { s.set("b", a, b) }, max: 150 * time.Millisecond},
		"successor paused during the takeover": {fault: func(s *assignment, a, b *testHost) {
			a.stop()
			b.client.set(func() { b.client.delay = time.Second })
			s.set("b", b)
			time.Sleep(1600 * time.Millisecond)
			b.client.set(func() { b.client.delay = 0 })
		}, max: 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, s := newFakeWorker(tc.leaseOnly), assignedTo("a")
				a, b := newTestHost("a", w, s.get), newTestHost("b", w, s.get)
				defer stopHosts(a, b)
				timeUntilStarted(t, a, "t1")
				time.Sleep(time.Second)
				tc.fault(s, a, b)
				gap := timeUntilStarted(t, b, "t2")
				t.Logf("no start for %s after the successor was chosen", gap)
				require.LessOrEqual(t, gap, tc.max)
				if !tc.leaseOnly {
					require.Len(t, b.adoptedTasks(), 1, "the running task is adopted before the first start")
					time.Sleep(10 * time.Second)
					require.Equal(t, worker.TaskRunning, w.state("t1"), "an adopted task is renewed")
				}
				require.False(t, b.startedEarly, "a start succeeded while tasks were being adopted")
				_, err := a.start("t3", false)
				require.True(t, NotRun(err), "the previous holder must not start tasks: %v", err)
			})
		})
	}
}

// Guards against a start that a holder sends before a takeover, that is delayed
// and reaches the worker after it.
func TestDelayedStartAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), assignedTo("a")
		a, b := newTestHost("a", w, s.get), newTestHost("b", w, s.get)
		defer stopHosts(a, b)
		timeUntilStarted(t, a, "t1")
		a.client.set(func() { a.client.delay = 2500 * time.Millisecond })
		s.set("b", b)
		_, err := a.start("late", false)
		require.ErrorIs(t, err, worker.ErrStaleEpoch)
		require.True(t, NotRun(err))
		require.Empty(t, w.state("late"))
		_, held := a.Held("w1")
		require.False(t, held, "the previous holder's lease has expired by its own clock")
		_, held = b.Held("w1")
		require.True(t, held)
	})
}

// Guards against starts under a lease that the worker may regard as expired: the
// holder's own expiry must come ExpiryMargin earlier.
func TestOwnLeaseExpiresFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), assignedTo("a")
		a := newTestHost("a", w, s.get)
		defer stopHosts(a)
		timeUntilStarted(t, a, "t1")
		_, err := a.start("t1", false)
		require.Equal(t, ErrDuplicate, err)
		a.client.set(func() { a.client.delay = 10 * time.Second })
		begin := time.Now()
		for held := true; held; _, held = a.Held("w1") {
			time.Sleep(time.Millisecond)
			require.Less(t, time.Since(begin), 2*time.Second)
		}
		_, err = a.start("t2", false)
		require.Equal(t, ErrNotHeld, err)
		w.mu.Lock()
		defer w.mu.Unlock()
		require.GreaterOrEqual(t, time.Until(w.leaseUntil), 200*time.Millisecond)
	})
}

// Guards against a handover that cuts off running tasks or pending replies, and
// against a restarted process that waits for its own previous lease to expire.
func TestRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), assignedTo("a")
		a := newTestHost("a", w, s.get)
		timeUntilStarted(t, a, "t1")
		a.stop()
		restarted := newTestHost("a", w, s.get)
		defer stopHosts(restarted)
		require.Less(t, timeUntilStarted(t, restarted, "t2"), 50*time.Millisecond)
		require.Len(t, restarted.adoptedTasks(), 1)

		old, _ := restarted.Held("w1")
		w.restart()
		time.Sleep(time.Second)
		lease, held := restarted.Held("w1")
		require.True(t, held)
		require.NotEqual(t, old.Incarnation, lease.Incarnation)
		require.Greater(t, lease.Epoch, old.Epoch)
		require.Empty(t, restarted.adoptedTasks())
		require.Len(t, restarted.endedTasks(), 2, "tasks of the previous incarnation have ended")

		replied := make(chan error)
		go func() { _, err := restarted.start("t3", true); replied <- err }()
		time.Sleep(20 * time.Millisecond)
		s.set("b")
		require.NoError(t, restarted.Handover(context.Background()))
		_, err := restarted.start("t4", false)
		require.ErrorIs(t, err, ErrStopping)
		w.finish("t3")
		require.NoError(t, <-replied)
	})
}

// Guards against returning an answer that is incomplete, corrupted or another
// task's, and against freeing the slot after a lost reply too early.
func TestDamagedAnswers(t *testing.T) {
	for name, damage := range map[string]func(*worker.StartReply){
		"answer of another task": func(r *worker.StartReply) { r.Answer.Task = "other" },
		"truncated": func(r *worker.StartReply) {
			r.Answer.Body = r.Answer.Body[:3]
			r.Answer.Checksum = crc32.Checksum(r.Answer.Body, castagnoli)
		},
		"corrupted": func(r *worker.StartReply) { r.Answer.Body = []byte("AnsweR of t1") },
		"missing":   func(r *worker.StartReply) { r.Answer = nil },
		"lost":      nil,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, s := newFakeWorker(false), assignedTo("a")
				a := newTestHost("a", w, s.get)
				defer stopHosts(a)
				timeUntilStarted(t, a, "t0")
				a.client.set(func() { a.client.corruptReply, a.client.dropReply = damage, damage == nil })
				go func() {
					time.Sleep(5 * time.Second)
					w.finish("t1")
				}()
				_, err := a.start("t1", true)
				require.ErrorIs(t, err, ErrOutcomeUnknown)
				require.False(t, NotRun(err))
				require.Empty(t, a.endedTasks(), "the slot stays in use until the worker's status reply")
				time.Sleep(time.Second)
				require.Len(t, a.endedTasks(), 1)
				require.Equal(t, "answer of t1", string(a.endedTasks()[0].Answer.Body))
			})
		})
	}
}

// Guards against a host that acquires a worker after a pause without having read
// the host list again, which may show the worker as leaving by now.
func TestNoLeaseBeforeListIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), assignedTo("b")
		a := newTestHost("a", w, s.get)
		defer stopHosts(a)
		a.RecordListRead(time.Now())
		time.Sleep(3 * time.Second)
		s.set("a", a)
		for _, age := range []time.Duration{time.Hour, 3 * time.Second} {
			a.RecordListRead(time.Now().Add(-age))
			time.Sleep(time.Second)
			_, held := a.Held("w1")
			require.False(t, held, "the newest read began before the pause")
		}
		a.RecordListRead(time.Now())
		require.Less(t, timeUntilStarted(t, a, "t1"), 200*time.Millisecond)
	})
}

// Guards against a start that timed out and arrives at the worker only after the
// status query, when its slot has been given to another task.
func TestDelayedStartIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), assignedTo("a")
		a := newTestHost("a", w, s.get)
		defer stopHosts(a)
		timeUntilStarted(t, a, "t0")
		a.client.set(func() { a.client.delay = 2 * time.Second })
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		go func() {
			time.Sleep(10 * time.Millisecond)
			a.client.set(func() { a.client.delay = 0 })
		}()
		_, err := a.Start(ctx, "w1", worker.StartRequest{Task: "t1"})
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		time.Sleep(time.Second)
		require.Equal(t, []worker.Task{{ID: "t1", State: worker.TaskFenced}}, a.endedTasks())
		time.Sleep(2 * time.Second)
		require.Empty(t, w.state("t1"))

		a.client.set(func() { a.client.delay = time.Second })
		go func() {
			time.Sleep(10 * time.Millisecond)
			a.client.set(func() { a.client.delay = 0 })
		}()
		_, err = a.start("t2", false)
		require.NoError(t, err, "a start whose reply is still pending is not fenced")
	})
}

// Guards against starts on a worker that is being released.
func TestNoStartDuringRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), assignedTo("a")
		a := newTestHost("a", w, s.get)
		defer stopHosts(a)
		timeUntilStarted(t, a, "t1")
		time.Sleep(100 * time.Millisecond)
		a.client.set(func() { a.client.delay = 300 * time.Millisecond })
		s.set("b", a)
		time.Sleep(100 * time.Millisecond)
		_, err := a.start("t2", false)
		require.Equal(t, ErrNotHeld, err)
	})
}

// Guards against new tasks on a leaving worker: its leaving state must persist
// until a current list shows a newer incarnation of it as live.
func TestLeavingStatePersists(t *testing.T) {
	type entry struct {
		incarnation string
		state       platform.HostState
		age         time.Duration
	}
	const live, leaving = platform.HostLive, platform.HostLeaving
	for name, tc := range map[string]struct {
		lists []entry
		want  error
	}{
		"leaving":                              {[]entry{{"i", leaving, 0}}, ErrLeaving},
		"leaving in a stale list":              {[]entry{{"i", leaving, 6 * time.Second}}, ErrLeaving},
		"live again, same incarnation":         {[]entry{{"i", leaving, 0}, {"i", live, 0}}, ErrLeaving},
		"live again, new incarnation":          {[]entry{{"i", leaving, 0}, {"j", live, 0}}, nil},
		"live again in a stale list":           {[]entry{{"i", leaving, 0}, {"j", live, 6 * time.Second}}, ErrLeaving},
		"stale list of a previous incarnation": {[]entry{{"j", live, 0}, {"i", leaving, 11 * time.Second}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := assignedTo("a")
				a := newTestHost("a", newFakeWorker(false), s.get)
				defer stopHosts(a)
				timeUntilStarted(t, a, "t0")
				for _, e := range tc.lists {
					time.Sleep(10 * time.Second)
					a.setHostList(e.incarnation, e.state, e.age)
				}
				time.Sleep(time.Second)
				_, err := a.start("t1", false)
				require.ErrorIs(t, err, tc.want)
				a.setHostList("i", leaving, 0)
				a.SetHosts(platform.HostListReply{AsOf: time.Now().Add(-2 * time.Second)})
				a.Manager.mu.Lock()
				removed := a.workers["w1"].removed
				a.Manager.mu.Unlock()
				require.False(t, removed, "an older list removes nothing")
				time.Sleep(10 * time.Second)
				a.SetHosts(platform.HostListReply{AsOf: time.Now().Add(-6 * time.Second)})
				require.Len(t, a.Workers(), 1, "a stale list removes nothing")
				a.SetHosts(platform.HostListReply{AsOf: time.Now()})
				time.Sleep(2 * time.Second)
				require.False(t, a.client.isClosed(), "tasks still run there")
				a.client.finish("t0")
				a.client.finish("t1")
				time.Sleep(2 * time.Second)
				require.True(t, a.client.isClosed())
				require.Empty(t, a.Workers())
			})
		})
	}
}

// Guards against renewals that are more than RenewEvery apart, that follow each
// other immediately, or that each need a separate processor wake-up.
func TestRenewalsAreAligned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Options{Self: "a"})
		renewalTimes := make(map[time.Duration]bool)
		for range 200 {
			next := m.untilRenewal()
			require.Greater(t, next, 250*time.Millisecond-1)
			require.LessOrEqual(t, next, 500*time.Millisecond)
			renewalTimes[time.Since(m.startedAt.Add(-next))%(500*time.Millisecond)] = true
			time.Sleep(37 * time.Millisecond)
		}
		require.Len(t, renewalTimes, 2)
	})
}

// Guards against jobs that are permanently rejected although a listed worker
// could run them, and against a scan of all workers for each request, which took
// milliseconds at 5,100 workers.
func TestLargestCapacity(t *testing.T) {
	m := New(Options{Self: "a", Dial: func(worker.Info) worker.Worker { return nil }})
	host := func(name string, milliCPU, accelerators int64, slots int) platform.Host {
		return platform.Host{State: platform.HostLive, Info: worker.Info{Name: name, Capacity: worker.Capacity{
			Resources: worker.Resources{MilliCPU: milliCPU, Accelerators: accelerators}, Slots: slots,
		}}}
	}
	hosts := []platform.Host{host("w1", 32_000, 0, 8)}
	for i := range 5000 {
		hosts = append(hosts, host("v"+strconv.Itoa(i), 1000, 1, 1))
	}
	m.SetHosts(platform.HostListReply{AsOf: time.Now(), Hosts: hosts})
	require.Equal(t, worker.Capacity{Resources: worker.Resources{MilliCPU: 32_000, Accelerators: 1}, Slots: 8}, m.LargestCapacity())
	require.Zero(t, testing.AllocsPerRun(100, func() { m.LargestCapacity() }))
	m.SetHosts(platform.HostListReply{AsOf: time.Now(), Hosts: hosts[1:]})
	require.EqualValues(t, 1000, m.LargestCapacity().MilliCPU)
}
