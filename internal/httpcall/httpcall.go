// Package httpcall posts JSON calls over a bounded set of HTTP connections
// and tells calls that were not sent from calls whose reply was lost. The
// adapters to the platform's services and to workers share it.
package httpcall

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Errors of a Client.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoReply means that the request was sent at least in part and no whole
	// reply was received.
	ErrNoReply = errors.New("request was sent, but no whole reply was received")
)

// StatusError is a whole reply with a status other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("server replied with status %d: %.200q", e.Status, e.Body)
}

// Rejected reports that the server rejected the request before it acted: the
// request was malformed, too large or had no such path.
func (e *StatusError) Rejected() bool {
	switch e.Status {
	case fasthttp.StatusBadRequest, fasthttp.StatusNotFound,
		fasthttp.StatusMethodNotAllowed, fasthttp.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

// Options bounds a Client. A zero field has the default that it names.
type Options struct {
	// MaxConns bounds the open connections; 4 by default.
	MaxConns int
	// ConnWait bounds the wait for a free connection; 1 s by default.
	ConnWait time.Duration
	// DialTimeout bounds the opening of a connection; 1 s by default.
	DialTimeout time.Duration
	// CallTimeout bounds a whole call beside its context. There is no bound
	// by default.
	CallTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed; 5 s by
	// default. It must be shorter than the server's idle time, or a call that
	// meets the server's close ends with ErrNoReply.
	IdleTimeout time.Duration
	// MaxRequestBytes bounds the JSON text of a request; 8 MiB by default.
	MaxRequestBytes int
	// MaxReplyBytes bounds the JSON text of a reply; 64 MiB by default.
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

// Client calls one server. Its methods may be called concurrently.
type Client struct {
	address string
	opts    Options
	// permits holds one element for each connection that may be used.
	permits chan struct{}

	mu   sync.Mutex
	idle []*slot
}

// New returns a client of the server at address, an IP address and port. It
// opens connections as calls need them.
func New(address string, opts Options) *Client {
	opts = opts.withDefaults()
	c := &Client{address: address, opts: opts, permits: make(chan struct{}, opts.MaxConns)}
	for range opts.MaxConns {
		c.permits <- struct{}{}
	}
	return c
}

// Request is one HTTP request of any method and body.
type Request struct {
	// Method is an HTTP method; POST by default.
	Method string
	// Path holds the path and the query.
	Path string
	// ContentType is that of the body; none is sent if empty.
	ContentType string
	// Host is the host name of the request; the server's address if empty.
	Host string
	// Header holds further header fields.
	Header map[string]string
	Body   []byte
}

// Call posts request as JSON to path and decodes the reply into reply, which
// may be nil. It returns ErrNotSent, ErrNoReply or *StatusError, wrapped. It
// closes the connection when ctx ends and never sends a request twice.
func (c *Client) Call(ctx context.Context, path string, request, reply any) error {
	return c.CallWith(ctx, Request{Path: path}, request, reply)
}

// CallWith is like Call, with the method and header fields of e.
func (c *Client) CallWith(ctx context.Context, e Request, request, reply any) error {
	if request != nil {
		body, err := json.Marshal(request)
		if err != nil {
			return errors.Wrapf(ErrNotSent, "encode request: %v", err)
		}
		e.Body, e.ContentType = body, "application/json"
	}
	body, err := c.Do(ctx, e)
	if err != nil || reply == nil {
		return err
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return errors.Wrapf(ErrNoReply, "decode reply: %v", err)
	}
	return nil
}

// Do sends e and returns the body of the reply. It returns errors like Call.
func (c *Client) Do(ctx context.Context, e Request) ([]byte, error) {
	if len(e.Body) > c.opts.MaxRequestBytes {
		return nil, errors.Wrapf(ErrNotSent, "request of %d bytes exceeds the limit of %d", len(e.Body), c.opts.MaxRequestBytes)
	}
	if c.opts.CallTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.opts.CallTimeout)
		defer cancel()
	}
	s, err := c.acquire(ctx)
	if err != nil {
		return nil, err
	}
	defer c.release(s)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(cmp.Or(e.Method, fasthttp.MethodPost))
	req.SetRequestURI("http://" + c.address + e.Path)
	if e.ContentType != "" {
		req.Header.SetContentType(e.ContentType)
	}
	if e.Host != "" {
		req.UseHostHeader = true
		req.Header.SetHost(e.Host)
	}
	for name, value := range e.Header {
		req.Header.Set(name, value)
	}
	req.SetBodyRaw(e.Body)
	if err := s.do(ctx, req, resp); err != nil {
		if errors.Is(err, ErrNoReply) {
			// The server may have restarted, which ends its other idle
			// connections too.
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

// CloseIdle closes the connections that no call uses.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	idle := append([]*slot(nil), c.idle...)
	c.mu.Unlock()
	for _, s := range idle {
		s.client.CloseIdleConnections()
	}
}

func (c *Client) acquire(ctx context.Context) (*slot, error) {
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
		s := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return s, nil
	}
	return newSlot(c.address, c.opts), nil
}

func (c *Client) release(s *slot) {
	c.mu.Lock()
	c.idle = append(c.idle, s)
	c.mu.Unlock()
	c.permits <- struct{}{}
}

// slot is an HTTP client with a single connection. fasthttp can't cancel a
// call; with one connection for each client, closing it cancels the call.
type slot struct {
	client      *fasthttp.HostClient
	dialTimeout time.Duration

	mu   sync.Mutex
	ctx  context.Context
	conn *countingConn
}

func newSlot(address string, opts Options) *slot {
	s := &slot{dialTimeout: opts.DialTimeout}
	s.client = &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      s.dial,
		MaxConns:                  1,
		MaxIdleConnDuration:       opts.IdleTimeout,
		MaxResponseBodySize:       opts.MaxReplyBytes,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
	}
	return s
}

func (s *slot) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	s.mu.Lock()
	s.ctx = ctx
	idle := s.conn
	s.mu.Unlock()
	if idle != nil {
		idle.reset()
		if idle.closedByPeer() {
			s.client.CloseIdleConnections()
		}
	}
	stop := context.AfterFunc(ctx, s.abort)
	err := s.client.Do(req, resp)
	if !stop() {
		// abort runs or ran: the connection can't be used again.
		s.client.CloseIdleConnections()
	}
	if err == nil {
		return nil
	}
	cause := err.Error()
	if ctx.Err() != nil {
		cause = ctx.Err().Error()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil || s.conn.written() == 0 {
		return errors.Wrap(ErrNotSent, cause)
	}
	return errors.Wrap(ErrNoReply, cause)
}

// abort closes the connection of the present call.
func (s *slot) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.ctx.Err() != nil {
		_ = s.conn.Close()
	}
}

func (s *slot) dial(address string) (net.Conn, error) {
	s.mu.Lock()
	ctx := s.ctx
	s.conn = nil
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ctx.Err(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.conn = &countingConn{Conn: conn}
	return s.conn, nil
}
