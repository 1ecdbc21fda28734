package jobhost

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/shard"
)

// Guards against an unknown outcome of a request that was never sent to the scheduler.
func TestEndedCallIsNotSent(t *testing.T) {
	var received atomic.Int64
	scheduler := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer scheduler.Close()
	settings := validSettings()
	h := New(&settings, testr.New(t))
	sh := shard.All("desk", 1)[0]
	s := &shardElection{shard: sh, joinNow: make(chan struct{}, 1), elector: lead.New(lead.Options{Self: h.self, Log: h.log})}
	s.elector.LearnHolder(lead.Holder{Host: "other", Address: strings.TrimPrefix(scheduler.URL, "http://"), Incarnation: "other", Epoch: 1})
	h.elections[sh.String()] = s
	h.endCallerCalls()
	maybeExecuted, err := h.call(h.callerCalls, sh.String(), func(ctx context.Context, s jobsrpc.Jobs) error {
		_, err := s.Submit(ctx, &jobsrpc.SubmitRequest{Shard: sh.String()})
		return err
	})
	require.Error(t, err)
	require.False(t, maybeExecuted)
	require.Zero(t, received.Load())
}
