package domain

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Owner returns the host of this host's failure domain that should hold the lease
// of a worker in the same failure domain, empty if there is none. A host that joins
// again after a pause keeps its workers unless it was declared dead: joining only
// concerns request records, and each worker itself grants its lease to one host.
func (m *Membership) Owner(worker string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	return m.ownerLocked(worker)
}

func (m *Membership) ownerLocked(worker string) string {
	self := m.state == rpc.HostState_HOST_STATE_LIVE ||
		m.state == rpc.HostState_HOST_STATE_JOINING && m.wasLive
	return RendezvousFirst(worker, m.hostNames(self, func(p *peer) bool {
		return p.live() || p.joining() && p.wasLive
	}))
}

// OwnerIn returns the host that should hold the lease of a worker in any failure
// domain, empty if this host does not know or there is none.
//
// A worker of another failure domain of the same region is taken over only if
// heartbeats to all entry hosts there have failed for OrphanAfter. Of the reachable
// failure domains of the region, the first in rendezvous order takes it over, and
// in that failure domain the first live host, the only one that sends heartbeats to
// other failure domains. Two failure domains with different views may both try to;
// the worker grants its lease to one of them.
func (m *Membership) OwnerIn(failureDomain, worker string) string {
	t := m.opts.Topology
	// Most workers of a large cell are in other regions. The topology never changes,
	// so this case is decided without locking m.mu and checking the peers.
	if t.RegionOf(failureDomain) != m.self.Region {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.evaluateTimeouts()
	if failureDomain == m.self.FailureDomain {
		return m.ownerLocked(worker)
	}
	if reachable := m.reachableHostsLocked(failureDomain, now); len(reachable) > 0 {
		return RendezvousFirst(worker, reachable)
	}
	if m.state != rpc.HostState_HOST_STATE_LIVE || !m.isFirstHostLocked() || !m.orphaned(failureDomain, now) {
		return ""
	}
	domains := []string{m.self.FailureDomain}
	for _, d := range t.FailureDomains() {
		if d != m.self.FailureDomain && t.RegionOf(d) == m.self.Region && len(m.reachableHostsLocked(d, now)) > 0 {
			domains = append(domains, d)
		}
	}
	taker := RendezvousFirst(worker, domains)
	if taker == m.self.FailureDomain {
		return m.self.Name
	}
	return RendezvousFirst(worker, m.reachableHostsLocked(taker, now))
}

// ReachableHosts returns the reachable hosts of a failure domain, sorted.
func (m *Membership) ReachableHosts(failureDomain string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachableHostsLocked(failureDomain, m.evaluateTimeouts())
}

func (m *Membership) reachableHostsLocked(failureDomain string, now time.Time) []string {
	return m.hostNames(false, func(p *peer) bool {
		return p.host.FailureDomain == failureDomain && m.reachableLocked(p, now)
	})
}

// orphaned reports whether heartbeats to every host of a failure domain have been
// failing for OrphanAfter and still do. A failure domain without entry hosts in the
// settings is never orphaned.
func (m *Membership) orphaned(failureDomain string, now time.Time) bool {
	found := false
	for _, p := range m.peers {
		if p.host.FailureDomain != failureDomain {
			continue
		}
		found = true
		if p.failures == 0 || now.Sub(p.failingSince) < m.opts.OrphanAfter || now.Sub(p.lastFailure) >= m.opts.OrphanAfter {
			return false
		}
	}
	return found
}
