package pool

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	firstLastingSeed = flag.Uint64("lasting-seed", 1, "first seed of TestLastingTasksAcrossGeneratedChanges")
	lastingSeeds     = flag.Uint64("lasting-seeds", 12, "number of seeds of TestLastingTasksAcrossGeneratedChanges")
)

// killedHostReturns is within how long the next process of a killed one is there.
const killedHostReturns = time.Second

// Guards against long-running tasks of dead workers that stay without a run while schedulers
// are killed at any moment of the wait.
func TestLastingTasksAcrossGeneratedChanges(t *testing.T) {
	for seed := *firstLastingSeed; seed < *firstLastingSeed+*lastingSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inSimulation(t, 10, func(t *testing.T, tc *testCluster) { playLastingTasks(t, tc, drawer{rand.New(rand.NewPCG(seed, 40))}) })
		})
	}
}

// playLastingTasks kills workers and schedulers at drawn moments, and requires that all
// tasks run again within lostAfter of the end of their workers.
func playLastingTasks(t *testing.T, tc *testCluster, d drawer) {
	begin := time.Now()
	hosts := newTestHosts(tc, rand.New(rand.NewPCG(d.Uint64(), 41)), func(format string, args ...any) {
		t.Logf("%s "+format, append([]any{time.Since(begin)}, args...)...)
	})
	hosts.mu.Lock()
	hosts.undisturbed = true
	hosts.mu.Unlock()
	hosts.restartDelay = func() time.Duration { return d.between(300*time.Millisecond, killedHostReturns) }
	tc.waitFor("the scheduler has loaded its state", tc.loaded)
	tc.submit("a", longRunning(6))
	tc.waitFor("all tasks run", func() bool { return len(tc.running("a")) == 6 })
	time.Sleep(d.between(0, 2*settledAfter))
	longest := []time.Duration{2500 * time.Millisecond, 4600 * time.Millisecond, 6 * time.Second}[d.IntN(3)]
	change := time.Now().Add(d.between(0, longest))
	for range 1 + d.IntN(3) {
		for death := time.Now().Add(d.between(0, longest)); time.Now().Before(death); time.Sleep(10 * time.Millisecond) {
			change = killIfDue(hosts, d, change, longest)
		}
		dead := tc.workersOf("a")
		id := dead[d.IntN(len(dead))]
		refuses, gone := d.IntN(2) == 0, time.Now().Add(d.between(time.Second, 5*time.Second))
		hosts.note("%s dies, refuses connections: %v", id, refuses)
		tc.worker(id).Restart()
		tc.worker(id).SetRefusing(refuses)
		tc.worker(id).SetPartitioned(!refuses)
		died, changes := time.Now(), 3+d.IntN(8)
		for len(tc.running("a")) < 6 {
			require.Less(t, time.Since(died), lostAfter, "LOST: %v run", tc.running("a"))
			if !gone.IsZero() && time.Now().After(gone) {
				tc.unpublish(id)
				gone = time.Time{}
			}
			if due := change; changes > 0 {
				if change = killIfDue(hosts, d, change, longest); change != due {
					changes--
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		hosts.note("all tasks run again after %s", time.Since(died))
	}
}

// killIfDue kills the scheduler if its change is due, and returns when the next one is.
func killIfDue(hosts *testHosts, d drawer, due time.Time, longest time.Duration) time.Time {
	if time.Now().Before(due) {
		return due
	}
	hosts.kill(hosts.holder)
	time.Sleep(d.between(100*time.Millisecond, 500*time.Millisecond))
	hosts.claim()
	return time.Now().Add(d.between(300*time.Millisecond, longest))
}
