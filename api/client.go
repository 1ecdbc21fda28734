package api

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Paths of the HTTP API. A request's own path is PathRequests + "/" + ID.
const (
	// PathHome returns a Home.
	PathHome = "/v1/home"
	// PathRequests takes a Request.
	PathRequests = "/v1/requests"
)

// Timing of a Client.
const (
	// DefaultMinBackoff and DefaultMaxBackoff bound the mean delay before a retry.
	DefaultMinBackoff = 20 * time.Millisecond
	// DefaultMaxBackoff is below the 1.5 s after which another entry host holds
	// the workers of a dead one.
	DefaultMaxBackoff = time.Second
	// DefaultCallTimeout bounds Status, Cancel and the call that asks for the
	// home failure domain when the context has no deadline.
	DefaultCallTimeout = 5 * time.Second
	// DefaultMaxConns bounds the connections to one entry host.
	DefaultMaxConns = 512
	// replyGrace is added to the deadline of a request so that the entry
	// host's own reply at the deadline still arrives.
	replyGrace = 100 * time.Millisecond
	// avoidDuration is how long an address that failed is avoided unless all
	// others failed too. Entry hosts declare a peer dead after the same time.
	avoidDuration = time.Second
	// maxReplyBytes bounds a reply. The base64 encoding of the body in JSON is a
	// third longer than the body.
	maxReplyBytes = 64 << 20
)

// ErrNoEntryHost means that no entry host could be reached, or that none gave a
// usable reply to the call that asks for the home failure domain. The request
// itself was not sent.
var ErrNoEntryHost = errors.New("no entry host could be reached")

// ClientOptions configures a Client. Zero values take the defaults.
type ClientOptions struct {
	// Addresses are the addresses (IP:port) on which the entry hosts listen for
	// callers.
	Addresses []string
	// RetryRatio and RetryBurst set the retry budget; see RetryBudget.
	RetryRatio float64
	RetryBurst int
	// MinBackoff and MaxBackoff bound the mean delay before a retry.
	MinBackoff, MaxBackoff time.Duration
	// RetryNotRun retries a request that was not run once its RetryAfterMS has
	// passed, within the deadline and the retry budget.
	RetryNotRun bool
	// MaxConns bounds the connections to one entry host.
	MaxConns int
	// Dial replaces the TCP dialer.
	Dial fasthttp.DialFunc
}

// Client sends requests to the entry hosts. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	hosts   []*host
	next    atomic.Uint32
	budget  *RetryBudget
	mu      sync.Mutex
	home    string
}

// NewClient returns a client. It returns an error if o.Addresses is empty.
func NewClient(o ClientOptions) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errors.New("client needs at least one entry host address")
	}
	if o.MinBackoff <= 0 {
		o.MinBackoff = DefaultMinBackoff
	}
	if o.MaxBackoff < o.MinBackoff {
		o.MaxBackoff = max(DefaultMaxBackoff, o.MinBackoff)
	}
	if o.MaxConns <= 0 {
		o.MaxConns = DefaultMaxConns
	}
	c := &Client{options: o, budget: NewRetryBudget(o.RetryRatio, o.RetryBurst)}
	for _, a := range o.Addresses {
		c.hosts = append(c.hosts, newHost(a, o))
	}
	c.next.Store(rand.Uint32())
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	for _, h := range c.hosts {
		h.http.CloseIdleConnections()
	}
}

// NewID returns a new request ID with the client's home failure domain, which
// it fetches from an entry host on first use and then caches. It returns the error
// of ctx if ctx has ended, and an error that wraps ErrNoEntryHost if no entry host
// gave a usable reply.
func (c *Client) NewID(ctx context.Context) (string, error) {
	c.mu.Lock()
	home := c.home
	c.mu.Unlock()
	if home == "" {
		var h Home
		a := apiCall{method: fasthttp.MethodGet, path: PathHome, deadline: callDeadline(ctx)}
		if ok := c.sendWithRetries(ctx, &a, func(body []byte) bool {
			return json.Unmarshal(body, &h) == nil && validName(h.FailureDomain, MaxFailureDomainBytes)
		}, nil); !ok {
			if ctx.Err() != nil {
				return "", ctx.Err()
			}
			return "", errors.Wrap(ErrNoEntryHost, "ask for the home failure domain")
		}
		home = h.FailureDomain
		c.mu.Lock()
		c.home = home
		c.mu.Unlock()
	}
	return NewID(home)
}

// Do sends a request and waits for its outcome until the request's deadline or
// the end of ctx. It creates the ID if there is none, and retries with the same
// ID at another entry host after a broken connection or a not_ready reply.
//
// Without a reply by then, the outcome is Unknown with ReasonNoReply; query it
// later with Status. The outcome is NotRun only if an entry host reported it.
// Do returns an error only if the request was not sent: a ValidationError, an
// error of NewID or the error of ctx.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	end := time.Now().Add(time.Duration(min(r.DeadlineMS, MaxDeadlineMS)) * time.Millisecond)
	if r.ID == "" {
		// Check the other fields with a placeholder ID first, so that an invalid
		// request causes no call for the home failure domain.
		placeholder := r
		placeholder.ID = "00000000-0000-7000-8000-000000000000"
		if err := placeholder.Validate(); err != nil {
			return Response{}, err
		}
		idCtx, cancel := context.WithDeadline(ctx, end)
		id, err := c.NewID(idCtx)
		cancel()
		if err != nil {
			return Response{}, err
		}
		r.ID = id
	}
	if err := r.Validate(); err != nil {
		return Response{}, err
	}
	if err := ctx.Err(); err != nil {
		return Response{}, err
	}
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		end = d
	}
	a := apiCall{method: fasthttp.MethodPost, path: PathRequests, deadline: end, request: &r}
	resp := c.call(ctx, &a, r.ID)
	if resp.Outcome == Unknown && resp.Reason == ReasonHomeUnreachable {
		// Fetch the home failure domain again for later requests. The home in
		// this request's ID stays the same.
		c.mu.Lock()
		c.home = ""
		c.mu.Unlock()
	}
	return resp, nil
}

// Status returns the outcome of a request. Without a reply within ctx, or
// DefaultCallTimeout if ctx has no deadline, the outcome is Unknown with
// ReasonNoReply. It returns an *IDError for a malformed ID.
func (c *Client) Status(ctx context.Context, id string) (Response, error) {
	return c.callByID(ctx, fasthttp.MethodGet, id)
}

// Cancel cancels a request and returns its outcome, which is NotRun with
// ReasonCancelled if the request was cancelled before it started. If it had
// started, or if that can't be determined, the outcome is Answered or Unknown, or
// NotRun with another reason if the start failed.
//
// Without a reply within ctx, or DefaultCallTimeout if ctx has no deadline, the
// outcome is Unknown with ReasonNoReply, and the request may or may not be
// cancelled; repeat the call or use Status to find out. Cancel returns an *IDError
// for a malformed ID.
func (c *Client) Cancel(ctx context.Context, id string) (Response, error) {
	return c.callByID(ctx, fasthttp.MethodDelete, id)
}

func (c *Client) callByID(ctx context.Context, method, id string) (Response, error) {
	if _, err := ParseID(id); err != nil {
		return Response{}, err
	}
	a := apiCall{method: method, path: PathRequests + "/" + id, deadline: callDeadline(ctx)}
	return c.call(ctx, &a, id), nil
}

func callDeadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(DefaultCallTimeout)
}

// call sends a, with retries, until it has a verified response for id that needs
// no further attempt.
func (c *Client) call(ctx context.Context, a *apiCall, id string) Response {
	var last Response
	ok := c.sendWithRetries(ctx, a, func(body []byte) bool {
		last = Response{}
		return json.Unmarshal(body, &last) == nil && last.Verify(id) == nil
	}, func() (retry bool, after time.Duration) {
		if last.Reason == ReasonNotReady {
			return true, 0
		}
		if last.Outcome != NotRun {
			return false, 0
		}
		// This reply comes from the record keeper, which knows the outcome of
		// all earlier attempts too.
		a.uncertain = false
		after = time.Duration(last.RetryAfterMS) * time.Millisecond
		return c.options.RetryNotRun && a.request != nil && after > 0, after
	})
	if ok && last.Reason == ReasonNotReady && !a.uncertain && a.request != nil {
		// Every attempt was rejected before it was forwarded.
		last.Outcome = NotRun
	}
	// A not_ready reply covers only its own attempt, so it does not tell the
	// outcome of an earlier attempt whose connection broke. No NotRun reply
	// covers a later attempt either.
	if !ok || a.uncertain && last.Outcome == NotRun {
		return Response{ID: id, Outcome: Unknown, Reason: ReasonNoReply,
			Detail: "no entry host gave the outcome in time; ask for it under this ID"}
	}
	return last
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) ||
		errors.As(err, &op) && op.Op == "dial"
}
