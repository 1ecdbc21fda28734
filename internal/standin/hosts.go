package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// HostListOptions sets the lag of a HostList.
type HostListOptions struct {
	// Lag is the time until a change becomes visible.
	Lag time.Duration
}

// HostList is an in-memory host list. Its methods may be called concurrently.
type HostList struct {
	mu      sync.Mutex
	lag     time.Duration
	outage  bool
	visible map[string]platform.Host
	pending []hostChange
	asOf    time.Time
}

// hostChange is a change that may not be visible yet.
type hostChange struct {
	at    time.Time
	apply func(map[string]platform.Host)
}

var _ platform.HostList = (*HostList)(nil)

// NewHostList returns an empty list without faults.
func NewHostList(opts HostListOptions) *HostList {
	return &HostList{lag: opts.Lag, visible: make(map[string]platform.Host)}
}

// Set adds or replaces the host of info.Name as live.
func (h *HostList) Set(info worker.Info) {
	h.change(func(hosts map[string]platform.Host) {
		hosts[info.Name] = platform.Host{Info: info, State: platform.HostLive}
	})
}

// MarkLeaving marks the host of that name as leaving, if it is listed.
func (h *HostList) MarkLeaving(name string) {
	h.change(func(hosts map[string]platform.Host) {
		if host, ok := hosts[name]; ok {
			host.State = platform.HostLeaving
			hosts[name] = host
		}
	})
}

// Remove removes the host of that name.
func (h *HostList) Remove(name string) {
	h.change(func(hosts map[string]platform.Host) { delete(hosts, name) })
}

// SetLag sets the time until a change becomes visible. What is visible stays
// visible when the lag grows.
func (h *HostList) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(time.Now())
	h.lag = lag
}

// SetOutage makes List fail with platform.ErrUnavailable while on is set.
func (h *HostList) SetOutage(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outage = on
}

// List implements platform.HostList. The hosts are sorted by name.
func (h *HostList) List(ctx context.Context) (platform.HostListReply, error) {
	if err := ctx.Err(); err != nil {
		return platform.HostListReply{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage {
		return platform.HostListReply{}, errors.WithStack(platform.ErrUnavailable)
	}
	h.advance(time.Now())
	reply := platform.HostListReply{AsOf: h.asOf, Hosts: make([]platform.Host, 0, len(h.visible))}
	for _, host := range h.visible {
		reply.Hosts = append(reply.Hosts, host)
	}
	slices.SortFunc(reply.Hosts, func(a, b platform.Host) int { return strings.Compare(a.Name, b.Name) })
	return reply, nil
}

func (h *HostList) change(apply func(map[string]platform.Host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, hostChange{at: time.Now(), apply: apply})
}

// advance applies the changes that have become visible. The time of the list
// never goes back.
func (h *HostList) advance(now time.Time) {
	asOf := now.Add(-h.lag).Round(0)
	if asOf.Before(h.asOf) {
		return
	}
	h.asOf = asOf
	n := 0
	for n < len(h.pending) && !h.pending[n].at.Round(0).After(asOf) {
		h.pending[n].apply(h.visible)
		n++
	}
	h.pending = slices.Delete(h.pending, 0, n)
}
