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

// TestRetries guards against attempts after unknown outcomes that multiply a
// surge, and against a second attempt of a non-idempotent request.
func TestRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const burst, requests = 5, 200
		c := newCluster(t, 1, func(o *Options) { o.RetryBurst = burst })
		h := c.hosts[0]
		h.result = func(string, uint32) *Result { return &Result{Outcome: api.Unknown, Reason: api.ReasonNoReply} }
		c.worker.unreachable.Store(true)
		runs := 0
		for range requests {
			r := submit(testID(time.Now()))
			r.Idempotent = true
			require.Equal(t, "unknown", h.k.Submit(t.Context(), r).Outcome)
			runs += c.worker.ran(r.Id)
		}
		require.LessOrEqual(t, runs, requests+requests*2/10+burst)
		require.Greater(t, runs, requests+burst)
		id := testID(time.Now())
		h.k.Submit(t.Context(), submit(id))
		h.k.Submit(t.Context(), submit(id))
		require.Equal(t, 1, c.worker.ran(id))
		// A refusal of the last attempt says nothing about the ones before.
		r := submit(testID(time.Now()))
		r.Idempotent = true
		h.result = func(_ string, attempt uint32) *Result {
			out := notRun(api.ReasonQueueFull)
			if attempt == 1 {
				out = Result{Outcome: api.Unknown, Reason: api.ReasonNoReply}
			}
			return &out
		}
		require.Equal(t, "unknown", h.k.Submit(t.Context(), r).Outcome)
	})
}

// TestBounds guards against answers and records that use unbounded memory.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, func(o *Options) { o.BodyBytes, o.MaxRecords = 1000, 50 })
		body := string(make([]byte, 100))
		ids := map[string]bool{}
		for i := 0; i < 50; i++ {
			id := testID(time.Now())
			h := c.first(id)
			h.result = func(string, uint32) *Result { r := answered(body); return &r }
			require.Equal(t, "answered", h.k.Submit(t.Context(), submit(id)).Outcome)
			ids[id] = true
		}
		time.Sleep(time.Second)
		for _, h := range c.hosts {
			require.LessOrEqual(t, h.k.Stats().BodyBytes, int64(1000))
			require.Equal(t, int64(50), h.k.Stats().Records)
		}
		kept, dropped := 0, 0
		for id := range ids {
			h := c.first(id)
			out := h.k.Submit(t.Context(), submit(id))
			require.Equal(t, "answered", out.Outcome)
			require.Equal(t, uint32(100), out.BodyLength)
			if out.BodyDropped {
				dropped++
			} else {
				kept++
				require.Len(t, out.Body, 100)
			}
		}
		require.Equal(t, 50, kept+dropped)
		require.Positive(t, kept)
		id := testID(time.Now())
		h := c.first(id)
		require.Equal(t, "queue_full", h.k.Submit(t.Context(), submit(id)).Reason)
		time.Sleep(DefaultRetention * 3)
		for _, h := range c.hosts {
			require.Zero(t, h.k.Stats().BodyBytes)
			require.Zero(t, h.k.Stats().Records)
			require.Empty(t, h.k.bodies.queue)
		}
	})
}

// TestVersions guards against an older or delayed message of a keeper that
// overwrites a newer record.
func TestVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		id := testID(time.Now())
		a := c.first(id)
		b := c.hosts[0]
		if a == b {
			b = c.hosts[1]
		}
		for _, test := range []struct {
			from    string
			version uint64
			state   State
			refused int
		}{
			{a.name, 5, StateReserved, 0}, {a.name, 5, StateReserved, 0}, {a.name, 7, StateAnswered, 0},
			{a.name, 6, StateNotRun, 1}, {b.name, 9, StateNotRun, 1}, {"gone", 9, StateNotRun, 1},
		} {
			rec := &rpc.Record{Id: id, Keeper: test.from, Version: test.version, State: uint32(test.state), Attempt: 1}
			out := b.k.HandleReplicate(&rpc.ReplicateRequest{Keeper: test.from, Records: []*rpc.Record{rec}})
			require.Len(t, out.Refused, test.refused, "%+v", test)
		}
		require.Equal(t, uint32(StateAnswered), b.k.Fetch("", 10).Records[0].State)
	})
}

// blockedPeer counts messages and holds each until it is released.
type blockedPeer struct {
	mu    sync.Mutex
	sizes []int
	gate  chan struct{}
}

func (p *blockedPeer) Replicate(_ context.Context, _ string, records []*rpc.Record) ([]uint32, error) {
	p.mu.Lock()
	p.sizes = append(p.sizes, len(records))
	p.mu.Unlock()
	<-p.gate
	return []uint32{0}, nil
}

// TestBatcher guards against one message for each record, and against a
// result that reaches the wrong caller.
func TestBatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &blockedPeer{gate: make(chan struct{})}
		b := NewBatcher(p, "peer", time.Second)
		results := make([]error, 101)
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() { results[i] = b.Replicate(t.Context(), &rpc.Record{Id: fmt.Sprint(i)}) })
			if i == 0 {
				synctest.Wait()
			}
		}
		synctest.Wait()
		close(p.gate)
		wg.Wait()
		require.Equal(t, []int{1, 100}, p.sizes)
		refused := 0
		for _, err := range results {
			if err != nil {
				require.ErrorIs(t, err, ErrRefused)
				refused++
			}
		}
		require.Equal(t, 2, refused)
		require.ErrorIs(t, results[0], ErrRefused)
	})
}

// instant runs every request at once on a host without peers.
type instant struct{}

func (instant) Keeper(string) string              { return "self" }
func (instant) CheckKeeper(string) error          { return nil }
func (instant) AcceptsKeeper(string, string) bool { return true }
func (instant) Backups() []string                 { return nil }
func (instant) Replicate(context.Context, string, []*rpc.Record) ([]uint32, error) {
	return nil, nil
}
func (instant) Resolve(context.Context, *rpc.Record) Result { return Result{Outcome: api.Unknown} }
func (instant) Run(ctx context.Context, r *rpc.SubmitRequest, _ uint32, reserve ReserveFunc) Result {
	if reserve(ctx, "self", []*rpc.Member{{Task: r.Id + "#0.1", Worker: "w"}}) != nil {
		return notRun(api.ReasonNotReady)
	}
	return Result{Outcome: api.Answered}
}

func benchKeeper(b *testing.B) *Keeper {
	k, err := New(Options{Self: "self", Membership: instant{}, Replicator: instant{}, Runner: instant{}, Resolver: instant{}, MaxRecords: 1 << 30})
	require.NoError(b, err)
	k.SetHorizon(time.Now().Add(-time.Hour))
	return k
}

func BenchmarkDuplicate(b *testing.B) {
	k := benchKeeper(b)
	reqs := make([]*rpc.SubmitRequest, 100_000)
	for i := range reqs {
		reqs[i] = submit(testID(time.Now()))
		k.Submit(b.Context(), reqs[i])
	}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			if k.Submit(b.Context(), reqs[i%len(reqs)]).Outcome != "answered" {
				b.Error("duplicate has no answer")
			}
		}
	})
}

func BenchmarkSubmit(b *testing.B) {
	k := benchKeeper(b)
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
		k := benchKeeper(b)
		for range records {
			k.Submit(b.Context(), submit(testID(time.Now())))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
		runtime.KeepAlive(k)
	}
}
