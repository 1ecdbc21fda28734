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
			c.reads(false, n[1:]...)
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
		"publish through a slow log on a host that isn't the poller": func(t *testing.T, c *cell, n nodes) {
			c.do(func() { n[1].log.delay, n[1].isolated = 1200*time.Millisecond, true })
			c.run(10 * time.Second)
			res, err := n[1].pub.Publish(context.Background(), c.quota("team", 0, 1))
			require.Equal(t, StatusAccepted, res.Status, err)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			require.Error(t, n[1].reader.Sync(ctx))
			require.Zero(t, n[1].reader.failingSince, "the caller gave up, the log didn't fail")
		},
		"several hanging neighbours": func(t *testing.T, c *cell, n nodes) {
			for i := range 3 {
				c.nodes = append(c.nodes, &node{cell: c, name: fmt.Sprint("hanging-", i), log: &nodeLog{fakeLog: c.log}, hang: time.Hour})
			}
			c.start(c.nodes[3:]...)
			c.run(time.Second)
			require.NoError(t, n[2].reader.Sync(context.Background())) // Its next poll comes after 2 s.
			c.reads(false, n[2])
			c.put(1)
			c.sleep(300 * time.Millisecond)
			r := n[2].reader
			r.mu.Lock() // For one round with all offsets, the hanging ones first.
			for i, o := range c.nodes {
				r.ahead[o.name] = uint64(6 + i)
			}
			r.mu.Unlock()
			r.wakeFetch()
			c.sleep(2500 * time.Millisecond)
			c.requireEqual(c.fold(), n...)
		},
		"a host without heartbeats and log asks by itself": func(t *testing.T, c *cell, n nodes) {
			c.reads(false, n[2])
			c.put(1)
			c.sleep(5 * time.Second)
			c.requireEqual(c.fold(), n...)
		},
		"healed partition": func(t *testing.T, c *cell, n nodes) {
			c.cut(n[2])
			old := c.fold()
			c.put(2000)
			c.run(time.Minute)
			c.requireEqual(old, n[2])
			c.do(func() { n[2].isolated = false })
			c.run(3 * time.Second)
			c.requireEqual(c.fold(), n...)
		},
		"records dropped that a snapshot covers": func(t *testing.T, c *cell, n nodes) {
			c.cut(n[2])
			c.put(20)
			data := c.fold().Snapshot().Encode()
			c.put(2)
			c.do(func() { c.log.append(data); c.log.drop(4); n[2].log.readDown = false })
			c.run(3 * time.Second)
			c.requireEqual(c.fold(), n...)
			require.NotEmpty(t, n[2].reader.Since(5, 9).State, "records that it hasn't read")
			c.put(1)
			c.run(3 * time.Second)
			require.Len(t, n[2].reader.Since(c.fold().Offset()-1, 9).Records, 1)
		},
		"records dropped without a snapshot, neighbour ahead": func(t *testing.T, c *cell, n nodes) {
			c.cut(n[2])
			c.put(2000)
			c.run(time.Second)
			c.do(func() { c.log.drop(1); n[2].log.readDown, n[2].isolated = false, false })
			require.ErrorIs(t, n[2].reader.Sync(context.Background()), ErrGap)
			c.sleep(3 * time.Second) // Without heartbeats.
			c.requireEqual(c.fold(), n...)
			require.Zero(t, c.fold().Missed())
			require.Len(t, c.log.all, 2005, "nothing but publishes in the log")
		},
		"outage longer than the retention, no host ahead": func(t *testing.T, c *cell, n nodes) {
			old := c.fold()
			c.reads(false, n...)
			c.run(time.Minute)
			c.put(5)
			useless := c.foldTo(7).Snapshot().Encode()
			c.do(func() { c.log.append(useless); c.log.drop(2); n[0].log.delay = 300 * time.Millisecond })
			for _, o := range n {
				c.do(func() { o.log.readDown = false })
				require.ErrorIs(t, o.reader.Sync(context.Background()), ErrGap)
			}
			c.run(20 * time.Second)
			require.Len(t, c.log.all, 12, "one snapshot for the cell")
			got, _ := n[0].reader.Current()
			require.Equal(t, uint64(4), got.Missed())
			require.Equal(t, len(old.List(""))+1, len(got.List("")), "old state and the record that is left")
			c.requireEqual(got, n...)
			res, _ := n[1].pub.Publish(context.Background(), c.quota("late", 0, 1))
			require.Equal(t, StatusAccepted, res.Status)
		},
		"a host that knows more comes back after the gap was bridged": func(t *testing.T, c *cell, n nodes) {
			c.lead(0)
			got, _ := n[1].reader.Current()
			require.Equal(t, uint64(5), got.Missed())
			// It doesn't take the others' state while it can't read the log.
			c.put(2000)
			c.run(3 * time.Second)
			n[1].calls = 0
			c.do(func() { n[0].isolated = false })
			c.run(10 * time.Second)
			require.Equal(t, uint64(10), n[0].reader.AppliedOffset())
			require.Less(t, n[1].calls, 50, "states that are refused are fetched all the time")
			c.reads(true, n[0])
			c.run(time.Minute)
			c.requireEqual(c.fold(), n...)
		},
		"a host that knows more, but not all, after the gap was bridged": func(t *testing.T, c *cell, n nodes) {
			c.lead(5)
			best, _ := n[0].reader.Current()
			c.reads(true, n[0])
			c.run(20 * time.Second)
			got, _ := n[0].reader.Current()
			require.Equal(t, best.List(""), got.List(""))
			c.requireEqual(got, n...)
		},
		"a snapshot of better history whose records are gone": func(t *testing.T, c *cell, n nodes) {
			c.lead(0)
			c.stop(n[0])
			better := c.foldTo(10).Snapshot().Encode()
			c.reads(false, n...)
			c.put(5)
			c.do(func() { c.log.append(better) })
			want, _ := n[1].reader.Current()
			for _, rec := range c.log.all[want.Offset():] {
				want, _ = want.Apply(rec.Offset, rec.Data)
			}
			c.do(func() { c.log.drop(6) })
			c.reads(true, n...)
			c.run(5 * time.Second)
			c.requireEqual(want, n[1:]...)
		},
		"records and states that don't connect": func(t *testing.T, c *cell, n nodes) {
			c.do(func() {
				n[0].log.mangle = func(r []platform.Record) []platform.Record { return r[min(1, len(r)):] }
				n[1].log.mangle = func(r []platform.Record) []platform.Record { return append(r, r...) }
				n[2].log.readDown, n[2].isolated = true, true
				n[0].mangle = func(d *Delta) { d.Records, d.State = nil, []byte("{}") }
				n[1].mangle = func(d *Delta) { d.Records, d.State = nil, contract.EmptyConfiguration().Snapshot().Encode() }
			})
			old := c.fold()
			c.put(3)
			c.run(3 * time.Second)
			c.requireEqual(c.fold(), n[1])
			require.Equal(t, c.log.all[5:8], n[1].reader.Since(5, 9).Records)
			c.do(func() { n[2].isolated = false })
			c.run(3 * time.Second)
			c.do(func() { n[1].mangle = func(d *Delta) { d.Records = nil } })
			c.run(3 * time.Second)
			c.requireEqual(old, n[2])
			require.Less(t, n[1].calls, 300, "fetches in a loop")
			c.do(func() { n[1].mangle = nil })
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
				defer func() { c.stop(c.nodes...) }()
				c.put(5)
				c.start(c.nodes...)
				c.run(time.Second)
				c.requireEqual(c.fold(), c.nodes...)
				scenario(t, c, c.nodes)
			})
		})
	}
}

// Guards against sequences of faults that no single test has: after the last
// fault all hosts have the fold of the whole log, and no offset ever fell.
func TestReadersUnderRandomFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Hides Deadline, which rapid must not call inside the bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			c := newCell(t, 3)
			defer func() { c.stop(c.nodes...) }()
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
				require.GreaterOrEqual(t, n.reader.AppliedOffset(), want.Offset(), n.name)
				c.requireEqual(c.foldTo(n.reader.AppliedOffset()), n)
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
