// Package httphosts reaches the platform's host list over HTTP with JSON
// bodies.
package httphosts

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/httpcall"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

// PathList is the path of the list. It takes a POST with an empty JSON
// object; the reply is a platform.HostListReply.
const PathList = "/v1/hosts"

// Options bounds the calls to the host list. A zero field has the default
// that it names.
type Options struct {
	// MaxConns bounds the open connections; 4 by default.
	MaxConns int
	// DialTimeout bounds the opening of a connection; 1 s by default.
	DialTimeout time.Duration
	// CallTimeout bounds a call beside its context; 5 s by default.
	CallTimeout time.Duration
	// MaxReplyBytes bounds the JSON text of a list; 64 MiB by default.
	MaxReplyBytes int
}

// Client implements platform.HostList over HTTP.
type Client struct {
	calls *httpcall.Client
}

var _ platform.HostList = (*Client)(nil)

// New returns a client of the host list at address, an IP address and port.
func New(address string, opts Options) *Client {
	if opts.CallTimeout == 0 {
		opts.CallTimeout = 5 * time.Second
	}
	return &Client{calls: httpcall.New(address, httpcall.Options{
		MaxConns:      opts.MaxConns,
		DialTimeout:   opts.DialTimeout,
		CallTimeout:   opts.CallTimeout,
		MaxReplyBytes: opts.MaxReplyBytes,
	})}
}

// Close closes the connections that no call uses.
func (c *Client) Close() { c.calls.CloseIdle() }

// List implements platform.HostList. Every failure of the call is
// platform.ErrUnavailable, as a list changes nothing.
func (c *Client) List(ctx context.Context) (platform.HostListReply, error) {
	var reply platform.HostListReply
	if err := c.calls.Call(ctx, PathList, struct{}{}, &reply); err != nil {
		return platform.HostListReply{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return reply, nil
}
