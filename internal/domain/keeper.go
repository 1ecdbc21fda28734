package domain

import (
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Errors of CheckKeeper.
var (
	// ErrNotKeeper means that another host is the record keeper of the ID, or
	// that this host is leaving.
	ErrNotKeeper = errors.New("this entry host is not the record keeper of the ID")
	// ErrLeaseExpired means that a live peer has not answered a recent beat, so
	// this host may have been declared dead.
	ErrLeaseExpired = errors.New("keeper lease has expired")
	// ErrJoining means that this host may lack records of its failure domain.
	ErrJoining = errors.New("this entry host is still joining its failure domain")
)

// Keeper returns the record keeper of an ID whose home is the own failure
// domain: the first live host in rendezvous order. It is empty if no host is
// live.
func (m *Membership) Keeper(id string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	return RendezvousFirst(id, m.liveHosts())
}

// CheckKeeper returns nil if this host may act as record keeper of the ID now.
// Otherwise it returns ErrNotKeeper, ErrLeaseExpired or ErrJoining. A keeper
// checks before it takes a request in and again once its backups have
// acknowledged the record, before it dispatches.
func (m *Membership) CheckKeeper(id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	switch {
	case m.state == rpc.HostState_HOST_STATE_JOINING:
		return ErrJoining
	case m.state != rpc.HostState_HOST_STATE_LIVE:
		return ErrNotKeeper
	case !m.leaseValid(now):
		return ErrLeaseExpired
	case RendezvousFirst(id, m.liveHosts()) != m.self.Name:
		return ErrNotKeeper
	}
	return nil
}

// LeaseValid reports whether this host has the keeper lease.
func (m *Membership) LeaseValid() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	return m.state == rpc.HostState_HOST_STATE_LIVE && m.leaseValid(now)
}

// leaseValid reports whether there is evidence less than KeeperLease old about
// every peer of the own failure domain: an answer, or for a host that is not
// live a beat that failed. The age counts from the sending of the beat, before
// the peer can have begun to count the silence of this host. A leaving peer is
// exempt, because it keeps no record again in that incarnation; its exit must
// not interrupt the others.
func (m *Membership) leaseValid(now time.Time) bool {
	for _, p := range m.peers {
		if !p.own || p.state == rpc.HostState_HOST_STATE_LEAVING {
			continue
		}
		evidence := p.answered
		if p.dead || p.mustRejoin || p.joining() {
			if p.lastFailed.After(evidence) {
				evidence = p.lastFailed
			}
		}
		if evidence.IsZero() || now.Sub(evidence) >= m.opts.KeeperLease {
			return false
		}
	}
	return true
}

// AcceptsKeeper reports whether this host, as a backup, takes from for the
// record keeper of the ID.
func (m *Membership) AcceptsKeeper(id, from string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	return from != m.self.Name && RendezvousFirst(id, m.liveHosts()) == from
}

// Backups returns the peers whose acknowledgement a keeper needs before it
// dispatches, sorted: all live and all joining peers of the own failure domain.
// A keeper stores the record itself before it calls Backups.
//
// A fixed number of two would be unsafe with more than three hosts: of two
// hosts that both believe that they are the keeper, each could ask two others.
// With all of them, a host that takes the other for live needs its
// acknowledgement and is refused, and a host that has declared the other dead
// did so after the other's keeper lease had expired. Joining peers are asked so
// that the records that they copy while new ones are made are complete. Failure
// domains have two or three hosts today and at most seven.
func (m *Membership) Backups() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	return m.hosts(false, func(p *peer) bool { return p.live() || p.joining() })
}
