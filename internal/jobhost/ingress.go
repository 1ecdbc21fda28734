package jobhost

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
	"github.com/laburnumpass/laburnumpass/platform"
)

const (
	// headerDeadline is how long the caller waits for an answer, in milliseconds.
	headerDeadline = platform.HeaderDeadline
	// defaultDeadline is used for callers that name none and queues without a
	// timeout; it is that of today's callers.
	defaultDeadline = 3 * time.Second
	// takeoverWait is how long a call waits for a new scheduler: one takes over
	// within 1.9 s of silence and 0.4 s.
	takeoverWait = 2500 * time.Millisecond
	// retryAfterSeconds is when a refused caller should come back: by then
	// another scheduler has taken over.
	retryAfterSeconds = 1
)

// serveCaller answers one request of a caller.
func (h *Host) serveCaller(c *fasthttp.RequestCtx) {
	if h.draining.Load() {
		c.SetConnectionClose()
	}
	current, _ := h.config.get()
	if current == nil {
		h.refuse(c, "", "no_configuration")
		return
	}
	path := string(c.Path())
	queue := current.Match(string(c.Host()), path)
	if queue == nil {
		c.SetStatusCode(fasthttp.StatusNotFound)
		h.count("requests.unknown_queue")
		return
	}
	id := path[len(queue.PathPrefix):]
	ctx, cancel := context.WithTimeout(context.Background(), waitTime(c, queue))
	defer cancel()
	begin := time.Now()
	switch method := string(c.Method()); {
	case id == "" && method == fasthttp.MethodGet:
		h.servePending(ctx, c, queue)
	case !validID(id):
		c.SetStatusCode(fasthttp.StatusNotFound)
	case method == fasthttp.MethodPost:
		h.serveSubmit(ctx, c, current, queue, id)
	case method == fasthttp.MethodGet:
		h.serveState(ctx, c, current, queue, id)
	case method == fasthttp.MethodDelete:
		h.serveCancel(ctx, c, current, queue, id)
	default:
		c.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
	h.observe("requests.duration", time.Since(begin))
}

// waitTime returns how long a call for the caller may take.
func waitTime(c *fasthttp.RequestCtx, queue *cell.Queue) time.Duration {
	wait := defaultDeadline
	if queue.Timeout > 0 {
		wait = min(wait, queue.Timeout)
	}
	if ms, err := strconv.Atoi(string(c.Request.Header.Peek(headerDeadline))); err == nil && ms > 0 {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	return min(max(wait-callMargin, callMargin), takeoverWait)
}

func validID(id string) bool {
	if len(id) != api.JobIDDigits {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// refuse tells the caller that the request has had no effect and when to come
// back.
func (h *Host) refuse(c *fasthttp.RequestCtx, id, reason string) {
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
	h.count("requests.refused." + reason)
	h.log.Info("refused", "job", id, "method", string(c.Method()), "reason", reason)
	h.event(timeline.Event{Kind: "refused", Request: id, Detail: reason})
}

// unknown tells the caller that the request may have had its effect.
func (h *Host) unknown(c *fasthttp.RequestCtx, id string, err error) {
	c.SetStatusCode(fasthttp.StatusGatewayTimeout)
	h.count("requests.outcome_unknown")
	h.log.Info("outcome unknown", "job", id, "method", string(c.Method()), "error", err.Error())
	h.event(timeline.Event{Kind: "outcome_unknown", Request: id, Detail: err.Error()})
}

func (h *Host) serveSubmit(ctx context.Context, c *fasthttp.RequestCtx, current *cell.Configuration, queue *cell.Queue, id string) {
	job, err := platform.DecodeJob(c.PostBody())
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		c.SetBodyString(err.Error())
		h.count("requests.invalid")
		h.log.Info("invalid job", "job", id, "error", err.Error())
		return
	}
	encoded, err := json.Marshal(job)
	if err != nil {
		h.refuse(c, id, "not_encodable")
		return
	}
	maybe, err := h.call(ctx, queue.Service, func(ctx context.Context, s jobsrpc.Jobs) error {
		reply, err := s.Submit(ctx, &jobsrpc.SubmitRequest{Service: queue.Service, Queue: queue.Name, Id: id, Job: encoded, ConfigVersion: current.Version})
		if err == nil {
			h.config.atLeast(ctx, reply.ConfigVersion)
		}
		return err
	})
	switch {
	case err == nil:
		c.SetStatusCode(fasthttp.StatusOK)
	case maybe:
		h.unknown(c, id, err)
	default:
		h.answerError(c, id, err)
	}
}

// answerError answers a call that has had no effect.
func (h *Host) answerError(c *fasthttp.RequestCtx, id string, err error) {
	var coded twirp.Error
	errors.As(err, &coded)
	switch {
	case coded != nil && coded.Code() == twirp.NotFound:
		c.SetStatusCode(fasthttp.StatusNotFound)
	case coded != nil && coded.Code() == twirp.ResourceExhausted:
		h.refuse(c, id, "store_away")
	default:
		h.log.V(1).Info("no scheduler", "job", id, "error", err.Error())
		h.refuse(c, id, "no_scheduler")
	}
}

func (h *Host) serveState(ctx context.Context, c *fasthttp.RequestCtx, current *cell.Configuration, queue *cell.Queue, id string) {
	var reply *jobsrpc.StateReply
	_, err := h.call(ctx, queue.Service, func(ctx context.Context, s jobsrpc.Jobs) (err error) {
		reply, err = s.State(ctx, &jobsrpc.JobRequest{Service: queue.Service, Id: id, ConfigVersion: current.Version})
		return err
	})
	switch {
	case err != nil:
		h.answerError(c, id, err)
	case !reply.Known:
		h.log.Info("unknown job", "job", id)
		c.SetStatusCode(fasthttp.StatusGone)
	default:
		c.SetContentType("application/json")
		c.SetBody(platform.EncodeState(api.JobState(reply.State)))
	}
}

func (h *Host) serveCancel(ctx context.Context, c *fasthttp.RequestCtx, current *cell.Configuration, queue *cell.Queue, id string) {
	var reply *jobsrpc.StateReply
	maybe, err := h.call(ctx, queue.Service, func(ctx context.Context, s jobsrpc.Jobs) (err error) {
		reply, err = s.Cancel(ctx, &jobsrpc.JobRequest{Service: queue.Service, Id: id, ConfigVersion: current.Version})
		return err
	})
	switch {
	case err != nil && maybe:
		h.unknown(c, id, err)
	case err != nil:
		h.answerError(c, id, err)
	case !reply.Known:
		c.SetStatusCode(fasthttp.StatusGone)
	default:
		c.SetStatusCode(fasthttp.StatusOK)
	}
}

func (h *Host) servePending(ctx context.Context, c *fasthttp.RequestCtx, queue *cell.Queue) {
	var reply *jobsrpc.PendingReply
	_, err := h.call(ctx, queue.Service, func(ctx context.Context, s jobsrpc.Jobs) (err error) {
		reply, err = s.Pending(ctx, &jobsrpc.PendingRequest{Service: queue.Service, Queue: queue.Name})
		return err
	})
	if err != nil {
		h.answerError(c, "", err)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(platform.EncodePending(int(reply.Count)))
}
