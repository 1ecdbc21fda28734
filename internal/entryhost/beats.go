package entryhost

import (
	"math"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

const (
	// loadRefresh is how long a computed load is used: short against the
	// heartbeat interval, and it keeps the cost off the path of a request.
	loadRefresh = 25 * time.Millisecond
	// relayInterval is how often the first live host passes the summaries of
	// other failure domains on, no more often than they come in.
	relayInterval = time.Second
	// idleReport is how often the load goes to peers while nothing is queued: it
	// must arrive once within loadMaxAge even if one heartbeat is lost.
	idleReport = 1700 * time.Millisecond
)

// localLoad caches the load of this host's scheduler.
type localLoad struct {
	mu      sync.Mutex
	taken   time.Time
	loads   []*rpc.Load
	waits   map[string]time.Duration
	relayed map[string]time.Time
	// reported is when the load went to each peer.
	reported map[string]time.Time
}

// refresh returns the load of this host, at most loadRefresh old.
func (h *Host) refresh() []*rpc.Load {
	l := &h.local
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.taken) < loadRefresh {
		return l.loads
	}
	l.taken = time.Now()
	l.loads = l.loads[:0:0]
	l.waits = make(map[string]time.Duration)
	for _, s := range h.scheduler.Load() {
		wait := s.EstimatedWait
		if s.FreeSlots == 0 && wait == 0 {
			// Nothing is free and nothing was started yet to estimate from.
			wait = waitUnavailable
		}
		l.waits[s.Service] = wait
		l.loads = append(l.loads, &rpc.Load{
			Service:   s.Service,
			FreeSlots: uint32(s.FreeSlots),
			Queued:    uint32(s.Queued),
			WaitUs:    uint32(min(int64(math.MaxUint32), wait.Microseconds())),
		})
	}
	return l.loads
}

// localWait estimates how long a new request of a service waits here.
func (h *Host) localWait(service string) time.Duration {
	h.refresh()
	h.local.mu.Lock()
	defer h.local.mu.Unlock()
	return h.local.waits[service]
}

// fillBeat adds clock, offset, load and demand to a heartbeat for peer.
func (h *Host) fillBeat(peer string, beat *rpc.Beat) {
	beat.Clock = h.clock.Now()
	beat.ConfigOffset = h.config.AppliedOffset()
	if h.draining.Load() {
		return
	}
	own := h.refresh()
	switch {
	case !h.loadDue(peer, own):
	case h.inOwnDomain(peer):
		beat.Load = own
		beat.Domains = h.relay(peer)
	default:
		beat.Load = h.loads.aggregate(own, h.membership.LiveHosts())
	}
	beat.Demand = h.quotas.offer(peer, h.teamUse(), h.quotaSlots)
}

// loadDue reports whether the load is due to a peer: with every heartbeat while
// work is queued here or the peer may pass work on, and rarely while all have
// room.
func (h *Host) loadDue(peer string, own []*rpc.Load) bool {
	h.local.mu.Lock()
	defer h.local.mu.Unlock()
	if h.local.reported == nil {
		h.local.reported = make(map[string]time.Time)
	}
	if !pressed(own) && !h.loads.pressed(peer) && time.Since(h.local.reported[peer]) < idleReport {
		return false
	}
	h.local.reported[peer] = time.Now()
	return true
}

// pressed reports whether any service of a host is under pressure.
func pressed(loads []*rpc.Load) bool {
	for _, l := range loads {
		if underPressure(int(l.FreeSlots), int(l.Queued), time.Duration(l.WaitUs)*time.Microsecond) {
			return true
		}
	}
	return false
}

// underPressure reports whether a service has work queued or no free slot. One
// that never had a slot, as its host has no worker with the accelerators that it
// needs, is not: a host like that sent its load with every heartbeat for good.
func underPressure(free, queued int, wait time.Duration) bool {
	return queued > 0 || free == 0 && wait < waitUnavailable
}

// relay returns the summaries of other failure domains if they are due to
// peer. Only the first live host receives them.
func (h *Host) relay(peer string) []*rpc.DomainLoad {
	if !h.membership.IsFirstHost() {
		return nil
	}
	h.local.mu.Lock()
	defer h.local.mu.Unlock()
	if h.local.relayed == nil {
		h.local.relayed = make(map[string]time.Time)
	}
	if time.Since(h.local.relayed[peer]) < relayInterval {
		return nil
	}
	h.local.relayed[peer] = time.Now()
	return h.loads.domains()
}

// observeBeat takes what a peer told with a heartbeat or its reply.
func (h *Host) observeBeat(peer string, beat *rpc.Beat) {
	h.clock.Observe(beat.Clock)
	h.loads.observe(peer, beat)
	h.quotas.observe(peer, beat.Demand, time.Now())
	h.config.ObservePeerOffset(peer, beat.ConfigOffset)
}

func (h *Host) teamUse() map[string]teamUse {
	use := make(map[string]teamUse)
	for team, d := range h.scheduler.Demand() {
		use[team] = teamUse{running: d.Running, queued: d.Queued}
	}
	return use
}

// quotaSlots returns a team's quota over all entry hosts; teams without one
// are not bounded.
func (h *Host) quotaSlots(team string) int {
	c, ok := h.config.Current()
	if !ok {
		return 0
	}
	q, ok := c.Quota(team)
	if !ok {
		return math.MaxInt32
	}
	return q.Slots
}

// setQuotaParts gives the scheduler this host's part of each quota that is in
// use.
func (h *Host) setQuotaParts(c *contract.Configuration) {
	for team := range h.scheduler.Demand() {
		if q, ok := c.Quota(team); ok {
			h.scheduler.SetLocalQuota(team, h.quotas.part(team, q.Slots))
		}
	}
}
