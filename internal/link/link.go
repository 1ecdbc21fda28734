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

// Options configures Peers. Zero values select the defaults.
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
	// host's failure domain. Default 270 ms: with seven entry hosts in three
	// failure domains, heartbeats every 250 ms cost an entry host 3,072 B/s,
	// more than the 3,000 B/s that it may use for control traffic.
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

// Peers holds the clients for all other entry hosts of the topology, sends
// heartbeats to them (see Run) and counts and limits the traffic with them.
type Peers struct {
	opts       Options
	self       domain.Host
	peers      map[string]clients
	traffic    traffic
	transports []*http.Transport
	// crossRegion limits the traffic with other regions.
	crossRegion *tokenBucket
}

// New returns the Peers of the topology's Self host. They open no connection
// before Run or a call.
func New(opts Options) (*Peers, error) {
	opts.setDefaults()
	if opts.Membership == nil {
		return nil, errors.New("link: Membership must be set")
	}
	p := &Peers{opts: opts, self: opts.Topology.SelfHost(), peers: make(map[string]clients)}
	p.crossRegion = newTokenBucket(opts.CrossRegionBytesPerSecond, opts.Now)
	for _, h := range opts.Topology.Hosts {
		if h.Name == p.self.Name {
			continue
		}
		var limiter *tokenBucket
		if h.Region != p.self.Region {
			limiter = p.crossRegion
		}
		p.peers[h.Name] = clients{
			heartbeats: opts.NewClient(h, p.newHTTPClient(2, opts.HeartbeatTimeout, &p.traffic.heartbeat, limiter, true)),
			calls:      opts.NewClient(h, p.newHTTPClient(opts.ConnectionsPerPeer, opts.CallTimeout, &p.traffic.other, limiter, false)),
		}
	}
	return p, nil
}

// Client returns the client for calls to another entry host, or false if host
// is this host or is not in the topology. A call to another region may wait for
// the rate limit, for as long as its context allows.
func (p *Peers) Client(host string) (rpc.Peer, bool) {
	c, ok := p.peers[host]
	return c.calls, ok
}

// Run sends heartbeats until ctx ends and then returns its error. It uses one
// goroutine for each peer of this host's failure domain and one for each other
// failure domain.
func (p *Peers) Run(ctx context.Context) error {
	defer p.closeIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return p.runEvery(ctx, tickInterval, p.opts.Membership.Tick)
	})
	for _, name := range p.opts.Topology.HostsIn(p.self.FailureDomain) {
		if name == p.self.Name {
			continue
		}
		group.Go(func() error {
			return p.runEvery(ctx, p.opts.SameDomainInterval, func() { p.sendHeartbeat(ctx, name) })
		})
	}
	for _, fd := range p.opts.Topology.FailureDomains() {
		if fd == p.self.FailureDomain {
			continue
		}
		interval := p.opts.SameRegionInterval
		if p.opts.Topology.RegionOf(fd) != p.self.Region {
			interval = p.opts.CrossRegionInterval
		}
		hosts := p.opts.Topology.HostsIn(fd)
		group.Go(func() error { return p.heartbeatDomain(ctx, hosts, interval) })
	}
	return group.Wait()
}

// heartbeatDomain sends heartbeats to one host of another failure domain while
// this host is the first live host of its own. After a failure it switches to
// the next host. The initial host depends on this host's failure domain, so
// that the load is spread over the hosts.
func (p *Peers) heartbeatDomain(ctx context.Context, hosts []string, interval time.Duration) error {
	current := slices.Index(hosts, domain.RendezvousFirst(p.self.FailureDomain, hosts))
	return p.runEvery(ctx, interval, func() {
		if !p.opts.Membership.IsFirstHost() {
			return
		}
		if !p.sendHeartbeat(ctx, hosts[current]) {
			current = (current + 1) % len(hosts)
		}
	})
}

// runEvery calls f immediately and then at each interval until ctx ends. If a
// call takes longer than the interval, the next one follows without delay.
func (p *Peers) runEvery(ctx context.Context, interval time.Duration, f func()) error {
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
func (p *Peers) sendHeartbeat(ctx context.Context, peer string) bool {
	// A reply counts as evidence of what the heartbeat says, so the time is read before
	// its contents.
	sentAt := p.opts.Now()
	beat := p.opts.Membership.Heartbeat()
	if p.opts.FillHeartbeat != nil {
		p.opts.FillHeartbeat(peer, beat)
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.HeartbeatTimeout)
	defer cancel()
	reply, err := p.peers[peer].heartbeats.Heartbeat(ctx, beat)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			p.opts.Membership.HandleHeartbeatFailure(peer, sentAt, err)
		}
		return false
	}
	p.opts.Membership.HandleHeartbeatReply(peer, sentAt, reply)
	if p.opts.OnHeartbeatReply != nil {
		p.opts.OnHeartbeatReply(peer, reply)
	}
	return true
}

// Stats returns the traffic since p was created.
func (p *Peers) Stats() Stats {
	return Stats{
		Heartbeat: p.traffic.heartbeat.snapshot(), Other: p.traffic.other.snapshot(),
		CrossRegionBytesPerSecond: p.opts.CrossRegionBytesPerSecond, CrossRegionBudgetBytes: p.crossRegion.available(),
	}
}

func (p *Peers) closeIdleConnections() {
	for _, t := range p.transports {
		t.CloseIdleConnections()
	}
}
