package entryhost

import (
	"math"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

const (
	// loadCacheTTL is how long a computed load is used: short against the
	// heartbeat interval, and it keeps the cost off the path of a request.
	loadCacheTTL = 25 * time.Millisecond
	// domainRelayInterval is how often the first live host passes the summaries of
	// other failure domains on, no more often than they come in.
	domainRelayInterval = time.Second
	// idleReportInterval is how often the load goes to peers while nothing is queued: it
	// must arrive once within loadMaxAge even if one heartbeat is lost.
	idleReportInterval = 1700 * time.Millisecond
)

// localLoadCache caches the load of this host's scheduler.
type localLoadCache struct {
	mu            sync.Mutex
	computedAt    time.Time
	loads         []*rpc.Load
	waits         map[string]time.Duration
	lastRelayedAt map[string]time.Time
	// lastReportedAt is when the load went to each peer.
	lastReportedAt map[string]time.Time
}

// localLoads returns the load of this host, at most loadCacheTTL old.
func (h *Host) localLoads() []*rpc.Load {
	cache := &h.local
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if time.Since(cache.computedAt) < loadCacheTTL {
		return cache.loads
	}
	cache.computedAt = time.Now()
	cache.loads = cache.loads[:0:0]
	cache.waits = make(map[string]time.Duration)
	for _, s := range h.scheduler.Load() {
		wait := s.EstimatedWait
		if s.FreeSlots == 0 && wait == 0 {
			// Nothing is free and nothing was started yet to estimate from.
			wait = noWorkerWait
		}
		cache.waits[s.Service] = wait
		cache.loads = append(cache.loads, &rpc.Load{
			Service:   s.Service,
			FreeSlots: uint32(s.FreeSlots),
			Queued:    uint32(s.Queued),
			WaitUs:    uint32(min(int64(math.MaxUint32), wait.Microseconds())),
		})
	}
	return cache.loads
}

// localWaitEstimate estimates how long a new request of a service waits here.
func (h *Host) localWaitEstimate(service string) time.Duration {
	h.localLoads()
	h.local.mu.Lock()
	defer h.local.mu.Unlock()
	return h.local.waits[service]
}

// fillHeartbeat adds clock, offset, load and demand to a heartbeat for peer.
func (h *Host) fillHeartbeat(peer string, heartbeat *rpc.Beat) {
	heartbeat.Clock = h.clock.Now()
	heartbeat.ConfigOffset = h.config.Applied()
	if h.draining.Load() {
		return
	}
	own := h.localLoads()
	switch {
	case !h.isLoadReportDue(peer, own):
	case h.inOwnDomain(peer):
		heartbeat.Load = own
		heartbeat.Domains = h.dueDomainLoads(peer)
	default:
		heartbeat.Load = h.loads.domainSummary(own, h.membership.LiveHosts())
	}
	heartbeat.Demand = h.quotas.teamDemands(peer, h.teamUsage(), h.teamQuotaSlots)
}

// isLoadReportDue reports whether the load is due to a peer: with every heartbeat while
// work is queued here or the peer may pass work on, and rarely while all have
// room.
func (h *Host) isLoadReportDue(peer string, own []*rpc.Load) bool {
	h.local.mu.Lock()
	defer h.local.mu.Unlock()
	if h.local.lastReportedAt == nil {
		h.local.lastReportedAt = make(map[string]time.Time)
	}
	if !anyUnderPressure(own) && !h.loads.peerUnderPressure(peer) && time.Since(h.local.lastReportedAt[peer]) < idleReportInterval {
		return false
	}
	h.local.lastReportedAt[peer] = time.Now()
	return true
}

// anyUnderPressure reports whether any service of a host is under pressure.
func anyUnderPressure(loads []*rpc.Load) bool {
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
	return queued > 0 || free == 0 && wait < noWorkerWait
}

// dueDomainLoads returns the summaries of other failure domains if they are due to
// peer. Only the first live host receives them.
func (h *Host) dueDomainLoads(peer string) []*rpc.DomainLoad {
	if !h.membership.IsFirstHost() {
		return nil
	}
	h.local.mu.Lock()
	defer h.local.mu.Unlock()
	if h.local.lastRelayedAt == nil {
		h.local.lastRelayedAt = make(map[string]time.Time)
	}
	if time.Since(h.local.lastRelayedAt[peer]) < domainRelayInterval {
		return nil
	}
	h.local.lastRelayedAt[peer] = time.Now()
	return h.loads.remoteDomainLoads()
}

// observeHeartbeat takes what a peer told with a heartbeat or its reply.
func (h *Host) observeHeartbeat(peer string, heartbeat *rpc.Beat) {
	h.clock.Observe(heartbeat.Clock)
	h.loads.observe(peer, heartbeat)
	h.quotas.observe(peer, heartbeat.Demand, time.Now())
	h.config.NoticeOffset(peer, heartbeat.ConfigOffset)
}

func (h *Host) teamUsage() map[string]teamUsage {
	usage := make(map[string]teamUsage)
	for team, demand := range h.scheduler.Demand() {
		usage[team] = teamUsage{running: demand.Running, queued: demand.Queued}
	}
	return usage
}

// teamQuotaSlots returns a team's quota over all entry hosts; teams without one
// are not bounded.
func (h *Host) teamQuotaSlots(team string) int {
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

// setLocalQuotas gives the scheduler this host's part of each quota that is in
// use.
func (h *Host) setLocalQuotas(c *contract.Configuration) {
	for team := range h.scheduler.Demand() {
		if q, ok := c.Quota(team); ok {
			h.scheduler.SetLocalQuota(team, h.quotas.localShare(team, q.Slots))
		}
	}
}
