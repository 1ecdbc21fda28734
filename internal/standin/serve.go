package standin

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/platform/httphosts"
	"github.com/laburnumpass/laburnumpass/internal/platform/httplog"
	"github.com/laburnumpass/laburnumpass/internal/worker"
	"github.com/laburnumpass/laburnumpass/internal/worker/httpworker"
)

const (
	// serverIdleTime exceeds the clients' idle time of 5 s, so that a client
	// never writes to a connection that the server is closing.
	serverIdleTime = 60 * time.Second
	// maxRequestBytes exceeds the 8 MiB that the clients send at most.
	maxRequestBytes = 16 << 20
)

// Server serves a stand-in over HTTP.
type Server struct {
	listener *countingListener
	cancel   context.CancelFunc
	stopped  chan struct{}
}

// Address returns the server's IP address and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the port and all connections. Calls in progress get no reply.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.cancel()
	s.listener.closeConnections()
	<-s.stopped
	return errors.WithStack(err)
}

// ServeLog serves a log at address; "127.0.0.1:0" picks a free loopback port.
// Like the other Serve functions it returns an error if it can't listen there.
func ServeLog(l *Log, address string) (*Server, error) {
	return serve(address, nil, map[string]handler{
		httplog.PathAppend: jsonHandler(func(ctx context.Context, req httplog.AppendRequest) (httplog.AppendReply, error) {
			offset, err := l.Append(ctx, req.Data)
			return httplog.AppendReply{Offset: offset}, err
		}),
		httplog.PathRead: jsonHandler(func(ctx context.Context, req httplog.ReadRequest) (platform.ReadReply, error) {
			return l.Read(ctx, req.From, req.Limit)
		}),
	})
}

// ServeHostList serves a host list at address; "127.0.0.1:0" picks a free
// loopback port.
func ServeHostList(h *HostList, address string) (*Server, error) {
	return serve(address, nil, map[string]handler{
		httphosts.PathList: jsonHandler(h.Changes),
	})
}

// ServeWorker serves a worker at address; "127.0.0.1:0" picks a free loopback
// port. It counts the open connections in the worker's journal, cuts them off when
// the worker restarts, and sets the address in the worker's Info.
func ServeWorker(w *Worker, address string) (*Server, error) {
	s, err := serve(address, w.journal, map[string]handler{
		httpworker.PathHold:  jsonHandler(w.Hold),
		httpworker.PathRenew: jsonHandler(w.Renew),
		httpworker.PathRelease: jsonHandler(func(ctx context.Context, req worker.ReleaseRequest) (struct{}, error) {
			return struct{}{}, w.Release(ctx, req)
		}),
		httpworker.PathStart:  jsonHandler(w.Start),
		httpworker.PathStatus: jsonHandler(w.Status),
		httpworker.PathStop: jsonHandler(func(ctx context.Context, req httpworker.TaskRequest) (httpworker.StopReply, error) {
			state, err := w.Stop(ctx, req.Task)
			return httpworker.StopReply{State: state}, err
		}),
		httpworker.PathCheckpoint: jsonHandler(func(ctx context.Context, req httpworker.TaskRequest) (struct{}, error) {
			return struct{}{}, w.Checkpoint(ctx, req.Task)
		}),
		httpworker.PathThrottle: jsonHandler(func(ctx context.Context, req httpworker.TaskRequest) (struct{}, error) {
			return struct{}{}, w.Throttle(ctx, req.Task, req.Limit)
		}),
		httpworker.PathUsage: jsonHandler(func(ctx context.Context, _ struct{}) (worker.Usage, error) {
			return w.Usage(ctx)
		}),
	})
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info.Address = s.Address()
	w.disconnect = func(now time.Time) {
		s.listener.cutOffConnections(func(request []byte) { w.recordCutOff(now, request) })
	}
	return s, nil
}

// handler answers an HTTP request. Its context ends when the server closes.
type handler func(ctx context.Context, rc *fasthttp.RequestCtx)

// jsonHandler returns a handler that decodes the request as JSON, calls f and
// encodes its reply. The context of f also ends when the peer closes the
// connection. If f returns platform.ErrNoReply or worker.ErrNoReply, the
// connection is closed without a reply.
func jsonHandler[Req, Reply any](f func(context.Context, Req) (Reply, error)) handler {
	return func(ctx context.Context, rc *fasthttp.RequestCtx) {
		var req Req
		if err := json.Unmarshal(rc.PostBody(), &req); err != nil {
			rc.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		if conn, ok := rc.Conn().(*countedConn); ok {
			defer conn.notifyOnClose(cancel)()
		}
		reply, err := f(ctx, req)
		if errors.Is(err, worker.ErrNoReply) || errors.Is(err, platform.ErrNoReply) {
			rc.HijackSetNoResponse(true)
			rc.Hijack(func(net.Conn) {})
			return
		}
		status, body := fasthttp.StatusOK, any(reply)
		if err != nil {
			status, body = errorReply(err)
		}
		text, err := json.Marshal(body)
		if err != nil {
			rc.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		rc.SetStatusCode(status)
		rc.SetContentType("application/json")
		rc.Response.SetBodyRaw(text)
	}
}

// errorReply returns the HTTP status and body for err.
func errorReply(err error) (int, any) {
	var truncated *platform.TruncatedError
	var held *worker.HeldError
	message := err.Error()
	switch {
	case errors.As(err, &truncated):
		return fasthttp.StatusGone, httplog.ErrorBody{Code: httplog.CodeTruncated, Message: message, First: truncated.First}
	case errors.Is(err, platform.ErrUnavailable):
		return fasthttp.StatusServiceUnavailable, httplog.ErrorBody{Code: httplog.CodeUnavailable, Message: message}
	case errors.As(err, &held):
		return fasthttp.StatusConflict, httpworker.ErrorBody{
			Code: httpworker.CodeHeld, Message: message, Holder: held.Holder, RemainingNS: int64(held.Remaining),
		}
	}
	for _, mapping := range []struct {
		err  error
		code string
	}{
		{worker.ErrNotDelivered, httpworker.CodeNotDelivered},
		{worker.ErrStaleEpoch, httpworker.CodeStaleEpoch},
		{worker.ErrFenced, httpworker.CodeFenced},
		{worker.ErrDuplicateTask, httpworker.CodeDuplicateTask},
	} {
		if errors.Is(err, mapping.err) {
			return fasthttp.StatusConflict, httpworker.ErrorBody{Code: mapping.code, Message: message}
		}
	}
	return fasthttp.StatusInternalServerError, httpworker.ErrorBody{Message: message}
}

func serve(address string, journal *Journal, handlers map[string]handler) (*Server, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections to the stand-in")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		listener: newCountingListener(inner, journal),
		cancel:   cancel,
		stopped:  make(chan struct{}),
	}
	server := &fasthttp.Server{
		Handler: func(rc *fasthttp.RequestCtx) {
			h, ok := handlers[string(rc.Path())]
			if !ok || !rc.IsPost() {
				rc.Error("no such call", fasthttp.StatusNotFound)
				return
			}
			h(ctx, rc)
		},
		IdleTimeout:           serverIdleTime,
		MaxRequestBodySize:    maxRequestBytes,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	go func() {
		defer close(s.stopped)
		// Serve returns when the listener is closed.
		_ = server.Serve(s.listener)
	}()
	return s, nil
}

// discardLogger discards the server's messages about connections that tests
// break on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
