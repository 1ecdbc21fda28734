package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/internal/contract"
)

// Bounds of a Client.
const (
	// DefaultTimeout bounds a call to one entry host. A host that queries all
	// others for their events takes up to 2 s.
	DefaultTimeout = 5 * time.Second
	// PublishTimeout bounds a publish at one entry host, which itself gives up
	// after 15 s.
	PublishTimeout = 17 * time.Second
	// dialTimeout bounds the time to open a connection, so that an unresponsive
	// address leaves time to try the others.
	dialTimeout = 2 * time.Second
	// maxReplyBytes limits the size of a reply. In a deployment of the size that
	// the system is designed for, a page with events of every entry host has
	// about 30 MB.
	maxReplyBytes = 64 << 20
	// maxMessageBytes limits the length of StatusError.Message.
	maxMessageBytes = 512
)

// ErrUnauthorized means that the entry host refused the operator token.
var ErrUnauthorized = errors.New("the operator token is missing or wrong")

// UnreachableError means that no entry host returned a complete reply. A call
// that changes state may still have taken effect.
type UnreachableError struct {
	// Causes holds the error of each address, in the order in which they were
	// tried.
	Causes []error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	parts := make([]string, len(e.Causes))
	for i, cause := range e.Causes {
		parts[i] = cause.Error()
	}
	return "no entry host answered: " + strings.Join(parts, "; ")
}

// StatusError reports a complete reply with an unexpected status.
type StatusError struct {
	Address string
	// Status is the HTTP status code.
	Status int
	// Message is the host's error message, truncated to 512 bytes.
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s replied with status %d: %s", e.Address, e.Status, e.Message)
}

// Options configures a Client.
type Options struct {
	// Addresses are the addresses of entry hosts' operator listeners, as IP:port.
	// Each call except Drain tries them in this order.
	Addresses []string
	// Token is the operator token from the entry hosts' settings.
	Token string
	// Timeout bounds a call to one entry host; DefaultTimeout if 0.
	Timeout time.Duration
}

// Client calls the operators' HTTP API. It is safe for concurrent use. A call to
// the API fails with ErrUnauthorized (wrapped), *UnreachableError, *StatusError,
// the error of its context or an error about a malformed reply. A host that
// replies with status 503 is skipped like an unreachable one; if no other host
// gives a usable reply, the error is the *StatusError of the last such host.
type Client struct {
	opts Options
	http *fasthttp.Client
}

// New returns a client. It returns an error if opts has no address, or one that
// is not an IP address and port.
func New(opts Options) (*Client, error) {
	if len(opts.Addresses) == 0 {
		return nil, errors.New("no address of an operator listener is given")
	}
	for _, a := range opts.Addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, errors.Errorf("address %q of an operator listener is not an IP address and port", a)
		}
	}
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	return &Client{opts: opts, http: &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			return fasthttp.DialDualStackTimeout(address, dialTimeout)
		},
		MaxResponseBodySize:       maxReplyBytes,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
	}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Addresses returns the addresses that the client tries.
func (c *Client) Addresses() []string { return c.opts.Addresses }

// At returns a client that calls only the entry host at address.
func (c *Client) At(address string) *Client {
	one := *c
	one.opts.Addresses = []string{address}
	return &one
}

// Hosts returns the entry hosts as seen by the first host that replies.
func (c *Client) Hosts(ctx context.Context) ([]HostStatus, error) {
	var out []HostStatus
	err := c.call(ctx, request{path: "/v1/hosts", reply: &out})
	return out, err
}

// Workers returns the workers as seen by the first host that replies.
func (c *Client) Workers(ctx context.Context) ([]WorkerStatus, error) {
	var out []WorkerStatus
	err := c.call(ctx, request{path: "/v1/workers", reply: &out})
	return out, err
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (ConfigListing, error) {
	var out ConfigListing
	err := c.call(ctx, request{path: "/v1/config", reply: &out})
	return out, err
}

// History returns the latest changes of an object, oldest first. It returns none
// if the object never existed.
func (c *Client) History(ctx context.Context, kind contract.Kind, name string) ([]contract.Change, error) {
	q := url.Values{"kind": {string(kind)}, "name": {name}}
	var out []contract.Change
	err := c.call(ctx, request{path: "/v1/config/history", query: q, reply: &out})
	return out, err
}

// Publish publishes a record, which must have a publish ID: if a reply is lost,
// the call is repeated at the next address, which is safe only with the same ID.
// It returns an error without a call if the record has no publish ID or can't be
// encoded.
func (c *Client) Publish(ctx context.Context, record contract.Record) (PublishReport, error) {
	if record.PublishID == "" {
		return PublishReport{}, errors.New("publish: record has no publish ID")
	}
	body, err := json.Marshal(record)
	if err != nil {
		return PublishReport{}, errors.Wrap(err, "encode record")
	}
	var out PublishReport
	r := request{method: fasthttp.MethodPost, path: "/v1/publish", body: body, reply: &out, timeout: PublishTimeout}
	err = c.call(ctx, r)
	return out, err
}

// Drain begins the planned stop of the entry host at the client's first address.
// It returns when the host has accepted the call.
func (c *Client) Drain(ctx context.Context) error {
	r := request{method: fasthttp.MethodPost, path: "/v1/drain", wantStatus: fasthttp.StatusAccepted}
	return c.At(c.opts.Addresses[0]).call(ctx, r)
}

// request describes one call.
type request struct {
	method, path string
	query        url.Values
	body         []byte
	// wantStatus is the expected status; 200 if 0.
	wantStatus int
	// reply points to the value into which the JSON reply is decoded. A *string
	// gets the body as it is. It is nil if the body is not needed.
	reply any
	// timeout overrides Options.Timeout unless it is 0.
	timeout time.Duration
}

// call tries the addresses in order until a host returns a complete reply. A host
// that is not ready (status 503) is skipped like an unreachable one.
func (c *Client) call(ctx context.Context, r request) error {
	var unreachable UnreachableError
	var notReady *StatusError
	for _, address := range c.opts.Addresses {
		status, body, err := c.send(ctx, address, r)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			unreachable.Causes = append(unreachable.Causes, errors.WithMessage(err, address))
			continue
		}
		want := r.wantStatus
		if want == 0 {
			want = fasthttp.StatusOK
		}
		switch {
		case status == fasthttp.StatusUnauthorized:
			return errors.WithMessage(ErrUnauthorized, address)
		case status == fasthttp.StatusServiceUnavailable:
			notReady = &StatusError{Address: address, Status: status, Message: errorMessage(body)}
			continue
		case status != want:
			return &StatusError{Address: address, Status: status, Message: errorMessage(body)}
		case r.reply == nil:
			return nil
		}
		if text, ok := r.reply.(*string); ok {
			*text = string(body)
			return nil
		}
		if err := json.Unmarshal(body, r.reply); err != nil {
			return errors.Wrapf(err, "decode reply of %s to %s", address, r.path)
		}
		return nil
	}
	if notReady != nil {
		return notReady
	}
	return &unreachable
}

// errorMessage returns the error message in a reply body, or the body if it has
// none.
func errorMessage(body []byte) string {
	var e struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &e) != nil || e.Error == "" {
		e.Error = string(body)
	}
	return strings.ToValidUTF8(e.Error[:min(len(e.Error), maxMessageBytes)], "")
}

// send makes one HTTP exchange. fasthttp does not support contexts, so the
// exchange runs in a goroutine. If ctx ends first, the goroutine is left to end
// at its own timeout.
func (c *Client) send(ctx context.Context, address string, r request) (int, []byte, error) {
	timeout := r.timeout
	if timeout == 0 {
		timeout = c.opts.Timeout
	}
	type result struct {
		status int
		body   []byte
		err    error
	}
	done := make(chan result, 1)
	go func() {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.Header.SetMethod(r.method)
		req.SetRequestURI("http://" + address + r.path)
		req.URI().SetQueryString(r.query.Encode())
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.opts.Token)
		if r.body != nil {
			req.Header.SetContentType("application/json")
			req.SetBodyRaw(r.body)
		}
		err := c.http.DoTimeout(req, resp, timeout)
		done <- result{resp.StatusCode(), append([]byte(nil), resp.Body()...), err}
	}()
	select {
	case res := <-done:
		return res.status, res.body, res.err
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
}
