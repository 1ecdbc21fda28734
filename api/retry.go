package api

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// apiCall is one API call, including its retries.
type apiCall struct {
	method, path string
	// deadline is when the client stops retrying.
	deadline time.Time
	// request is sent as JSON with the remaining time as its deadline; nil sends
	// no body.
	request *Request
	// uncertain is set once an entry host may have acted on an attempt for which
	// no usable reply arrived.
	uncertain bool
}

// sendWithRetries sends the call a to one entry host after another until accept
// returns true for a reply and shouldRetry, unless it is nil, returns false. It
// reports whether the last reply was accepted. It stops at the deadline, at the
// end of ctx or when the retry budget is used up.
func (c *Client) sendWithRetries(ctx context.Context, a *apiCall, accept func([]byte) bool,
	shouldRetry func() (bool, time.Duration)) bool {
	c.budget.Request()
	backoff := c.options.MinBackoff
	accepted := false
	for {
		h := c.pickHost()
		body, err := c.send(ctx, h, a)
		var retryAfter time.Duration
		skipBudget := false
		switch {
		case err != nil:
			if ctx.Err() != nil {
				a.uncertain = true
				return accepted
			}
			// A failed dial adds no load to the system, so trying another host
			// takes nothing from the retry budget. The same holds for switching
			// away from a host that stopped responding.
			skipBudget = isDialError(err) || errors.Is(err, errUnresponsive)
			a.uncertain = a.uncertain || !isDialError(err)
			h.avoidUntil.Store(time.Now().Add(avoidDuration).UnixMilli())
		case !accept(body):
			// A reply that is damaged or belongs to another request doesn't tell
			// the outcome.
			accepted, a.uncertain = false, true
		default:
			accepted = true
			if shouldRetry == nil {
				return true
			}
			var retry bool
			if retry, retryAfter = shouldRetry(); !retry {
				return true
			}
			if retryAfter == 0 {
				// The host is not ready. Avoid it for a while, as a load balancer
				// does after a failed health check.
				h.avoidUntil.Store(time.Now().Add(avoidDuration).UnixMilli())
			}
		}
		// The delay is uniformly distributed around its mean, so that callers
		// whose requests failed at the same time do not retry at the same time.
		delay := retryAfter + time.Duration((0.5+rand.Float64())*float64(backoff))
		backoff = min(2*backoff, c.options.MaxBackoff)
		if time.Until(a.deadline) <= delay || !skipBudget && !c.budget.Retry() || !sleep(ctx, delay) {
			return accepted
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pickHost selects hosts round-robin, skipping those that recently failed or
// were not ready unless there is no other.
func (c *Client) pickHost() *host {
	now := time.Now().UnixMilli()
	start := int(c.next.Add(1) % uint32(len(c.hosts)))
	for i := range c.hosts {
		if h := c.hosts[(start+i)%len(c.hosts)]; h.avoidUntil.Load() <= now {
			return h
		}
	}
	return c.hosts[start]
}

// send makes one attempt at one entry host. fasthttp does not support contexts,
// so the attempt runs in a goroutine of its own; if ctx ends first, send returns
// and the goroutine runs on until its own deadline.
func (c *Client) send(ctx context.Context, h *host, a *apiCall) ([]byte, error) {
	remaining := time.Until(a.deadline)
	if remaining <= 0 {
		return nil, context.DeadlineExceeded
	}
	var payload []byte
	if a.request != nil {
		r := *a.request
		r.DeadlineMS = max(MinDeadlineMS, int(remaining.Milliseconds()))
		var err error
		if payload, err = json.Marshal(&r); err != nil {
			return nil, err
		}
	}
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	unresponsive := h.beginRequest()
	defer h.endRequest()
	go func() {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.Header.SetMethod(a.method)
		req.SetRequestURI("http://" + h.http.Addr + a.path)
		if payload != nil {
			req.Header.SetContentType("application/json")
			req.SetBodyRaw(payload)
		}
		err := h.http.DoDeadline(req, resp, a.deadline.Add(replyGrace))
		done <- result{append([]byte(nil), resp.Body()...), err}
	}()
	select {
	case r := <-done:
		return r.body, r.err
	case <-unresponsive:
		return nil, errUnresponsive
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
