package entryhost

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// TestResolveOwnDispatch guards against a record keeper that asks all workers about a
// request which it runs itself for its predecessor, and reports it as not run or unknown.
func TestResolveOwnDispatch(t *testing.T) {
	h := newTestHost(t)
	id, err := api.NewID(h.self.FailureDomain)
	require.NoError(t, err)
	d, _ := h.dispatches.begin(dispatchKey{id, 1})
	rec := &rpc.Record{Id: id, Attempt: 1, Holder: h.self.Name, UpdatedUnixMs: time.Now().UnixMilli()}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	res := h.resolver.Resolve(ctx, rec)
	require.Equal(t, unknown(api.ReasonPending), res)
	h.dispatches.finish(d, toReply(id, answeredBody("w", []byte("answer"), false)))
	require.Equal(t, "answer", string(h.resolver.Resolve(t.Context(), rec).Body))
}

// lossyWorker does not reply to its first status calls, and has started no task.
type lossyWorker struct {
	worker.Worker
	lost atomic.Int64
}

// Status implements worker.Worker.
func (w *lossyWorker) Status(_ context.Context, req worker.StatusRequest) (worker.Task, error) {
	if w.lost.Add(-1) >= 0 {
		return worker.Task{}, errors.WithStack(worker.ErrNoReply)
	}
	return worker.Task{ID: req.Task, State: worker.TaskFenced}, nil
}

// TestResolveAfterLostStatusReply guards against a request that no worker has begun and
// that is reported as unknown because one worker did not reply to one status call.
func TestResolveAfterLostStatusReply(t *testing.T) {
	h := newTestHost(t)
	lossy := &lossyWorker{}
	lossy.lost.Store(2)
	h.platform.Dial = func(worker.Info) worker.Worker { return lossy }
	require.NoError(t, h.build())
	hosts := []platform.Host{{State: platform.HostLive, Info: worker.Info{Name: "w", FailureDomain: h.self.FailureDomain, Incarnation: "1"}}}
	h.incarnations.update(hosts)
	h.holding.SetHosts(platform.HostListReply{AsOf: time.Now(), Hosts: hosts})
	id, err := api.NewID(h.self.FailureDomain)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), request.DefaultResolveTimeout)
	defer cancel()
	res := h.resolver.Resolve(ctx, &rpc.Record{Id: id, Attempt: 1, Holder: "gone", UpdatedUnixMs: time.Now().Add(time.Second).UnixMilli()})
	require.Equal(t, notRun(api.ReasonNotReady, routeRetryDelay), res)
}

// TestResolveWithUnlistedWorkers guards against a request that is reported as not run
// although it may have run on a worker that this host's host list does not show.
func TestResolveWithUnlistedWorkers(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before and after are the workers in the host lists that were read before
		// and after the dispatch; nil if none was read.
		before, after []string
		want          api.Outcome
	}{
		{"no list was read", nil, nil, api.Unknown},
		{"no list was read before the dispatch", nil, []string{"w"}, api.Unknown},
		{"a worker left the list after the dispatch", []string{"v", "w"}, []string{"w"}, api.Unknown},
		{"all workers left the list after the dispatch", []string{"w"}, []string{}, api.Unknown},
		{"the list is unchanged", []string{"w"}, []string{"w"}, api.NotRun},
		{"no worker was listed", []string{}, []string{}, api.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newTestHost(t)
				h.platform.Dial = func(worker.Info) worker.Worker { return &lossyWorker{} }
				require.NoError(t, h.build())
				readList := func(names []string) {
					if names == nil {
						return
					}
					var hosts []platform.Host
					for _, name := range names {
						hosts = append(hosts, platform.Host{State: platform.HostLive, Info: worker.Info{Name: name, FailureDomain: h.self.FailureDomain, Incarnation: "1"}})
					}
					h.incarnations.update(hosts)
					h.holding.SetHosts(platform.HostListReply{AsOf: time.Now(), Hosts: hosts})
				}
				readList(tc.before)
				time.Sleep(time.Second)
				rec := &rpc.Record{Id: "fd/00000000-0000-7000-8000-000000000000", Attempt: 1, Holder: "gone", UpdatedUnixMs: time.Now().UnixMilli()}
				time.Sleep(time.Second)
				readList(tc.after)
				require.Equal(t, tc.want, h.resolver.Resolve(t.Context(), rec).Outcome)
			})
		})
	}
}
