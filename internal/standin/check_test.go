package standin_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/standin"
	"github.com/laburnumpass/laburnumpass/internal/worker"
	"github.com/laburnumpass/laburnumpass/internal/worker/httpworker"
)

// Guards against a journal check that misses a violation or reports a false one.
func TestCheck(t *testing.T) {
	type start struct {
		worker int
		task   worker.TaskID
		use    worker.Resources
		ended  bool
	}
	for _, test := range []struct {
		name   string
		starts []start
		kinds  []standin.ViolationKind
	}{
		{"full", []start{{0, "z/1#0.1", workerInfo.Capacity.Resources, true}, {0, "z/2#0.1", workerInfo.Capacity.Resources, false}}, nil},
		{"processors", []start{{0, "z/1#0.1", worker.Resources{MilliCPU: 4001}, false}}, []standin.ViolationKind{standin.ViolationCapacity}},
		{"memory", []start{{0, "z/1#0.1", worker.Resources{MemoryMiB: 4097}, false}}, []standin.ViolationKind{standin.ViolationCapacity}},
		{"accelerators", []start{{0, "z/1#0.1", worker.Resources{Accelerators: 2}, false}}, []standin.ViolationKind{standin.ViolationCapacity}},
		{"slots", []start{{0, "z/1#0.1", worker.Resources{}, false}, {0, "z/1#1.1", worker.Resources{}, false}, {0, "z/1#2.1", worker.Resources{}, false}}, []standin.ViolationKind{standin.ViolationCapacity}},
		{"members", []start{{0, "z/1#0.1", worker.Resources{}, false}, {1, "z/1#1.1", worker.Resources{}, false}}, nil},
		{"second attempt", []start{{0, "z/1#0.1", worker.Resources{}, true}, {1, "z/1#0.2", worker.Resources{}, false}}, []standin.ViolationKind{standin.ViolationRanTwice}},
		{"same task again", []start{{0, "z/1#0.1", worker.Resources{}, true}, {1, "z/1#0.1", worker.Resources{}, false}}, []standin.ViolationKind{standin.ViolationRanTwice}},
		{"same task at one time", []start{{0, "z/1#0.1", worker.Resources{}, false}, {1, "z/1#0.1", worker.Resources{}, false}}, []standin.ViolationKind{standin.ViolationRanTwice, standin.ViolationOverlap}},
	} {
		t.Run(test.name, func(t *testing.T) {
			workers := []*standin.Worker{standin.NewWorker(workerInfo, standin.WorkerOptions{}), standin.NewWorker(workerInfo, standin.WorkerOptions{})}
			for _, s := range test.starts {
				w := workers[s.worker]
				req := startRequest(acquireLease(t, w, "a").Epoch, s.task, longTaskBody)
				req.Resources = s.use
				_, err := w.Start(t.Context(), req)
				require.NoError(t, err)
				if s.ended {
					_, err := w.Stop(t.Context(), s.task)
					require.NoError(t, err)
				}
			}
			var kinds []standin.ViolationKind
			for _, v := range standin.CheckJournals(workers[0].Journal(), workers[1].Journal()) {
				kinds = append(kinds, v.Kind)
			}
			require.ElementsMatch(t, test.kinds, kinds)
		})
	}
}

// Guards against an HTTP client that opens more than 16 connections for starts
// and 4 for other calls, abandoned calls that keep their connection, and a
// journal that misses an exceeded connection limit.
func TestConnections(t *testing.T) {
	small := workerInfo
	small.Capacity.Connections = 19
	w := standin.NewWorker(small, standin.WorkerOptions{})
	s, err := standin.ServeWorker(w, "127.0.0.1:0")
	require.NoError(t, err)
	defer s.Close()
	c := httpworker.New(w.Info(), httpworker.Options{ConnWait: time.Millisecond})
	acquireLease(t, c, "a")
	for range 2 {
		w.Pause()
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan error)
		for range 20 {
			go func() {
				_, err := c.Start(ctx, worker.StartRequest{Task: "z/1#0.1"})
				results <- err
			}()
			go func() {
				_, err := c.Usage(ctx)
				results <- err
			}()
		}
		for range 20 {
			require.ErrorIs(t, <-results, worker.ErrNotDelivered)
		}
		open := func(want int) {
			require.NoError(t, w.Journal().Wait(t.Context(), func(j *standin.Journal) bool {
				n, _ := j.Connections()
				return n == want
			}))
		}
		open(20)
		cancel()
		for range 20 {
			err := <-results
			require.True(t, errors.Is(err, worker.ErrNoReply) || errors.Is(err, worker.ErrNotDelivered), "%v", err)
		}
		open(0)
		w.Resume()
	}
	_, peak := w.Journal().Connections()
	require.Equal(t, 20, peak)
	violations := standin.CheckJournals(w.Journal())
	require.Len(t, violations, 1)
	require.Equal(t, standin.ViolationConnections, violations[0].Kind)
}

// Guards against a call over a cut link that is reported as not delivered,
// although it may arrive after the link heals, and against a relay that forwards
// bytes while cut or stays cut.
func TestLinkRelay(t *testing.T) {
	w := standin.NewWorker(workerInfo, standin.WorkerOptions{})
	s, err := standin.ServeWorker(w, "127.0.0.1:0")
	require.NoError(t, err)
	defer s.Close()
	relay, err := standin.NewLinkRelay(s.Address())
	require.NoError(t, err)
	viaRelay := w.Info()
	viaRelay.Address = relay.Address()
	c := httpworker.New(viaRelay, httpworker.Options{})
	held := acquireLease(t, c, "a")
	before, _ := relay.Bytes()
	require.Positive(t, before)

	relay.Cut()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	results := make(chan error)
	go func() {
		_, err := c.Start(ctx, startRequest(held.Epoch, "z/1#0.1", "")) // On a new connection.
		results <- err
	}()
	_, err = c.Hold(ctx, worker.HoldRequest{Holder: "b", TTL: time.Minute}) // On an open connection.
	require.ErrorIs(t, err, worker.ErrNoReply)
	require.ErrorIs(t, <-results, worker.ErrNoReply)
	after, _ := relay.Bytes()
	require.Equal(t, before, after)

	relay.Heal()
	relay.SetDelay(10 * time.Millisecond)
	start := time.Now()
	acquireLease(t, c, "a")
	require.GreaterOrEqual(t, time.Since(start), 20*time.Millisecond)
	require.Empty(t, w.Journal().Events())
	relay.Cut()
	require.NoError(t, relay.Close())
	_, err = c.Hold(t.Context(), worker.HoldRequest{Holder: "a", TTL: time.Minute})
	require.ErrorIs(t, err, worker.ErrNotDelivered)
}
