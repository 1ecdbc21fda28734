// Package link connects an entry host with its peers: it sends heartbeats,
// carries the calls between entry hosts and bounds their traffic.
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

// tickInterval is how often the Membership lets time pass; a fifth of the time
// above which it takes this process for paused.
const tickInterval = 50 * time.Millisecond

// Options configures a Set. Zero values take the defaults.
type Options struct {
	Topology   domain.Topology
	Membership *domain.Membership
	// FillHeartbeat adds load, demand, clock and offsets to a beat for a peer. It
	// may be nil.
	FillHeartbeat func(peer string, beat *rpc.Beat)
	// OnHeartbeatReply is called with each reply to a beat, after the Membership has
	// taken it in. It may be nil.
	OnHeartbeatReply func(peer string, reply *rpc.Beat)
	// Now is the clock; its readings must be monotonic. Default time.Now.
	Now func() time.Time

	// SameDomainInterval is the time between beats to a peer of the own failure
	// domain. Default 270 ms: at 250 ms the heartbeats of today's entry hosts cost
	// 3,072 B/s, more than the 3,000 B/s that a node may spend on control.
	SameDomainInterval time.Duration
	// SameRegionInterval is the time between beats to another failure domain of
	// the region. Default 500 ms.
	SameRegionInterval time.Duration
	// CrossRegionInterval is the time between beats to another region. Default 1 s.
	CrossRegionInterval time.Duration
	// HeartbeatTimeout bounds a beat. Two timeouts and one interval must stay below
	// the keeper lease, so that a silent peer leaves no hole in the evidence
	// about it. Default 140 ms, which leaves 50 ms.
	HeartbeatTimeout time.Duration
	// CallTimeout bounds other calls whose context has no deadline. Calls that
	// wait for a task bring their own. Default 10 s.
	CallTimeout time.Duration
	// DialTimeout bounds the connecting. Default 200 ms.
	DialTimeout time.Duration
	// ConnectionsPerPeer bounds the connections to a peer for calls, and with
	// HTTP/1.1 also the calls at one time; beats have two more of their own.
	// Default 64.
	ConnectionsPerPeer int
	// MaxMessageBytes bounds a request and a reply. Default 16 MiB.
	MaxMessageBytes int64
	// CrossRegionBytesPerSecond bounds the traffic of this host to and from other
	// regions. Default: 15 Mbit/s, half of the link, divided by the number of
	// entry hosts of the region.
	CrossRegionBytesPerSecond int64

	// NewClient makes the client for a peer, by default twirp over net/http.
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
			if h.Region == o.Topology.Own().Region {
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

// clients are the two clients of a peer. Beats have their own connections, so
// that a large call cannot delay them.
type clients struct {
	beats rpc.Peer
	calls rpc.Peer
}

// Set holds the links to all other entry hosts.
type Set struct {
	opts    Options
	self    domain.Host
	peers   map[string]clients
	traffic traffic
	idle    []*http.Transport
	// far bounds the traffic with other regions.
	far *bucket
}

// New returns the links to all other entry hosts of the topology. It connects
// to none before Run or a call.
func New(opts Options) (*Set, error) {
	opts.setDefaults()
	if opts.Membership == nil {
		return nil, errors.New("link needs a membership")
	}
	s := &Set{opts: opts, self: opts.Topology.Own(), peers: make(map[string]clients)}
	s.far = newBucket(opts.CrossRegionBytesPerSecond, opts.Now)
	for _, h := range opts.Topology.Hosts {
		if h.Name == s.self.Name {
			continue
		}
		var limit *bucket
		if h.Region != s.self.Region {
			limit = s.far
		}
		s.peers[h.Name] = clients{
			beats: opts.NewClient(h, s.newHTTPClient(2, opts.HeartbeatTimeout, &s.traffic.heartbeat, limit, true)),
			calls: opts.NewClient(h, s.newHTTPClient(opts.ConnectionsPerPeer, opts.CallTimeout, &s.traffic.other, limit, false)),
		}
	}
	return s, nil
}

// Client returns the client for calls to an entry host other than this one.
// A call that the bucket between regions delays waits as long as its context.
func (s *Set) Client(host string) (rpc.Peer, bool) {
	c, ok := s.peers[host]
	return c.calls, ok
}

// Run sends heartbeats until ctx ends and then returns its error. It has one
// goroutine for each peer of the own failure domain and one for each other
// failure domain.
func (s *Set) Run(ctx context.Context) error {
	defer s.close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return s.every(ctx, tickInterval, s.opts.Membership.Tick)
	})
	for _, name := range s.opts.Topology.HostsIn(s.self.FailureDomain) {
		if name == s.self.Name {
			continue
		}
		group.Go(func() error {
			return s.every(ctx, s.opts.SameDomainInterval, func() { s.beat(ctx, name) })
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
		group.Go(func() error { return s.beatDomain(ctx, hosts, interval) })
	}
	return group.Wait()
}

// beatDomain sends beats to one host of another failure domain while this host
// is the first of its own, and goes on to the next one when that fails. Hosts
// start at different places so that they share the load.
func (s *Set) beatDomain(ctx context.Context, hosts []string, interval time.Duration) error {
	current := slices.Index(hosts, domain.First(s.self.FailureDomain, hosts))
	return s.every(ctx, interval, func() {
		if !s.opts.Membership.First() {
			return
		}
		if !s.beat(ctx, hosts[current]) {
			current = (current + 1) % len(hosts)
		}
	})
}

// every calls f at once and then every interval. A call that takes longer than
// the interval is followed by the next one without delay.
func (s *Set) every(ctx context.Context, interval time.Duration, f func()) error {
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

// beat sends one heartbeat and reports whether it was answered.
func (s *Set) beat(ctx context.Context, peer string) bool {
	beat := s.opts.Membership.Beat()
	if s.opts.FillHeartbeat != nil {
		s.opts.FillHeartbeat(peer, beat)
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.HeartbeatTimeout)
	defer cancel()
	sentAt := s.opts.Now()
	reply, err := s.peers[peer].beats.Heartbeat(ctx, beat)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			s.opts.Membership.HandleFailure(peer, sentAt, err)
		}
		return false
	}
	s.opts.Membership.HandleReply(peer, sentAt, reply)
	if s.opts.OnHeartbeatReply != nil {
		s.opts.OnHeartbeatReply(peer, reply)
	}
	return true
}

// Stats returns the traffic since the start.
func (s *Set) Stats() Stats {
	return Stats{
		Heartbeat: s.traffic.heartbeat.read(), Other: s.traffic.other.read(),
		CrossRegionBytesPerSecond: s.opts.CrossRegionBytesPerSecond, CrossRegionBudgetBytes: s.far.left(),
	}
}

func (s *Set) close() {
	for _, t := range s.idle {
		t.CloseIdleConnections()
	}
}
