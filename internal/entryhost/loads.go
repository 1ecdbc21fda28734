package entryhost

import (
	"math"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/domain"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Costs of forwarding a request to a peer, and bounds of reported loads. A request
// is forwarded only if that shortens its wait by more than the cost.
const (
	// sameDomainCost is the cost of the extra message between two entry hosts of
	// the same failure domain.
	sameDomainCost = time.Millisecond
	// crossDomainCost is the cost of the reservation and the reply between failure
	// domains, in addition to the round trip.
	crossDomainCost = 5 * time.Millisecond
	// crossRegionCost is a surcharge for the price of traffic between regions.
	crossRegionCost = 20 * time.Millisecond
	// crossDomainRTT and crossRegionRTT are the round-trip times between failure
	// domains and between regions in the networks for which the system is designed
	// (docs/design.md, section 2).
	crossDomainRTT = 3 * time.Millisecond
	crossRegionRTT = 16 * time.Millisecond
	// loadMaxAge is the age after which a peer's load is ignored. For a host under
	// pressure in another region, that is after three missed summaries.
	loadMaxAge = 3 * time.Second
	// noWorkerWait is the estimated wait for a service for which a host has no
	// worker. It is the largest wait that a load report can carry.
	noWorkerWait = time.Duration(math.MaxUint32) * time.Microsecond
)

// loadTable holds the loads that other entry hosts reported and, as a budget for
// each host and service, the number of requests that may be forwarded before the
// next report. The budget keeps all hosts from sending their requests to the one
// that reported free slots.
type loadTable struct {
	self  domain.Host
	hosts map[string]domain.Host
	// sharers is, for each host, the number of entry hosts that share the free
	// slots that it reports.
	sharers map[string]int
	now     func() time.Time

	mu    sync.Mutex
	peers map[string]*peerLoad
}

// peerLoad is the newest load of a peer, by service.
type peerLoad struct {
	receivedAt time.Time
	services   map[string]*serviceLoad
}

// serviceLoad is the load of one service on a peer.
type serviceLoad struct {
	free          int
	queued        int
	estimatedWait time.Duration
	// budget is the number of requests for the service that this host may still
	// forward to the peer before the peer's next report.
	budget int
}

func newLoadTable(topology domain.Topology, self domain.Host, now func() time.Time) *loadTable {
	t := &loadTable{
		self:    self,
		hosts:   make(map[string]domain.Host),
		sharers: make(map[string]int),
		now:     now,
		peers:   make(map[string]*peerLoad),
	}
	domains := make(map[string]int)
	for _, h := range topology.Hosts {
		t.hosts[h.Name] = h
		domains[h.FailureDomain]++
	}
	for _, h := range topology.Hosts {
		// The free slots of a host are shared by the other hosts of its failure
		// domain, and those of a failure domain by all hosts of the others, which
		// are counted as if each had as many hosts as this one.
		if h.FailureDomain == self.FailureDomain {
			t.sharers[h.Name] = max(1, domains[h.FailureDomain]-1)
		} else {
			t.sharers[h.Name] = max(1, len(domains)-1) * domains[self.FailureDomain]
		}
	}
	return t
}

// observe stores the load in a peer's heartbeat and the summaries of other failure
// domains that the peer forwards with it.
func (t *loadTable) observe(peer string, heartbeat *rpc.Beat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeLocked(peer, heartbeat.Load)
	for _, d := range heartbeat.Domains {
		if h, ok := t.hosts[d.Host]; ok && h.FailureDomain != t.self.FailureDomain {
			t.storeLocked(d.Host, d.Load)
		}
	}
}

// storeLocked replaces the load of a peer and renews its budgets. The caller holds
// t.mu.
func (t *loadTable) storeLocked(peer string, loads []*rpc.Load) {
	if len(loads) == 0 || t.hosts[peer].Name == "" {
		return
	}
	p := t.peers[peer]
	if p == nil {
		p = &peerLoad{}
		t.peers[peer] = p
	}
	p.receivedAt = t.now()
	p.services = make(map[string]*serviceLoad, len(loads))
	for _, l := range loads {
		budget := int(l.FreeSlots) / t.sharers[peer]
		if budget == 0 && l.FreeSlots > 0 {
			budget = 1
		}
		p.services[l.Service] = &serviceLoad{
			free:          int(l.FreeSlots),
			queued:        int(l.Queued),
			estimatedWait: time.Duration(l.WaitUs) * time.Microsecond,
			budget:        budget,
		}
	}
}

// peerUnderPressure reports whether any service of a peer was under pressure, as
// defined by underPressure, in its newest report. Such a peer looks for hosts with
// free slots. It also returns true for a peer that has not reported yet, since that
// peer may be under pressure.
func (t *loadTable) peerUnderPressure(peer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[peer]
	if p == nil {
		return true
	}
	for _, s := range p.services {
		if underPressure(s.free, s.queued, s.estimatedWait) {
			return true
		}
	}
	return false
}

// choosePeer returns the peer on which a request for a service is expected to start
// soonest, and deducts the request from the peer's budget. The expected wait is the
// one that the peer reported plus the cost of forwarding. It returns false if no peer
// with free slots and budget left would start the request in less than localWait.
// Reports older than loadMaxAge are ignored. If sameDomainOnly is set, only peers of
// this host's failure domain are considered. reachable is not called for peers of other
// failure domains, since most hosts exchange no heartbeats with them.
func (t *loadTable) choosePeer(service string, localWait time.Duration, sameDomainOnly bool, reachable func(string) bool) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, bestWait := "", localWait
	var bestLoad *serviceLoad
	for name, p := range t.peers {
		h := t.hosts[name]
		if sameDomainOnly && h.FailureDomain != t.self.FailureDomain {
			continue
		}
		if t.now().Sub(p.receivedAt) > loadMaxAge {
			continue
		}
		if h.FailureDomain == t.self.FailureDomain && !reachable(name) {
			continue
		}
		s := p.services[service]
		if s == nil || s.budget <= 0 || s.free == 0 {
			continue
		}
		if wait := s.estimatedWait + t.forwardingCost(h); wait < bestWait {
			best, bestWait, bestLoad = name, wait, s
		}
	}
	if bestLoad == nil {
		return "", false
	}
	bestLoad.budget--
	return best, true
}

// exhaustBudget sets the budget of a peer for a service to 0 after the peer refused
// a request, so that it gets none before its next report.
func (t *loadTable) exhaustBudget(peer, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[peer]; p != nil && p.services[service] != nil {
		p.services[service].budget = 0
	}
}

// forwardingCost returns the cost of forwarding a request to host h.
func (t *loadTable) forwardingCost(h domain.Host) time.Duration {
	switch {
	case h.FailureDomain == t.self.FailureDomain:
		return sameDomainCost
	case h.Region == t.self.Region:
		return crossDomainRTT + crossDomainCost
	default:
		return crossRegionRTT + crossDomainCost + crossRegionCost
	}
}

// remoteDomainLoads returns the newest summaries of other failure domains, to be
// forwarded to the other hosts of this one. Services without free slots are left
// out.
func (t *loadTable) remoteDomainLoads() []*rpc.DomainLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*rpc.DomainLoad
	for name, p := range t.peers {
		if t.hosts[name].FailureDomain == t.self.FailureDomain || t.now().Sub(p.receivedAt) > loadMaxAge {
			continue
		}
		d := &rpc.DomainLoad{Host: name}
		for service, s := range p.services {
			if s.free > 0 {
				d.Load = append(d.Load, &rpc.Load{Service: service, FreeSlots: uint32(s.free), WaitUs: uint32(s.estimatedWait / time.Microsecond)})
			}
		}
		out = append(out, d)
	}
	return out
}

// domainSummary returns the load summary that goes to other failure domains: the
// sum of own and the newest loads of hosts, with the shortest wait of each
// service.
func (t *loadTable) domainSummary(own []*rpc.Load, hosts []string) []*rpc.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := make(map[string]*rpc.Load, len(own))
	out := make([]*rpc.Load, 0, len(own))
	for _, l := range own {
		sum := &rpc.Load{Service: l.Service, FreeSlots: l.FreeSlots, Queued: l.Queued, WaitUs: l.WaitUs}
		total[l.Service] = sum
		out = append(out, sum)
	}
	for _, name := range hosts {
		p := t.peers[name]
		if p == nil || name == t.self.Name || t.now().Sub(p.receivedAt) > loadMaxAge {
			continue
		}
		for service, s := range p.services {
			sum := total[service]
			if sum == nil {
				sum = &rpc.Load{Service: service, WaitUs: math.MaxUint32}
				total[service] = sum
				out = append(out, sum)
			}
			sum.FreeSlots += uint32(s.free)
			sum.Queued += uint32(s.queued)
			sum.WaitUs = min(sum.WaitUs, uint32(s.estimatedWait/time.Microsecond))
		}
	}
	return out
}
