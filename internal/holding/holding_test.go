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

// settings is the owner of the worker as both hosts see it.
type settings struct{ owner atomic.Value }

func (s *settings) get() string { return s.owner.Load().(string) }

func (s *settings) set(owner string, hosts ...*host) {
	s.owner.Store(owner)
	for _, h := range hosts {
		h.Rescan()
	}
}

func owned(by string) *settings {
	s := &settings{}
	s.set(by)
	return s
}

// end stops the hosts and lets all delayed calls arrive, without which the
// bubble would not end.
func end(hosts ...*host) {
	for _, h := range hosts {
		h.stop()
	}
	time.Sleep(2 * time.Hour)
}

// untilStarted returns the time until h can start a task.
func untilStarted(t *testing.T, h *host, id worker.TaskID) time.Duration {
	begin := time.Now()
	for {
		if _, err := h.start(id, false); err == nil {
			return time.Since(begin)
		}
		time.Sleep(5 * time.Millisecond)
		require.Less(t, time.Since(begin), 20*time.Second)
	}
}

// Guards against a worker that stays without a holder for too long, and
// against running tasks that the successor does not adopt before it starts.
func TestTakeover(t *testing.T) {
	for name, tc := range map[string]struct {
		leaseOnly bool
		fault     func(s *settings, a, b *host)
		max       time.Duration
	}{
		"death": {fault: func(s *settings, a, b *host) {
			a.stop()
			time.Sleep(time.Second)
			s.set("b", b)
		}, max: 600 * time.Millisecond},
		"death, lease only": {leaseOnly: true, fault: func(s *settings, a, b *host) {
			a.stop()
			time.Sleep(time.Second)
			s.set("b", b)
		}, max: 600*time.Millisecond + 3250*time.Millisecond},
		"pause": {fault: func(s *settings, a, b *host) {
			a.client.set(func() { a.client.delay = 4 * time.Second })
			time.Sleep(time.Second)
			s.set("b", a, b)
		}, max: 1100 * time.Millisecond},
		"handover": {fault: func(s *settings, a, b *host) {
			s.set("b", b)
			time.Sleep(150 * time.Millisecond)
			_ = a.Handover(context.Background())
		}, max: 150 * time.Millisecond},
		"host that returns": {fault: func(s *settings, a, b *host) { s.set("b", a, b) }, max: 150 * time.Millisecond},
		"holder paused during the takeover": {fault: func(s *settings, a, b *host) {
			a.stop()
			b.client.set(func() { b.client.delay = time.Second })
			s.set("b", b)
			time.Sleep(1600 * time.Millisecond)
			b.client.set(func() { b.client.delay = 0 })
		}, max: 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, s := newFakeWorker(tc.leaseOnly), owned("a")
				a, b := newHost("a", w, s.get), newHost("b", w, s.get)
				defer end(a, b)
				untilStarted(t, a, "t1")
				time.Sleep(time.Second)
				tc.fault(s, a, b)
				gap := untilStarted(t, b, "t2")
				t.Logf("no start for %s after the successor was chosen", gap)
				require.LessOrEqual(t, gap, tc.max)
				if !tc.leaseOnly {
					require.Len(t, b.gainedTasks(), 1, "the running task is adopted before the first start")
					time.Sleep(10 * time.Second)
					require.Equal(t, worker.TaskRunning, w.state("t1"), "an adopted task is renewed")
				}
				require.False(t, b.early, "a start while tasks are being adopted")
				_, err := a.start("t3", false)
				require.True(t, NotRun(err), "the former holder must not start: %v", err)
			})
		})
	}
}

// Guards against a start that leaves a paused holder before the takeover and
// reaches the worker after it.
func TestLateStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), owned("a")
		a, b := newHost("a", w, s.get), newHost("b", w, s.get)
		defer end(a, b)
		untilStarted(t, a, "t1")
		a.client.set(func() { a.client.delay = 2500 * time.Millisecond })
		s.set("b", b)
		_, err := a.start("late", false)
		require.ErrorIs(t, err, worker.ErrStaleEpoch)
		require.True(t, NotRun(err))
		require.Empty(t, w.state("late"))
		_, held := a.Held("w1")
		require.False(t, held, "the own lease has expired by the own clock")
		_, held = b.Held("w1")
		require.True(t, held)
	})
}

// Guards against starts under a lease that the worker may regard as expired.
func TestOwnLeaseExpiresFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), owned("a")
		a := newHost("a", w, s.get)
		defer end(a)
		untilStarted(t, a, "t1")
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
		require.GreaterOrEqual(t, time.Until(w.until), 200*time.Millisecond)
	})
}

// Guards against work that a host hands over with the worker being cut off,
// and against a restarted process that waits for its own former lease.
func TestRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), owned("a")
		a := newHost("a", w, s.get)
		untilStarted(t, a, "t1")
		a.stop()
		again := newHost("a", w, s.get)
		defer end(again)
		require.Less(t, untilStarted(t, again, "t2"), 50*time.Millisecond)
		require.Len(t, again.gainedTasks(), 1)

		old, _ := again.Held("w1")
		w.restart()
		time.Sleep(time.Second)
		hold, held := again.Held("w1")
		require.True(t, held)
		require.NotEqual(t, old.Incarnation, hold.Incarnation)
		require.Greater(t, hold.Epoch, old.Epoch)
		require.Empty(t, again.gainedTasks())
		require.Len(t, again.endedTasks(), 2, "tasks of the former incarnation have ended")

		replied := make(chan error)
		go func() { _, err := again.start("t3", true); replied <- err }()
		time.Sleep(20 * time.Millisecond)
		s.set("b")
		require.NoError(t, again.Handover(context.Background()))
		_, err := again.start("t4", false)
		require.ErrorIs(t, err, ErrStopping)
		w.finish("t3")
		require.NoError(t, <-replied)
	})
}

// Guards against answers that are passed on although they are not the whole
// answer of the task, and against a lost reply that frees a slot too early.
func TestDamagedAnswers(t *testing.T) {
	for name, damage := range map[string]func(*worker.StartReply){
		"crossed": func(r *worker.StartReply) { r.Answer.Task = "other" },
		"cut": func(r *worker.StartReply) {
			r.Answer.Body = r.Answer.Body[:3]
			r.Answer.Checksum = crc32.Checksum(r.Answer.Body, castagnoli)
		},
		"altered": func(r *worker.StartReply) { r.Answer.Body = []byte("AnsweR of t1") },
		"missing": func(r *worker.StartReply) { r.Answer = nil },
		"lost":    nil,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, s := newFakeWorker(false), owned("a")
				a := newHost("a", w, s.get)
				defer end(a)
				untilStarted(t, a, "t0")
				a.client.set(func() { a.client.damage, a.client.dropReply = damage, damage == nil })
				go func() {
					time.Sleep(5 * time.Second)
					w.finish("t1")
				}()
				_, err := a.start("t1", true)
				require.ErrorIs(t, err, ErrOutcomeUnknown)
				require.False(t, NotRun(err))
				require.Empty(t, a.endedTasks(), "the slot stays taken until the worker was asked")
				time.Sleep(time.Second)
				require.Len(t, a.endedTasks(), 1)
				require.Equal(t, "answer of t1", string(a.endedTasks()[0].Answer.Body))
			})
		})
	}
}

// Guards against a host that takes a worker again after a pause before it has
// read whether the worker was listed as leaving meanwhile.
func TestNoLeaseBeforeListIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), owned("b")
		a := newHost("a", w, s.get)
		defer end(a)
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
		require.Less(t, untilStarted(t, a, "t1"), 200*time.Millisecond)
	})
}

// Guards against a start whose reply timed out, that the worker has not seen
// when it is asked, and that arrives after the slot has been given away.
func TestDelayedStartIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), owned("a")
		a := newHost("a", w, s.get)
		defer end(a)
		untilStarted(t, a, "t0")
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
		require.NoError(t, err, "a start that is still waited for is not fenced")
	})
}

// Guards against starts on a worker that is being released.
func TestNoStartDuringRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), owned("a")
		a := newHost("a", w, s.get)
		defer end(a)
		untilStarted(t, a, "t1")
		time.Sleep(100 * time.Millisecond)
		a.client.set(func() { a.client.delay = 300 * time.Millisecond })
		s.set("b", a)
		time.Sleep(100 * time.Millisecond)
		_, err := a.start("t2", false)
		require.Equal(t, ErrNotHeld, err)
	})
}

// Guards against new work for a worker that leaves.
func TestLeavingIsLatched(t *testing.T) {
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
		"leaving":                            {[]entry{{"i", leaving, 0}}, ErrLeaving},
		"leaving in a stale list":            {[]entry{{"i", leaving, 6 * time.Second}}, ErrLeaving},
		"live again, same incarnation":       {[]entry{{"i", leaving, 0}, {"i", live, 0}}, ErrLeaving},
		"live again, new incarnation":        {[]entry{{"i", leaving, 0}, {"j", live, 0}}, nil},
		"live again in a stale list":         {[]entry{{"i", leaving, 0}, {"j", live, 6 * time.Second}}, ErrLeaving},
		"stale list of a former incarnation": {[]entry{{"j", live, 0}, {"i", leaving, 11 * time.Second}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := owned("a")
				a := newHost("a", newFakeWorker(false), s.get)
				defer end(a)
				untilStarted(t, a, "t0")
				for _, e := range tc.lists {
					time.Sleep(10 * time.Second)
					a.list(e.incarnation, e.state, e.age)
				}
				time.Sleep(time.Second)
				_, err := a.start("t1", false)
				require.ErrorIs(t, err, tc.want)
				a.list("i", leaving, 0)
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

// Guards against renewals that are more than RenewEvery apart, that come at once
// again, or that need a wake-up of the processor each.
func TestRenewalsCoincide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Options{Self: "a"})
		moments := make(map[time.Duration]bool)
		for range 200 {
			next := m.untilRenewal()
			require.Greater(t, next, 250*time.Millisecond-1)
			require.LessOrEqual(t, next, 500*time.Millisecond)
			moments[time.Since(m.started.Add(-next))%(500*time.Millisecond)] = true
			time.Sleep(37 * time.Millisecond)
		}
		require.Len(t, moments, 2)
	})
}

// Guards against jobs that are refused for good though a listed worker could
// take them, and against a look at every worker for each request, which took
// milliseconds at 5,100 workers.
func TestLargest(t *testing.T) {
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
