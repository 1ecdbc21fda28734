package domain

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Heartbeat returns a heartbeat with this host's name, incarnation and state.
func (m *Membership) Heartbeat() *rpc.Beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	return m.heartbeatLocked()
}

// heartbeatLocked is Heartbeat for callers that have called evaluateTimeouts.
func (m *Membership) heartbeatLocked() *rpc.Beat {
	return &rpc.Beat{Host: m.self.Name, Incarnation: m.opts.Incarnation, State: m.state, Draining: !m.drainingSince.IsZero()}
}

// HandleHeartbeat processes a heartbeat from a peer and returns the reply. The
// caller may add load, demand, clock and offsets to the reply, but must not change
// the other fields.
func (m *Membership) HandleHeartbeat(b *rpc.Beat) *rpc.Beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.evaluateTimeouts()
	reply := m.heartbeatLocked()
	p := m.peers[b.GetHost()]
	if p == nil {
		return reply
	}
	reply.MustRejoin = !m.apply(p, b, now) || p.mustRejoin
	return reply
}

// HandleHeartbeatReply processes the reply of the named peer to the heartbeat that
// was sent to it at sentAt.
func (m *Membership) HandleHeartbeatReply(name string, sentAt time.Time, reply *rpc.Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.evaluateTimeouts()
	p := m.peers[name]
	if p == nil {
		return
	}
	if reply.GetHost() != name {
		// Another process replied from the peer's address.
		m.recordFailure(p, sentAt)
		return
	}
	if !m.apply(p, reply, now) {
		return
	}
	if reply.GetMustRejoin() {
		// A reply to a heartbeat that was sent before the last change of state
		// refers to a state that this host has already left.
		if p.sameDomain && m.state == rpc.HostState_HOST_STATE_LIVE && !sentAt.Before(m.stateSince) {
			m.beginJoin()
		}
		return
	}
	if sentAt.After(p.lastAckedSentAt) {
		p.lastAckedSentAt = sentAt
	}
}

// HandleHeartbeatFailure records that the heartbeat sent to the named peer at
// sentAt failed. The error is ignored: a dead process and a restarting process can
// each cause a refused connection as well as a timeout.
func (m *Membership) HandleHeartbeatFailure(name string, sentAt time.Time, _ error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	if p := m.peers[name]; p != nil {
		m.recordFailure(p, sentAt)
		m.evaluateTimeouts()
	}
}

// recordFailure counts a failed heartbeat to p that was sent at sentAt. The caller
// must have called evaluateTimeouts, which sets m.resumedAt.
func (m *Membership) recordFailure(p *peer, sentAt time.Time) {
	// The failure is no evidence against a peer that has been heard of since the
	// heartbeat was sent. Neither is the failure of a heartbeat that was in flight
	// while this process was paused: its reply may have arrived and timed out during
	// the pause. evaluateTimeouts discards the failures that were recorded before
	// the end of a pause; this check ignores those that are reported after it.
	if sentAt.Before(p.lastHeard) || sentAt.Before(m.resumedAt) {
		return
	}
	if p.failures == 0 {
		p.failingSince = sentAt
	}
	p.failures++
	p.lastFailure = sentAt
}

// apply updates p with the state in a heartbeat or a reply from it. It ignores the
// message and returns false if the incarnation is lower than the known one, unless p
// is declared dead.
func (m *Membership) apply(p *peer, b *rpc.Beat, now time.Time) bool {
	// A lower incarnation is an older process of the same host, which may have been
	// paused while its successor started. Once the newer one is dead, a lower
	// incarnation can also result from a clock that was set back.
	if b.GetIncarnation() < p.incarnation && !p.dead {
		return false
	}
	before := *p
	if b.GetIncarnation() != p.incarnation {
		// The previous process has exited, so its death need not be detected by
		// timeout. Its last reply remains valid evidence for the keeper lease: the
		// new process begins to measure the silence of this host only later.
		p.incarnation, p.clock = b.GetIncarnation(), 0
		p.state = rpc.HostState_HOST_STATE_UNSPECIFIED
		p.wasLive, p.mustRejoin, p.draining = false, false, false
	}
	// A planned stop is final, so that this holds for delayed heartbeats too.
	p.draining = p.draining || b.GetDraining()
	p.dead = false
	p.lastHeard = now
	p.resetFailures()
	m.applyState(p, b)
	if p.state != before.state || p.dead != before.dead || p.mustRejoin != before.mustRejoin ||
		p.incarnation != before.incarnation {
		m.notify()
	}
	return true
}

func (m *Membership) applyState(p *peer, b *rpc.Beat) {
	// A heartbeat that was delayed in transit must not overwrite a later one.
	if b.GetClock() != 0 {
		if b.GetClock() < p.clock {
			return
		}
		p.clock = b.GetClock()
	}
	if p.state == rpc.HostState_HOST_STATE_LEAVING {
		return
	}
	p.state = b.GetState()
	if p.state != rpc.HostState_HOST_STATE_LIVE {
		p.mustRejoin = false
	}
	if p.live() {
		p.wasLive = true
	}
}

// Incarnation returns the last known incarnation of a host, zero if the host was
// never heard of. It distinguishes a restart from a pause.
func (m *Membership) Incarnation(host string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if host == m.self.Name {
		return m.opts.Incarnation
	}
	if p := m.peers[host]; p != nil {
		return p.incarnation
	}
	return 0
}

// Reachable reports whether this host has recently received a heartbeat or a reply
// from a host. A host of another failure domain with which it exchanges no
// heartbeats is not reachable.
func (m *Membership) Reachable(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.evaluateTimeouts()
	if host == m.self.Name {
		return true
	}
	p := m.peers[host]
	return p != nil && m.reachableLocked(p, now)
}

func (m *Membership) reachableLocked(p *peer, now time.Time) bool {
	limit := m.opts.ReachableFor
	if p.sameDomain {
		limit = m.opts.DeadAfter
	}
	return !p.dead && !p.lastHeard.IsZero() && now.Sub(p.lastHeard) < limit
}
