package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// platformMaxLease is the longest lease that the workers of the platform grant.
const platformMaxLease = 10 * time.Second

// changesAfterDeath are the changes of scheduler around the end of a worker.
type changesAfterDeath struct {
	// after is how long after the worker the scheduler ends, and back when the next process
	// of its host is there, 0 for never.
	after, back time.Duration
	// further is the number of changes of scheduler after that, 4.5 s apart.
	further int
}

var taskAges = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 16 * time.Second}

// Guards against long-running tasks of dead workers that stay without a run because of their age.
func TestRunsOfDeadWorkerWhateverTheirAge(t *testing.T) {
	playTaskAges(t, map[string]changesAfterDeath{
		"scheduler restarts":             {0, 500 * time.Millisecond, 0},
		"scheduler restarts late":        {0, 3 * time.Second, 0},
		"schedulers restart in a row":    {0, 500 * time.Millisecond, 5},
		"scheduler restarts 0.5 s later": {500 * time.Millisecond, 500 * time.Millisecond, 5},
		"scheduler restarts 2 s later":   {2 * time.Second, 500 * time.Millisecond, 0},
		"scheduler restarts 3.5 s later": {3500 * time.Millisecond, 500 * time.Millisecond, 5},
	})
}

// Guards against long-running tasks of dead workers that wait for a scheduler that stays away.
func TestRunsOfDeadWorkerWhoseSchedulerStaysAway(t *testing.T) {
	playTaskAges(t, map[string]changesAfterDeath{
		"scheduler goes":           {0, 0, 0},
		"scheduler goes 2 s later": {2 * time.Second, 0, 0},
		"schedulers go in a row":   {2 * time.Second, 0, 2},
	})
}

// playTaskAges ends a worker whose tasks have each of taskAges, and requires that they run
// again within lostAfter.
func playTaskAges(t *testing.T, cases map[string]changesAfterDeath) {
	for name, c := range cases {
		for _, age := range taskAges {
			t.Run(fmt.Sprint(name, "/", age), func(t *testing.T) {
				inSimulationWithLease(t, 10, platformMaxLease, func(t *testing.T, tc *testCluster) { playTaskAge(t, tc, c, age) })
			})
		}
	}
}

func playTaskAge(t *testing.T, tc *testCluster, c changesAfterDeath, age time.Duration) {
	hosts := newTestHosts(tc, rand.New(rand.NewPCG(1, 1)), t.Logf)
	hosts.mu.Lock()
	hosts.undisturbed = true
	hosts.mu.Unlock()
	hosts.restartDelay = func() time.Duration {
		if c.back == 0 {
			return -1
		}
		return c.back
	}
	tc.waitFor("the scheduler has loaded its state", tc.loaded)
	tc.submit("a", longRunning(6))
	tc.waitFor("all tasks run", func() bool { return len(tc.running("a")) == 6 })
	time.Sleep(age)
	tc.dieSilently(tc.workersOf("a")[0])
	died := time.Now()
	change := func() {
		hosts.kill(hosts.holder)
		time.Sleep(400 * time.Millisecond)
		hosts.claim()
	}
	time.Sleep(c.after)
	change()
	again := func() bool { return len(tc.running("a")) == 6 }
	for next, left := time.Now().Add(4500*time.Millisecond), c.further; !again(); time.Sleep(10 * time.Millisecond) {
		if left > 0 && time.Now().After(next) {
			change()
			next, left = time.Now().Add(4500*time.Millisecond), left-1
		}
		require.Less(t, time.Since(died), lostAfter)
	}
}
