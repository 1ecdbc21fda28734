package domain

import (
	"context"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// AwaitPeers returns when every peer of this host's failure domain is dead, is
// leaving, or has replied to a heartbeat that was sent after this host began to
// join. From then on every keeper also sends its new records to this host, so a
// copy of the records of each peer that is made afterwards is complete. It returns
// the time since which this host has been joining without a pause of KeeperLease or
// longer, or the context's error if ctx is done first.
func (m *Membership) AwaitPeers(ctx context.Context) (time.Time, error) {
	ticker := time.NewTicker(m.opts.HeartbeatInterval / 2)
	defer ticker.Stop()
	for {
		if m.peersAcknowledgedJoin() {
			return m.joiningSince(), nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-ticker.C:
		}
	}
}

// peersAcknowledgedJoin reports whether the condition of AwaitPeers holds. If so,
// it records the generation of the join for SetLive.
func (m *Membership) peersAcknowledgedJoin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	for _, p := range m.peers {
		if !p.sameDomain || p.dead || p.state == rpc.HostState_HOST_STATE_LEAVING {
			continue
		}
		if p.lastAckedSentAt.Before(m.stateSince) {
			return false
		}
	}
	m.confirmedGeneration = m.joinGeneration
	return true
}

func (m *Membership) joiningSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateSince
}

// SetLive changes the state of this host from joining to live. It returns false and
// does not change the state if the host is leaving, or if it has begun to join
// again since AwaitPeers returned, because the copied records may then be
// incomplete.
func (m *Membership) SetLive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	if m.state == rpc.HostState_HOST_STATE_LIVE {
		return true
	}
	if m.state != rpc.HostState_HOST_STATE_JOINING || m.confirmedGeneration != m.joinGeneration {
		return false
	}
	m.setState(rpc.HostState_HOST_STATE_LIVE)
	m.wasLive = true
	return true
}

// beginJoin makes this host join again, unless it is leaving.
func (m *Membership) beginJoin() {
	if m.state == rpc.HostState_HOST_STATE_LEAVING {
		return
	}
	m.joinGeneration++
	m.stateSince = m.opts.Now()
	if m.state == rpc.HostState_HOST_STATE_LIVE {
		m.setState(rpc.HostState_HOST_STATE_JOINING)
		select {
		case m.rejoin <- struct{}{}:
		default:
		}
	}
}
