// Package httpcall sends HTTP requests, usually with JSON bodies, over a
// bounded set of connections. Its errors distinguish requests that were not
// sent from requests whose reply was lost. The adapters to the platform's
// services and to workers share it.
package httpcall

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Errors of a Client.
var (
	// ErrNotSent means that no byte of the request was written to the
	// connection.
	ErrNotSent = errors.New("request was not sent")
	// ErrConnRefused means that no process listens at the address. It wraps
	// ErrNotSent.
	ErrConnRefused = errors.WithMessage(ErrNotSent, "connection refused")
	// ErrConnChanged means that the connection of the last call is gone, which the
	// request asked for. It wraps ErrNotSent.
	ErrConnChanged = errors.WithMessage(ErrNotSent, "connection of the last call is gone")
	// ErrNoReply means that the request was sent at least in part and that no
	// complete, valid reply was received.
	ErrNoReply = errors.New("request was sent, but no complete reply was received")
)

// StatusError reports a complete reply with a status other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("server replied with status %d: %.200q", e.Status, e.Body)
}

// IsInvalidRequest reports whether the server rejected the request before
// acting on it because it was malformed, was too large, or had an unknown path
// or method. It does not cover statuses that reject a valid request, such as
// 421, 429 or 503: what they mean depends on the server.
func (e *StatusError) IsInvalidRequest() bool {
	switch e.Status {
	case fasthttp.StatusBadRequest, fasthttp.StatusNotFound,
		fasthttp.StatusMethodNotAllowed, fasthttp.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

// Options configures a Client. Zero values select the stated defaults.
type Options struct {
	// MaxConns bounds the number of open connections; default 4.
	MaxConns int
	// ConnWait bounds the wait for a free connection; default 1 s.
	ConnWait time.Duration
	// DialTimeout bounds the opening of a connection; default 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds a whole call in addition to its context. By default
	// there is no such limit.
	CallTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open; default 5 s. It
	// must be shorter than the server's idle timeout. Otherwise a call that
	// coincides with the server closing the connection fails with ErrNoReply.
	IdleTimeout time.Duration
	// MaxRequestBytes bounds the size of a request body; default 8 MiB.
	MaxRequestBytes int
	// MaxReplyBytes bounds the size of a reply body; default 64 MiB.
	MaxReplyBytes int
}

func (o Options) withDefaults() Options {
	o.MaxConns = cmp.Or(o.MaxConns, 4)
	o.ConnWait = cmp.Or(o.ConnWait, time.Second)
	o.DialTimeout = cmp.Or(o.DialTimeout, time.Second)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, 5*time.Second)
	o.MaxRequestBytes = cmp.Or(o.MaxRequestBytes, 8<<20)
	o.MaxReplyBytes = cmp.Or(o.MaxReplyBytes, 64<<20)
	return o
}

// Client calls one server. Its methods are safe for concurrent use.
type Client struct {
	address string
	opts    Options
	// permits holds one element for each connection that is not in use.
	permits chan struct{}

	mu   sync.Mutex
	idle []*connClient
}

// New returns a client for the server at address, an IP address and port. It
// opens connections on demand.
func New(address string, opts Options) *Client {
	opts = opts.withDefaults()
	c := &Client{address: address, opts: opts, permits: make(chan struct{}, opts.MaxConns)}
	for range opts.MaxConns {
		c.permits <- struct{}{}
	}
	return c
}

// Request is an HTTP request with any method and body.
type Request struct {
	// Method is the HTTP method; default POST.
	Method string
	// Path is the path and the query.
	Path string
	// ContentType is the media type of the body. If it is empty, the header is
	// not set.
	ContentType string
	// Host is the value of the Host header; default the server's address.
	Host string
	// Header holds additional header fields.
	Header map[string]string
	Body   []byte
	// FirstByteTimeout bounds the time from the request to the first byte of the reply,
	// and StallTimeout that between two parts of the reply. A long reply over a slow
	// link then takes its time, while a connection that has gone silent is noticed. 0
	// means no bound.
	FirstByteTimeout, StallTimeout time.Duration
	// SameConnection fails the call with ErrConnChanged if it needs a new connection.
	// The client must have MaxConns 1.
	SameConnection bool
}

// Call posts payload as JSON to path and decodes the reply into reply, which
// may be nil. Its errors wrap ErrNotSent, ErrNoReply or *StatusError. When ctx
// ends, it closes the connection. It never sends a request twice.
func (c *Client) Call(ctx context.Context, path string, payload, reply any) error {
	return c.CallWith(ctx, Request{Path: path}, payload, reply)
}

// CallWith is like Call but uses the method, path and header fields of r. If
// payload is nil, it sends the body of r.
func (c *Client) CallWith(ctx context.Context, r Request, payload, reply any) error {
	if payload != nil {
		body, err := json.Marshal(payload)
		if err != nil {
			return errors.Wrapf(ErrNotSent, "encode request payload: %v", err)
		}
		r.Body, r.ContentType = body, "application/json"
	}
	body, err := c.Do(ctx, r)
	if err != nil || reply == nil {
		return err
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return errors.Wrapf(ErrNoReply, "decode reply: %v", err)
	}
	return nil
}

// Do sends r and returns the body of the reply. Its errors are those of Call.
func (c *Client) Do(ctx context.Context, r Request) ([]byte, error) {
	if len(r.Body) > c.opts.MaxRequestBytes {
		return nil, errors.Wrapf(ErrNotSent, "request of %d bytes exceeds the limit of %d", len(r.Body), c.opts.MaxRequestBytes)
	}
	if c.opts.CallTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.opts.CallTimeout)
		defer cancel()
	}
	cc, err := c.acquire(ctx)
	if err != nil {
		return nil, err
	}
	defer c.release(cc)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(cmp.Or(r.Method, fasthttp.MethodPost))
	req.SetRequestURI("http://" + c.address + r.Path)
	if r.ContentType != "" {
		req.Header.SetContentType(r.ContentType)
	}
	if r.Host != "" {
		req.UseHostHeader = true
		req.Header.SetHost(r.Host)
	}
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	req.SetBodyRaw(r.Body)
	if err := cc.do(ctx, r, req, resp); err != nil {
		if errors.Is(err, ErrNoReply) {
			// If the server has restarted, its other idle connections are closed
			// too.
			c.CloseIdle()
		}
		return nil, err
	}
	body := append([]byte(nil), resp.Body()...)
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, errors.WithStack(&StatusError{Status: status, Body: body})
	}
	return body, nil
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	idle := append([]*connClient(nil), c.idle...)
	c.mu.Unlock()
	for _, cc := range idle {
		cc.client.CloseIdleConnections()
	}
}

// acquire reserves a connection for a call. It waits for a free one for at most
// ConnWait.
func (c *Client) acquire(ctx context.Context) (*connClient, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	select {
	case <-c.permits:
	default:
		timer := time.NewTimer(c.opts.ConnWait)
		defer timer.Stop()
		select {
		case <-c.permits:
		case <-timer.C:
			return nil, errors.Wrapf(ErrNotSent, "all %d connections are in use", c.opts.MaxConns)
		case <-ctx.Done():
			return nil, errors.Wrap(ErrNotSent, ctx.Err().Error())
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		cc := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return cc, nil
	}
	return newConnClient(c.address, c.opts), nil
}

func (c *Client) release(cc *connClient) {
	c.mu.Lock()
	c.idle = append(c.idle, cc)
	c.mu.Unlock()
	c.permits <- struct{}{}
}

// connClient is an HTTP client with a single connection. fasthttp cannot cancel
// a call; closing the only connection of the client has that effect.
type connClient struct {
	client      *fasthttp.HostClient
	dialTimeout time.Duration

	mu sync.Mutex
	// ctx is the context of the current or, while idle, of the last call, and limits
	// are those of that call.
	ctx    context.Context
	limits silenceLimits
	// mayDial is set while the current call may open a connection.
	mayDial bool
	// conn is the connection that was opened last. It is nil if none was opened
	// or the last attempt failed.
	conn *countingConn
}

func newConnClient(address string, opts Options) *connClient {
	cc := &connClient{dialTimeout: opts.DialTimeout}
	cc.client = &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      cc.dial,
		MaxConns:                  1,
		MaxIdleConnDuration:       opts.IdleTimeout,
		MaxResponseBodySize:       opts.MaxReplyBytes,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
	}
	return cc
}

// do sends req, which was made from r. It returns ErrNotSent or ErrNoReply, wrapped,
// or nil.
func (cc *connClient) do(ctx context.Context, r Request, req *fasthttp.Request, resp *fasthttp.Response) error {
	limits := silenceLimits{r.FirstByteTimeout, r.StallTimeout}
	cc.mu.Lock()
	cc.ctx, cc.limits, cc.mayDial = ctx, limits, !r.SameConnection
	idle := cc.conn
	cc.mu.Unlock()
	if idle != nil {
		idle.reset(limits)
		if idle.closedByPeer() {
			cc.client.CloseIdleConnections()
		}
	}
	stop := context.AfterFunc(ctx, cc.abort)
	err := cc.client.Do(req, resp)
	if !stop() {
		// abort has been called, so the connection cannot be reused.
		cc.client.CloseIdleConnections()
	}
	if err == nil {
		return nil
	}
	cause := err.Error()
	if ctx.Err() != nil {
		cause = ctx.Err().Error()
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if errors.Is(err, ErrConnChanged) {
		return errors.WithStack(ErrConnChanged)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Wrap(ErrConnRefused, cause)
	}
	if cc.conn == nil || cc.conn.written() == 0 {
		return errors.Wrap(ErrNotSent, cause)
	}
	return errors.Wrap(ErrNoReply, cause)
}

// abort closes the connection of the current call if its context has ended.
func (cc *connClient) abort() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.conn != nil && cc.ctx.Err() != nil {
		_ = cc.conn.Close()
	}
}

// dial opens the connection for the current call and wraps it in a
// countingConn. It closes the connection again if the call has ended meanwhile.
func (cc *connClient) dial(address string) (net.Conn, error) {
	cc.mu.Lock()
	ctx, mayDial := cc.ctx, cc.mayDial
	cc.conn = nil
	cc.mu.Unlock()
	if !mayDial {
		return nil, ErrConnChanged
	}
	ctx, cancel := context.WithTimeout(ctx, cc.dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if err := cc.ctx.Err(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	cc.conn = &countingConn{Conn: conn, limits: cc.limits}
	return cc.conn, nil
}
