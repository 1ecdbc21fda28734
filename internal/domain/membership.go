package domain

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Options configures a Membership. Zero values of Now, the durations and
// DeadAfterFailures are replaced by the defaults.
type Options struct {
	Topology Topology
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
	// Now is the clock, which must be monotonic. Default time.Now.
	Now func() time.Time
	// HeartbeatInterval is the time between heartbeats to a peer of the same failure
	// domain. Default 270 ms.
	HeartbeatInterval time.Duration
	// KeeperLease is how long this host may act as record keeper after it has sent a
	// heartbeat that the peer replies to. It must be less than DeadAfter. Default
	// 600 ms.
	KeeperLease time.Duration
	// DeadAfter is how long heartbeats to a peer must have failed, without a heartbeat
	// or a reply from it, before it is declared dead. Default 1 s.
	DeadAfter time.Duration
	// DeadAfterFailures is the number of consecutive heartbeats that must have failed
	// before a peer is declared dead. Default 3.
	DeadAfterFailures int
	// PauseThreshold is the time between two calls to the Membership above which
	// this process is assumed to have been paused. Default 250 ms, which is five
	// ticks.
	PauseThreshold time.Duration
	// ReachableFor is how long after its last heartbeat or reply a host of another
	// failure domain is considered reachable. Default 3 s, three times the heartbeat
	// interval between regions.
	ReachableFor time.Duration
	// OrphanAfter is how long heartbeats to all hosts of a failure domain must have
	// failed before other failure domains may take over its workers. Default 10 s.
	OrphanAfter time.Duration
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, 270*time.Millisecond)
	o.KeeperLease = cmp.Or(o.KeeperLease, 600*time.Millisecond)
	o.DeadAfter = cmp.Or(o.DeadAfter, time.Second)
	o.PauseThreshold = cmp.Or(o.PauseThreshold, 250*time.Millisecond)
	o.ReachableFor = cmp.Or(o.ReachableFor, 3*time.Second)
	o.OrphanAfter = cmp.Or(o.OrphanAfter, 10*time.Second)
	o.DeadAfterFailures = cmp.Or(o.DeadAfterFailures, 3)
}

// peer is the state of another entry host as known to this host.
type peer struct {
	host Host
	// sameDomain is set if the peer is in this host's failure domain.
	sameDomain  bool
	incarnation int64
	// clock is the highest logical clock of the incarnation's heartbeats.
	clock uint64
	state rpc.HostState
	// wasLive is set when the incarnation becomes live, until it is declared dead.
	wasLive bool
	// draining is set once the incarnation has begun a planned stop.
	draining bool
	// lastHeard is the time of the last heartbeat or reply from the peer.
	lastHeard time.Time
	// lastAckedSentAt is the sending time of the newest heartbeat to which the peer
	// replied without MustRejoin.
	lastAckedSentAt time.Time
	// failingSince, lastFailure and failures describe the heartbeats to the peer
	// that have failed since it was last heard of and since this process was last
	// paused: the sending times of the first and the last one, and their number.
	failingSince time.Time
	lastFailure  time.Time
	failures     int
	// dead is set while the peer is declared dead.
	dead bool
	// mustRejoin is set when the peer is declared dead and cleared when it reports a
	// state other than live or a new incarnation. Until then its heartbeats do not
	// make it live.
	mustRejoin bool
}

func (p *peer) live() bool {
	return p.sameDomain && !p.dead && !p.mustRejoin && p.state == rpc.HostState_HOST_STATE_LIVE
}

func (p *peer) joining() bool {
	return p.sameDomain && !p.dead && !p.mustRejoin && p.state == rpc.HostState_HOST_STATE_JOINING
}

func (p *peer) leaving() bool {
	return p.sameDomain && !p.dead && p.state == rpc.HostState_HOST_STATE_LEAVING
}

func (p *peer) resetFailures() {
	p.failingSince, p.lastFailure, p.failures = time.Time{}, time.Time{}, 0
}

// Membership is this host's view of the state of all entry hosts. It detects
// failed peers by heartbeats. All exported methods may be called concurrently; the
// unexported ones need m.mu, except peersAcknowledgedJoin.
//
// The failure model within a failure domain contains crashes and pauses of
// processes, but no network partitions. The safety of the record keeper depends on
// three rules:
//
//   - A host acts as keeper only while each live peer has replied to a heartbeat
//     that was sent less than KeeperLease ago. A peer that declares the host dead
//     therefore does so at least DeadAfter - KeeperLease after the host's last action
//     as keeper.
//   - A host that detects that it was paused for KeeperLease or longer discards all
//     conclusions from missing heartbeats and joins again.
//   - A host that was declared dead is not live for the peer that declared it dead
//     until it has joined again.
type Membership struct {
	opts Options
	self Host

	mu    sync.Mutex
	peers map[string]*peer
	state rpc.HostState
	// stateSince is the time at which the state last changed or this host last began
	// to join. joinGeneration counts how often it has begun to join again, and
	// confirmedGeneration is the joinGeneration that all peers had acknowledged when
	// AwaitPeers last returned.
	stateSince          time.Time
	joinGeneration      uint64
	confirmedGeneration uint64
	// wasLive is set once this host has been live.
	wasLive bool
	// drainingSince is when this host began a planned stop, zero before.
	drainingSince time.Time
	// lastEvaluated is the time of the last call of evaluateTimeouts, and resumedAt
	// the end of the last pause of this process.
	lastEvaluated time.Time
	resumedAt     time.Time
	subscribers   []chan struct{}
	rejoin        chan struct{}
}

// NewMembership returns a Membership in the joining state without any live peer.
// The caller must call Tick at least every HeartbeatInterval / 2.
func NewMembership(opts Options) (*Membership, error) {
	opts.setDefaults()
	if err := opts.Topology.Validate(); err != nil {
		return nil, err
	}
	m := &Membership{
		opts:   opts,
		self:   opts.Topology.SelfHost(),
		peers:  make(map[string]*peer),
		state:  rpc.HostState_HOST_STATE_JOINING,
		rejoin: make(chan struct{}, 1),
	}
	m.lastEvaluated = opts.Now()
	m.stateSince = m.lastEvaluated
	for _, h := range opts.Topology.Hosts {
		if h.Name != m.self.Name {
			m.peers[h.Name] = &peer{host: h, sameDomain: h.FailureDomain == m.self.FailureDomain}
		}
	}
	return m, nil
}

// Subscribe returns a new channel that receives a value after the set of live,
// joining, leaving or dead hosts changes. Several changes in quick succession may
// result in a single value. Each call registers another channel, which m keeps
// for its lifetime.
func (m *Membership) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, ch)
	return ch
}

// RejoinNeeded returns a channel that receives a value when this host has changed
// from live to joining, after a pause or because a peer has declared it dead.
func (m *Membership) RejoinNeeded() <-chan struct{} { return m.rejoin }

// State returns the state of this host.
func (m *Membership) State() rpc.HostState {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	return m.state
}

// IsOnlyKeeper reports whether this host has been live and no other host can have
// acted as record keeper in its failure domain since, not even while it was paused.
func (m *Membership) IsOnlyKeeper() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.sameDomain {
			return false
		}
	}
	return m.wasLive
}

// Leave changes the state of this host to leaving, which is final for the process.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	m.setState(rpc.HostState_HOST_STATE_LEAVING)
}

// Tick evaluates the timeouts. If calls are more than PauseThreshold apart, the
// process is assumed to have been paused.
func (m *Membership) Tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
}

func (m *Membership) setState(s rpc.HostState) {
	if m.state == s {
		return
	}
	m.state = s
	m.stateSince = m.opts.Now()
	m.notify()
}

func (m *Membership) notify() {
	for _, ch := range m.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// evaluateTimeouts reads the clock, which it returns, detects pauses of this process
// and declares peers dead that do not reply. A peer is declared dead only if the
// last failed heartbeat to it is less than KeeperLease old, so that the declaration
// rests on recent evidence. Every exported method that depends on the state of peers
// or of this host calls it first, so that no caller sees a state that a pause has
// invalidated.
func (m *Membership) evaluateTimeouts() time.Time {
	now := m.opts.Now()
	gap := now.Sub(m.lastEvaluated)
	m.lastEvaluated = now
	if gap > m.opts.PauseThreshold {
		m.resumedAt = now
		m.discardFailures(gap >= m.opts.KeeperLease)
	}
	if gap >= m.opts.KeeperLease {
		m.beginJoin()
	}
	for _, p := range m.peers {
		if p.sameDomain && !p.dead && p.failures >= m.opts.DeadAfterFailures &&
			now.Sub(p.failingSince) >= m.opts.DeadAfter && now.Sub(p.lastFailure) < m.opts.KeeperLease {
			p.dead, p.mustRejoin, p.wasLive = true, true, false
			m.notify()
		}
	}
	return now
}

// discardFailures discards failed heartbeats that a pause of this process may have
// caused. After a long pause it also revokes declarations of death: the peer may
// have returned and declared this host dead in the meantime.
func (m *Membership) discardFailures(longPause bool) {
	for _, p := range m.peers {
		if longPause && (p.dead || p.mustRejoin) {
			p.dead, p.mustRejoin, p.wasLive = false, false, false
			p.state = rpc.HostState_HOST_STATE_UNSPECIFIED
			m.notify()
		}
		if !p.dead {
			p.resetFailures()
		}
	}
}

// LiveHosts returns the live hosts of this host's failure domain, including itself
// if it is live, sorted.
func (m *Membership) LiveHosts() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	return m.liveHostsLocked()
}

func (m *Membership) liveHostsLocked() []string {
	return m.hostNames(m.state == rpc.HostState_HOST_STATE_LIVE, (*peer).live)
}

func (m *Membership) hostNames(self bool, include func(*peer) bool) []string {
	var names []string
	if self {
		names = append(names, m.self.Name)
	}
	for _, p := range m.peers {
		if include(p) {
			names = append(names, p.host.Name)
		}
	}
	slices.Sort(names)
	return names
}

// IsFirstHost reports whether this host is the first by name of the live hosts of
// its failure domain, or of the joining hosts if none is live.
func (m *Membership) IsFirstHost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluateTimeouts()
	return m.isFirstHostLocked()
}

func (m *Membership) isFirstHostLocked() bool {
	hosts := m.liveHostsLocked()
	if len(hosts) == 0 {
		hosts = m.hostNames(m.state == rpc.HostState_HOST_STATE_JOINING, (*peer).joining)
	}
	return len(hosts) > 0 && hosts[0] == m.self.Name
}
