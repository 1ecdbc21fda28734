package request

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// TestRetries guards against retries after unknown outcomes that multiply the
// load of a surge, and against a last attempt that is refused and hides that
// earlier attempts may have run.
func TestRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const burst, requests = 5, 200
		c := newCluster(t, 1, func(o *Options) { o.RetryBurst = burst })
		h, runs := c.hosts[0], 0
		c.worker.unknownReason.Store(&noReply.Reason)
		later := noReply
		h.resultOverride = func(_ string, attempt uint32) *Result {
			if attempt == 1 {
				return &noReply
			}
			return &later
		}
		for i := range requests {
			if i == requests/2 {
				later = notRun(api.ReasonQueueFull)
			}
			r := submit(testID(time.Now()))
			r.Idempotent = true
			require.Equal(t, "unknown/no_reply", outcomeAndReason(h.k.Submit(t.Context(), r)))
			runs += c.worker.runCount(r.Id)
		}
		require.LessOrEqual(t, runs, requests+requests*2/10+burst)
		require.Greater(t, runs, requests+burst)
	})
}

// TestLateCopies guards against running a copy of a request that was delayed by
// a link or a paused host, after its caller was told "not run", and against
// mistaking a caller's retry for such a copy.
func TestLateCopies(t *testing.T) {
	const self = "host0"
	for _, tc := range []struct {
		name       string
		receivedBy string
		// received is when the copy is received, counted from the first refusal;
		// the copy expires timeToLive later.
		received, timeToLive time.Duration
		reason               api.Reason
		wantRun              bool
	}{
		{"received here before the refusal", self, -time.Millisecond, time.Minute, api.ReasonDeadline, false},
		{"received here after it", self, time.Millisecond, time.Minute, api.ReasonDeadline, true},
		{"received elsewhere before it", "z", -time.Second, time.Minute, api.ReasonQueueFull, false},
		{"received elsewhere after it, within the clock skew", "z", 249 * time.Millisecond, time.Minute, api.ReasonDeadline, false},
		{"received elsewhere after it", "z", 251 * time.Millisecond, time.Minute, api.ReasonDeadline, true},
		{"submitted again by the host that received it", "z", -time.Second, time.Minute, api.ReasonNotReady, true},
		{"expired", "z", -time.Second, 500 * time.Millisecond, api.ReasonNotReady, false},
		{"times unknown", "", -time.Second, 0, api.ReasonDeadline, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1)
				h := c.hosts[0]
				require.Equal(t, self, h.name)
				first := notRun(tc.reason)
				h.resultOverride = func(_ string, attempt uint32) *Result {
					if attempt == 1 {
						return &first
					}
					r := answered("x")
					return &r
				}
				r := submit(testID(time.Now()))
				h.k.Submit(t.Context(), r)
				refused := time.Now()
				time.Sleep(2 * time.Second)
				again := submit(r.Id)
				again.ReceivedBy, again.ReceivedUnixMs = tc.receivedBy, refused.Add(tc.received).UnixMilli()
				again.ExpiresUnixMs = again.ReceivedUnixMs + tc.timeToLive.Milliseconds()
				out := h.k.Submit(t.Context(), again)
				require.Equal(t, tc.wantRun, out.Outcome == string(api.Answered), "%v", out)
			})
		})
	}
}

// TestMemoryLimits guards against unbounded memory use by answers and records.
func TestMemoryLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, size, records = 1000, 100, 50
		c := newCluster(t, 2, func(o *Options) { o.MaxBodyBytes, o.MaxRecords = limit, records })
		for _, h := range c.hosts {
			h.resultOverride = func(string, uint32) *Result { r := answered(string(make([]byte, size))); return &r }
		}
		ask := func(id string) *rpc.SubmitReply { return c.keeperHost(id).k.Submit(t.Context(), submit(id)) }
		var ids []string
		for range records {
			ids = append(ids, testID(time.Now()))
			require.Equal(t, "answered", ask(ids[len(ids)-1]).Outcome)
		}
		time.Sleep(time.Second)
		kept := 0
		for _, id := range ids {
			out := ask(id)
			require.Equal(t, uint32(size), out.BodyLength)
			require.Equal(t, out.BodyDropped, len(out.Body) == 0)
			kept += len(out.Body)
		}
		require.Positive(t, kept)
		require.Equal(t, "queue_full", ask(testID(time.Now())).Reason)
		for _, h := range c.hosts {
			require.LessOrEqual(t, h.k.Stats().BodyBytes, int64(limit))
			require.Equal(t, int64(records), h.k.Stats().Records)
		}
		time.Sleep(3 * DefaultRetention)
		for _, h := range c.hosts {
			require.Zero(t, h.k.Stats().BodyBytes+h.k.Stats().Records+int64(len(h.k.bodyCache.queue)))
		}
	})
}

// TestStaleRecordsRefused guards against overwriting a newer record by an older or delayed
// message from a keeper.
func TestStaleRecordsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		backup := c.hosts[1]
		backup.keeperOverride = func(string) string { return "host0" }
		for _, test := range []struct {
			from    string
			version uint64
			refused bool
		}{{"host0", 5, false}, {"host0", 5, false}, {"host0", 7, false}, {"host0", 6, true}, {"host1", 9, true}, {"gone", 9, true}} {
			rec := &rpc.Record{Id: testID(time.Now(), 1), Keeper: test.from, Version: test.version, State: uint32(StateAnswered)}
			out := backup.k.HandleReplicate(&rpc.ReplicateRequest{Keeper: test.from, Records: []*rpc.Record{rec}})
			require.Equal(t, test.refused, len(out.Refused) == 1, "%+v", test)
		}
		require.Equal(t, uint64(7), backup.k.Fetch("", 10).Records[0].Version)
	})
}

// blockedPeer blocks each call until release is closed and refuses the first
// record of each call.
type blockedPeer struct {
	sizes   []int
	release chan struct{}
}

func (p *blockedPeer) Replicate(_ context.Context, _ string, records []*rpc.Record) ([]uint32, error) {
	p.sizes = append(p.sizes, len(records))
	<-p.release
	return []uint32{0}, nil
}

// TestBatcher guards against sending one message per record and against
// delivering a result to the wrong caller.
func TestBatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &blockedPeer{release: make(chan struct{})}
		b := NewBatcher(p, "peer", time.Second)
		var wg sync.WaitGroup
		for i := range 101 {
			wg.Go(func() {
				err := b.Replicate(t.Context(), &rpc.Record{Id: fmt.Sprint(i)})
				require.Equal(t, i < 2, err != nil, "record %d", i)
			})
			synctest.Wait()
		}
		close(p.release)
		wg.Wait()
		require.Equal(t, []int{1, 100}, p.sizes)
	})
}

// stub implements all dependencies of a Keeper. It runs each request
// immediately, on a host without peers.
type stub struct{}

func (stub) Keeper(string) string                                               { return "self" }
func (stub) CheckKeeper(string) error                                           { return nil }
func (stub) AcceptsKeeper(string, string) bool                                  { return true }
func (stub) Backups() []string                                                  { return nil }
func (stub) Replicate(context.Context, string, []*rpc.Record) ([]uint32, error) { return nil, nil }
func (stub) Resolve(context.Context, *rpc.Record) Result                        { return noReply }
func (stub) Run(ctx context.Context, r *rpc.SubmitRequest, _ uint32, reserve ReserveFunc) Result {
	if reserve(ctx, "self", []*rpc.Member{{Task: r.Id + "#0.1", Worker: "w"}}) != nil {
		return notRun(api.ReasonNotReady)
	}
	return Result{Outcome: api.Answered}
}

// benchKeeper returns a keeper with n closed records and their requests.
func benchKeeper(b *testing.B, n int) (*Keeper, []*rpc.SubmitRequest) {
	k, err := New(Options{Self: "self", Membership: stub{}, Replicator: stub{}, Runner: stub{}, Resolver: stub{}, MaxRecords: 1 << 30})
	require.NoError(b, err)
	k.SetHorizon(time.Now().Add(-time.Hour))
	reqs := make([]*rpc.SubmitRequest, n)
	for i := range reqs {
		reqs[i] = submit(testID(time.Now()))
		k.Submit(b.Context(), reqs[i])
	}
	return k, reqs
}

func BenchmarkDuplicate(b *testing.B) {
	k, reqs := benchKeeper(b, 100_000)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			k.Submit(b.Context(), reqs[i%len(reqs)])
		}
	})
}

func BenchmarkSubmit(b *testing.B) {
	k, _ := benchKeeper(b, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			k.Submit(b.Context(), submit(testID(time.Now())))
		}
	})
}

func BenchmarkRecordBytes(b *testing.B) {
	const records = 200_000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		k, reqs := benchKeeper(b, records)
		// After this, only the records refer to the requests.
		clear(reqs)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records-8, "B/record")
		runtime.KeepAlive(k)
		runtime.KeepAlive(reqs)
	}
}
