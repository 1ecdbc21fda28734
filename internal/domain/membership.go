package domain

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Options configures a Membership. Zero durations take the defaults.
type Options struct {
	Topology Topology
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
	// Now is the clock; its readings must be monotonic. Default time.Now.
	Now func() time.Time
	// HeartbeatInterval is the time between beats to a peer of the own failure
	// domain. Default 270 ms.
	HeartbeatInterval time.Duration
	// KeeperLease is the time from sending a beat for which its answer lets
	// this host act as record keeper. It must be below DeadAfter. Default 600 ms.
	KeeperLease time.Duration
	// DeadAfter is the time without any sign of life after which a peer is
	// declared dead. Default 1 s.
	DeadAfter time.Duration
	// DeadAfterFailures is the number of beats in a row that must have failed before
	// a peer is declared dead. Default 3.
	DeadAfterFailures int
	// PauseThreshold is the time between two uses of the Membership above which
	// this process counts as paused. Default 250 ms, which is five ticks.
	PauseThreshold time.Duration
	// ReachableFor is the time after a sign of life for which a host of
	// another failure domain counts as reachable. Default 3 s, three times
	// the interval between regions.
	ReachableFor time.Duration
	// OrphanAfter is the time for which all hosts of a failure domain must
	// have been silent before its workers may be taken. Default 10 s.
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

// peer is what this host knows of another entry host.
type peer struct {
	host Host
	// own is set for the hosts of the own failure domain.
	own         bool
	incarnation int64
	// clock is the newest clock among the handled beats of the incarnation.
	clock uint64
	state rpc.HostState
	// wasLive is set once the incarnation has been live, until it is declared dead.
	wasLive bool
	// heard is the time of the last sign of life.
	heard time.Time
	// answered is the sending time of the newest beat that the peer answered
	// without asking for a rejoin.
	answered time.Time
	// silentSince, lastFailed and failures describe the beats that failed
	// since the last sign of life and since the own last pause.
	silentSince time.Time
	lastFailed  time.Time
	failures    int
	// dead is set while the peer is declared dead.
	dead bool
	// mustRejoin is set from the declaration of death until the peer shows
	// that it is joining. Its beats do not make it live before that.
	mustRejoin bool
}

func (p *peer) live() bool {
	return p.own && !p.dead && !p.mustRejoin && p.state == rpc.HostState_HOST_STATE_LIVE
}

func (p *peer) joining() bool {
	return p.own && !p.dead && !p.mustRejoin && p.state == rpc.HostState_HOST_STATE_JOINING
}

func (p *peer) resetSilence() {
	p.silentSince, p.lastFailed, p.failures = time.Time{}, time.Time{}, 0
}

// Membership is this host's view of the entry hosts. All methods may be
// called concurrently.
//
// Within a failure domain there are no partitions, only deaths and pauses.
// Safety of the record keeper rests on three rules:
//
//   - A host acts only while each live peer has answered a beat that was sent
//     less than KeeperLease ago, so a peer that declares it dead does so at
//     least DeadAfter - KeeperLease after its last act.
//   - A host that finds a gap of KeeperLease in its own running drops all that
//     it concluded from silence and joins again.
//   - A host that was declared dead is not live for the declaring peer before
//     it has joined again.
type Membership struct {
	opts Options
	self Host

	mu    sync.Mutex
	peers map[string]*peer
	state rpc.HostState
	// stateSince is the time of the last change of state, and generation
	// counts the times that the host has begun to join.
	stateSince time.Time
	generation uint64
	joinedFrom uint64
	wasLive    bool
	// observed is the time of the last use, and awakeSince the end of the last
	// own pause.
	observed    time.Time
	awakeSince  time.Time
	subscribers []chan struct{}
	rejoin      chan struct{}
}

// NewMembership returns a Membership in state joining that knows of no live
// peer. Something must call Tick every HeartbeatInterval / 2.
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
	m.observed = opts.Now()
	m.stateSince = m.observed
	for _, h := range opts.Topology.Hosts {
		if h.Name != m.self.Name {
			m.peers[h.Name] = &peer{host: h, own: h.FailureDomain == m.self.FailureDomain}
		}
	}
	return m, nil
}

// Changes returns a new channel that receives a value after any change of who
// is live, joining, leaving or dead. Changes that come close together may be
// merged into one value.
func (m *Membership) Changes() <-chan struct{} {
	ch := make(chan struct{}, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, ch)
	return ch
}

// RejoinNeeded returns a channel that receives a value when this host has gone
// back from live to joining, after a pause or because a peer declared it dead.
func (m *Membership) RejoinNeeded() <-chan struct{} { return m.rejoin }

// State returns the state of this host.
func (m *Membership) State() rpc.HostState {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	return m.state
}

// AwaitPeers returns when every peer of the own failure domain has answered a
// beat that was sent since this host began to join, is dead, or is leaving.
// From then on every keeper sends its new records to this host too, so
// records that are copied afterwards, from each peer, are complete. It returns
// the context's error if ctx ends first.
func (m *Membership) AwaitPeers(ctx context.Context) error {
	ticker := time.NewTicker(m.opts.HeartbeatInterval / 2)
	defer ticker.Stop()
	for {
		if m.peersKnow() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (m *Membership) peersKnow() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	for _, p := range m.peers {
		if !p.own || p.dead || p.state == rpc.HostState_HOST_STATE_LEAVING {
			continue
		}
		if p.answered.Before(m.stateSince) {
			return false
		}
	}
	m.joinedFrom = m.generation
	return true
}

// SetLive changes from joining to live. It returns false, without a change, if
// the host is leaving or has begun to join again since AwaitPeers returned;
// the records that were copied may then be incomplete.
func (m *Membership) SetLive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	if m.state == rpc.HostState_HOST_STATE_LIVE {
		return true
	}
	if m.state != rpc.HostState_HOST_STATE_JOINING || m.joinedFrom != m.generation {
		return false
	}
	m.setState(rpc.HostState_HOST_STATE_LIVE)
	m.wasLive = true
	return true
}

// Leave changes to leaving, which is final for the process.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	m.setState(rpc.HostState_HOST_STATE_LEAVING)
}

// Tick lets time pass. Calls that come too rarely look like a pause of the
// process.
func (m *Membership) Tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
}

func (m *Membership) setState(s rpc.HostState) {
	if m.state == s {
		return
	}
	m.state = s
	m.stateSince = m.opts.Now()
	m.notify()
}

// beginJoin goes back to joining.
func (m *Membership) beginJoin() {
	if m.state == rpc.HostState_HOST_STATE_LEAVING {
		return
	}
	m.generation++
	m.stateSince = m.opts.Now()
	if m.state == rpc.HostState_HOST_STATE_LIVE {
		m.setState(rpc.HostState_HOST_STATE_JOINING)
		select {
		case m.rejoin <- struct{}{}:
		default:
		}
	}
}

func (m *Membership) notify() {
	for _, ch := range m.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// observe reads the clock, finds own pauses and declares silent peers dead.
// Every exported method calls it first, so that no caller sees conclusions
// that a pause has made worthless.
func (m *Membership) observe() time.Time {
	now := m.opts.Now()
	gap := now.Sub(m.observed)
	m.observed = now
	if gap > m.opts.PauseThreshold {
		m.awakeSince = now
		m.forgetSilence(gap >= m.opts.KeeperLease)
	}
	if gap >= m.opts.KeeperLease {
		m.beginJoin()
	}
	for _, p := range m.peers {
		if p.own && !p.dead && p.failures >= m.opts.DeadAfterFailures &&
			now.Sub(p.silentSince) >= m.opts.DeadAfter && now.Sub(p.lastFailed) < m.opts.KeeperLease {
			p.dead, p.mustRejoin, p.wasLive = true, true, false
			m.notify()
		}
	}
	return now
}

// forgetSilence drops what was concluded from silence that may have been the
// own pause. After a long pause it also drops declarations of death: the peer
// may have come back and have declared this host dead in the meantime.
func (m *Membership) forgetSilence(long bool) {
	for _, p := range m.peers {
		if long && (p.dead || p.mustRejoin) {
			p.dead, p.mustRejoin, p.wasLive = false, false, false
			p.state = rpc.HostState_HOST_STATE_UNSPECIFIED
			m.notify()
		}
		if !p.dead {
			p.resetSilence()
		}
	}
}

// LiveHosts returns the live hosts of the own failure domain, sorted, with this
// host if it is live.
func (m *Membership) LiveHosts() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	return m.liveHosts()
}

func (m *Membership) liveHosts() []string {
	return m.hosts(m.state == rpc.HostState_HOST_STATE_LIVE, (*peer).live)
}

func (m *Membership) hosts(self bool, include func(*peer) bool) []string {
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

// IsFirstHost reports whether this host is the first of the live hosts of the own
// failure domain by name. While none is live it is the first that is joining.
func (m *Membership) IsFirstHost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	return m.first()
}

func (m *Membership) first() bool {
	hosts := m.liveHosts()
	if len(hosts) == 0 {
		hosts = m.hosts(m.state == rpc.HostState_HOST_STATE_JOINING, (*peer).joining)
	}
	return len(hosts) > 0 && hosts[0] == m.self.Name
}
