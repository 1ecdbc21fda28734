package api

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// attempt is one call with its repetitions.
type attempt struct {
	method, path string
	// end is when the call gives up.
	end time.Time
	// request is sent as JSON with the time that remains as its deadline.
	request *Request
	// uncertain is set once an entry host may have acted without a reply.
	uncertain bool
}

// exchange sends a to one entry host after another until accept takes a reply
// and again, if there is one, does not ask for another. It reports whether the
// last reply was accepted. It stops at the deadline, at the end of ctx or when
// the retry budget is used up.
func (c *Client) exchange(ctx context.Context, a *attempt, accept func([]byte) bool,
	again func() (bool, time.Duration)) bool {
	c.budget.Request()
	backoff := c.o.MinBackoff
	accepted := false
	for {
		h := c.pick()
		body, err := c.send(ctx, h, a)
		var after time.Duration
		free := false
		switch {
		case err != nil:
			if ctx.Err() != nil {
				a.uncertain = true
				return accepted
			}
			// A connection that was not made adds no load to the system, so going
			// on to another host is not charged to the retry budget.
			// Neither does leaving a host that has stopped to answer.
			free = isDialError(err) || errors.Is(err, errSilent)
			a.uncertain = a.uncertain || !isDialError(err)
			h.aside.Store(time.Now().Add(asideTime).UnixMilli())
		case !accept(body):
			// A reply that is damaged or belongs to another request says nothing.
			accepted, a.uncertain = false, true
		default:
			accepted = true
			if again == nil {
				return true
			}
			var more bool
			if more, after = again(); !more {
				return true
			}
			if after == 0 {
				// The host is not ready, as a balancer's health check would see.
				h.aside.Store(time.Now().Add(asideTime).UnixMilli())
			}
		}
		// The pause is uniform around its mean, so that callers that failed
		// together do not return together.
		pause := after + time.Duration((0.5+rand.Float64())*float64(backoff))
		backoff = min(2*backoff, c.o.MaxBackoff)
		if time.Until(a.end) <= pause || !free && !c.budget.Retry() || !sleep(ctx, pause) {
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

// pick returns the next address in turn, avoiding those that failed or were
// not ready lately unless there is no other.
func (c *Client) pick() *host {
	now := time.Now().UnixMilli()
	start := int(c.next.Add(1) % uint32(len(c.hosts)))
	for i := range c.hosts {
		if h := c.hosts[(start+i)%len(c.hosts)]; h.aside.Load() <= now {
			return h
		}
	}
	return c.hosts[start]
}

// send makes one exchange with one entry host. fasthttp knows no contexts, so
// the exchange runs aside and is abandoned to its own deadline when ctx ends.
func (c *Client) send(ctx context.Context, h *host, a *attempt) ([]byte, error) {
	left := time.Until(a.end)
	if left <= 0 {
		return nil, context.DeadlineExceeded
	}
	var payload []byte
	if a.request != nil {
		r := *a.request
		r.DeadlineMS = max(MinDeadlineMS, int(left.Milliseconds()))
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
	silent := h.enter()
	defer h.leave()
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
		err := h.http.DoDeadline(req, resp, a.end.Add(replyGrace))
		done <- result{append([]byte(nil), resp.Body()...), err}
	}()
	select {
	case r := <-done:
		return r.body, r.err
	case <-silent:
		return nil, errSilent
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
