package standin

import (
	"context"
	"crypto/rand"
	"slices"
	"strconv"
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
	// instance makes the versions of different lists distinct.
	instance string
	version  uint64
	// changed is the version in which each host was last changed or removed.
	changed map[string]uint64
}

// hostChange is a change that may not be visible yet.
type hostChange struct {
	at    time.Time
	name  string
	apply func(map[string]platform.Host)
}

var _ platform.HostList = (*HostList)(nil)

// NewHostList returns an empty list without faults.
func NewHostList(opts HostListOptions) *HostList {
	return &HostList{
		lag: opts.Lag, visible: make(map[string]platform.Host), changed: make(map[string]uint64),
		instance: rand.Text(),
	}
}

// Set adds or replaces the host of info.Name as live.
func (h *HostList) Set(info worker.Info) {
	h.change(info.Name, func(hosts map[string]platform.Host) {
		hosts[info.Name] = platform.Host{Info: info, State: platform.HostLive}
	})
}

// MarkLeaving marks the host of that name as leaving, if it is listed.
func (h *HostList) MarkLeaving(name string) {
	h.change(name, func(hosts map[string]platform.Host) {
		if host, ok := hosts[name]; ok {
			host.State = platform.HostLeaving
			hosts[name] = host
		}
	})
}

// Remove removes the host of that name.
func (h *HostList) Remove(name string) {
	h.change(name, func(hosts map[string]platform.Host) { delete(hosts, name) })
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
	return h.Changes(ctx, platform.HostListRequest{})
}

// Changes returns what changed since the version of the request, or the whole
// list if that version is not one of this list. It fails as List does.
func (h *HostList) Changes(ctx context.Context, req platform.HostListRequest) (platform.HostListReply, error) {
	if err := ctx.Err(); err != nil {
		return platform.HostListReply{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage {
		return platform.HostListReply{}, errors.WithStack(platform.ErrUnavailable)
	}
	h.advance(time.Now())
	since, known := h.parseVersion(req.Since)
	reply := platform.HostListReply{AsOf: h.asOf, Version: h.formatVersion(h.version), Hosts: []platform.Host{}}
	if known {
		reply.Since = req.Since
	}
	for name, version := range h.changed {
		host, listed := h.visible[name]
		switch {
		case known && version <= since:
		case listed:
			reply.Hosts = append(reply.Hosts, host)
		case known:
			reply.Removed = append(reply.Removed, name)
		}
	}
	slices.SortFunc(reply.Hosts, func(a, b platform.Host) int { return strings.Compare(a.Name, b.Name) })
	return reply, nil
}

func (h *HostList) formatVersion(n uint64) string {
	return h.instance + "-" + strconv.FormatUint(n, 10)
}

func (h *HostList) parseVersion(version string) (uint64, bool) {
	number, ok := strings.CutPrefix(version, h.instance+"-")
	n, err := strconv.ParseUint(number, 10, 64)
	return n, ok && err == nil && n <= h.version
}

func (h *HostList) change(name string, apply func(map[string]platform.Host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, hostChange{at: time.Now(), name: name, apply: apply})
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
		h.version++
		h.changed[h.pending[n].name] = h.version
		n++
	}
	h.pending = slices.Delete(h.pending, 0, n)
}
