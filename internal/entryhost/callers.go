package entryhost

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Limits of the callers' listener.
const (
	// maxRequestBytes fits the largest body, 1 MiB, in base64 together with the
	// other fields of a request.
	maxRequestBytes = 1500 << 10
	// callerReadTimeout is the time within which a request must have arrived, so
	// that slow senders do not occupy connections.
	callerReadTimeout = 10 * time.Second
	// callerIdleTimeout is how long a connection stays open without a request.
	callerIdleTimeout = 60 * time.Second
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 8 << 10
	// callerStatusTimeout is the timeout of a caller's status or cancel call.
	callerStatusTimeout = 2 * time.Second
	// keeperOutcomeTimeout is how long the record keeper waits for an outcome in
	// such a call. It then replies with the current state, for which the rest of
	// callerStatusTimeout is left: without a reply in time, the entry host that
	// asks would take the keeper for unreachable.
	keeperOutcomeTimeout = callerStatusTimeout - 250*time.Millisecond
)

const requestsPath = "/v1/requests"

// newCallersServer returns the server for the callers' API and the load
// balancer's health checks.
func (h *Host) newCallersServer() *fasthttp.Server {
	s := h.newServer("callers", h.serveCallerOrAbort)
	s.ErrorHandler = h.handleUnreadableRequest
	s.Concurrency = h.settings.Limits.CallerConnections
	s.MaxRequestBodySize = maxRequestBytes
	return s
}

// newServer returns a server with the settings that the listeners for callers and
// operators share.
func (h *Host) newServer(listener string, handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Name:                  "laburnumpass",
		Handler:               handler,
		ErrorHandler:          writeServerError,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           callerReadTimeout,
		IdleTimeout:           callerIdleTimeout,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		SecureErrorLogMessage: true,
		Logger:                connectionErrorCounter{h.telemetry, listener + ".connection_errors"},
	}
}

// connectionErrorCounter is a fasthttp.Logger that counts fasthttp's messages about
// broken connections instead of logging them: a surge of callers would fill the
// log.
type connectionErrorCounter struct {
	telemetry *telemetry
	metric    string
}

// Printf implements fasthttp.Logger.
func (e connectionErrorCounter) Printf(string, ...any) { e.telemetry.count(e.metric) }

// handleUnreadableRequest counts a caller's request that the server could not read
// and replies to it.
func (h *Host) handleUnreadableRequest(ctx *fasthttp.RequestCtx, err error) {
	h.telemetry.count("callers.unreadable")
	writeServerError(ctx, err)
}

// serveCallerOrAbort serves a call. If the call ends after the host's lifetime, its
// connection is closed without a reply, as if the process had died: the end of the
// lifetime cancels the runs in progress, so a reply could wrongly report a queued
// request as cancelled or the outcome of a running one as unknown.
func (h *Host) serveCallerOrAbort(ctx *fasthttp.RequestCtx) {
	h.serveCaller(ctx)
	if h.draining.Load() {
		// At the end of the drain idle connections are closed, and a request that
		// is sent on one at that moment is lost.
		ctx.SetConnectionClose()
	}
	if h.lifetime.Err() != nil {
		_ = ctx.Conn().Close()
	}
}

func (h *Host) serveCaller(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == requestsPath && ctx.IsPost():
		h.serveSubmit(ctx)
	case strings.HasPrefix(path, requestsPath+"/"):
		h.serveStatusOrCancel(ctx, strings.TrimPrefix(path, requestsPath+"/"))
	case path == "/v1/home" && ctx.IsGet():
		writeJSON(ctx, fasthttp.StatusOK, api.Home{FailureDomain: h.self.FailureDomain})
	case path == "/healthz":
		ctx.SetStatusCode(fasthttp.StatusOK)
	case path == "/readyz":
		h.serveReady(ctx)
	default:
		writeJSON(ctx, fasthttp.StatusNotFound, errorBody{Error: "no such resource: " + path})
	}
}

type errorBody struct {
	Error string `json:"error"`
}

// serveReady is the readiness check of the load balancer.
func (h *Host) serveReady(ctx *fasthttp.RequestCtx) {
	if problem := h.notReadyReason(); problem != "" {
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, errorBody{Error: problem})
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

func (h *Host) serveSubmit(ctx *fasthttp.RequestCtx) {
	var req api.Request
	if err := decodeStrict(ctx.PostBody(), &req); err != nil {
		h.refuse(ctx, "", api.ReasonInvalid, err.Error())
		return
	}
	if err := req.Validate(); err != nil {
		h.refuse(ctx, req.ID, api.ReasonInvalid, err.Error())
		return
	}
	if !h.admit() {
		h.refuse(ctx, req.ID, api.ReasonNotReady, "the entry host does not take requests now")
		return
	}
	defer h.finishRequest()
	start := time.Now()
	submission := toSubmitRequest(&req)
	submission.ReceivedBy, submission.ReceivedUnixMs = h.self.Name, start.UnixMilli()
	submission.ExpiresUnixMs = start.UnixMilli() + int64(req.DeadlineMS)
	reply := h.router.submit(context.Background(), submission)
	h.telemetry.recordOutcome(reply, time.Since(start))
	writeResponse(ctx, toAPIResponse(reply))
}

// refuse rejects a request without asking its record keeper. An earlier attempt
// with the same ID may have run, so only a malformed request, which no host
// would have run, is reported as "not run". In the other cases the outcome is
// unknown, and the client combines it with those of its other attempts.
func (h *Host) refuse(ctx *fasthttp.RequestCtx, id string, reason api.Reason, detail string) {
	h.telemetry.countRefusal(reason)
	resp := api.Response{ID: id, Outcome: api.NotRun, Reason: reason, Detail: detail}
	if reason == api.ReasonNotReady {
		resp.Outcome = api.Unknown
		resp.RetryAfterMS = int(routeRetryDelay / time.Millisecond)
	}
	writeResponse(ctx, resp)
}

// serveStatusOrCancel serves GET, which returns the state or outcome of a request, and
// DELETE, which cancels the request.
func (h *Host) serveStatusOrCancel(ctx *fasthttp.RequestCtx, id string) {
	if _, err := api.ParseID(id); err != nil {
		h.refuse(ctx, id, api.ReasonInvalid, err.Error())
		return
	}
	call, cancel := context.WithTimeout(context.Background(), callerStatusTimeout)
	defer cancel()
	switch {
	case ctx.IsGet():
		writeResponse(ctx, toAPIResponse(h.status(call, id)))
	case ctx.IsDelete():
		writeResponse(ctx, toAPIResponse(h.cancel(call, id)))
	default:
		writeJSON(ctx, fasthttp.StatusMethodNotAllowed, errorBody{Error: "allowed methods are GET and DELETE"})
	}
}

func (h *Host) status(ctx context.Context, id string) *rpc.SubmitReply {
	return h.router.callKeeper(ctx, id,
		func(ctx context.Context) *rpc.SubmitReply { return h.statusAsKeeper(ctx, id) },
		func(ctx context.Context, p rpc.Peer) (*rpc.SubmitReply, error) {
			return p.Resolve(ctx, &rpc.ResolveRequest{Id: id})
		})
}

// statusAsKeeper returns the outcome of a request of which this host is the record
// keeper.
func (h *Host) statusAsKeeper(ctx context.Context, id string) *rpc.SubmitReply {
	ctx, cancel := context.WithTimeout(ctx, keeperOutcomeTimeout)
	defer cancel()
	return h.hideRetriedRefusal(h.keeper.Resolve(ctx, id))
}

func (h *Host) cancel(ctx context.Context, id string) *rpc.SubmitReply {
	return h.router.callKeeper(ctx, id,
		func(ctx context.Context) *rpc.SubmitReply { return h.cancelAsKeeper(ctx, id) },
		func(ctx context.Context, p rpc.Peer) (*rpc.SubmitReply, error) {
			return p.Cancel(ctx, &rpc.CancelRequest{Id: id})
		})
}

// decodeStrict decodes a single JSON value. It rejects unknown keys and trailing
// data; the error lists every invalid field with its path.
func decodeStrict(data []byte, into any) error {
	fields := contract.DecodeStrict(data, into)
	if len(fields) == 0 {
		return nil
	}
	problems := make([]string, len(fields))
	for i, f := range fields {
		problems[i] = strings.TrimPrefix(f.Error(), ": ")
	}
	return errors.New("malformed body: " + strings.Join(problems, "; "))
}

// writeServerError replies to a request that fasthttp could not read.
func writeServerError(ctx *fasthttp.RequestCtx, err error) {
	code := fasthttp.StatusBadRequest
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &smallBuffer):
		code = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Response.Reset()
	writeJSON(ctx, code, errorBody{Error: err.Error()})
}

func toSubmitRequest(r *api.Request) *rpc.SubmitRequest {
	return &rpc.SubmitRequest{
		Id:           r.ID,
		Team:         r.Team,
		Service:      r.Service,
		Idempotent:   r.Idempotent,
		DeadlineMs:   uint32(r.DeadlineMS),
		MilliCpu:     r.Resources.MilliCPU,
		MemoryMib:    r.Resources.MemoryMiB,
		Accelerators: r.Resources.Accelerators,
		Members:      uint32(max(1, r.Members)),
		RunTimeMs:    uint32(r.RunTimeMS),
		Body:         r.Body,
		Detach:       r.Detach,
	}
}

func toAPIResponse(r *rpc.SubmitReply) api.Response {
	return api.Response{
		ID:           r.Id,
		Outcome:      api.Outcome(r.Outcome),
		Reason:       api.Reason(r.Reason),
		Detail:       r.Detail,
		RetryAfterMS: int(r.RetryAfterMs),
		Failed:       r.Failed,
		Body:         r.Body,
		Length:       int(r.BodyLength),
		Checksum:     r.Checksum,
		BodyDropped:  r.BodyDropped,
		State:        r.State,
		Worker:       r.Worker,
	}
}

// statusCode returns the HTTP status for a response: 200 for an answer, 4xx or 503
// for a request that did not run, 202 for an outcome that is not known yet, and
// 503 if it is unknown because this host is not ready.
func statusCode(r api.Response) int {
	switch r.Outcome {
	case api.Answered:
		return fasthttp.StatusOK
	case api.Unknown:
		if r.Reason == api.ReasonNotReady {
			return fasthttp.StatusServiceUnavailable
		}
		return fasthttp.StatusAccepted
	}
	switch r.Reason {
	case api.ReasonInvalid:
		return fasthttp.StatusBadRequest
	case api.ReasonNeverFits:
		return fasthttp.StatusUnprocessableEntity
	case api.ReasonQueueFull, api.ReasonQuota:
		return fasthttp.StatusTooManyRequests
	case api.ReasonCancelled:
		return fasthttp.StatusConflict
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func writeResponse(ctx *fasthttp.RequestCtx, r api.Response) {
	writeJSON(ctx, statusCode(r), r)
}

func writeJSON(ctx *fasthttp.RequestCtx, code int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error("encode reply: "+err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(code)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
