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

// Bounds of the callers' listener.
const (
	// maxRequestBytes holds the largest body, 1 MiB, in base64 with its fields.
	maxRequestBytes = 1500 << 10
	// callerReadTimeout bounds the time in which a request must arrive, so that
	// slow senders do not hold connections.
	callerReadTimeout = 10 * time.Second
	// callerIdleTimeout closes connections without requests.
	callerIdleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 8 << 10
	// callerStatusTimeout bounds status and cancel calls.
	callerStatusTimeout = 2 * time.Second
	// keeperOutcomeTimeout bounds the wait of the record keeper for an outcome in such a
	// call. What is left of callerStatusTimeout brings the present state to the entry
	// host that asks, which would otherwise take the keeper for unreachable.
	keeperOutcomeTimeout = callerStatusTimeout - 250*time.Millisecond
)

const requestsPath = "/v1/requests"

// newCallersServer returns the server of the callers' API and of the
// balancer's health checks.
func (h *Host) newCallersServer() *fasthttp.Server {
	s := h.newServer("callers", h.serveCallerUntilStopped)
	s.ErrorHandler = h.handleUnreadableRequest
	s.Concurrency = h.settings.Limits.CallerConnections
	s.MaxRequestBodySize = maxRequestBytes
	return s
}

// newServer returns a server with what the listeners for callers and operators
// have in common.
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

// connectionErrorCounter counts fasthttp's own messages about broken connections,
// with which a surge of callers would fill the log.
type connectionErrorCounter struct {
	telemetry *telemetry
	metric    string
}

// Printf implements fasthttp.Logger.
func (e connectionErrorCounter) Printf(string, ...any) { e.telemetry.count(e.metric) }

// handleUnreadableRequest replies to a request that the server could not read.
func (h *Host) handleUnreadableRequest(ctx *fasthttp.RequestCtx, err error) {
	h.telemetry.count("callers.unreadable")
	writeServerError(ctx, err)
}

// serveCallerUntilStopped breaks the connection of a call that was in progress when the
// host's life ended, as the death of the process would. The runs that ended with
// it would be taken for cancelled ones.
func (h *Host) serveCallerUntilStopped(ctx *fasthttp.RequestCtx) {
	h.serveCaller(ctx)
	if h.life.Err() != nil {
		_ = ctx.Conn().Close()
	}
}

func (h *Host) serveCaller(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == requestsPath && ctx.IsPost():
		h.serveSubmit(ctx)
	case strings.HasPrefix(path, requestsPath+"/"):
		h.serveRequest(ctx, strings.TrimPrefix(path, requestsPath+"/"))
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

func (h *Host) serveReady(ctx *fasthttp.RequestCtx) {
	if problem := h.notReady(); problem != "" {
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
	defer h.discharge()
	start := time.Now()
	submission := toSubmitRequest(&req)
	submission.ReceivedBy, submission.ReceivedUnixMs = h.self.Name, start.UnixMilli()
	submission.ExpiresUnixMs = start.UnixMilli() + int64(req.DeadlineMS)
	reply := h.router.submit(context.Background(), submission)
	h.telemetry.recordOutcome(reply, time.Since(start))
	writeResponse(ctx, toAPIResponse(reply))
}

// refuse replies without having asked the record keeper. An earlier attempt
// with the same ID may have run, so only a malformed request, which no host
// would have run, is "not run". For the rest the client adds up its attempts.
func (h *Host) refuse(ctx *fasthttp.RequestCtx, id string, reason api.Reason, detail string) {
	h.telemetry.countRefusal(reason)
	resp := api.Response{ID: id, Outcome: api.NotRun, Reason: reason, Detail: detail}
	if reason == api.ReasonNotReady {
		resp.Outcome = api.Unknown
		resp.RetryAfterMS = int(routeRetry / time.Millisecond)
	}
	writeResponse(ctx, resp)
}

func (h *Host) serveRequest(ctx *fasthttp.RequestCtx, id string) {
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
	return h.router.ask(ctx, id,
		func(ctx context.Context) *rpc.SubmitReply { return h.statusHere(ctx, id) },
		func(ctx context.Context, p rpc.Peer) (*rpc.SubmitReply, error) {
			return p.Resolve(ctx, &rpc.ResolveRequest{Id: id})
		})
}

// statusHere tells the outcome of a request as its record keeper.
func (h *Host) statusHere(ctx context.Context, id string) *rpc.SubmitReply {
	ctx, cancel := context.WithTimeout(ctx, keeperOutcomeTimeout)
	defer cancel()
	return h.stillStored(h.keeper.Resolve(ctx, id))
}

func (h *Host) cancel(ctx context.Context, id string) *rpc.SubmitReply {
	return h.router.ask(ctx, id,
		func(ctx context.Context) *rpc.SubmitReply { return h.cancelHere(ctx, id) },
		func(ctx context.Context, p rpc.Peer) (*rpc.SubmitReply, error) {
			return p.Cancel(ctx, &rpc.CancelRequest{Id: id})
		})
}

// decodeStrict reads one JSON value and rejects unknown keys and anything after
// it, with the path of each field.
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

// writeServerError replies to a request that the server could not read.
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

// statusCode maps outcomes to HTTP: an answer is 200, a true refusal 503 or
// 4xx, and an outcome that is not known yet 202.
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
