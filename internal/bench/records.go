package bench

import (
	"context"
	"runtime"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// soleKeeper is the membership of a failure domain with one host.
type soleKeeper struct{}

// Keeper implements request.Membership.
func (soleKeeper) Keeper(string) string { return "host" }

// CheckKeeper implements request.Membership.
func (soleKeeper) CheckKeeper(string) error { return nil }

// AcceptsKeeper implements request.Membership.
func (soleKeeper) AcceptsKeeper(string, string) bool { return true }

// Backups implements request.Membership.
func (soleKeeper) Backups() []string { return nil }

// noPeer implements request.Replicator; there are no backups to send to.
type noPeer struct{}

// Replicate implements request.Replicator.
func (noPeer) Replicate(context.Context, string, []*rpc.Record) ([]uint32, error) { return nil, nil }

// instant answers each request at once.
type instant struct{}

// Run implements request.Runner.
func (instant) Run(ctx context.Context, _ *rpc.SubmitRequest, _ uint32, reserve request.ReserveFunc) request.Result {
	member := &rpc.Member{Task: "task", Worker: "plain-01", Incarnation: "1"}
	if err := reserve(ctx, "host", []*rpc.Member{member}); err != nil {
		return request.Result{Outcome: api.NotRun, Reason: api.ReasonNotReady}
	}
	return request.Result{Outcome: api.Answered, Checksum: api.Checksum(nil), Worker: "plain-01"}
}

// Resolve implements request.Resolver.
func (instant) Resolve(context.Context, *rpc.Record) request.Result {
	return request.Result{Outcome: api.Unknown, Reason: api.ReasonNoReply}
}

// records measures what a kept record costs, with an empty answer, and what
// finding a duplicate costs.
func records(ctx context.Context, p printer, _ uint64) error {
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
		Self: "host", Membership: soleKeeper{}, Replicator: noPeer{}, Runner: instant{}, Resolver: instant{},
	})
	if err != nil {
		return err
	}
	keeper.SetHorizon(time.Now().Add(-time.Hour))
	before := heap()
	submit := func(id string) {
		keeper.Submit(ctx, &rpc.SubmitRequest{Id: id, Team: "sales", Service: "order-desk", DeadlineMs: 1000})
	}
	for _, id := range ids {
		submit(id)
	}
	p.figure("record.bytes", float64(heap()-before)/count, "B/request")
	began := time.Now()
	for _, id := range ids {
		submit(id)
	}
	p.figure("dedupe.cost.ns", float64(time.Since(began).Nanoseconds())/count, "ns")
	runtime.KeepAlive(keeper)
	return nil
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
