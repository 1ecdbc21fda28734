package entryhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
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
