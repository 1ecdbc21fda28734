package standin_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/platform/httphosts"
	"github.com/laburnumpass/laburnumpass/internal/platform/httplog"
	"github.com/laburnumpass/laburnumpass/internal/standin"
	"github.com/laburnumpass/laburnumpass/internal/worker"
	"github.com/laburnumpass/laburnumpass/internal/worker/httpworker"
)

// directAndServed runs a contract test twice: against the in-memory stand-in,
// and through the HTTP client against the same stand-in served over HTTP.
func directAndServed(t *testing.T, test func(t *testing.T, served bool)) {
	t.Run("memory", func(t *testing.T) { test(t, false) })
	t.Run("http", func(t *testing.T) { test(t, true) })
}

func newLog(t *testing.T, served bool, opts standin.LogOptions) (*standin.Log, platform.Log) {
	l := standin.NewLog(opts)
	if !served {
		return l, l
	}
	s, err := standin.ServeLog(l, "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return l, httplog.New(s.Address(), httplog.Options{})
}

func newHostList(t *testing.T, served bool) (*standin.HostList, platform.HostList) {
	h := standin.NewHostList(standin.HostListOptions{})
	if !served {
		return h, h
	}
	s, err := standin.ServeHostList(h, "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return h, httphosts.New(s.Address(), httphosts.Options{})
}

var workerInfo = worker.Info{Name: "w1", Capacity: worker.Capacity{
	Resources: worker.Resources{MilliCPU: 4000, MemoryMiB: 4096, Accelerators: 1}, Slots: 2, Connections: 64,
}}

func newWorker(t *testing.T, served bool, opts standin.WorkerOptions) (*standin.Worker, worker.Worker) {
	w := standin.NewWorker(workerInfo, opts)
	if !served {
		return w, w
	}
	s, err := standin.ServeWorker(w, "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return w, httpworker.New(w.Info(), httpworker.Options{})
}

func acquireLease(t *testing.T, w worker.Worker, holder string) worker.HoldReply {
	reply, err := w.Hold(t.Context(), worker.HoldRequest{Holder: holder, TTL: time.Minute})
	require.NoError(t, err)
	return reply
}

func startRequest(epoch uint64, task worker.TaskID, body string) worker.StartRequest {
	return worker.StartRequest{
		Epoch: epoch, Task: task, Resources: worker.Resources{MilliCPU: 1000, MemoryMiB: 1024},
		LeaseEnd: time.Now().Add(time.Minute), Body: []byte(body),
	}
}

const longTaskBody = `{"run_ms":600000}`

// Guards against a log that loses the record of an append whose reply was lost,
// returns records past their retention or takes effect during an outage.
func TestLogContract(t *testing.T) {
	directAndServed(t, func(t *testing.T, served bool) {
		l, log := newLog(t, served, standin.LogOptions{MaxRecords: 2})
		ctx := t.Context()
		l.DropAppendReplies(1)
		_, err := log.Append(ctx, []byte("a"))
		require.ErrorIs(t, err, platform.ErrNoReply)
		offset, err := log.Append(ctx, []byte("b"))
		require.NoError(t, err)
		require.EqualValues(t, 2, offset)
		reply, err := log.Read(ctx, 1, 1)
		require.NoError(t, err)
		require.Len(t, reply.Records, 1)
		require.Equal(t, "a", string(reply.Records[0].Data))
		l.SetOutage(true)
		_, err = log.Append(ctx, []byte("c"))
		require.ErrorIs(t, err, platform.ErrUnavailable)
		_, err = log.Read(ctx, 1, 1)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		l.SetOutage(false)
		_, err = log.Append(ctx, []byte("d"))
		require.NoError(t, err)
		_, err = log.Read(ctx, 1, 1)
		var truncated *platform.TruncatedError
		require.ErrorAs(t, err, &truncated)
		require.EqualValues(t, 2, truncated.First)
		reply, err = log.Read(ctx, 4, 10)
		require.NoError(t, err)
		require.Empty(t, reply.Records)
		require.EqualValues(t, 2, reply.First)
		require.EqualValues(t, 4, reply.Next)
		l.SetDelay(time.Minute)
		short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		_, err = log.Append(short, []byte("e"))
		require.ErrorIs(t, err, platform.ErrNoReply)
	})
}

// Guards against a host list that loses the state of a host or replies during an
// outage.
func TestHostListContract(t *testing.T) {
	directAndServed(t, func(t *testing.T, served bool) {
		h, hosts := newHostList(t, served)
		h.Set(workerInfo)
		h.Set(worker.Info{Name: "w0"})
		h.Set(worker.Info{Name: "w2"})
		h.MarkLeaving("w1")
		h.Remove("w2")
		reply, err := hosts.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, []platform.Host{
			{Info: worker.Info{Name: "w0"}, State: platform.HostLive}, {Info: workerInfo, State: platform.HostLeaving},
		}, reply.Hosts)
		require.False(t, reply.AsOf.IsZero())
		h.SetOutage(true)
		_, err = hosts.List(t.Context())
		require.ErrorIs(t, err, platform.ErrUnavailable)
	})
}

// Guards against a host list client that requests only the changes and misses a
// changed host, a removed host or a new instance of the service.
func TestHostListChanges(t *testing.T) {
	h, hosts := newHostList(t, true)
	list := func(hosts platform.HostList) string {
		reply, err := hosts.List(t.Context())
		require.NoError(t, err)
		var names []string
		for _, host := range reply.Hosts {
			names = append(names, host.Name+" "+string(host.State))
		}
		return strings.Join(names, ", ")
	}
	for _, step := range []struct {
		name   string
		change func()
		want   string
	}{
		{"empty", func() {}, ""},
		{"added", func() { h.Set(worker.Info{Name: "b"}); h.Set(worker.Info{Name: "a"}) }, "a live, b live"},
		{"nothing changed", func() {}, "a live, b live"},
		{"changed", func() { h.MarkLeaving("b") }, "a live, b leaving"},
		{"removed and added", func() { h.Remove("a"); h.Set(worker.Info{Name: "c"}) }, "b leaving, c live"},
		{"removed and back", func() { h.Remove("b"); h.Set(worker.Info{Name: "b"}) }, "b live, c live"},
		{"outage", func() {
			h.SetOutage(true)
			_, err := hosts.List(t.Context())
			require.ErrorIs(t, err, platform.ErrUnavailable)
			h.SetOutage(false)
		}, "b live, c live"},
	} {
		step.change()
		require.Equal(t, step.want, list(hosts), step.name)
		require.Equal(t, step.want, list(h), step.name)
	}
	reply, err := h.Changes(t.Context(), platform.HostListRequest{Since: "another instance-1"})
	require.NoError(t, err)
	require.Empty(t, reply.Since)
	require.Len(t, reply.Hosts, 2, "an unknown version must return the whole list")
	reply, err = h.Changes(t.Context(), platform.HostListRequest{Since: reply.Version})
	require.NoError(t, err)
	require.Empty(t, reply.Hosts, "the latest version must return no changes")
}

// Guards against log records that outlive their retention and host changes that
// become visible before the lag has passed or are reverted by a longer lag.
func TestPlatformTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewLog(standin.LogOptions{MaxAge: time.Minute})
		_, err := log.Append(t.Context(), nil)
		require.NoError(t, err)
		time.Sleep(time.Minute)
		_, err = log.Read(t.Context(), 1, 1)
		require.NoError(t, err)
		time.Sleep(time.Nanosecond)
		_, err = log.Read(t.Context(), 1, 1)
		require.ErrorAs(t, err, new(*platform.TruncatedError))

		hosts := standin.NewHostList(standin.HostListOptions{Lag: 2 * time.Second})
		listed := func() int {
			reply, err := hosts.List(t.Context())
			require.NoError(t, err)
			return len(reply.Hosts)
		}
		hosts.Set(workerInfo)
		time.Sleep(2*time.Second - time.Nanosecond)
		require.Equal(t, 0, listed())
		time.Sleep(time.Nanosecond)
		require.Equal(t, 1, listed())
		hosts.SetLag(time.Minute)
		hosts.Remove(workerInfo.Name)
		time.Sleep(time.Minute - time.Nanosecond)
		require.Equal(t, 1, listed())
		time.Sleep(time.Nanosecond)
		require.Equal(t, 0, listed())
	})
}
