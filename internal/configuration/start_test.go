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

// Guards against a host that serves on a guess, or on less than the best of
// its neighbours.
func TestColdStart(t *testing.T) {
	for name, tc := range map[string]struct {
		fault func(c *cell)
		// ready is whether node 2 gets a state, offset is that state's.
		ready  bool
		offset uint64
	}{
		"log down, neighbours at different offsets": {func(c *cell) { c.nodes[2].log.readDown = true }, true, 5},
		"log hanging": {func(c *cell) { c.nodes[2].log.delay = time.Hour }, true, 5},
		"best neighbour broken": {func(c *cell) {
			c.nodes[2].log.readDown = true
			c.nodes[1].mangle = func(d *Delta) { d.Records, d.State = nil, []byte("{}") }
		}, true, 3},
		"log read in part, no neighbour": {func(c *cell) {
			c.nodes[2].log.delay, c.nodes[2].isolated = 300*time.Millisecond, true
			for range 20000 {
				c.log.append(nil)
			}
		}, false, 0},
		"log down, no neighbour": {func(c *cell) {
			c.nodes[2].log.readDown, c.nodes[2].isolated = true, true
		}, false, 0},
		"log without its first records, no neighbour": {func(c *cell) { c.nodes[2].isolated = true; c.log.drop(2) }, false, 0},
		"log up, no neighbour":                        {func(c *cell) { c.nodes[2].isolated = true }, true, 6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, 3)
				defer func() { c.stop(c.nodes...) }()
				c.put(3)
				c.start(c.nodes[:2]...)
				c.run(time.Second)
				c.do(func() { c.nodes[0].log.readDown, c.nodes[0].isolated = true, true })
				c.put(2)
				c.run(3 * time.Second)
				c.do(func() { c.nodes[1].log.readDown = true; c.nodes[0].isolated = false })
				// Node 0 must not catch up from node 1 before node 2 starts.
				c.put(1)
				c.do(func() { tc.fault(c) })
				c.start(c.nodes[2])
				synctest.Wait()
				c.sleep(1900 * time.Millisecond)
				got, ready := c.nodes[2].reader.Current()
				require.Equal(t, tc.ready, ready)
				require.Equal(t, tc.offset, c.nodes[2].reader.AppliedOffset())
				if !ready {
					c.sleep(10 * time.Second)
					require.Nil(t, c.nodes[2].reader.inForce.Load())
					require.Zero(t, c.log.snapshots(), "a guess in the log")
					if name == "log without its first records, no neighbour" {
						require.NoError(t, c.nodes[2].reader.AcceptLoss(context.Background()))
						got, _ := c.nodes[2].reader.Current()
						require.Equal(t, uint64(4), got.Missed())
						require.Len(t, got.List(""), 2, "what the log still has")
					}
					return
				}
				require.Equal(t, c.foldTo(tc.offset).Snapshot(), got.Snapshot())
			})
		})
	}
}

// Guards against a log in which no snapshot covers what retention drops, and
// against snapshots in quick succession while replies are lost.
func TestSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		defer func() { c.stop(c.nodes...) }()
		c.retention = 40 * time.Minute
		c.start(c.nodes...)
		c.run(time.Minute)
		require.Zero(t, c.log.snapshots(), "an empty configuration needs none")
		c.put(1)
		c.run(time.Minute)
		require.Equal(t, 1, c.log.snapshots())
		c.put(497)
		c.run(time.Minute)
		require.Equal(t, 1, c.log.snapshots())
		c.put(5)
		c.run(time.Minute)
		require.Equal(t, 2, c.log.snapshots())
		c.sleep(31 * time.Minute)
		require.Equal(t, 5, c.log.snapshots(), "one for each quarter of the retention")
		c.do(func() {
			c.nodes[0].log.appendErrs, c.nodes[0].log.lost = slices.Repeat([]error{platform.ErrNoReply}, 99), true
		})
		c.sleep(11 * time.Minute)
		tries := 99 - len(c.nodes[0].log.appendErrs)
		require.Positive(t, tries)
		require.LessOrEqual(t, tries, 6*11, "at most one every 10 s")
		c.stop(c.nodes...)
		// A new host needs nothing but what is left.
		c.do(func() { c.log.drop(3) })
		c.start(c.nodes[1])
		c.run(time.Second)
		c.requireEqual(c.fold(), c.nodes[1])
	})
}

// Guards against memory that grows with the log, and against deltas without
// bound.
func TestSinceIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1)
		defer func() { c.stop(c.nodes...) }()
		c.start(c.nodes...)
		for range 30 {
			c.put(100)
			c.run(time.Second)
		}
		r := c.nodes[0].reader
		require.LessOrEqual(t, len(r.records.list), maxRetained)
		require.Equal(t, Delta{Applied: 3000}, r.Since(0, 0))
		require.Equal(t, Delta{Applied: 3000}, r.Since(3000, 10))
		require.Equal(t, c.log.all[2990:2993], r.Since(2990, 3).Records)
		require.NotEmpty(t, r.Since(2000, 3).State)
		for i := range 12 {
			c.do(func() { c.log.append(make([]byte, 500<<10+i)) })
		}
		c.run(time.Second)
		require.LessOrEqual(t, r.records.bytes, maxRetainedBytes)
		require.Len(t, r.Since(3010, 5).Records, 1)
	})
}
