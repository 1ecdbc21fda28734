package pool

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/lead"
)

const (
	// lostAfter is how long after the end of its worker a long-running task counts as lost
	// if it has no further run, by the users' rules: 6 s after its last run and 3 s that are
	// calm.
	lostAfter = 9 * time.Second
	// settledAfter is how long a worker has replied to schedulers when the tests begin.
	settledAfter = 12 * time.Second
	// restartDelay is how long after the end of a host's process the next one has started.
	restartDelay = 500 * time.Millisecond
)

// claim starts a new scheduler on a host that has read the record of the previous one. Once
// that one's process is killed, restart starts the next one on its host, which reports to the
// new scheduler.
func (tc *testCluster) claim(host string) (restart func()) {
	previous, now := tc.holder, cell.BootTime()
	if previous == nil && tc.term == nil {
		// The first scheduler of the cluster was started without a record.
		previous = &lead.Holder{Host: "first", Address: "first", Incarnation: "first", Epoch: tc.epoch, LeaseRecordsSince: 1, ProcessRecordsSince: 1, SentBy: tc.stoppedAt}
		for n := range 3 {
			name := fmt.Sprint("host-", n)
			previous.Witnesses = append(previous.Witnesses, lead.WitnessName(name, name))
		}
	} else if tc.term != nil {
		// The last renewal was sent and read just before its process was killed.
		renewed := tc.term.Renewal(*previous, tc.stoppedAt)
		renewed.SentBy = tc.stoppedAt
		previous = &renewed
	}
	own := lead.ClaimAfter(previous, lead.Holder{Host: host, Address: host, Incarnation: fmt.Sprint(host, "-", now)}, now, now)
	ctx, cancel := context.WithCancel(context.Background())
	tc.epoch, tc.holder, tc.term = own.Epoch, &own, lead.BeginTerm(previous, own, now, now, cancel)
	tc.runScheduler(ctx, tc.term, cancel)
	return func() {
		begin := cell.BootTime()
		if tc.term.Epoch == own.Epoch {
			tc.term.NoteHost(lead.HostReport{Host: previous.Host, Address: previous.Address, Incarnation: "next", KnownEpoch: own.Epoch, Uptime: cell.BootTime() - begin})
		}
	}
}

// replaceKilled lets another host take over from the scheduler, whose process is killed. The
// next process on its host is there after restartDelay.
func (tc *testCluster) replaceKilled() {
	tc.stop()
	time.Sleep(200 * time.Millisecond)
	time.AfterFunc(restartDelay, tc.claim(fmt.Sprint("host-", tc.epoch%2)))
}

// dieSilently ends the process of a worker. Its address refuses connections.
func (tc *testCluster) dieSilently(id string) {
	w := tc.worker(id)
	w.Restart()
	w.SetRefusing(true)
}

// happensWithin reports whether the condition holds at some moment of the next d.
func happensWithin(d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); !condition(); time.Sleep(min(10*time.Millisecond, time.Until(end))) {
		if !time.Now().Before(end) {
			return false
		}
	}
	return true
}

// Guards against tasks that lie for as long as changes of scheduler go on.
func TestRunsOfDeadWorkerAcrossChangesOfScheduler(t *testing.T) {
	for name, c := range map[string]struct {
		// delay is how long after a change of scheduler the worker dies, and interval the
		// time between the changes after that, 0 for none.
		delay, interval time.Duration
	}{
		"it dies in a term":                 {1400 * time.Millisecond, 4500 * time.Millisecond},
		"it dies with its scheduler":        {0, 4500 * time.Millisecond},
		"it dies with its only scheduler":   {0, 0},
		"it dies at the end of a term":      {4400 * time.Millisecond, 4500 * time.Millisecond},
		"the changes are closer to another": {1400 * time.Millisecond, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inSimulation(t, 5, func(t *testing.T, tc *testCluster) {
				tc.submit("a", longRunning(3))
				tc.waitFor("all tasks run", func() bool { return len(tc.running("a")) == 3 })
				time.Sleep(settledAfter)
				dead := tc.workersOf("a")[0]
				if c.delay == 0 {
					tc.dieSilently(dead)
				}
				tc.replaceKilled()
				time.Sleep(c.delay)
				if c.delay > 0 {
					tc.dieSilently(dead)
				}
				begin := time.Now()
				again := func() bool { return len(tc.running("a")) == 3 }
				for change := c.interval - c.delay; c.interval > 0 && time.Since(begin) < 2*lostAfter && !happensWithin(max(change, 0), again); change = c.interval {
					tc.replaceKilled()
				}
				tc.waitFor("all tasks run again", again)
				require.Less(t, time.Since(begin), lostAfter)
			})
		})
	}
}

// Guards against a wait for a scheduler whose process has ended.
func TestRestartedPredecessorIsNotWaitedFor(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
		tc.submit("a", longRunning(2))
		tc.waitFor("both tasks run", func() bool { return len(tc.running("a")) == 2 })
		time.Sleep(settledAfter)
		tc.dieSilently(tc.workersOf("a")[0])
		tc.replaceKilled()
		begin := time.Now()
		tc.waitFor("both tasks run again", func() bool { return len(tc.running("a")) == 2 })
		require.Less(t, time.Since(begin), lead.MaxConfirmationAge)
	})
}
