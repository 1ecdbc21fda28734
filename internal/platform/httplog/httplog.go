// Package httplog is a client of the platform's log service over HTTP with JSON
// bodies.
package httplog

import (
	"cmp"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/httpcall"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

// Paths of the requests. Each is a POST with a JSON body.
const (
	PathAppend = "/v1/append"
	PathRead   = "/v1/read"
)

// Codes of an ErrorBody. They correspond to platform.ErrUnavailable and
// *platform.TruncatedError.
const (
	CodeUnavailable = "unavailable"
	CodeTruncated   = "truncated"
)

// AppendRequest is the body of an append request.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendReply is the reply to an append request.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// ReadRequest is the body of a read request. The reply is a platform.ReadReply.
type ReadRequest struct {
	From  uint64 `json:"from"`
	Limit int    `json:"limit"`
}

// ErrorBody is the JSON body of a reply with a status other than 200.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// First is the offset of the oldest record in the log, if Code is
	// CodeTruncated.
	First uint64 `json:"first,omitempty"`
}

// Options limits the calls to the log. CallTimeout is 10 s by default; the
// other fields have the defaults of httpcall.
type Options = httpcall.Options

// Client implements platform.Log over HTTP.
type Client struct {
	calls *httpcall.Client
}

var _ platform.Log = (*Client)(nil)

// New returns a client of the log service at address, an IP address and port.
func New(address string, opts Options) *Client {
	opts.CallTimeout = cmp.Or(opts.CallTimeout, 10*time.Second)
	return &Client{calls: httpcall.New(address, opts)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.calls.CloseIdle() }

// Append implements platform.Log.
func (c *Client) Append(ctx context.Context, data []byte) (uint64, error) {
	var reply AppendReply
	if err := c.calls.Call(ctx, PathAppend, AppendRequest{Data: data}, &reply); err != nil {
		return 0, translate(err, platform.ErrNoReply)
	}
	return reply.Offset, nil
}

// Read implements platform.Log.
func (c *Client) Read(ctx context.Context, from uint64, limit int) (platform.ReadReply, error) {
	var reply platform.ReadReply
	if err := c.calls.Call(ctx, PathRead, ReadRequest{From: from, Limit: limit}, &reply); err != nil {
		// A read has no effect, so a lost reply is the same as an outage.
		return platform.ReadReply{}, translate(err, platform.ErrUnavailable)
	}
	return reply, nil
}

// translate returns the platform error for an error of a call. noReplyErr is
// returned if the request may have been processed but its reply was lost.
func translate(err, noReplyErr error) error {
	var status *httpcall.StatusError
	switch {
	case errors.As(err, &status):
		var body ErrorBody
		if json.Unmarshal(status.Body, &body) == nil {
			switch body.Code {
			case CodeUnavailable:
				return errors.Wrap(platform.ErrUnavailable, body.Message)
			case CodeTruncated:
				return &platform.TruncatedError{First: body.First}
			}
		}
		if status.IsInvalidRequest() {
			return errors.Wrap(platform.ErrUnavailable, err.Error())
		}
		return errors.Wrap(noReplyErr, err.Error())
	case errors.Is(err, httpcall.ErrNotSent):
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	default:
		return errors.Wrap(noReplyErr, err.Error())
	}
}
