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

// TestReaders guards against an accepted change that a host doesn't have after
// 3 s, or that a host loses, under faults of the log and of the network.
func TestReaders(t *testing.T) {
	type hosts = []*host
	for name, scenario := range map[string]func(t *testing.T, c *cluster, h hosts){
		"only the poller reads the log": func(t *testing.T, c *cluster, h hosts) {
			c.setReads(false, h[1:]...)
			c.appendQuotas(1)
			c.runWithHeartbeats(500 * time.Millisecond)
			c.requireState(c.replay(), h...)
		},
		"no host considers itself the poller": func(t *testing.T, c *cluster, h hosts) {
			c.stop(h[0])
			c.appendQuotas(1)
			c.runWithHeartbeats(3 * time.Second)
			c.requireState(c.replay(), h[1:]...)
		},
		"slow log": func(t *testing.T, c *cluster, h hosts) {
			for _, o := range h {
				c.withLock(func() { o.log.delay = 1200 * time.Millisecond })
			}
			c.appendQuotas(1)
			c.runWithHeartbeats(3 * time.Second)
			c.requireState(c.replay(), h...)
		},
		"publish through a slow log on a host that isn't the poller": func(t *testing.T, c *cluster, h hosts) {
			c.withLock(func() { h[1].log.delay, h[1].isolated = 1200*time.Millisecond, true })
			c.runWithHeartbeats(10 * time.Second)
			res, err := h[1].pub.Publish(context.Background(), c.quotaRecord("team", 0, 1))
			require.Equal(t, StatusAccepted, res.Status, err)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			require.Error(t, h[1].reader.Sync(ctx))
			require.Zero(t, h[1].reader.failingSince, "the log didn't fail, only the caller's timeout ended")
		},
		"several hanging peers": func(t *testing.T, c *cluster, h hosts) {
			for i := range 3 {
				c.hosts = append(c.hosts, &host{cluster: c, name: fmt.Sprint("hanging-", i), log: &hostLog{fakeLog: c.log}, extraDelay: time.Hour})
			}
			c.start(c.hosts[3:]...)
			c.runWithHeartbeats(time.Second)
			require.NoError(t, h[2].reader.Sync(context.Background())) // Its next poll comes after 2 s.
			c.setReads(false, h[2])
			c.appendQuotas(1)
			c.sleepWithoutHeartbeats(300 * time.Millisecond)
			r := h[2].reader
			r.mu.Lock() // Sets all offsets for one round, in which the hanging peers are the highest.
			for i, o := range c.hosts {
				r.peersAhead[o.name] = uint64(6 + i)
			}
			r.mu.Unlock()
			r.signalFetch()
			c.sleepWithoutHeartbeats(2500 * time.Millisecond)
			c.requireState(c.replay(), h...)
		},
		"a host without heartbeats and log asks its peers": func(t *testing.T, c *cluster, h hosts) {
			c.setReads(false, h[2])
			c.appendQuotas(1)
			c.sleepWithoutHeartbeats(5 * time.Second)
			c.requireState(c.replay(), h...)
		},
		"healed partition": func(t *testing.T, c *cluster, h hosts) {
			c.isolate(h[2])
			old := c.replay()
			c.appendQuotas(2000)
			c.runWithHeartbeats(time.Minute)
			c.requireState(old, h[2])
			c.withLock(func() { h[2].isolated = false })
			c.runWithHeartbeats(3 * time.Second)
			c.requireState(c.replay(), h...)
		},
		"records dropped that a snapshot covers": func(t *testing.T, c *cluster, h hosts) {
			c.isolate(h[2])
			c.appendQuotas(20)
			data := c.replay().Snapshot().Encode()
			c.appendQuotas(2)
			c.withLock(func() { c.log.append(data); c.log.drop(4); h[2].log.readDown = false })
			c.runWithHeartbeats(3 * time.Second)
			c.requireState(c.replay(), h...)
			require.NotEmpty(t, h[2].reader.Since(5, 9).State, "the host must not have records that it never read")
			c.appendQuotas(1)
			c.runWithHeartbeats(3 * time.Second)
			require.Len(t, h[2].reader.Since(c.replay().Offset()-1, 9).Records, 1)
		},
		"records dropped without a snapshot, peer ahead": func(t *testing.T, c *cluster, h hosts) {
			c.isolate(h[2])
			c.appendQuotas(2000)
			c.runWithHeartbeats(time.Second)
			c.withLock(func() { c.log.drop(1); h[2].log.readDown, h[2].isolated = false, false })
			require.ErrorIs(t, h[2].reader.Sync(context.Background()), ErrGap)
			c.sleepWithoutHeartbeats(3 * time.Second) // Without heartbeats.
			c.requireState(c.replay(), h...)
			require.Zero(t, c.replay().Missed())
			require.Len(t, c.log.records, 2005, "the log must contain only publishes")
		},
		"outage longer than the retention, no host ahead": func(t *testing.T, c *cluster, h hosts) {
			old := c.replay()
			c.setReads(false, h...)
			c.runWithHeartbeats(time.Minute)
			c.appendQuotas(5)
			coversTooLittle := c.replayTo(7).Snapshot().Encode()
			c.withLock(func() { c.log.append(coversTooLittle); c.log.drop(2); h[0].log.delay = 300 * time.Millisecond })
			for _, o := range h {
				c.withLock(func() { o.log.readDown = false })
				require.ErrorIs(t, o.reader.Sync(context.Background()), ErrGap)
			}
			c.runWithHeartbeats(20 * time.Second)
			require.Len(t, c.log.records, 12, "only one host may append a snapshot")
			got, _ := h[0].reader.Current()
			require.Equal(t, uint64(4), got.Missed())
			require.Equal(t, len(old.List(""))+1, len(got.List("")), "the old state and the remaining record")
			c.requireState(got, h...)
			res, _ := h[1].pub.Publish(context.Background(), c.quotaRecord("late", 0, 1))
			require.Equal(t, StatusAccepted, res.Status)
		},
		"a host with more records returns after the gap was bridged": func(t *testing.T, c *cluster, h hosts) {
			c.leaveHost0Ahead(0)
			got, _ := h[1].reader.Current()
			require.Equal(t, uint64(5), got.Missed())
			// It doesn't accept the others' state while it can't read the log.
			c.appendQuotas(2000)
			c.runWithHeartbeats(3 * time.Second)
			h[1].calls = 0
			c.withLock(func() { h[0].isolated = false })
			c.runWithHeartbeats(10 * time.Second)
			require.Equal(t, uint64(10), h[0].reader.AppliedOffset())
			require.Less(t, h[1].calls, 50, "refused states are fetched again and again")
			c.setReads(true, h[0])
			c.runWithHeartbeats(time.Minute)
			c.requireState(c.replay(), h...)
		},
		"a host with more records, but not all, returns after the gap was bridged": func(t *testing.T, c *cluster, h hosts) {
			c.leaveHost0Ahead(5)
			best, _ := h[0].reader.Current()
			c.setReads(true, h[0])
			c.runWithHeartbeats(20 * time.Second)
			got, _ := h[0].reader.Current()
			require.Equal(t, best.List(""), got.List(""))
			c.requireState(got, h...)
		},
		"a snapshot of higher precedence whose next records are dropped": func(t *testing.T, c *cluster, h hosts) {
			c.leaveHost0Ahead(0)
			c.stop(h[0])
			better := c.replayTo(10).Snapshot().Encode()
			c.setReads(false, h...)
			c.appendQuotas(5)
			c.withLock(func() { c.log.append(better) })
			want, _ := h[1].reader.Current()
			for _, rec := range c.log.records[want.Offset():] {
				want, _ = want.Apply(rec.Offset, rec.Data)
			}
			c.withLock(func() { c.log.drop(6) })
			c.setReads(true, h...)
			c.runWithHeartbeats(5 * time.Second)
			c.requireState(want, h[1:]...)
		},
		"records and states that don't connect": func(t *testing.T, c *cluster, h hosts) {
			c.withLock(func() {
				h[0].log.alterRecords = func(r []platform.Record) []platform.Record { return r[min(1, len(r)):] }
				h[1].log.alterRecords = func(r []platform.Record) []platform.Record { return append(r, r...) }
				h[2].log.readDown, h[2].isolated = true, true
				h[0].alterDelta = func(d *Delta) { d.Records, d.State = nil, []byte("{}") }
				h[1].alterDelta = func(d *Delta) { d.Records, d.State = nil, contract.EmptyConfiguration().Snapshot().Encode() }
			})
			old := c.replay()
			c.appendQuotas(3)
			c.runWithHeartbeats(3 * time.Second)
			c.requireState(c.replay(), h[1])
			require.Equal(t, c.log.records[5:8], h[1].reader.Since(5, 9).Records)
			c.withLock(func() { h[2].isolated = false })
			c.runWithHeartbeats(3 * time.Second)
			c.withLock(func() { h[1].alterDelta = func(d *Delta) { d.Records = nil } })
			c.runWithHeartbeats(3 * time.Second)
			c.requireState(old, h[2])
			require.Less(t, h[1].calls, 300, "too many fetches without a pause")
			c.withLock(func() { h[1].alterDelta = nil })
			c.runWithHeartbeats(3 * time.Second)
			c.requireState(c.replay(), h[2])
		},
		"log that starts over": func(t *testing.T, c *cluster, h hosts) {
			old := c.replay()
			c.withLock(func() { c.log.records = c.log.records[:1] })
			c.runWithHeartbeats(time.Second)
			c.requireState(old, h...)
			require.ErrorContains(t, h[0].reader.Sync(context.Background()), "before the applied offset")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer func() { c.stop(c.hosts...) }()
				c.appendQuotas(5)
				c.start(c.hosts...)
				c.runWithHeartbeats(time.Second)
				c.requireState(c.replay(), c.hosts...)
				scenario(t, c, c.hosts)
			})
		})
	}
}

// TestReadersUnderRandomFaults guards against sequences of faults that no other
// test covers: after the last fault all hosts must have the configuration that
// results from the whole log, and no applied offset may ever have decreased.
func TestReadersUnderRandomFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Embedding hides Deadline, which must not be called inside a synctest bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			c := newCluster(t, 3)
			defer func() { c.stop(c.hosts...) }()
			c.retention = time.Minute
			c.start(c.hosts...)
			accepted := map[string]uint64{}
			recordAccepted := make(chan func(), 100)
			t.Repeat(map[string]func(*rapid.T){
				"publish": func(t *rapid.T) {
					h := c.hosts[rapid.IntRange(0, 2).Draw(t, "host")]
					team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
					state, ok := h.reader.Current()
					if !h.running || !ok {
						return
					}
					r := c.quotaRecord(team, state.Version(contract.KindQuota, team), c.seq+1)
					pub, ctx := h.pub, h.ctx
					go func() {
						res, _ := pub.Publish(ctx, r)
						if res.Status == StatusAccepted {
							recordAccepted <- func() { accepted[r.PublishID] = res.Offset }
						}
					}()
				},
				"log": func(t *rapid.T) {
					l := c.hosts[rapid.IntRange(0, 2).Draw(t, "host")].log
					kind := rapid.IntRange(0, 4).Draw(t, "fault")
					c.withLock(func() {
						l.readDown, l.appendDown, l.delay, l.loseAppends = kind == 1, kind == 1 || kind == 2, 0, kind == 4
						if kind == 3 {
							l.delay = 700 * time.Millisecond
						}
						if kind >= 3 {
							l.appendErrs = []error{platform.ErrNoReply}
						}
					})
				},
				"link": func(t *rapid.T) {
					h := c.hosts[rapid.IntRange(0, 2).Draw(t, "host")]
					c.withLock(func() { h.isolated = !h.isolated })
				},
				"restart": func(t *rapid.T) {
					h := c.hosts[rapid.IntRange(0, 2).Draw(t, "host")]
					c.stop(h)
					c.start(h)
				},
				"retention": func(t *rapid.T) {
					// Drops only records that the newest snapshot covers.
					c.withLock(func() {
						for _, rec := range slices.Backward(c.log.records) {
							if env, _ := contract.Decode(rec.Data); env.Snapshot != nil {
								c.log.firstKept = max(c.log.firstKept, env.Snapshot.Offset+1)
								break
							}
						}
					})
				},
				"time": func(t *rapid.T) {
					c.runWithHeartbeats(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
				},
			})
			c.withLock(func() {
				for _, h := range c.hosts {
					h.isolated, h.log.readDown, h.log.appendDown, h.log.delay, h.log.appendErrs = false, false, false, 0, nil
				}
			})
			c.runWithHeartbeats(12 * time.Second)
			want := c.replay()
			c.runWithHeartbeats(3 * time.Second)
			for _, h := range c.hosts {
				require.GreaterOrEqual(t, h.reader.AppliedOffset(), want.Offset(), h.name)
				c.requireState(c.replayTo(h.reader.AppliedOffset()), h)
			}
			for len(recordAccepted) > 0 {
				(<-recordAccepted)()
			}
			for id, offset := range accepted {
				out, ok := want.Published(id)
				require.True(t, ok && out.Status == contract.StatusAccepted && out.Offset == offset, fmt.Sprint(id, out))
			}
		})
	})
}
