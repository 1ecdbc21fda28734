package standin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/standin"
	"github.com/laburnumpass/laburnumpass/internal/worker"
	"github.com/laburnumpass/laburnumpass/internal/worker/httpworker"
)

// cutOffTasks returns the tasks whose start calls the journal shows as cut off.
func cutOffTasks(j *standin.Journal) (tasks []worker.TaskID) {
	for _, e := range j.Events() {
		if e.Kind == standin.EventCutOff {
			tasks = append(tasks, e.Task)
		}
	}
	return tasks
}

// send writes a start call to a connection without waiting for the reply.
func send(t *testing.T, conn net.Conn, req worker.StartRequest) {
	t.Helper()
	body, err := json.Marshal(req)
	require.NoError(t, err)
	call, err := http.NewRequest(http.MethodPost, "http://"+conn.RemoteAddr().String()+httpworker.PathStart, bytes.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, call.Write(conn))
}

// TestCallsCutOffByRestart guards against a journal that does not show which start calls a
// restart cut off, and against one that shows a call whose reply arrived.
func TestCallsCutOffByRestart(t *testing.T) {
	w := standin.NewWorker(worker.Info{Name: "w", Capacity: worker.Capacity{Slots: 10, Connections: 10}}, standin.WorkerOptions{})
	server, err := standin.ServeWorker(w, "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	client := httpworker.New(w.Info(), httpworker.Options{})
	defer client.Close()
	held, err := client.Hold(t.Context(), worker.HoldRequest{Holder: "a", TTL: time.Minute})
	require.NoError(t, err)
	start := func(task worker.TaskID, body string) worker.StartRequest {
		req := startRequest(held.Epoch, task, body)
		req.Wait = true
		return req
	}
	// Both calls use one connection, so that the server has finished the first one.
	for _, task := range []worker.TaskID{"answered#0.1", "answered#0.2"} {
		_, err = client.Start(t.Context(), start(task, ""))
		require.NoError(t, err)
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		return conn
	}
	running, idle := dial(), dial()
	send(t, running, start("running#0.1", `{"run_ms":60000}`))
	require.NoError(t, w.Journal().Wait(t.Context(), func(j *standin.Journal) bool {
		open, _ := j.Connections()
		return len(j.StartEvents("running#0.1")) == 1 && open >= 3
	}))
	w.Restart()
	open, _ := w.Journal().Connections()
	require.Zero(t, open)
	// The peer writes before it notices the end of the connection.
	send(t, idle, start("not-begun#0.1", ""))
	for _, conn := range []net.Conn{running, idle} {
		reply, err := io.ReadAll(conn)
		require.NoError(t, err)
		require.Empty(t, reply)
		require.NoError(t, conn.Close())
	}
	require.NoError(t, w.Journal().Wait(t.Context(), func(j *standin.Journal) bool { return len(cutOffTasks(j)) == 2 }))
	require.ElementsMatch(t, []worker.TaskID{"running#0.1", "not-begun#0.1"}, cutOffTasks(w.Journal()))
	require.Empty(t, w.Journal().StartEvents("not-begun#0.1"))
}

// TestReplyLostInRestart guards against a restart that loses a reply although the journal
// does not show its call as cut off.
func TestReplyLostInRestart(t *testing.T) {
	w := standin.NewWorker(worker.Info{Name: "w", Capacity: worker.Capacity{Slots: 10, Connections: 10}}, standin.WorkerOptions{})
	server, err := standin.ServeWorker(w, "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	held, err := w.Hold(t.Context(), worker.HoldRequest{Holder: "a", TTL: time.Minute})
	require.NoError(t, err)
	for i := range 50 {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		task := worker.TaskID("task#0." + string(rune('A'+i)))
		req := startRequest(held.Epoch, task, "")
		req.Wait = true
		send(t, conn, req)
		require.NoError(t, w.Journal().Wait(t.Context(), func(j *standin.Journal) bool { return len(j.StartEvents(task)) == 1 }))
		w.Restart()
		held, err = w.Hold(t.Context(), worker.HoldRequest{Holder: "a", TTL: time.Minute})
		require.NoError(t, err)
		reply, err := io.ReadAll(conn)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		if len(reply) > 0 {
			continue
		}
		require.NoError(t, w.Journal().Wait(t.Context(), func(j *standin.Journal) bool {
			tasks := cutOffTasks(j)
			return len(tasks) > 0 && tasks[len(tasks)-1] == task
		}), "a call without a reply is not shown as cut off")
	}
}
