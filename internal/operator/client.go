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
	// DefaultTimeout bounds a call to one entry host. A host that asks all
	// others for their events takes up to 2 s.
	DefaultTimeout = 5 * time.Second
	// PublishTimeout bounds a publish at one entry host, which itself gives up
	// after 15 s.
	PublishTimeout = 17 * time.Second
	// dialTimeout bounds the opening of a connection, so that an address that
	// doesn't answer leaves time for the others.
	dialTimeout = 2 * time.Second
	// maxReplyBytes bounds a reply. At the design size a page of events from
	// every entry host has about 30 MB.
	maxReplyBytes = 64 << 20
	// maxMessageBytes bounds the part of an error reply that is shown.
	maxMessageBytes = 512
)

// ErrUnauthorized means that the entry host refused the operator token.
var ErrUnauthorized = errors.New("the operator token is missing or wrong")

// UnreachableError means that no entry host gave a whole reply. A call that
// changes something may still have had its effect.
type UnreachableError struct {
	// Causes holds the error of each address, in the order of the calls.
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

// StatusError is a whole reply with another status than was expected.
type StatusError struct {
	Address string
	// Status is the HTTP status code.
	Status int
	// Message is the host's explanation, shortened to 512 bytes.
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s replied with status %d: %s", e.Address, e.Status, e.Message)
}

// Options configures a Client.
type Options struct {
	// Addresses are the operators' listeners of entry hosts, as IP:port. They
	// are tried in turn.
	Addresses []string
	// Token is the operator token of the entry hosts' settings.
	Token string
	// Timeout bounds a call to one entry host; DefaultTimeout if 0.
	Timeout time.Duration
}

// Client calls the operators' API. It is safe for concurrent use.
type Client struct {
	o    Options
	http *fasthttp.Client
}

// New returns a client. It returns an error if there is no address, or one
// that is not an IP address and port.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errors.New("no operators' address is given")
	}
	for _, a := range o.Addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, errors.Errorf("operators' address %q is not an IP address and port", a)
		}
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return &Client{o: o, http: &fasthttp.Client{
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
func (c *Client) Addresses() []string { return c.o.Addresses }

// At returns a client that asks only the entry host at address.
func (c *Client) At(address string) *Client {
	one := *c
	one.o.Addresses = []string{address}
	return &one
}

// Hosts returns the entry hosts as the first host that answers sees them. Like
// all calls it returns ErrUnauthorized, *UnreachableError, *StatusError or the
// error of ctx.
func (c *Client) Hosts(ctx context.Context) ([]HostStatus, error) {
	var out []HostStatus
	err := c.call(ctx, request{path: "/v1/hosts", reply: &out})
	return out, err
}

// Workers returns the workers as the first host that answers sees them.
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

// History returns the newest changes of an object, oldest first; none if it
// never existed.
func (c *Client) History(ctx context.Context, kind contract.Kind, name string) ([]contract.Change, error) {
	q := url.Values{"kind": {string(kind)}, "name": {name}}
	var out []contract.Change
	err := c.call(ctx, request{path: "/v1/config/history", query: q, reply: &out})
	return out, err
}

// Publish publishes a record, which must have a publish ID: a call whose reply
// is lost is repeated at the next address, which is safe only with the same ID.
func (c *Client) Publish(ctx context.Context, record contract.Record) (PublishReport, error) {
	if record.PublishID == "" {
		return PublishReport{}, errors.New("a publish needs a publish ID")
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

// Drain begins the planned stop of the client's first entry host. It returns
// once the host has accepted it.
func (c *Client) Drain(ctx context.Context) error {
	r := request{method: fasthttp.MethodPost, path: "/v1/drain", want: fasthttp.StatusAccepted}
	return c.At(c.o.Addresses[0]).call(ctx, r)
}

// request is one call.
type request struct {
	method, path string
	query        url.Values
	body         []byte
	// want is the expected status; 200 if 0.
	want int
	// reply takes the decoded reply, or a *string the reply as it is; nil if
	// there is none.
	reply any
	// timeout replaces that of the options unless it is 0.
	timeout time.Duration
}

// call tries one address after another until one gives a whole reply. A host
// that is not ready (status 503) is passed over like one that can't be reached.
func (c *Client) call(ctx context.Context, r request) error {
	var unreachable UnreachableError
	var notReady *StatusError
	for _, address := range c.o.Addresses {
		status, body, err := c.send(ctx, address, r)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			unreachable.Causes = append(unreachable.Causes, errors.WithMessage(err, address))
			continue
		}
		want := r.want
		if want == 0 {
			want = fasthttp.StatusOK
		}
		switch {
		case status == fasthttp.StatusUnauthorized:
			return errors.WithMessage(ErrUnauthorized, address)
		case status == fasthttp.StatusServiceUnavailable:
			notReady = &StatusError{Address: address, Status: status, Message: message(body)}
			continue
		case status != want:
			return &StatusError{Address: address, Status: status, Message: message(body)}
		case r.reply == nil:
			return nil
		}
		if text, ok := r.reply.(*string); ok {
			*text = string(body)
			return nil
		}
		if err := json.Unmarshal(body, r.reply); err != nil {
			return errors.Wrapf(err, "reply of %s to %s", address, r.path)
		}
		return nil
	}
	if notReady != nil {
		return notReady
	}
	return &unreachable
}

// message returns the error text of a reply.
func message(body []byte) string {
	var e struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &e) != nil || e.Error == "" {
		e.Error = string(body)
	}
	return strings.ToValidUTF8(e.Error[:min(len(e.Error), maxMessageBytes)], "")
}

// send makes one exchange. fasthttp knows no contexts, so the exchange runs
// aside and is abandoned to its own deadline when ctx ends.
func (c *Client) send(ctx context.Context, address string, r request) (int, []byte, error) {
	timeout := r.timeout
	if timeout == 0 {
		timeout = c.o.Timeout
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
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.o.Token)
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
