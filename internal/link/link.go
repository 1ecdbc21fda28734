// Package link connects an entry host with its peers. It sends heartbeats,
// provides the clients for calls between entry hosts and limits their traffic.
package link

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/domain"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// tickInterval is the interval of Membership.Tick. It is a fifth of the gap
// between ticks above which the Membership considers this process to have been
// paused.
const tickInterval = 50 * time.Millisecond

// Options configures a Set. Zero values select the defaults.
type Options struct {
	Topology   domain.Topology
	Membership *domain.Membership
	// FillHeartbeat adds load, demand, clock and offsets to a heartbeat for a
	// peer. It may be nil.
	FillHeartbeat func(peer string, beat *rpc.Beat)
	// OnHeartbeatReply is called with each reply to a heartbeat, after the
	// Membership has processed it. It may be nil.
	OnHeartbeatReply func(peer string, reply *rpc.Beat)
	// Now returns the current time; its readings must be monotonic. Default
	// time.Now.
	Now func() time.Time

	// SameDomainInterval is the time between heartbeats to a peer of this
	// host's failure domain. Default 270 ms: at 250 ms the heartbeats of
	// today's entry hosts cost 3,072 B/s, more than the 3,000 B/s that a node
	// may spend on control traffic.
	SameDomainInterval time.Duration
	// SameRegionInterval is the time between heartbeats to another failure
	// domain of the same region. Default 500 ms.
	SameRegionInterval time.Duration
	// CrossRegionInterval is the time between heartbeats to a failure domain of
	// another region. Default 1 s.
	CrossRegionInterval time.Duration
	// HeartbeatTimeout bounds a heartbeat. Two timeouts and one interval must
	// be shorter than the keeper lease, so that a peer that does not reply
	// leaves no gap in the evidence about it. Default 140 ms, which leaves a
	// margin of 50 ms.
	HeartbeatTimeout time.Duration
	// CallTimeout bounds other calls whose context has no deadline. Calls that
	// wait for a task set their own deadline. Default 10 s.
	CallTimeout time.Duration
	// DialTimeout bounds the opening of a connection. Default 200 ms.
	DialTimeout time.Duration
	// ConnectionsPerPeer bounds the connections to a peer for calls and, with
	// HTTP/1.1, also the concurrent calls. Heartbeats use two separate
	// connections. Default 64.
	ConnectionsPerPeer int
	// MaxMessageBytes bounds the size of a request and of a reply. Default 16
	// MiB.
	MaxMessageBytes int64
	// CrossRegionBytesPerSecond limits the traffic of this host to and from
	// other regions. Default: 15 Mbit/s, half of the link, divided by the
	// number of entry hosts of the region.
	CrossRegionBytesPerSecond int64

	// NewClient creates the client for a peer. Default: Twirp over net/http.
	NewClient func(host domain.Host, client *http.Client) rpc.Peer
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	o.SameDomainInterval = cmp.Or(o.SameDomainInterval, 270*time.Millisecond)
	o.SameRegionInterval = cmp.Or(o.SameRegionInterval, 500*time.Millisecond)
	o.CrossRegionInterval = cmp.Or(o.CrossRegionInterval, time.Second)
	o.HeartbeatTimeout = cmp.Or(o.HeartbeatTimeout, 140*time.Millisecond)
	o.CallTimeout = cmp.Or(o.CallTimeout, 10*time.Second)
	o.DialTimeout = cmp.Or(o.DialTimeout, 200*time.Millisecond)
	o.ConnectionsPerPeer = cmp.Or(o.ConnectionsPerPeer, 64)
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, 16<<20)
	if o.CrossRegionBytesPerSecond == 0 {
		hosts := int64(0)
		for _, h := range o.Topology.Hosts {
			if h.Region == o.Topology.SelfHost().Region {
				hosts++
			}
		}
		o.CrossRegionBytesPerSecond = 15_000_000 / 8 / max(hosts, 1)
	}
	if o.NewClient == nil {
		o.NewClient = func(h domain.Host, c *http.Client) rpc.Peer {
			return rpc.NewPeerProtobufClient("http://"+h.PeerAddress, c)
		}
	}
}

// clients are the two clients of a peer. Heartbeats use separate connections,
// so that a large call cannot delay them.
type clients struct {
	heartbeats rpc.Peer
	calls      rpc.Peer
}

// Set holds the clients for all other entry hosts.
type Set struct {
	opts       Options
	self       domain.Host
	peers      map[string]clients
	traffic    traffic
	transports []*http.Transport
	// crossRegion limits the traffic with other regions.
	crossRegion *tokenBucket
}

// New returns a Set for all other entry hosts of the topology. It opens no
// connection before Run or a call.
func New(opts Options) (*Set, error) {
	opts.setDefaults()
	if opts.Membership == nil {
		return nil, errors.New("link: Membership must be set")
	}
	s := &Set{opts: opts, self: opts.Topology.SelfHost(), peers: make(map[string]clients)}
	s.crossRegion = newTokenBucket(opts.CrossRegionBytesPerSecond, opts.Now)
	for _, h := range opts.Topology.Hosts {
		if h.Name == s.self.Name {
			continue
		}
		var limiter *tokenBucket
		if h.Region != s.self.Region {
			limiter = s.crossRegion
		}
		s.peers[h.Name] = clients{
			heartbeats: opts.NewClient(h, s.newHTTPClient(2, opts.HeartbeatTimeout, &s.traffic.heartbeat, limiter, true)),
			calls:      opts.NewClient(h, s.newHTTPClient(opts.ConnectionsPerPeer, opts.CallTimeout, &s.traffic.other, limiter, false)),
		}
	}
	return s, nil
}

// Client returns the client for calls to another entry host, or false if host
// is this host or is not in the topology. A call to another region may wait for
// the rate limit, for as long as its context allows.
func (s *Set) Client(host string) (rpc.Peer, bool) {
	c, ok := s.peers[host]
	return c.calls, ok
}

// Run sends heartbeats until ctx ends and then returns its error. It uses one
// goroutine for each peer of this host's failure domain and one for each other
// failure domain.
func (s *Set) Run(ctx context.Context) error {
	defer s.closeIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return s.runEvery(ctx, tickInterval, s.opts.Membership.Tick)
	})
	for _, name := range s.opts.Topology.HostsIn(s.self.FailureDomain) {
		if name == s.self.Name {
			continue
		}
		group.Go(func() error {
			return s.runEvery(ctx, s.opts.SameDomainInterval, func() { s.sendHeartbeat(ctx, name) })
		})
	}
	for _, fd := range s.opts.Topology.FailureDomains() {
		if fd == s.self.FailureDomain {
			continue
		}
		interval := s.opts.SameRegionInterval
		if s.opts.Topology.RegionOf(fd) != s.self.Region {
			interval = s.opts.CrossRegionInterval
		}
		hosts := s.opts.Topology.HostsIn(fd)
		group.Go(func() error { return s.heartbeatDomain(ctx, hosts, interval) })
	}
	return group.Wait()
}

// heartbeatDomain sends heartbeats to one host of another failure domain while
// this host is the first of its own. After a failure it switches to the next
// host. The initial host depends on this host's failure domain, so that the
// load is spread over the hosts.
func (s *Set) heartbeatDomain(ctx context.Context, hosts []string, interval time.Duration) error {
	current := slices.Index(hosts, domain.RendezvousFirst(s.self.FailureDomain, hosts))
	return s.runEvery(ctx, interval, func() {
		if !s.opts.Membership.IsFirstHost() {
			return
		}
		if !s.sendHeartbeat(ctx, hosts[current]) {
			current = (current + 1) % len(hosts)
		}
	})
}

// runEvery calls f immediately and then at each interval until ctx ends. If a
// call takes longer than the interval, the next one follows without delay.
func (s *Set) runEvery(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether the peer replied.
func (s *Set) sendHeartbeat(ctx context.Context, peer string) bool {
	beat := s.opts.Membership.Heartbeat()
	if s.opts.FillHeartbeat != nil {
		s.opts.FillHeartbeat(peer, beat)
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.HeartbeatTimeout)
	defer cancel()
	sentAt := s.opts.Now()
	reply, err := s.peers[peer].heartbeats.Heartbeat(ctx, beat)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			s.opts.Membership.HandleHeartbeatFailure(peer, sentAt, err)
		}
		return false
	}
	s.opts.Membership.HandleHeartbeatReply(peer, sentAt, reply)
	if s.opts.OnHeartbeatReply != nil {
		s.opts.OnHeartbeatReply(peer, reply)
	}
	return true
}

// Stats returns the traffic since the Set was created.
func (s *Set) Stats() Stats {
	return Stats{
		Heartbeat: s.traffic.heartbeat.snapshot(), Other: s.traffic.other.snapshot(),
		CrossRegionBytesPerSecond: s.opts.CrossRegionBytesPerSecond, CrossRegionBudgetBytes: s.crossRegion.available(),
	}
}

func (s *Set) closeIdleConnections() {
	for _, t := range s.transports {
		t.CloseIdleConnections()
	}
}
