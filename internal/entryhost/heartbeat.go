package entryhost

import (
	"math"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

const (
	// loadCacheTTL is how long a computed load is reused. It is short compared
	// with the heartbeat interval, and it spares most requests the computation.
	loadCacheTTL = 25 * time.Millisecond
	// domainRelayInterval is how often the first live host forwards the load
	// summaries of other failure domains to each peer. The summaries arrive no more
	// often.
	domainRelayInterval = time.Second
	// idleReportInterval is how often the load is reported to a peer while neither
	// host is under pressure. It is below loadMaxAge, after which the peer ignores
	// the load.
	idleReportInterval = 1700 * time.Millisecond
)

// localLoadCache caches the load of this host's scheduler and remembers when
// loads were last reported to each peer.
type localLoadCache struct {
	mu         sync.Mutex
	computedAt time.Time
	loads      []*rpc.Load
	waits      map[string]time.Duration
	// lastRelayedAt is when the summaries of other failure domains were last sent
	// to each peer.
	lastRelayedAt map[string]time.Time
	// lastReportedAt is when this host's load was last sent to each peer.
	lastReportedAt map[string]time.Time
}

// localLoads returns the load of each service on this host, at most loadCacheTTL
// old.
func (h *Host) localLoads() []*rpc.Load {
	cache := &h.localLoad
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
			// There is no free slot, and no start from which to estimate the wait.
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

// localWaitEstimate estimates how long a new request for a service would wait on
// this host.
func (h *Host) localWaitEstimate(service string) time.Duration {
	h.localLoads()
	h.localLoad.mu.Lock()
	defer h.localLoad.mu.Unlock()
	return h.localLoad.waits[service]
}

// fillHeartbeat adds the clock, configuration offset, load and team demand of this
// host to a heartbeat or reply for peer.
func (h *Host) fillHeartbeat(peer string, heartbeat *rpc.Beat) {
	heartbeat.Clock = h.clock.Now()
	heartbeat.ConfigOffset = h.config.AppliedOffset()
	if h.draining.Load() {
		return
	}
	own := h.localLoads()
	switch {
	case !h.markLoadReportIfDue(peer, own):
	case h.inOwnFailureDomain(peer):
		heartbeat.Load = own
		heartbeat.Domains = h.takeDueDomainLoads(peer)
	default:
		heartbeat.Load = h.loads.domainSummary(own, h.membership.LiveHosts())
	}
	heartbeat.Demand = h.quotas.teamDemands(peer, h.teamUsage(), h.teamQuotaSlots)
}

// markLoadReportIfDue reports whether a heartbeat to peer should carry the load, and
// if so records it as sent. The load goes with every heartbeat while this host or
// the peer, which may then forward requests, is under pressure, and otherwise
// once per idleReportInterval.
func (h *Host) markLoadReportIfDue(peer string, own []*rpc.Load) bool {
	h.localLoad.mu.Lock()
	defer h.localLoad.mu.Unlock()
	if h.localLoad.lastReportedAt == nil {
		h.localLoad.lastReportedAt = make(map[string]time.Time)
	}
	if !anyUnderPressure(own) && !h.loads.peerUnderPressure(peer) && time.Since(h.localLoad.lastReportedAt[peer]) < idleReportInterval {
		return false
	}
	h.localLoad.lastReportedAt[peer] = time.Now()
	return true
}

// anyUnderPressure reports whether any of the services is under pressure.
func anyUnderPressure(loads []*rpc.Load) bool {
	for _, l := range loads {
		if underPressure(int(l.FreeSlots), int(l.Queued), time.Duration(l.WaitUs)*time.Microsecond) {
			return true
		}
	}
	return false
}

// underPressure reports whether a service has work queued or no free slot. A
// service without queued work that never had a slot, because the host has no
// worker with the accelerators that it needs, does not count: such a host would
// otherwise send its load with every heartbeat forever.
func underPressure(free, queued int, wait time.Duration) bool {
	return queued > 0 || free == 0 && wait < noWorkerWait
}

// takeDueDomainLoads returns the load summaries of other failure domains and records
// them as sent if they are due to peer, and returns nil otherwise. Only the first
// live host of a failure domain receives summaries from others, so only it forwards
// them.
func (h *Host) takeDueDomainLoads(peer string) []*rpc.DomainLoad {
	if !h.membership.IsFirstHost() {
		return nil
	}
	h.localLoad.mu.Lock()
	defer h.localLoad.mu.Unlock()
	if h.localLoad.lastRelayedAt == nil {
		h.localLoad.lastRelayedAt = make(map[string]time.Time)
	}
	if time.Since(h.localLoad.lastRelayedAt[peer]) < domainRelayInterval {
		return nil
	}
	h.localLoad.lastRelayedAt[peer] = time.Now()
	return h.loads.remoteDomainLoads()
}

// observeHeartbeat processes the contents of a heartbeat or reply from peer.
func (h *Host) observeHeartbeat(peer string, heartbeat *rpc.Beat) {
	h.clock.Observe(heartbeat.Clock)
	h.loads.observe(peer, heartbeat)
	h.quotas.observe(peer, heartbeat.Demand, time.Now())
	h.config.ObservePeerOffset(peer, heartbeat.ConfigOffset)
}

// teamUsage returns the running and queued work of each team on this host.
func (h *Host) teamUsage() map[string]teamUsage {
	usage := make(map[string]teamUsage)
	for team, demand := range h.scheduler.Demand() {
		usage[team] = teamUsage{running: demand.Running, queued: demand.Queued}
	}
	return usage
}

// teamQuotaSlots returns a team's quota over all entry hosts. It is unlimited for
// a team without a quota and 0 while there is no configuration.
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

// setLocalQuotas passes this host's share of the quota of each team with running
// or queued work to the scheduler.
func (h *Host) setLocalQuotas(c *contract.Configuration) {
	for team := range h.scheduler.Demand() {
		if q, ok := c.Quota(team); ok {
			h.scheduler.SetLocalQuota(team, h.quotas.localShare(team, q.Slots))
		}
	}
}
