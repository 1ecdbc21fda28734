package bench

import (
	"context"
	"runtime"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// soleKeeper is the membership of a failure domain with a single entry host.
type soleKeeper struct{}

// Keeper implements request.Membership.
func (soleKeeper) Keeper(string) string { return "host" }

// CheckKeeper implements request.Membership.
func (soleKeeper) CheckKeeper(string) error { return nil }

// AcceptsKeeper implements request.Membership.
func (soleKeeper) AcceptsKeeper(string, string) bool { return true }

// Backups implements request.Membership.
func (soleKeeper) Backups() []string { return nil }

// noBackups is a request.Replicator that does nothing, as there are no backups.
type noBackups struct{}

// Replicate implements request.Replicator.
func (noBackups) Replicate(context.Context, string, []*rpc.Record) ([]uint32, error) { return nil, nil }

// instantRunner is a request.Runner that answers each request immediately, and a
// request.Resolver that never finds an outcome.
type instantRunner struct{}

// Run implements request.Runner.
func (instantRunner) Run(ctx context.Context, _ *rpc.SubmitRequest, _ uint32, reserve request.ReserveFunc) request.Result {
	member := &rpc.Member{Task: "task", Worker: "plain-01", Incarnation: "1"}
	if err := reserve(ctx, "host", []*rpc.Member{member}); err != nil {
		return request.Result{Outcome: api.NotRun, Reason: api.ReasonNotReady}
	}
	return request.Result{Outcome: api.Answered, Checksum: api.Checksum(nil), Worker: "plain-01"}
}

// Resolve implements request.Resolver.
func (instantRunner) Resolve(context.Context, *rpc.Record) request.Result {
	return request.Result{Outcome: api.Unknown, Reason: api.ReasonNoReply}
}

// measureRecords measures the heap size of a kept request record with an empty
// answer, and the time to detect a duplicate request.
func measureRecords(ctx context.Context, p printer, _ uint64) error {
	const count = 100_000
	ids := make([]string, count)
	for i := range ids {
		id, err := api.NewID("fd-a")
		if err != nil {
			return err
		}
		ids[i] = id
	}
	keeper, err := request.New(request.Options{
		Self: "host", Membership: soleKeeper{}, Replicator: noBackups{}, Runner: instantRunner{}, Resolver: instantRunner{},
	})
	if err != nil {
		return err
	}
	keeper.SetHorizon(time.Now().Add(-time.Hour))
	before := liveHeapBytes()
	submit := func(id string) {
		keeper.Submit(ctx, &rpc.SubmitRequest{Id: id, Team: "sales", Service: "order-desk", DeadlineMs: 1000})
	}
	for _, id := range ids {
		submit(id)
	}
	p.figure("record.bytes", float64(liveHeapBytes()-before)/count, "B/request")
	began := time.Now()
	for _, id := range ids {
		submit(id)
	}
	p.figure("dedupe.cost.ns", float64(time.Since(began).Nanoseconds())/count, "ns")
	runtime.KeepAlive(keeper)
	return nil
}

// liveHeapBytes returns the size of the live heap in bytes. It collects twice,
// because finalizers of the first collection release more memory.
func liveHeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
