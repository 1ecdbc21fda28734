package jobhost

import (
	"slices"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/lead"
)

const (
	// joinExpiry is how long a host counts as live after its next Join call was due.
	// Three calls in a row may be lost: one without a reply takes joinTimeout and
	// failedJoinPause, together 0.5 s.
	joinExpiry = 2 * time.Second
	// joinsPerSecond bounds the Join calls that a scheduler receives from strong hosts
	// and from weak ones, each. With many hosts each of them calls more seldom.
	joinsPerSecond = 50
	// maxJoinPause bounds the time between two Join calls of a host.
	maxJoinPause = 20 * time.Second
	// strongShare is the part of the strongest host's processor from which on a host
	// counts as strong. Strong hosts replace a scheduler that fails, so they should
	// notice first.
	strongShare = 0.5
	// maxMembersPerReply bounds the hosts that the reply to a Join call names. With
	// all of them the replies would grow with the square of the number of hosts.
	maxMembersPerReply = 12
)

// joinedHostSet contains the other entry hosts that have sent Join calls to a
// scheduler on this host.
type joinedHostSet struct {
	mu     sync.Mutex
	byName map[string]joinedHost
}

type joinedHost struct {
	address string
	// nextJoin is when the host should call again.
	nextJoin time.Time
	strong   bool
	// draining is set while the host is stopping.
	draining bool
	// witness is set if the host answers Witness calls.
	witness bool
}

// recordJoin records a Join call and returns how long the host should wait before the
// next one. strongest is the largest known processor share.
func (m *joinedHostSet) recordJoin(r *jobsrpc.JoinRequest, strongest float64, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byName == nil {
		m.byName = make(map[string]joinedHost)
	}
	joined := joinedHost{address: r.Address, nextJoin: now, strong: r.ProcessorShare >= strongShare*strongest, draining: r.Draining, witness: r.Witness}
	m.byName[r.Host] = joined
	alike := 0
	for name, j := range m.byName {
		switch {
		case now.Sub(j.nextJoin) > maxJoinPause:
			delete(m.byName, name) // gone for good
		case j.strong == joined.strong:
			alike++
		}
	}
	pause := min(max(time.Duration(alike)*time.Second/joinsPerSecond, joinInterval), maxJoinPause)
	joined.nextJoin = now.Add(pause)
	m.byName[r.Host] = joined
	return pause
}

func (m *joinedHostSet) address(host string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byName[host].address
}

// live returns the hosts whose next Join call is not overdue by joinExpiry.
func (m *joinedHostSet) live(now time.Time) []string {
	return m.liveWhere(now, func(joinedHost) bool { return true })
}

// staying returns the live hosts that are not stopping.
func (m *joinedHostSet) staying(now time.Time) []string {
	return m.liveWhere(now, func(j joinedHost) bool { return !j.draining })
}

// witnesses returns the live hosts that answer Witness calls, by lead.WitnessName, strong ones
// first.
func (m *joinedHostSet) witnesses(now time.Time) []string {
	names := m.liveWhere(now, func(j joinedHost) bool { return j.witness && j.strong })
	weak := m.liveWhere(now, func(j joinedHost) bool { return j.witness && !j.strong })
	slices.Sort(names)
	slices.Sort(weak)
	names = append(names, weak...)
	for n, host := range names {
		names[n] = lead.WitnessName(host, m.address(host))
	}
	return names
}

func (m *joinedHostSet) liveWhere(now time.Time, wanted func(joinedHost) bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var hosts []string
	for host, j := range m.byName {
		if now.Sub(j.nextJoin) < joinExpiry && wanted(j) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
