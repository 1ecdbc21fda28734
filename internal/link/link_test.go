package link

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumpass/laburnumpass/internal/domain"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// fakePeer replies to heartbeats as the named host unless it is unreachable.
type fakePeer struct {
	rpc.Peer
	name        string
	mu          sync.Mutex
	unreachable bool
	heartbeats  int
}

func (p *fakePeer) Heartbeat(context.Context, *rpc.Beat) (*rpc.Beat, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heartbeats++
	if p.unreachable {
		return nil, errors.New("connection refused")
	}
	return &rpc.Beat{Host: p.name, Incarnation: 1, State: rpc.HostState_HOST_STATE_LIVE}, nil
}

// takeCount returns the number of heartbeats since the last call, including
// those that failed, and sets whether the peer is unreachable from now on.
func (p *fakePeer) takeCount(unreachable bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.heartbeats
	p.heartbeats, p.unreachable = 0, unreachable
	return n
}

// TestHeartbeats guards against heartbeats at the wrong rate, to several hosts of
// another failure domain at a time, or from a host that is not the first of its
// own failure domain.
func TestHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topology := domain.Topology{Self: "b", Hosts: []domain.Host{
			{Name: "a", Region: "r1", FailureDomain: "d1"}, {Name: "b", Region: "r1", FailureDomain: "d1"},
			{Name: "c", Region: "r1", FailureDomain: "d2"}, {Name: "d", Region: "r1", FailureDomain: "d2"},
			{Name: "e", Region: "r2", FailureDomain: "d3"},
		}}
		m, err := domain.NewMembership(domain.Options{Topology: topology})
		require.NoError(t, err)
		peers := map[string]*fakePeer{}
		p, err := New(Options{Topology: topology, Membership: m, NewClient: func(h domain.Host, _ *http.Client) rpc.Peer {
			if peers[h.Name] == nil {
				peers[h.Name] = &fakePeer{name: h.Name}
			}
			return peers[h.Name]
		}})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = p.Run(ctx) }()
		sleepSeconds := func(n int) { time.Sleep(time.Duration(n) * time.Second) }

		sleepSeconds(1)
		_, err = m.AwaitPeers(ctx)
		require.NoError(t, err)
		require.True(t, m.SetLive())
		for _, p := range peers {
			p.takeCount(false)
		}
		sleepSeconds(10)
		require.InDelta(t, 37, peers["a"].takeCount(true), 1)
		require.Zero(t, peers["c"].takeCount(false)+peers["d"].takeCount(false)+peers["e"].takeCount(false), "a is the first host")

		sleepSeconds(2)
		require.True(t, m.IsFirstHost(), "a is dead")
		first, second := peers["c"], peers["d"]
		if first.takeCount(false) == 0 {
			first, second = second, first
		}
		first.takeCount(false)
		peers["e"].takeCount(false)
		sleepSeconds(10)
		require.InDelta(t, 20, first.takeCount(true), 1)
		require.InDelta(t, 10, peers["e"].takeCount(false), 1)
		require.Zero(t, second.takeCount(false), "one host of a failure domain is enough")

		sleepSeconds(10)
		require.InDelta(t, 1, first.takeCount(false), 1)
		require.InDelta(t, 19, second.takeCount(false), 1)
		require.True(t, m.Reachable(second.name))
		require.False(t, m.Reachable(first.name))
	})
}

// TestCallLimits guards against calls between entry hosts that exceed their time or
// size limits and against wrong traffic counts. It uses the loopback interface.
func TestCallLimits(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/Resolve"):
			<-release
		case strings.HasSuffix(r.URL.Path, "/Events"):
			_, _ = w.Write(make([]byte, 3000))
		default:
			w.Header().Set("Content-Type", "application/protobuf")
			if strings.HasSuffix(r.URL.Path, "/Heartbeat") {
				body, _ := proto.Marshal(&rpc.Beat{Host: "b", Incarnation: 1, State: rpc.HostState_HOST_STATE_LIVE})
				_, _ = w.Write(body)
			}
		}
	}))
	server.Config.Protocols = Protocols()
	server.Start()
	defer server.Close()
	defer close(release)
	topology := domain.Topology{Self: "a", Hosts: []domain.Host{
		{Name: "a", Region: "r1", FailureDomain: "d1"},
		{Name: "b", Region: "r2", FailureDomain: "d2", PeerAddress: server.Listener.Addr().String()},
	}}
	m, err := domain.NewMembership(domain.Options{Topology: topology})
	require.NoError(t, err)
	p, err := New(Options{Topology: topology, Membership: m, CallTimeout: 50 * time.Millisecond, MaxMessageBytes: 2000})
	require.NoError(t, err)
	peer, ok := p.Client("b")
	require.True(t, ok)
	_, ok = p.Client("a")
	require.False(t, ok)

	_, err = peer.Cancel(t.Context(), &rpc.CancelRequest{Id: "x"})
	require.NoError(t, err)
	require.Equal(t, TrafficCounts{1, 3 + MessageOverhead, 1, MessageOverhead}, p.Stats().Other)
	_, err = peer.Resolve(t.Context(), &rpc.ResolveRequest{})
	require.ErrorContains(t, err, "deadline")
	_, err = peer.Events(t.Context(), &rpc.EventsRequest{})
	require.ErrorContains(t, err, ErrTooLarge.Error())
	_, err = peer.Cancel(t.Context(), &rpc.CancelRequest{Id: strings.Repeat("x", 3000)})
	require.ErrorContains(t, err, ErrTooLarge.Error())
	require.Zero(t, p.Stats().Heartbeat)
	require.True(t, p.sendHeartbeat(t.Context(), "b"))
	require.True(t, m.Reachable("b"))
	require.EqualValues(t, 1, p.Stats().Heartbeat.ReceivedMessages)
}

// TestTokenBucket guards against exceeding this host's share of the link between
// regions and against delaying heartbeats when the share is used up.
func TestTokenBucket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, begin := newTokenBucket(1000, time.Now), time.Now()
		for range 11 {
			require.NoError(t, b.wait(t.Context(), 1000))
		}
		require.InDelta(t, 9, time.Since(begin).Seconds(), 0.1, "one burst, then 1000 bytes a second")
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		begin = time.Now()
		require.ErrorIs(t, b.wait(ctx, 1), context.DeadlineExceeded)
		require.Zero(t, time.Since(begin), "a wait that must fail fails at once")
		require.Positive(t, b.forceTake(1), "urgent traffic does not wait")
	})
}
