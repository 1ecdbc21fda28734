package jobhost

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
	"github.com/laburnumpass/laburnumpass/platform"
)

const (
	// headerDeadline is the request header with the time that the caller waits for the
	// reply, in milliseconds.
	headerDeadline = platform.HeaderDeadline
	// defaultCallerTimeout applies if neither the caller nor the queue specifies a
	// shorter timeout. It equals the timeout of the current callers.
	defaultCallerTimeout = 3 * time.Second
	// takeoverWait is how long a call waits for a new scheduler at most: a silent
	// scheduler is replaced after 1.9 s, and its successor takes over within another
	// 0.4 s.
	takeoverWait = 2500 * time.Millisecond
	// retryAfterSeconds is when a refused caller should retry. A takeover takes up to
	// 2.3 s, most of which a call that is refused for lack of a scheduler has already
	// waited. Refusals for other reasons use the same value.
	retryAfterSeconds = 1
)

// serveCaller serves one request of a caller.
func (h *Host) serveCaller(c *fasthttp.RequestCtx) {
	h.openRequests.Add(1)
	defer h.openRequests.Add(-1)
	if h.draining.Load() {
		c.SetConnectionClose()
	}
	config, _ := h.config.get()
	if config == nil {
		h.refuse(c, "", "no_configuration")
		return
	}
	path := string(c.Path())
	queue := config.Match(string(c.Host()), path)
	if queue == nil {
		c.SetStatusCode(fasthttp.StatusNotFound)
		h.count("requests.unknown_queue")
		h.log.Info("unknown queue", "method", string(c.Method()), "path", path, "config_version", config.Version, "config_age_ms", h.config.age().Milliseconds(), "store_silent_ms", h.store.SinceLastReply().Milliseconds())
		return
	}
	caller, ok := identify(c, config, queue)
	if !ok {
		c.SetStatusCode(fasthttp.StatusUnauthorized)
		h.count("requests.unauthorized")
		h.log.Info("unauthorized", "method", string(c.Method()), "queue", queue.Name, "config_version", config.Version)
		return
	}
	id := path[len(queue.PathPrefix):]
	ctx, cancel := context.WithTimeout(h.callerCalls, callTimeout(c, queue))
	defer cancel()
	begin := time.Now()
	switch method := string(c.Method()); {
	case (id != "" || method != fasthttp.MethodGet) && !validID(id):
		c.SetStatusCode(fasthttp.StatusNotFound)
	case caller.team != "" && h.keysOverdue():
		h.refuse(c, id, "keys_overdue")
	case id == "":
		h.servePending(ctx, c, queue)
	case method == fasthttp.MethodPost:
		h.serveSubmit(ctx, c, config, queue, caller, id)
	case method == fasthttp.MethodGet:
		h.serveState(ctx, c, config, queue, caller, id)
	case method == fasthttp.MethodDelete:
		h.serveCancel(ctx, c, config, queue, caller, id)
	default:
		c.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
	h.observeDuration("requests.duration", time.Since(begin))
}

// callTimeout returns how long the call to the scheduler may take for a request: the
// shortest timeout of the caller, the queue and the default, less replyMargin. The
// result is at least replyMargin and at most takeoverWait.
func callTimeout(c *fasthttp.RequestCtx, queue *cell.Queue) time.Duration {
	wait := defaultCallerTimeout
	if queue.Timeout > 0 {
		wait = min(wait, queue.Timeout)
	}
	if ms, err := strconv.Atoi(string(c.Request.Header.Peek(headerDeadline))); err == nil && ms > 0 {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	return min(max(wait-replyMargin, replyMargin), takeoverWait)
}

// validID reports whether id has the form of a job ID, a fixed number of
// hexadecimal digits.
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

// refuse tells the caller that the request had no effect and when to retry.
func (h *Host) refuse(c *fasthttp.RequestCtx, id, reason string) {
	h.refuseWith(c, id, reason, fasthttp.StatusServiceUnavailable, retryAfterSeconds)
}

// refuseWith is refuse with a status and the time until a retry.
func (h *Host) refuseWith(c *fasthttp.RequestCtx, id, reason string, status, retrySeconds int) {
	c.SetStatusCode(status)
	c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retrySeconds))
	h.count("requests.refused." + reason)
	h.log.Info("refused", "job", id, "method", string(c.Method()), "reason", reason)
	h.recordEvent(timeline.Event{Kind: "refused", Request: id, Detail: reason})
}

// replyOutcomeUnknown tells the caller that the request may have taken effect.
func (h *Host) replyOutcomeUnknown(c *fasthttp.RequestCtx, id string, err error) {
	c.SetStatusCode(fasthttp.StatusGatewayTimeout)
	h.count("requests.outcome_unknown")
	h.log.Info("outcome unknown", "job", id, "method", string(c.Method()), "error", err.Error())
	h.recordEvent(timeline.Event{Kind: "outcome_unknown", Request: id, Detail: err.Error()})
}

func (h *Host) serveSubmit(ctx context.Context, c *fasthttp.RequestCtx, config *cell.Configuration, queue *cell.Queue, caller identity, id string) {
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
	maybeExecuted, err := h.callForJob(ctx, queue.Service, id, func(ctx context.Context, shard string, s jobsrpc.Jobs) error {
		reply, err := s.Submit(ctx, &jobsrpc.SubmitRequest{Shard: shard, Queue: queue.Name, Id: id, Job: encoded, ConfigVersion: config.Version, Team: caller.team})
		if err == nil {
			h.catchUp(ctx, reply.ConfigVersion, "")
		}
		return err
	})
	switch {
	case err == nil:
		c.SetStatusCode(fasthttp.StatusOK)
	case maybeExecuted:
		h.replyOutcomeUnknown(c, id, err)
	default:
		h.replyError(c, id, err)
	}
}

// replyError replies to a request whose call to the scheduler failed without effect.
func (h *Host) replyError(c *fasthttp.RequestCtx, id string, err error) {
	var coded twirp.Error
	errors.As(err, &coded)
	switch {
	case coded != nil && coded.Code() == twirp.NotFound:
		c.SetStatusCode(fasthttp.StatusNotFound)
	case coded != nil && coded.Code() == twirp.InvalidArgument:
		c.SetStatusCode(fasthttp.StatusBadRequest)
		c.SetBodyString(coded.Msg())
		h.count("requests.invalid")
		h.log.Info("invalid job", "job", id, "error", coded.Msg())
	case coded != nil && coded.Code() == twirp.ResourceExhausted && coded.Meta(metaRetryAfterMS) != "":
		// The header has whole seconds; they are rounded up so that no caller comes back
		// earlier than the scheduler asked for.
		ms, _ := strconv.Atoi(coded.Meta(metaRetryAfterMS))
		h.refuseWith(c, id, "team_overloaded", fasthttp.StatusTooManyRequests, max((ms+999)/1000, 1))
	case coded != nil && coded.Code() == twirp.ResourceExhausted:
		h.refuse(c, id, "store_away")
	default:
		h.log.V(1).Info("no scheduler accepted the call", "job", id, "error", err.Error())
		h.refuse(c, id, "no_scheduler")
	}
}

func (h *Host) serveState(ctx context.Context, c *fasthttp.RequestCtx, config *cell.Configuration, queue *cell.Queue, caller identity, id string) {
	var reply *jobsrpc.StateReply
	_, err := h.callForJob(ctx, queue.Service, id, func(ctx context.Context, shard string, s jobsrpc.Jobs) (err error) {
		reply, err = s.State(ctx, &jobsrpc.JobRequest{Shard: shard, Id: id, ConfigVersion: config.Version, Team: caller.team, CheckTeam: caller.checkTeam})
		return err
	})
	switch {
	case err != nil:
		h.replyError(c, id, err)
	case !reply.Known:
		h.log.Info("unknown job", "job", id)
		c.SetStatusCode(fasthttp.StatusGone)
	default:
		c.SetContentType("application/json")
		c.SetBody(platform.EncodeState(api.JobState(reply.State)))
	}
}

func (h *Host) serveCancel(ctx context.Context, c *fasthttp.RequestCtx, config *cell.Configuration, queue *cell.Queue, caller identity, id string) {
	var reply *jobsrpc.StateReply
	maybeExecuted, err := h.callForJob(ctx, queue.Service, id, func(ctx context.Context, shard string, s jobsrpc.Jobs) (err error) {
		reply, err = s.Cancel(ctx, &jobsrpc.JobRequest{Shard: shard, Id: id, ConfigVersion: config.Version, Team: caller.team, CheckTeam: caller.checkTeam})
		return err
	})
	switch {
	case err != nil && maybeExecuted:
		h.replyOutcomeUnknown(c, id, err)
	case err != nil:
		h.replyError(c, id, err)
	case !reply.Known:
		c.SetStatusCode(fasthttp.StatusGone)
	default:
		c.SetStatusCode(fasthttp.StatusOK)
	}
}

// servePending replies with the sum over the shards of the queue's service.
func (h *Host) servePending(ctx context.Context, c *fasthttp.RequestCtx, queue *cell.Queue) {
	shards := h.shards.all(queue.Service)
	if shards == nil {
		h.refuse(c, "", "no_scheduler")
		return
	}
	var total atomic.Int64
	var calls errgroup.Group
	for _, sh := range shards {
		name := sh.String()
		calls.Go(func() error {
			_, err := h.call(ctx, name, func(ctx context.Context, s jobsrpc.Jobs) error {
				reply, err := s.Pending(ctx, &jobsrpc.PendingRequest{Shard: name, Queue: queue.Name})
				if err == nil {
					total.Add(reply.Count)
				}
				return err
			})
			return err
		})
	}
	if err := calls.Wait(); err != nil {
		h.replyError(c, "", err)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(platform.EncodePending(int(total.Load())))
}
