package holding

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Guards against more tasks than slots on a worker that does not check epochs,
// when delayed starts of the previous holder arrive after the takeover.
func TestDelayedStartsLeaseOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(true), assignedTo("a")
		a, b := newTestHost("a", w, s.get), newTestHost("b", w, s.get)
		defer stopHosts(a, b)
		timeUntilStarted(t, a, "t0")
		a.client.set(func() { a.client.delay = 2 * time.Second })
		for i := range 4 {
			go func() { _, _ = a.start(worker.TaskID(fmt.Sprint("late", i)), false) }()
		}
		s.set("b", b)
		for i := range 400 {
			time.Sleep(20 * time.Millisecond)
			b.startIfFree(worker.TaskID(fmt.Sprint("b", i)))
			if i == 105 {
				require.Equal(t, worker.TaskRunning, w.state("late0"))
				_, capacity := b.slots()
				require.Zero(t, capacity, "the capacity is zero until the previous holder's task leases have expired")
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		require.Equal(t, 8, w.maxRunning)
	})
}

// Guards against two hosts that can start tasks on the same worker at once, and
// against more tasks than slots there, while both hosts start tasks over random
// call delays, lost replies and disagreements about the owner.
func TestNoMoreTasksThanSlots(t *testing.T) {
	totalStarted := 0
	rapid.Check(t, func(rt *rapid.T) {
		leaseOnly := rapid.Bool().Draw(rt, "leaseOnly")
		faults := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 15).Draw(rt, "faults")
		waits := rapid.SliceOfN(rapid.IntRange(1, 3000), len(faults), len(faults)).Draw(rt, "waits_ms")
		maxRunning, bothHeld := 0, atomic.Bool{}
		synctest.Test(t, func(*testing.T) {
			w := newFakeWorker(leaseOnly)
			views := []*assignment{assignedTo("a"), assignedTo("a")}
			hosts := []*testHost{newTestHost("a", w, views[0].get), newTestHost("b", w, views[1].get)}
			ctx, cancel := context.WithCancel(context.Background())
			for i, h := range hosts {
				go func() {
					for n := 0; ctx.Err() == nil; n++ {
						id := worker.TaskID(fmt.Sprintf("%d.%d", i, n))
						go h.startIfFree(id)
						_, held := h.Held("w1")
						if _, other := hosts[1-i].Held("w1"); held && other {
							bothHeld.Store(true)
						}
						if n%4 == 3 {
							w.finishOne()
						}
						time.Sleep(20 * time.Millisecond)
					}
				}()
			}
			for i, f := range faults {
				h := hosts[f%2]
				switch f / 2 {
				case 0: // both hosts see the same owner
					views[1-f%2].set([]string{"a", "b"}[f%2], hosts[1-f%2])
					fallthrough
				case 1: // only this host sees itself as the owner
					views[f%2].set([]string{"a", "b"}[f%2], h)
				case 2, 3:
					h.client.set(func() { h.client.delay = time.Duration(f/2-2) * 2 * time.Second })
				case 4:
					h.client.set(func() { h.client.dropReply = !h.client.dropReply })
				}
				time.Sleep(time.Duration(waits[i]) * time.Millisecond)
			}
			cancel()
			stopHosts(hosts...)
			w.mu.Lock()
			defer w.mu.Unlock()
			maxRunning, totalStarted = w.maxRunning, totalStarted+w.startCount
		})
		if maxRunning > 8 {
			rt.Fatalf("%d tasks ran in 8 slots", maxRunning)
		}
		if bothHeld.Load() {
			rt.Fatal("two hosts could start tasks")
		}
	})
	require.Greater(t, totalStarted, 500, "too few tasks were started for the test to be meaningful")
}
