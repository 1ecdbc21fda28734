// Package httphosts is a client of the platform's host list over HTTP with JSON
// bodies.
package httphosts

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/httpcall"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

// PathList is the path of the host list. A request is a POST with a
// platform.HostListRequest; the reply is a platform.HostListReply.
const PathList = "/v1/hosts"

// Options limits the calls to the host list. CallTimeout is 5 s by default; the
// other fields have the defaults of httpcall.
type Options = httpcall.Options

// Client implements platform.HostList over HTTP. It keeps the list and requests
// only the changes: at 5,100 workers a whole list is more than 1 MB, which each
// entry host would fetch and decode twice a second.
type Client struct {
	calls *httpcall.Client

	mu sync.Mutex
	// lastReply is the newest list, with changes applied.
	lastReply platform.HostListReply
}

var _ platform.HostList = (*Client)(nil)

// New returns a client of the host list at address, an IP address and port.
func New(address string, opts Options) *Client {
	opts.CallTimeout = cmp.Or(opts.CallTimeout, 5*time.Second)
	return &Client{calls: httpcall.New(address, opts)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.calls.CloseIdle() }

// List implements platform.HostList. It reports every failure as
// platform.ErrUnavailable, since requesting the list has no effect.
func (c *Client) List(ctx context.Context) (platform.HostListReply, error) {
	c.mu.Lock()
	last := c.lastReply
	c.mu.Unlock()
	reply, err := c.fetch(ctx, last.Version)
	if err != nil {
		return platform.HostListReply{}, err
	}
	if reply.Since != "" && reply.Since != last.Version {
		c.store(platform.HostListReply{})
		return platform.HostListReply{}, errors.Wrapf(platform.ErrUnavailable, "host list has changes since version %q, expected %q", reply.Since, last.Version)
	}
	if reply.Since != "" {
		reply.Hosts = applyChanges(last.Hosts, reply.Hosts, reply.Removed)
		reply.Since, reply.Removed = "", nil
	}
	c.store(reply)
	return reply, nil
}

func (c *Client) store(reply platform.HostListReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReply = reply
}

func (c *Client) fetch(ctx context.Context, since string) (platform.HostListReply, error) {
	var reply platform.HostListReply
	if err := c.calls.Call(ctx, PathList, platform.HostListRequest{Since: since}, &reply); err != nil {
		return platform.HostListReply{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return reply, nil
}

// applyChanges returns the list old with changes applied, sorted by name. It
// doesn't modify old, which callers may still read.
func applyChanges(old, changed []platform.Host, removed []string) []platform.Host {
	if len(changed) == 0 && len(removed) == 0 {
		return old
	}
	hosts := make(map[string]platform.Host, len(old)+len(changed))
	for _, h := range old {
		hosts[h.Name] = h
	}
	for _, name := range removed {
		delete(hosts, name)
	}
	for _, h := range changed {
		hosts[h.Name] = h
	}
	return slices.SortedFunc(maps.Values(hosts), func(a, b platform.Host) int { return strings.Compare(a.Name, b.Name) })
}
