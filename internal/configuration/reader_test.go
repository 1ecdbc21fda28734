package configuration

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

// Guards against an accepted change that a host doesn't have after 3 s, or
// that a host loses, under the faults of the log and of the network.
func TestReaders(t *testing.T) {
	type nodes = []*node
	for name, scenario := range map[string]func(t *testing.T, c *cell, n nodes){
		"only the poller reads the log": func(t *testing.T, c *cell, n nodes) {
			for _, o := range n[1:] {
				c.do(func() { o.log.readDown = true })
			}
			c.put(1)
			c.run(500 * time.Millisecond)
			c.requireEqual(c.fold(), n...)
		},
		"no host takes itself for the poller": func(t *testing.T, c *cell, n nodes) {
			c.stop(n[0])
			c.put(1)
			c.run(3 * time.Second)
			c.requireEqual(c.fold(), n[1:]...)
		},
		"slow log": func(t *testing.T, c *cell, n nodes) {
			for _, o := range n {
				c.do(func() { o.log.delay = 1200 * time.Millisecond })
			}
			c.put(1)
			c.run(3 * time.Second)
			c.requireEqual(c.fold(), n...)
		},
		"a host without heartbeats and log asks by itself": func(t *testing.T, c *cell, n nodes) {
			c.do(func() { n[2].log.readDown = true })
			c.put(1)
			c.sleep(5 * time.Second)
			c.requireEqual(c.fold(), n...)
		},
		"healed partition": func(t *testing.T, c *cell, n nodes) {
			c.do(func() { n[2].log.readDown, n[2].isolated = true, true })
			old := c.fold()
			c.put(2000)
			c.run(time.Minute)
			c.requireEqual(old, n[2])
			c.do(func() { n[2].isolated = false })
			c.run(3 * time.Second)
			c.requireEqual(c.fold(), n...)
		},
		"records dropped that a snapshot covers": func(t *testing.T, c *cell, n nodes) {
			c.do(func() { n[2].log.readDown, n[2].isolated = true, true })
			c.put(20)
			data := c.fold().Snapshot().Encode()
			c.put(2)
			c.do(func() { c.log.append(data); c.log.drop(4); n[2].log.readDown = false })
			c.run(3 * time.Second)
			c.requireEqual(c.fold(), n...)
		},
		"records dropped without a snapshot, neighbour ahead": func(t *testing.T, c *cell, n nodes) {
			c.do(func() { n[2].log.readDown, n[2].isolated = true, true })
			c.put(2000)
			c.run(time.Second)
			c.do(func() { c.log.drop(1); n[2].log.readDown, n[2].isolated = false, false })
			c.sleep(3 * time.Second) // Without heartbeats.
			c.requireEqual(c.fold(), n...)
			require.Zero(t, c.fold().Missed())
			require.Len(t, c.log.all, 2005, "nothing but publishes in the log")
		},
		"outage longer than the retention, no host ahead": func(t *testing.T, c *cell, n nodes) {
			old := c.fold()
			for _, o := range n {
				c.do(func() { o.log.readDown = true })
			}
			c.run(time.Minute)
			c.put(5)
			c.do(func() { c.log.drop(2) })
			for _, o := range n {
				c.do(func() { o.log.readDown = false })
			}
			c.run(20 * time.Second)
			require.Len(t, c.log.all, 11, "one snapshot for the cell")
			got, _ := n[0].reader.Current()
			require.Equal(t, uint64(3), got.Missed())
			require.Equal(t, len(old.List(""))+2, len(got.List("")), "old state and the records that are left")
			c.requireEqual(got, n...)
			res, _ := n[1].pub.Publish(context.Background(), c.quota("late", 0, 1))
			require.Equal(t, StatusAccepted, res.Status)
		},
		"a host that knows more comes back after the gap was bridged": func(t *testing.T, c *cell, n nodes) {
			c.do(func() { n[1].log.readDown, n[2].log.readDown, n[0].isolated = true, true, true })
			c.put(5)
			c.run(time.Second)
			c.do(func() { n[0].log.readDown = true; c.log.drop(0); n[1].log.readDown, n[2].log.readDown = false, false })
			c.run(20 * time.Second)
			got, _ := n[1].reader.Current()
			require.Equal(t, uint64(5), got.Missed())
			c.do(func() { n[0].log.readDown, n[0].isolated = false, false })
			c.put(1)
			c.run(time.Minute)
			c.requireEqual(c.fold(), n...)
		},
		"records and states that don't connect": func(t *testing.T, c *cell, n nodes) {
			c.do(func() {
				n[0].log.mangle = func(r []platform.Record) []platform.Record { return r[min(1, len(r)):] }
				n[1].log.mangle = func(r []platform.Record) []platform.Record { return append(r, r...) }
				n[2].log.readDown, n[2].isolated = true, true
				n[0].state, n[1].state = []byte("{}"), contract.Empty().Snapshot().Encode()
			})
			old := c.fold()
			c.put(3)
			c.run(3 * time.Second)
			c.requireEqual(c.fold(), n[1])
			c.do(func() { n[2].isolated = false })
			c.run(3 * time.Second)
			c.requireEqual(old, n[2])
			c.do(func() { n[1].state = nil })
			c.run(3 * time.Second)
			c.requireEqual(c.fold(), n[2])
		},
		"log that starts over": func(t *testing.T, c *cell, n nodes) {
			old := c.fold()
			c.do(func() { c.log.all = c.log.all[:1] })
			c.run(time.Second)
			c.requireEqual(old, n...)
			require.ErrorContains(t, n[0].reader.Sync(context.Background()), "before the applied offset")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, 3)
				defer c.stop(c.nodes...)
				c.put(5)
				c.start(c.nodes...)
				c.run(time.Second)
				c.requireEqual(c.fold(), c.nodes...)
				scenario(t, c, c.nodes)
			})
		})
	}
}

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
		"log hanging":           {func(c *cell) { c.nodes[2].log.delay = time.Hour }, true, 5},
		"best neighbour broken": {func(c *cell) { c.nodes[2].log.readDown, c.nodes[1].state = true, []byte("{}") }, true, 3},
		"log down, no neighbour": {func(c *cell) {
			c.nodes[2].log.readDown, c.nodes[2].isolated = true, true
		}, false, 0},
		"log without its first records, no neighbour": {func(c *cell) { c.nodes[2].isolated = true; c.log.drop(2) }, false, 0},
		"log up, no neighbour":                        {func(c *cell) { c.nodes[2].isolated = true }, true, 6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, 3)
				defer c.stop(c.nodes...)
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
				require.Equal(t, tc.offset, c.nodes[2].reader.Applied())
				if ready {
					require.Equal(t, c.foldTo(tc.offset).Snapshot(), got.Snapshot())
				}
			})
		})
	}
}

// Guards against a log in which no snapshot covers what retention drops, and
// against snapshots in quick succession while replies are lost.
func TestSnapshots(t *testing.T) {
	count := func(c *cell) (n int) {
		for _, rec := range c.log.all {
			if env, err := contract.Decode(rec.Data); err == nil && env.Snapshot != nil {
				n++
			}
		}
		return n
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		defer c.stop(c.nodes...)
		c.retention = 40 * time.Minute
		c.start(c.nodes...)
		c.run(time.Minute)
		require.Zero(t, count(c), "an empty configuration needs none")
		c.put(1)
		c.run(time.Minute)
		require.Equal(t, 1, count(c))
		c.put(497)
		c.run(time.Minute)
		require.Equal(t, 1, count(c))
		c.put(5)
		c.run(time.Minute)
		require.Equal(t, 2, count(c))
		c.sleep(31 * time.Minute)
		require.Equal(t, 5, count(c), "one for each quarter of the retention")
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
		defer c.stop(c.nodes...)
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

// Guards against sequences of faults that no single test has: after the last
// fault all hosts have the fold of the whole log, and no offset ever fell.
func TestReadersUnderRandomFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Hides Deadline, which rapid must not call inside the bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			c := newCell(t, 3)
			defer c.stop(c.nodes...)
			c.retention = time.Minute
			c.start(c.nodes...)
			accepted := map[string]uint64{}
			settled := make(chan func(), 100)
			t.Repeat(map[string]func(*rapid.T){
				"publish": func(t *rapid.T) {
					n := c.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
					team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
					state, ok := n.reader.Current()
					if !n.running || !ok {
						return
					}
					r := c.quota(team, state.Version(contract.KindQuota, team), c.seq+1)
					pub, ctx := n.pub, n.ctx
					go func() {
						res, _ := pub.Publish(ctx, r)
						if res.Status == StatusAccepted {
							settled <- func() { accepted[r.PublishID] = res.Offset }
						}
					}()
				},
				"log": func(t *rapid.T) {
					l := c.nodes[rapid.IntRange(0, 2).Draw(t, "node")].log
					kind := rapid.IntRange(0, 4).Draw(t, "fault")
					c.do(func() {
						l.readDown, l.appendDown, l.delay, l.lost = kind == 1, kind == 1 || kind == 2, 0, kind == 4
						if kind == 3 {
							l.delay = 700 * time.Millisecond
						}
						if kind >= 3 {
							l.appendErrs = []error{platform.ErrNoReply}
						}
					})
				},
				"link": func(t *rapid.T) {
					n := c.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
					c.do(func() { n.isolated = !n.isolated })
				},
				"restart": func(t *rapid.T) {
					n := c.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
					c.stop(n)
					c.start(n)
				},
				"retention": func(t *rapid.T) {
					// Drops only what the newest snapshot covers.
					c.do(func() {
						for _, rec := range slices.Backward(c.log.all) {
							if env, _ := contract.Decode(rec.Data); env.Snapshot != nil {
								c.log.first = max(c.log.first, env.Snapshot.Offset+1)
								break
							}
						}
					})
				},
				"time": func(t *rapid.T) {
					c.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
				},
			})
			c.do(func() {
				for _, n := range c.nodes {
					n.isolated, n.log.readDown, n.log.appendDown, n.log.delay, n.log.appendErrs = false, false, false, 0, nil
				}
			})
			c.run(12 * time.Second)
			want := c.fold()
			c.run(3 * time.Second)
			for _, n := range c.nodes {
				require.GreaterOrEqual(t, n.reader.Applied(), want.Offset(), n.name)
				c.requireEqual(c.foldTo(n.reader.Applied()), n)
			}
			for len(settled) > 0 {
				(<-settled)()
			}
			for id, offset := range accepted {
				out, ok := want.Published(id)
				require.True(t, ok && out.Status == contract.StatusAccepted && out.Offset == offset, fmt.Sprint(id, out))
			}
		})
	})
}
