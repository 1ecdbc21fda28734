package api

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const testDeadlineMS = 3000

// refusedAddress refuses connections. Port 1 is used because another process
// could take a port that was opened and closed again.
const refusedAddress = "127.0.0.1:1"

// serveEntryHost starts a fake entry host on a loopback address. reply returns
// the reply to the nth request, or nil to break the connection. calls counts the
// requests and homeCalls those for PathHome.
func serveEntryHost(t *testing.T, reply func(method, id string, n int32) *Response) (addr string, calls, homeCalls *atomic.Int32) {
	calls, homeCalls = &atomic.Int32{}, &atomic.Int32{}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == PathHome {
			homeCalls.Add(1)
			_ = json.NewEncoder(ctx).Encode(Home{FailureDomain: "zone"})
			return
		}
		id := strings.TrimPrefix(string(ctx.Path()), PathRequests+"/")
		if ctx.IsPost() {
			var r Request
			_ = json.Unmarshal(ctx.PostBody(), &r)
			if id = r.ID; r.DeadlineMS == testDeadlineMS {
				t.Error("the deadline sent is not the time that remains")
			}
		}
		if out := reply(string(ctx.Method()), id, calls.Add(1)); out != nil {
			_ = json.NewEncoder(ctx).Encode(out)
		} else {
			_ = ctx.Conn().Close()
		}
	}}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return l.Addr().String(), calls, homeCalls
}

func answer(id string) *Response {
	return &Response{ID: id, Outcome: Answered, Body: []byte("ok"), Length: 2, Checksum: Checksum([]byte("ok"))}
}

func breakConnection(string, string, int32) *Response { return nil }
func notReady(_, id string, _ int32) *Response {
	return &Response{ID: id, Outcome: NotRun, Reason: ReasonNotReady}
}

// TestClientDo guards against a lost or wrong outcome when entry hosts break
// connections, are not ready, or reply with a truncated answer or that of
// another request.
func TestClientDo(t *testing.T) {
	queueFullOnce := func(_, id string, n int32) *Response {
		if n > 1 {
			return answer(id)
		}
		return &Response{ID: id, Outcome: NotRun, Reason: ReasonQueueFull, RetryAfterMS: 1}
	}
	thenAnswer := func(first func(string, string, int32) *Response) func(string, string, int32) *Response {
		return func(m, id string, n int32) *Response {
			if n == 1 {
				return first(m, id, n)
			}
			return answer(id)
		}
	}
	thenNotReady := func(m, id string, n int32) *Response {
		if n == 1 {
			return nil
		}
		return notReady(m, id, n)
	}
	for _, test := range []struct {
		name       string
		reply      func(string, string, int32) *Response
		retry      bool
		want       Outcome
		wantReason Reason
	}{
		{"broken connection", thenAnswer(breakConnection), false, Answered, ""},
		{"not ready", thenAnswer(notReady), false, Answered, ""},
		{"another request's answer", thenAnswer(func(string, string, int32) *Response { return answer(uuid7) }), false, Answered, ""},
		{"truncated answer", thenAnswer(func(_, id string, _ int32) *Response {
			r := answer(id)
			r.Body = r.Body[:1]
			return r
		}), false, Answered, ""},
		{"never an answer", breakConnection, false, Unknown, ReasonNoReply},
		{"never ready", notReady, false, NotRun, ReasonNotReady},
		{"broken connection, then never ready", thenNotReady, false, Unknown, ReasonNoReply},
		{"queue full", queueFullOnce, false, NotRun, ReasonQueueFull},
		{"queue full, retried", queueFullOnce, true, Answered, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			var ids atomic.Pointer[string]
			addr, _, homeCalls := serveEntryHost(t, func(m, id string, n int32) *Response {
				if first := ids.Load(); first != nil && *first != id {
					return &Response{ID: id, Outcome: Unknown, Reason: "ID changed"}
				}
				ids.Store(&id)
				return test.reply(m, id, n)
			})
			c, err := NewClient(ClientOptions{Addresses: []string{addr, refusedAddress}, RetryNotRun: test.retry, MinBackoff: time.Millisecond})
			require.NoError(t, err)
			defer c.Close()
			out, err := c.Do(t.Context(), Request{Team: "t", Service: "s", DeadlineMS: testDeadlineMS})
			require.NoError(t, err)
			require.Equal(t, test.want, out.Outcome, out.Reason)
			require.Equal(t, test.wantReason, out.Reason)
			require.Equal(t, *ids.Load(), out.ID)
			require.Equal(t, int32(1), homeCalls.Load())
		})
	}
}

// TestClientRetryBudget guards against retries that multiply a load surge: if every
// attempt fails, the retries must stay within the retry budget.
func TestClientRetryBudget(t *testing.T) {
	const requests = 60
	addr, calls, _ := serveEntryHost(t, breakConnection)
	c, err := NewClient(ClientOptions{Addresses: []string{addr}, MinBackoff: time.Microsecond, MaxBackoff: time.Millisecond})
	require.NoError(t, err)
	defer c.Close()
	for range requests {
		out, err := c.Do(t.Context(), Request{ID: uuid7, Team: "t", Service: "s", DeadlineMS: 500})
		require.NoError(t, err)
		require.Equal(t, Unknown, out.Outcome)
	}
	require.LessOrEqual(t, calls.Load(), int32(requests*(1+DefaultRetryRatio)+DefaultRetryBurst))
	require.Greater(t, calls.Load(), int32(requests))
}

// TestClientDeadHost guards against failed dials to a dead entry host that use
// up the retry budget.
func TestClientDeadHost(t *testing.T) {
	addr, _, _ := serveEntryHost(t, func(_, id string, _ int32) *Response { return answer(id) })
	c, err := NewClient(ClientOptions{Addresses: []string{addr, "127.0.0.1:1"}, MinBackoff: time.Microsecond})
	require.NoError(t, err)
	defer c.Close()
	for range 200 {
		out, err := c.Do(t.Context(), Request{Team: "t", Service: "s", DeadlineMS: 10_000})
		require.NoError(t, err)
		require.Equal(t, Answered, out.Outcome)
	}
}

// TestClientDeadlineAndHome guards against a call that outlives its deadline or context,
// and against a cached home failure domain that stays in use after it became
// unreachable.
func TestClientDeadlineAndHome(t *testing.T) {
	release := make(chan struct{})
	reached := make(chan struct{}, 1)
	addr, _, homeCalls := serveEntryHost(t, func(method, id string, n int32) *Response {
		switch method {
		case "GET":
			return answer(id)
		case "DELETE":
			return &Response{ID: id, Outcome: NotRun, Reason: ReasonCancelled}
		}
		if n > 3 {
			return &Response{ID: id, Outcome: Unknown, Reason: ReasonHomeUnreachable}
		}
		reached <- struct{}{}
		<-release
		return nil
	})
	defer close(release)
	c, err := NewClient(ClientOptions{Addresses: []string{addr}})
	require.NoError(t, err)
	out, err := c.Do(t.Context(), Request{Team: "t", Service: "s", DeadlineMS: 50})
	require.NoError(t, err)
	require.Equal(t, Unknown, out.Outcome)
	ctx, cancel := context.WithCancel(t.Context())
	<-reached
	go func() { <-reached; cancel() }()
	out, err = c.Do(ctx, Request{ID: out.ID, Team: "t", Service: "s", DeadlineMS: 60_000})
	require.NoError(t, err)
	require.Equal(t, Unknown, out.Outcome)
	got, err := c.Status(t.Context(), out.ID)
	require.NoError(t, err)
	require.Equal(t, Answered, got.Outcome)
	got, err = c.Cancel(t.Context(), out.ID)
	require.NoError(t, err)
	require.Equal(t, ReasonCancelled, got.Reason)
	for range 2 {
		got, err = c.Do(t.Context(), Request{Team: "t", Service: "s", DeadlineMS: 1000})
		require.NoError(t, err)
		require.Equal(t, ReasonHomeUnreachable, got.Reason)
	}
	require.Equal(t, int32(2), homeCalls.Load())
	_, err = c.Do(t.Context(), Request{Team: "t", DeadlineMS: -1})
	require.ErrorAs(t, err, new(ValidationError))
	_, err = c.Status(t.Context(), "x")
	require.ErrorIs(t, err, ErrIDForm)
}
