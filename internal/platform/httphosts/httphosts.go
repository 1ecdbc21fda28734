// Package httphosts reaches the platform's host list over HTTP with JSON
// bodies.
package httphosts

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/httpcall"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

// PathList is the path of the list. It takes a POST with an empty JSON
// object; the reply is a platform.HostListReply.
const PathList = "/v1/hosts"

// Options bounds the calls to the host list. CallTimeout is 5 s by default, the
// other fields have the defaults of httpcall.
type Options = httpcall.Options

// Client implements platform.HostList over HTTP.
type Client struct {
	calls *httpcall.Client
}

var _ platform.HostList = (*Client)(nil)

// New returns a client of the host list at address, an IP address and port.
func New(address string, opts Options) *Client {
	opts.CallTimeout = cmp.Or(opts.CallTimeout, 5*time.Second)
	return &Client{calls: httpcall.New(address, opts)}
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
