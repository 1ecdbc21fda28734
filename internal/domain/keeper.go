package domain

import (
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Errors of CheckKeeper.
var (
	// ErrNotKeeper means that another host is the record keeper of the ID, or that
	// this host is leaving.
	ErrNotKeeper = errors.New("this entry host is not the record keeper of the ID")
	// ErrLeaseExpired means that there is no recent evidence about a peer, which
	// may therefore have declared this host dead. See leaseValidLocked.
	ErrLeaseExpired = errors.New("the keeper lease of this entry host has expired")
	// ErrJoining means that this host may lack records of its failure domain.
	ErrJoining = errors.New("this entry host is still joining its failure domain")
)

// Keeper returns the record keeper of a request ID whose home is this host's
// failure domain. The record keeper stores the record of the request and dispatches
// it, as the primary of a primary-backup scheme; it is the first live host in
// rendezvous order. The result is empty if no host is live.
func (m *Membership) Keeper(id string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	return RendezvousFirst(id, m.liveHostsLocked())
}

// CheckKeeper returns nil if this host may act as record keeper of the ID now.
// Otherwise it returns ErrNotKeeper, ErrLeaseExpired or ErrJoining. A keeper must
// call it before it accepts a request, and again before it dispatches the request,
// when its backups have acknowledged the record.
func (m *Membership) CheckKeeper(id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.evaluateTimeouts()
	switch {
	case m.state == rpc.HostState_HOST_STATE_JOINING:
		return ErrJoining
	case m.state != rpc.HostState_HOST_STATE_LIVE:
		return ErrNotKeeper
	case !m.leaseValidLocked(now):
		return ErrLeaseExpired
	case RendezvousFirst(id, m.liveHostsLocked()) != m.self.Name:
		return ErrNotKeeper
	}
	return nil
}

// LeaseValid reports whether this host is live and has a valid keeper lease.
func (m *Membership) LeaseValid() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.evaluateTimeouts()
	return m.state == rpc.HostState_HOST_STATE_LIVE && m.leaseValidLocked(now)
}

// leaseValidLocked reports whether there is evidence newer than KeeperLease about
// every peer of this host's failure domain: a reply, or for a peer that is not live
// also a failed heartbeat. Its age is measured from the sending of the heartbeat,
// because only after that can the peer begin to measure the silence of this host.
// A leaving peer is exempt: it does not act as keeper again in that incarnation,
// and its exit must not interrupt the others.
func (m *Membership) leaseValidLocked(now time.Time) bool {
	for _, p := range m.peers {
		if !p.sameDomain || p.state == rpc.HostState_HOST_STATE_LEAVING {
			continue
		}
		evidence := p.lastAckedSentAt
		if p.dead || p.mustRejoin || p.joining() {
			if p.lastFailure.After(evidence) {
				evidence = p.lastFailure
			}
		}
		if evidence.IsZero() || now.Sub(evidence) >= m.opts.KeeperLease {
			return false
		}
	}
	return true
}

// AcceptsKeeper reports whether this host, as a backup, considers the host from to
// be the record keeper of the ID.
func (m *Membership) AcceptsKeeper(id, from string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	return from != m.self.Name && RendezvousFirst(id, m.liveHostsLocked()) == from
}

// Backups returns the peers whose acknowledgement a keeper needs before it
// dispatches a request, sorted: all live and all joining peers of its failure
// domain. A keeper must store the record itself before it calls Backups.
//
// A fixed number of two backups would be unsafe with more than three hosts: if two
// hosts both believe that they are the keeper, each could choose two other hosts.
// If all peers must acknowledge, a host that considers the other one live needs its
// acknowledgement and is refused, and a host that has declared the other one dead
// did so after the other's keeper lease had expired. Joining peers are included so
// that they have all records, including those that are created while they copy the
// existing ones. The cost of waiting for all peers is acceptable because failure
// domains are small: typically two or three hosts and at most seven.
func (m *Membership) Backups() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	return m.hostNames(false, func(p *peer) bool { return p.live() || p.joining() })
}

// ServingHosts returns the live and the leaving hosts of this host's failure domain,
// including itself, sorted. A leaving host still answers the calls in progress.
func (m *Membership) ServingHosts() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	return m.hostNames(m.state != rpc.HostState_HOST_STATE_JOINING, func(p *peer) bool { return p.live() || p.leaving() })
}
