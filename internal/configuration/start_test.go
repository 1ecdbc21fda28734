package configuration

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/platform"
)

// TestColdStart guards against a host that starts to serve an outdated
// configuration, or one behind that of its best reachable peer.
func TestColdStart(t *testing.T) {
	for name, tc := range map[string]struct {
		fault func(c *cluster)
		// ready is whether host 2 gets an active configuration, offset is its
		// offset.
		ready  bool
		offset uint64
	}{
		"log down, peers at different offsets": {func(c *cluster) { c.hosts[2].log.readDown = true }, true, 5},
		"log hanging":                          {func(c *cluster) { c.hosts[2].log.delay = time.Hour }, true, 5},
		"best peer broken": {func(c *cluster) {
			c.hosts[2].log.readDown = true
			c.hosts[1].alterDelta = func(d *Delta) { d.Records, d.State = nil, []byte("{}") }
		}, true, 3},
		"log read in part, no peer": {func(c *cluster) {
			c.hosts[2].log.delay, c.hosts[2].isolated = 300*time.Millisecond, true
			for range 20000 {
				c.log.append(nil)
			}
		}, false, 0},
		"log down, no peer": {func(c *cluster) {
			c.hosts[2].log.readDown, c.hosts[2].isolated = true, true
		}, false, 0},
		"log without its first records, no peer": {func(c *cluster) { c.hosts[2].isolated = true; c.log.drop(2) }, false, 0},
		"log up, no peer":                        {func(c *cluster) { c.hosts[2].isolated = true }, true, 6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer func() { c.stop(c.hosts...) }()
				c.appendQuotas(3)
				c.start(c.hosts[:2]...)
				c.runWithHeartbeats(time.Second)
				c.withLock(func() { c.hosts[0].log.readDown, c.hosts[0].isolated = true, true })
				c.appendQuotas(2)
				c.runWithHeartbeats(3 * time.Second)
				c.withLock(func() { c.hosts[1].log.readDown = true; c.hosts[0].isolated = false })
				// No time passes from here until host 2 starts, so that host 0 can't catch
				// up from host 1 before.
				c.appendQuotas(1)
				c.withLock(func() { tc.fault(c) })
				c.start(c.hosts[2])
				synctest.Wait()
				c.sleepWithoutHeartbeats(1900 * time.Millisecond)
				got, ready := c.hosts[2].reader.Current()
				require.Equal(t, tc.ready, ready)
				require.Equal(t, tc.offset, c.hosts[2].reader.AppliedOffset())
				if !ready {
					c.sleepWithoutHeartbeats(10 * time.Second)
					require.Nil(t, c.hosts[2].reader.active.Load())
					require.Zero(t, c.log.snapshots(), "an incomplete state must not be appended as a snapshot")
					if name == "log without its first records, no peer" {
						require.NoError(t, c.hosts[2].reader.AcceptLoss(context.Background()))
						got, _ := c.hosts[2].reader.Current()
						require.Equal(t, uint64(4), got.Missed())
						require.Len(t, got.List(""), 2, "only the records that the log still has")
					}
					return
				}
				require.Equal(t, c.replayTo(tc.offset).Snapshot(), got.Snapshot())
			})
		})
	}
}

// TestSnapshots guards against records that retention drops although no
// snapshot covers them, and against snapshots in quick succession while replies
// are lost.
func TestSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer func() { c.stop(c.hosts...) }()
		c.retention = 40 * time.Minute
		c.start(c.hosts...)
		c.runWithHeartbeats(time.Minute)
		require.Zero(t, c.log.snapshots(), "an empty configuration needs no snapshot")
		c.appendQuotas(1)
		c.runWithHeartbeats(time.Minute)
		require.Equal(t, 1, c.log.snapshots())
		c.appendQuotas(497)
		c.runWithHeartbeats(time.Minute)
		require.Equal(t, 1, c.log.snapshots())
		c.appendQuotas(5)
		c.runWithHeartbeats(time.Minute)
		require.Equal(t, 2, c.log.snapshots())
		c.sleepWithoutHeartbeats(31 * time.Minute)
		require.Equal(t, 5, c.log.snapshots(), "one snapshot for each quarter of the retention time")
		c.withLock(func() {
			c.hosts[0].log.appendErrs, c.hosts[0].log.loseAppends = slices.Repeat([]error{platform.ErrNoReply}, 99), true
		})
		c.sleepWithoutHeartbeats(11 * time.Minute)
		tries := 99 - len(c.hosts[0].log.appendErrs)
		require.Positive(t, tries)
		require.LessOrEqual(t, tries, 6*11, "at most one attempt every 10 s")
		c.stop(c.hosts...)
		// A new host needs only the records that are left.
		c.withLock(func() { c.log.drop(3) })
		c.start(c.hosts[1])
		c.runWithHeartbeats(time.Second)
		c.requireState(c.replay(), c.hosts[1])
	})
}

// TestSinceIsBounded guards against memory use that grows with the log, and
// against deltas of unlimited size.
func TestSinceIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer func() { c.stop(c.hosts...) }()
		c.start(c.hosts...)
		for range 30 {
			c.appendQuotas(100)
			c.runWithHeartbeats(time.Second)
		}
		r := c.hosts[0].reader
		require.LessOrEqual(t, len(r.records.records), maxBufferedRecords)
		require.Equal(t, Delta{Applied: 3000}, r.Since(0, 0))
		require.Equal(t, Delta{Applied: 3000}, r.Since(3000, 10))
		require.Equal(t, c.log.records[2990:2993], r.Since(2990, 3).Records)
		require.NotEmpty(t, r.Since(2000, 3).State)
		for i := range 12 {
			c.withLock(func() { c.log.append(make([]byte, 500<<10+i)) })
		}
		c.runWithHeartbeats(time.Second)
		require.LessOrEqual(t, r.records.bytes, maxBufferedBytes)
		require.Len(t, r.Since(3010, 5).Records, 1)
	})
}
