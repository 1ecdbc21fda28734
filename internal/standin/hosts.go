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

// HostListOptions configures a HostList.
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
	// instance prefixes the versions, so that those of different lists differ.
	instance string
	version  uint64
	// changed maps each host to the version that last changed or removed it.
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

// Set adds or replaces the host named info.Name, in state live.
func (h *HostList) Set(info worker.Info) {
	h.queueChange(info.Name, func(hosts map[string]platform.Host) {
		hosts[info.Name] = platform.Host{Info: info, State: platform.HostLive}
	})
}

// MarkLeaving marks the named host as leaving, if it is listed.
func (h *HostList) MarkLeaving(name string) {
	h.queueChange(name, func(hosts map[string]platform.Host) {
		if host, ok := hosts[name]; ok {
			host.State = platform.HostLeaving
			hosts[name] = host
		}
	})
}

// Remove removes the named host.
func (h *HostList) Remove(name string) {
	h.queueChange(name, func(hosts map[string]platform.Host) { delete(hosts, name) })
}

// SetLag sets the time until a change becomes visible. Changes that are already
// visible stay visible if the lag grows.
func (h *HostList) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyDueChanges(time.Now())
	h.lag = lag
}

// SetOutage makes List and Changes fail with platform.ErrUnavailable while on
// is true.
func (h *HostList) SetOutage(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outage = on
}

// List implements platform.HostList. The hosts are sorted by name.
func (h *HostList) List(ctx context.Context) (platform.HostListReply, error) {
	return h.Changes(ctx, platform.HostListRequest{})
}

// Changes returns what changed since the version in the request, or the whole
// list if this list never had that version.
func (h *HostList) Changes(ctx context.Context, req platform.HostListRequest) (platform.HostListReply, error) {
	if err := ctx.Err(); err != nil {
		return platform.HostListReply{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage {
		return platform.HostListReply{}, errors.WithStack(platform.ErrUnavailable)
	}
	h.applyDueChanges(time.Now())
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

// queueChange records a change that becomes visible after the lag.
func (h *HostList) queueChange(name string, apply func(map[string]platform.Host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, hostChange{at: time.Now(), name: name, apply: apply})
}

// applyDueChanges applies the changes whose lag has passed. The time of the
// list never goes back.
func (h *HostList) applyDueChanges(now time.Time) {
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
