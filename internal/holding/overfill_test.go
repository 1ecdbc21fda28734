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

// Guards against an overfull worker when starts of the former holder arrive
// after the takeover at a worker that does not check epochs.
func TestLateStartsLeaseOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(true), owned("a")
		a, b := newHost("a", w, s.get), newHost("b", w, s.get)
		defer end(a, b)
		untilStarted(t, a, "t0")
		a.client.set(func() { a.client.delay = 2 * time.Second })
		for i := range 4 {
			go func() { _, _ = a.start(worker.TaskID(fmt.Sprint("late", i)), false) }()
		}
		s.set("b", b)
		for i := range 400 {
			time.Sleep(20 * time.Millisecond)
			b.fill(worker.TaskID(fmt.Sprint("b", i)))
			if i == 105 {
				require.Equal(t, worker.TaskRunning, w.state("late0"))
				_, free := b.slots()
				require.Zero(t, free, "the whole capacity is regarded as taken")
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		require.Equal(t, 8, w.mostRunning)
	})
}

// Guards against two hosts that can both start tasks, and against more tasks
// on a worker than it has slots, while two hosts fill it over random pauses, disagreements about the owner and restarts.
func TestNoOverfill(t *testing.T) {
	begun := 0
	rapid.Check(t, func(rt *rapid.T) {
		leaseOnly := rapid.Bool().Draw(rt, "leaseOnly")
		faults := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 15).Draw(rt, "faults")
		waits := rapid.SliceOfN(rapid.IntRange(1, 3000), len(faults), len(faults)).Draw(rt, "waits_ms")
		most, both := 0, atomic.Bool{}
		synctest.Test(t, func(*testing.T) {
			w := newFakeWorker(leaseOnly)
			views := []*settings{owned("a"), owned("a")}
			hosts := []*host{newHost("a", w, views[0].get), newHost("b", w, views[1].get)}
			ctx, cancel := context.WithCancel(context.Background())
			for i, h := range hosts {
				go func() {
					for n := 0; ctx.Err() == nil; n++ {
						id := worker.TaskID(fmt.Sprintf("%d.%d", i, n))
						go h.fill(id)
						_, held := h.Held("w1")
						if _, other := hosts[1-i].Held("w1"); held && other {
							both.Store(true)
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
				case 1: // the host alone takes itself for the owner
					views[f%2].set([]string{"a", "b"}[f%2], h)
				case 2, 3:
					h.client.set(func() { h.client.delay = time.Duration(f/2-2) * 2 * time.Second })
				case 4:
					h.client.set(func() { h.client.dropReply = !h.client.dropReply })
				}
				time.Sleep(time.Duration(waits[i]) * time.Millisecond)
			}
			cancel()
			end(hosts...)
			w.mu.Lock()
			defer w.mu.Unlock()
			most, begun = w.mostRunning, begun+w.begun
		})
		if most > 8 {
			rt.Fatalf("%d tasks ran in 8 slots", most)
		}
		if both.Load() {
			rt.Fatal("two hosts could start tasks")
		}
	})
	require.Greater(t, begun, 500, "too few tasks began to show anything")
}
