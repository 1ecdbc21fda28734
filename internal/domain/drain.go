package domain

// Successor is the best candidate to take over from a host that begins a planned stop.
type Successor int

// The candidates, worst first. A host that has begun a planned stop itself is none.
const (
	SuccessorNone Successor = iota
	// SuccessorJoining is a host that may become live.
	SuccessorJoining
	// SuccessorUnconfirmed is a live host that may not know yet that this one stops,
	// so that it may stop at the same time and rely on this one.
	SuccessorUnconfirmed
	// SuccessorReady is a live host that knows that this one stops. If it begins a
	// planned stop later, it does not rely on this one.
	SuccessorReady
)

// BeginDrain makes the heartbeats tell that this host has begun a planned stop, which is
// final for the process. The host remains in its state until Leave.
func (m *Membership) BeginDrain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.drainingSince.IsZero() {
		m.drainingSince = m.opts.Now()
	}
}

// Successor returns the best candidate among the hosts of this host's failure domain to
// take over from it. BeginDrain must have been called.
func (m *Membership) Successor() Successor {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	best := SuccessorNone
	for _, p := range m.peers {
		switch {
		case p.draining:
		case p.live() && !p.lastAckedSentAt.Before(m.drainingSince):
			best = max(best, SuccessorReady)
		case p.live():
			best = max(best, SuccessorUnconfirmed)
		case p.joining():
			best = max(best, SuccessorJoining)
		}
	}
	return best
}
