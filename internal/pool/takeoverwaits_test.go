package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against waits that begin anew where terms are short, takeovers long or predecessors do not return.
func TestWaitsAcrossShortTermsAndLongTakeovers(t *testing.T) {
	for name, c := range map[string]struct {
		// interval is the time between changes, 0 if there is one only; takeover how long
		// the shard is without a scheduler at each, and returnAfter when the next process
		// of the predecessor is there after that, 0 if there is none.
		interval, takeover, returnAfter time.Duration
	}{
		"short terms": {1400 * time.Millisecond, 200 * time.Millisecond, restartDelay},
		"long takeovers, predecessors do not return":     {4500 * time.Millisecond, 1900 * time.Millisecond, 0},
		"one long takeover, predecessor does not return": {0, 1900 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inSimulation(t, 5, func(t *testing.T, tc *testCluster) {
				tc.submit("a", longRunning(3))
				tc.waitFor("all tasks run", func() bool { return len(tc.running("a")) == 3 })
				time.Sleep(settledAfter)
				change := func() {
					tc.stop()
					time.Sleep(c.takeover)
					returned := tc.claim(fmt.Sprint("host-", tc.epoch%3))
					if c.returnAfter > 0 {
						time.AfterFunc(c.returnAfter, returned)
					}
				}
				again := func() bool { return len(tc.running("a")) == 3 }
				tc.dieSilently(tc.workersOf("a")[0])
				begin := time.Now()
				change()
				for c.interval > 0 && time.Since(begin) < 2*lostAfter && !happensWithin(c.interval-c.takeover, again) {
					change()
				}
				tc.waitFor("all tasks run again", again)
				require.Less(t, time.Since(begin), lostAfter)
			})
		})
	}
}
