package domain

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Owner returns the host of the own failure domain that should hold a worker
// of that failure domain, empty if there is none. A host that joins again
// after a pause keeps its workers unless it was declared dead: joining concerns
// request records, and the workers themselves decide who holds them.
func (m *Membership) Owner(worker string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	return m.owner(worker)
}

func (m *Membership) owner(worker string) string {
	self := m.state == rpc.HostState_HOST_STATE_LIVE ||
		m.state == rpc.HostState_HOST_STATE_JOINING && m.wasLive
	return RendezvousFirst(worker, m.hosts(self, func(p *peer) bool {
		return p.live() || p.joining() && p.wasLive
	}))
}

// OwnerIn returns the host that should hold a worker of any failure domain,
// empty if this host cannot tell or there is none.
//
// A worker of another failure domain of the same region is taken only if all
// entry hosts there have been silent for OrphanAfter. One of the reachable
// failure domains of the region takes it, chosen in rendezvous order, and
// there the first live host, the only one that probes other failure domains.
// Two failure domains with different views may both try; the worker grants its
// lease to one.
func (m *Membership) OwnerIn(failureDomain, worker string) string {
	t := m.opts.Topology
	// Most workers of a large cell are in other regions, and the topology never
	// changes, so that these need no look at the peers.
	if t.RegionOf(failureDomain) != m.self.Region {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	if failureDomain == m.self.FailureDomain {
		return m.owner(worker)
	}
	if reachable := m.reachableIn(failureDomain, now); len(reachable) > 0 {
		return RendezvousFirst(worker, reachable)
	}
	if m.state != rpc.HostState_HOST_STATE_LIVE || !m.first() || !m.orphaned(failureDomain, now) {
		return ""
	}
	domains := []string{m.self.FailureDomain}
	for _, d := range t.FailureDomains() {
		if d != m.self.FailureDomain && t.RegionOf(d) == m.self.Region && len(m.reachableIn(d, now)) > 0 {
			domains = append(domains, d)
		}
	}
	taker := RendezvousFirst(worker, domains)
	if taker == m.self.FailureDomain {
		return m.self.Name
	}
	return RendezvousFirst(worker, m.reachableIn(taker, now))
}

// ReachableHosts returns the reachable hosts of a failure domain, sorted.
func (m *Membership) ReachableHosts(failureDomain string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachableIn(failureDomain, m.observe())
}

func (m *Membership) reachableIn(failureDomain string, now time.Time) []string {
	return m.hosts(false, func(p *peer) bool {
		return p.host.FailureDomain == failureDomain && m.reachable(p, now)
	})
}

// orphaned reports whether beats to each host of a failure domain have failed
// for OrphanAfter and still do. A failure domain without entry hosts in the
// settings is never orphaned.
func (m *Membership) orphaned(failureDomain string, now time.Time) bool {
	found := false
	for _, p := range m.peers {
		if p.host.FailureDomain != failureDomain {
			continue
		}
		found = true
		if p.failures == 0 || now.Sub(p.silentSince) < m.opts.OrphanAfter || now.Sub(p.lastFailed) >= m.opts.OrphanAfter {
			return false
		}
	}
	return found
}
