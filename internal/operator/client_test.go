package operator

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

// serveHost runs a fake entry host and returns the address of its listener.
func serveHost(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: handler, Logger: discardLogger{}, MaxRequestBodySize: 1 << 20}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return l.Addr().String()
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func newClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	c, err := New(Options{Addresses: addresses, Token: "secret-secret-secret"})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func replyWith(status int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}
}

// dropConnection closes the connection without a reply.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// TestCallTriesAddresses guards against stopping at the first host that is down
// or not ready, and against trying another host after a host has rejected the
// call.
func TestCallTriesAddresses(t *testing.T) {
	good := replyWith(200, `[{"name":"h"}]`)
	for name, c := range map[string]struct {
		hosts []fasthttp.RequestHandler
		check func(t *testing.T, err error)
	}{
		"second answers":    {[]fasthttp.RequestHandler{dropConnection, good}, func(t *testing.T, err error) { require.NoError(t, err) }},
		"first isn't ready": {[]fasthttp.RequestHandler{replyWith(503, `{}`), good}, func(t *testing.T, err error) { require.NoError(t, err) }},
		"none answers": {[]fasthttp.RequestHandler{dropConnection, dropConnection}, func(t *testing.T, err error) {
			var e *UnreachableError
			require.ErrorAs(t, err, &e)
			require.Len(t, e.Causes, 2)
		}},
		"none is ready": {[]fasthttp.RequestHandler{dropConnection, replyWith(503, `{"error":"joining"}`)}, func(t *testing.T, err error) {
			var e *StatusError
			require.ErrorAs(t, err, &e)
			require.Equal(t, "joining", e.Message)
		}},
		"wrong token": {[]fasthttp.RequestHandler{replyWith(401, `{}`), good}, func(t *testing.T, err error) {
			require.ErrorIs(t, err, ErrUnauthorized)
		}},
		"refused": {[]fasthttp.RequestHandler{replyWith(400, strings.Repeat("x", 9999)), good}, func(t *testing.T, err error) {
			var e *StatusError
			require.ErrorAs(t, err, &e)
			require.Len(t, e.Message, maxMessageBytes)
		}},
		"not JSON": {[]fasthttp.RequestHandler{replyWith(200, `<html>`)}, func(t *testing.T, err error) {
			require.ErrorContains(t, err, "decode reply of")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var addresses []string
			for _, h := range c.hosts {
				addresses = append(addresses, serveHost(t, h))
			}
			hosts, err := newClient(t, addresses...).Hosts(t.Context())
			c.check(t, err)
			if err == nil {
				require.Equal(t, []HostStatus{{Name: "h"}}, hosts)
			}
		})
	}
}

// TestNewRejectsInvalidAddresses guards against host names, which would need a DNS
// lookup, and against a missing port.
func TestNewRejectsInvalidAddresses(t *testing.T) {
	for _, addresses := range [][]string{nil, {"localhost:1"}, {"127.0.0.1"}} {
		_, err := New(Options{Addresses: addresses})
		require.Error(t, err, "%v", addresses)
	}
}

// TestPublishIsRepeatedWithSameID guards against publishing a change twice when
// the reply to the first call is lost, and against calls without the token.
func TestPublishIsRepeatedWithSameID(t *testing.T) {
	var mu sync.Mutex
	var ids []string
	handler := func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, "Bearer secret-secret-secret", string(ctx.Request.Header.Peek("Authorization")))
		var r contract.Record
		assert.NoError(t, json.Unmarshal(ctx.PostBody(), &r))
		ids = append(ids, r.PublishID)
		if len(ids) == 1 {
			dropConnection(ctx)
			return
		}
		ctx.SetBodyString(`{"status":"accepted","offset":7}`)
	}
	c := newClient(t, serveHost(t, handler), serveHost(t, handler))
	_, err := c.Publish(t.Context(), contract.Record{})
	require.Error(t, err, "without a publish ID")
	report, err := c.Publish(t.Context(), contract.Record{PublishID: "p1"})
	require.NoError(t, err)
	require.Equal(t, uint64(7), report.Offset)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, []string{"p1", "p1"}, ids)
}

// TestCallEndsWithContext guards against a call that goes on after its context
// is cancelled.
func TestCallEndsWithContext(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	address := serveHost(t, func(*fasthttp.RequestCtx) { close(received); <-release })
	t.Cleanup(func() { close(release) })
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-received; cancel() }()
	_, err := newClient(t, address).Config(ctx)
	require.ErrorIs(t, err, context.Canceled)
}

// TestTimelinePages guards against events that are lost or duplicated if one host
// reaches its limit in a page and another does not.
func TestTimelinePages(t *testing.T) {
	var busy, quiet []timeline.Event
	for i := range uint64(11) {
		busy = append(busy, timeline.Event{Clock: i + 1, Host: "busy"})
	}
	quiet = append(quiet, timeline.Event{Clock: 2, Host: "quiet"}, timeline.Event{Clock: 100, Host: "quiet"})
	var calls atomic.Int32
	address := serveHost(t, func(ctx *fasthttp.RequestCtx) {
		calls.Add(1)
		after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		assert.NoError(t, err)
		assert.Equal(t, "r", string(ctx.QueryArgs().Peek("request")))
		page := Timeline{Missing: []string{"gone"}, Dropped: map[string]uint64{"busy": 3}}
		for _, events := range [][]timeline.Event{busy, quiet} {
			n := 0
			for _, e := range events {
				if e.Clock > after && n < 4 {
					page.Events = append(page.Events, e)
					n++
				}
			}
		}
		page.Events = timeline.Merge(page.Events)
		data, err := json.Marshal(page)
		assert.NoError(t, err)
		ctx.SetBody(data)
	})
	got, err := newClient(t, address).Timeline(t.Context(), TimelineQuery{Request: "r", Limit: 4})
	require.NoError(t, err)
	require.Equal(t, timeline.Merge(busy, quiet), got.Events)
	require.Equal(t, []string{"gone"}, got.Missing)
	require.Equal(t, map[string]uint64{"busy": 3}, got.Dropped)
	require.Equal(t, int32(3), calls.Load())
}

// TestMetrics guards against a truncated page or one that is not a metrics page
// being treated as a page that lacks the requested metrics.
func TestMetrics(t *testing.T) {
	for name, test := range map[string]struct {
		page string
		want map[string]float64
	}{
		"samples":   {"laburnumpass_ready 1\nlaburnumpass_q{service=\"a b\"} 2.5\n", map[string]float64{"ready": 1, `q{service="a b"}`: 2.5}},
		"truncated": {"laburnumpass_ready", nil},
		"no page":   {"<html> </html>", nil},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := newClient(t, serveHost(t, replyWith(200, test.page))).Metrics(t.Context())
			require.Equal(t, test.want, got)
			require.Equal(t, test.want == nil, err != nil)
		})
	}
}
