package entryhost

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/link"
	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// stoppableWorker sends the tasks that it is told to stop to a channel.
type stoppableWorker struct {
	worker.Worker
	stopped chan worker.TaskID
}

// Stop implements worker.Worker.
func (w *stoppableWorker) Stop(_ context.Context, id worker.TaskID) (worker.TaskState, error) {
	w.stopped <- id
	return worker.TaskStopped, nil
}

// TestGangOfSeveralHostsIsStopped guards against members of an all-at-once job that run to
// their end on the workers of other hosts although a member could not start.
func TestGangOfSeveralHostsIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t)
		w := &stoppableWorker{stopped: make(chan worker.TaskID, 10)}
		h.platform.Dial = func(worker.Info) worker.Worker { return w }
		require.NoError(t, h.build())
		h.holding.SetHosts(platform.HostListReply{AsOf: time.Now(), Hosts: []platform.Host{
			{State: platform.HostLive, Info: worker.Info{Name: "w", FailureDomain: h.self.FailureDomain, Incarnation: "1"}},
		}})
		member := func(task string) []*rpc.Member { return []*rpc.Member{{Task: task, Worker: "w", Incarnation: "1"}} }
		running := func(context.Context) []request.Result {
			select {
			case <-w.stopped:
				return []request.Result{{Outcome: api.Answered, Failed: true}}
			case <-time.After(time.Hour):
				return []request.Result{{Outcome: api.Answered}}
			}
		}
		began := time.Now()
		h.runner.startGang(t.Context(), []gangPart{
			{host: "a", members: member("x#0.1"), start: running},
			{host: "b", members: member("x#1.1"), start: func(context.Context) []request.Result {
				return []request.Result{notRun(api.ReasonWorkerFailed, 0)}
			}},
			{host: "c", members: member("x#2.1"), start: running},
		})
		require.Less(t, time.Since(began), time.Minute)
		require.Empty(t, w.stopped, "the member that could not start needs no stop")
	})
}

// incompletePeer replies to reservations and dispatches without an outcome.
type incompletePeer struct {
	rpc.Peer
	reserve *rpc.ReserveReply
}

func (p *incompletePeer) Reserve(context.Context, *rpc.ReserveRequest) (*rpc.ReserveReply, error) {
	return p.reserve, nil
}

func (p *incompletePeer) Dispatch(context.Context, *rpc.DispatchRequest) (*rpc.DispatchReply, error) {
	return &rpc.DispatchReply{}, nil
}

// TestIncompletePeerReply guards against a host that ends because a peer's reply lacks the
// outcome or lists another number of members.
func TestIncompletePeerReply(t *testing.T) {
	for name, reserve := range map[string]*rpc.ReserveReply{
		"no reply":      {},
		"fewer members": {Reply: &rpc.SubmitReply{Outcome: string(api.Answered), Body: []byte("[]")}},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(rpc.NewPeerServer(&incompletePeer{reserve: reserve}))
			server.Config.Protocols = link.Protocols()
			server.Start()
			defer server.Close()
			s := newTestHost(t).settings
			s.EntryHosts[1].PeerAddress = server.Listener.Addr().String()
			h, err := New(s, Platform{Dial: func(worker.Info) worker.Worker { return &lossyWorker{} }}, logr.Discard())
			require.NoError(t, err)
			h.holding.SetHosts(platform.HostListReply{AsOf: time.Now(), Hosts: []platform.Host{
				{State: platform.HostLive, Info: worker.Info{Name: "w", FailureDomain: h.self.FailureDomain, Incarnation: "1"}},
			}})
			peer := s.EntryHosts[1].Name
			members := []*rpc.Member{{Task: "x#0.1", Worker: "w", Incarnation: "1"}}
			results := h.runner.startOnPeer(t.Context(), peer, &rpc.SubmitRequest{Id: "x"}, &rpc.ReserveReply{Token: "1", Members: members})
			require.Equal(t, []request.Result{notRun(api.ReasonWorkerFailed, routeRetryDelay)}, results)
			res, refused := h.runner.runRemote(t.Context(), peer, &rpc.SubmitRequest{Id: "x"}, time.Now().Add(time.Minute), 1,
				func(context.Context, string, []*rpc.Member) error { return nil })
			require.False(t, refused, "the peer may have run the request")
			require.Equal(t, unknown(api.ReasonNoReply), res)
		})
	}
}
