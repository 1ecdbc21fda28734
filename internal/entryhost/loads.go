package entryhost

import (
	"math"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/domain"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Costs of passing a request on, which the wait saved must exceed.
const (
	// sameDomainCost covers the extra message between two entry hosts of one failure
	// domain.
	sameDomainCost = time.Millisecond
	// crossDomainCost covers the reservation and reply between failure domains.
	crossDomainCost = 5 * time.Millisecond
	// crossRegionCost stands for the price of volume on the link between regions.
	crossRegionCost = 20 * time.Millisecond
	// crossDomainRTT and crossRegionRTT are the round trips between failure domains and
	// between regions of both users (design page, section 2).
	crossDomainRTT = 3 * time.Millisecond
	crossRegionRTT = 16 * time.Millisecond
	// loadMaxAge is the age after which a peer's load counts for nothing: three
	// missed summaries of the slowest link.
	loadMaxAge = 3 * time.Second
	// noWorkerWait is the estimated wait of a host without workers for a
	// service.
	noWorkerWait = time.Duration(math.MaxUint32) * time.Microsecond
)

// loadTable keeps the load that other entry hosts reported and the number of
// requests that may still be passed to each before its next report. The
// budget keeps all hosts from running to the one that reported free slots.
type loadTable struct {
	self    domain.Host
	hosts   map[string]domain.Host
	sharers map[string]int
	now     func() time.Time

	mu    sync.Mutex
	peers map[string]*peerLoad
}

type peerLoad struct {
	received time.Time
	services map[string]*serviceLoad
}

type serviceLoad struct {
	free   int
	queued int
	wait   time.Duration
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
		// A host's free slots are shared by the other hosts of its failure
		// domain, a failure domain's by all hosts of the others.
		if h.FailureDomain == self.FailureDomain {
			t.sharers[h.Name] = max(1, domains[h.FailureDomain]-1)
		} else {
			t.sharers[h.Name] = max(1, len(domains)-1) * domains[self.FailureDomain]
		}
	}
	return t
}

// observe stores the load in a peer's heartbeat and the summaries that it
// passes on.
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

func (t *loadTable) storeLocked(peer string, loads []*rpc.Load) {
	if len(loads) == 0 || t.hosts[peer].Name == "" {
		return
	}
	p := t.peers[peer]
	if p == nil {
		p = &peerLoad{}
		t.peers[peer] = p
	}
	p.received = t.now()
	p.services = make(map[string]*serviceLoad, len(loads))
	for _, l := range loads {
		budget := int(l.FreeSlots) / t.sharers[peer]
		if budget == 0 && l.FreeSlots > 0 {
			budget = 1
		}
		p.services[l.Service] = &serviceLoad{
			free:   int(l.FreeSlots),
			queued: int(l.Queued),
			wait:   time.Duration(l.WaitUs) * time.Microsecond,
			budget: budget,
		}
	}
}

// peerUnderPressure reports whether a service of a peer was under pressure in its newest
// report, so that it looks for room elsewhere.
func (t *loadTable) peerUnderPressure(peer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[peer]
	if p == nil {
		return true
	}
	for _, s := range p.services {
		if underPressure(s.free, s.queued, s.wait) {
			return true
		}
	}
	return false
}

// choosePeer returns the peer at which a request of service starts soonest and
// takes one from its budget. It returns false if that is not sooner than
// localWaitEstimate or if only hosts with a spent budget are left.
func (t *loadTable) choosePeer(service string, localWait time.Duration, localOnly bool, usable func(string) bool) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, bestWait := "", localWait
	var bestLoad *serviceLoad
	for name, p := range t.peers {
		h := t.hosts[name]
		if localOnly && h.FailureDomain != t.self.FailureDomain {
			continue
		}
		if t.now().Sub(p.received) > loadMaxAge {
			continue
		}
		if h.FailureDomain == t.self.FailureDomain && !usable(name) {
			continue
		}
		s := p.services[service]
		if s == nil || s.budget <= 0 || s.free == 0 {
			continue
		}
		if wait := s.wait + t.forwardingCost(h); wait < bestWait {
			best, bestWait, bestLoad = name, wait, s
		}
	}
	if bestLoad == nil {
		return "", false
	}
	bestLoad.budget--
	return best, true
}

// exhaustBudget empties a peer's budget for a service after it refused a request.
func (t *loadTable) exhaustBudget(peer, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[peer]; p != nil && p.services[service] != nil {
		p.services[service].budget = 0
	}
}

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

// remoteDomainLoads returns the newest summaries of other failure domains that have free
// slots, for the other hosts of the own one.
func (t *loadTable) remoteDomainLoads() []*rpc.DomainLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*rpc.DomainLoad
	for name, p := range t.peers {
		if t.hosts[name].FailureDomain == t.self.FailureDomain || t.now().Sub(p.received) > loadMaxAge {
			continue
		}
		d := &rpc.DomainLoad{Host: name}
		for service, s := range p.services {
			if s.free > 0 {
				d.Load = append(d.Load, &rpc.Load{Service: service, FreeSlots: uint32(s.free), WaitUs: uint32(s.wait / time.Microsecond)})
			}
		}
		out = append(out, d)
	}
	return out
}

// domainSummary adds the newest loads of the hosts in names to own, for the
// summary that goes to other failure domains.
func (t *loadTable) domainSummary(own []*rpc.Load, names []string) []*rpc.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := make(map[string]*rpc.Load, len(own))
	out := make([]*rpc.Load, 0, len(own))
	for _, l := range own {
		c := &rpc.Load{Service: l.Service, FreeSlots: l.FreeSlots, Queued: l.Queued, WaitUs: l.WaitUs}
		total[l.Service] = c
		out = append(out, c)
	}
	for _, name := range names {
		p := t.peers[name]
		if p == nil || name == t.self.Name || t.now().Sub(p.received) > loadMaxAge {
			continue
		}
		for service, s := range p.services {
			c := total[service]
			if c == nil {
				c = &rpc.Load{Service: service, WaitUs: math.MaxUint32}
				total[service] = c
				out = append(out, c)
			}
			c.FreeSlots += uint32(s.free)
			c.Queued += uint32(s.queued)
			c.WaitUs = min(c.WaitUs, uint32(s.wait/time.Microsecond))
		}
	}
	return out
}
