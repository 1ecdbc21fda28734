package domain

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Heartbeat returns a heartbeat with this host's name, incarnation and state.
func (m *Membership) Heartbeat() *rpc.Beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	return m.beat()
}

func (m *Membership) beat() *rpc.Beat {
	return &rpc.Beat{Host: m.self.Name, Incarnation: m.opts.Incarnation, State: m.state}
}

// HandleHeartbeat takes in a peer's heartbeat and returns the reply. The caller may
// add load, demand and offsets to the reply, but must leave the other fields.
func (m *Membership) HandleHeartbeat(b *rpc.Beat) *rpc.Beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	reply := m.beat()
	p := m.peers[b.GetHost()]
	if p == nil {
		return reply
	}
	reply.MustRejoin = !m.apply(p, b, now) || p.mustRejoin
	return reply
}

// HandleHeartbeatReply takes in a peer's reply to the beat that was sent at sentAt.
func (m *Membership) HandleHeartbeatReply(name string, sentAt time.Time, reply *rpc.Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	p := m.peers[name]
	if p == nil {
		return
	}
	if reply.GetHost() != name {
		// Another process answers at the peer's address.
		m.fail(p, sentAt)
		return
	}
	if !m.apply(p, reply, now) {
		return
	}
	if reply.GetMustRejoin() {
		// A reply to a beat from before the last change of state concerns a
		// state that this host has already left.
		if p.own && m.state == rpc.HostState_HOST_STATE_LIVE && !sentAt.Before(m.stateSince) {
			m.beginJoin()
		}
		return
	}
	if sentAt.After(p.answered) {
		p.answered = sentAt
	}
}

// HandleHeartbeatFailure takes in that the beat sent at sentAt was not answered. err
// tells why; any error counts the same, because a closed port and a silent
// host are both possible for dead as for restarting processes.
func (m *Membership) HandleHeartbeatFailure(name string, sentAt time.Time, _ error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	if p := m.peers[name]; p != nil {
		m.fail(p, sentAt)
		m.observe()
	}
}

func (m *Membership) fail(p *peer, sentAt time.Time) {
	// A beat that was under way during the own pause proves nothing: its
	// answer may have come and timed out meanwhile. Such a beat was sent
	// before the pause, and so before the evidence was reset.
	if sentAt.Before(p.heard) || sentAt.Before(m.awakeSince) {
		return
	}
	if p.failures == 0 {
		p.silentSince = sentAt
	}
	p.failures++
	p.lastFailed = sentAt
}

// apply takes in the state that a beat or a reply tells. It returns false if
// the beat comes from a process that has been replaced.
func (m *Membership) apply(p *peer, b *rpc.Beat, now time.Time) bool {
	// A lower incarnation is an older process of that name, which may have
	// been paused while its successor started. Once the newer one is dead, a
	// lower incarnation can also come from a clock that was set back.
	if b.GetIncarnation() < p.incarnation && !p.dead {
		return false
	}
	before := *p
	if b.GetIncarnation() != p.incarnation {
		// The former process has ended; nothing needs to be waited for. Its
		// last answer still counts: the new process starts its count of this
		// host's silence later.
		p.incarnation, p.clock = b.GetIncarnation(), 0
		p.state = rpc.HostState_HOST_STATE_UNSPECIFIED
		p.wasLive, p.mustRejoin = false, false
	}
	p.dead = false
	p.heard = now
	p.resetSilence()
	m.applyState(p, b)
	if p.state != before.state || p.dead != before.dead || p.mustRejoin != before.mustRejoin ||
		p.incarnation != before.incarnation {
		m.notify()
	}
	return true
}

func (m *Membership) applyState(p *peer, b *rpc.Beat) {
	// A beat that was delayed on its way must not undo a later one.
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

// Incarnation returns the newest incarnation that was heard of a host, zero if
// none was. It tells a restart from a pause.
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

// Reachable reports whether there has been a recent sign of life of a host. A
// host of another failure domain that nobody probes is not reachable.
func (m *Membership) Reachable(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	if host == m.self.Name {
		return true
	}
	p := m.peers[host]
	return p != nil && m.reachable(p, now)
}

func (m *Membership) reachable(p *peer, now time.Time) bool {
	limit := m.opts.ReachableFor
	if p.own {
		limit = m.opts.DeadAfter
	}
	return !p.dead && !p.heard.IsZero() && now.Sub(p.heard) < limit
}
