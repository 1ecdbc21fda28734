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

// fakePeer answers beats of the host of that name unless it is down.
type fakePeer struct {
	rpc.Peer
	name  string
	mu    sync.Mutex
	down  bool
	beats int
}

func (p *fakePeer) Heartbeat(context.Context, *rpc.Beat) (*rpc.Beat, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beats++
	if p.down {
		return nil, errors.New("connection refused")
	}
	return &rpc.Beat{Host: p.name, Incarnation: 1, State: rpc.HostState_HOST_STATE_LIVE}, nil
}

// count returns the beats since the last call and sets down.
func (p *fakePeer) count(down bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.beats
	p.beats, p.down = 0, down
	return n
}

// Guards against beats at the wrong rate, to too many hosts of another failure
// domain, or from a host that is not the first of its own.
func TestBeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topology := domain.Topology{Self: "b", Hosts: []domain.Host{
			{Name: "a", Region: "r1", FailureDomain: "d1"}, {Name: "b", Region: "r1", FailureDomain: "d1"},
			{Name: "c", Region: "r1", FailureDomain: "d2"}, {Name: "d", Region: "r1", FailureDomain: "d2"},
			{Name: "e", Region: "r2", FailureDomain: "d3"},
		}}
		m, err := domain.NewMembership(domain.Options{Topology: topology})
		require.NoError(t, err)
		peers := map[string]*fakePeer{}
		s, err := New(Options{Topology: topology, Membership: m, NewClient: func(h domain.Host, _ *http.Client) rpc.Peer {
			if peers[h.Name] == nil {
				peers[h.Name] = &fakePeer{name: h.Name}
			}
			return peers[h.Name]
		}})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		seconds := func(n int) { time.Sleep(time.Duration(n) * time.Second) }

		seconds(1)
		require.NoError(t, m.AwaitPeers(ctx))
		require.True(t, m.SetLive())
		for _, p := range peers {
			p.count(false)
		}
		seconds(10)
		require.InDelta(t, 37, peers["a"].count(true), 1)
		require.Zero(t, peers["c"].count(false)+peers["d"].count(false)+peers["e"].count(false), "a is the first host")

		seconds(2)
		require.True(t, m.First(), "a is dead")
		first, second := peers["c"], peers["d"]
		if first.count(false) == 0 {
			first, second = second, first
		}
		first.count(false)
		peers["e"].count(false)
		seconds(10)
		require.InDelta(t, 20, first.count(true), 1)
		require.InDelta(t, 10, peers["e"].count(false), 1)
		require.Zero(t, second.count(false), "one host of a failure domain is enough")

		seconds(10)
		require.InDelta(t, 1, first.count(false), 1)
		require.InDelta(t, 19, second.count(false), 1)
		require.True(t, m.Reachable(second.name))
		require.False(t, m.Reachable(first.name))
	})
}

// Guards against calls between entry hosts that take more time or memory than
// they may, and checks the count of the traffic, over loopback.
func TestBounds(t *testing.T) {
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
	s, err := New(Options{Topology: topology, Membership: m, CallTimeout: 50 * time.Millisecond, MaxMessageBytes: 2000})
	require.NoError(t, err)
	peer, ok := s.Client("b")
	require.True(t, ok)
	_, ok = s.Client("a")
	require.False(t, ok)

	_, err = peer.Cancel(t.Context(), &rpc.CancelRequest{Id: "x"})
	require.NoError(t, err)
	require.Equal(t, TrafficCounts{1, 3 + MessageOverhead, 1, MessageOverhead}, s.Stats().Other)
	_, err = peer.Resolve(t.Context(), &rpc.ResolveRequest{})
	require.ErrorContains(t, err, "deadline")
	_, err = peer.Events(t.Context(), &rpc.EventsRequest{})
	require.ErrorContains(t, err, ErrTooLarge.Error())
	_, err = peer.Cancel(t.Context(), &rpc.CancelRequest{Id: strings.Repeat("x", 3000)})
	require.ErrorContains(t, err, ErrTooLarge.Error())
	require.Zero(t, s.Stats().Heartbeat)
	require.True(t, s.beat(t.Context(), "b"))
	require.True(t, m.Reachable("b"))
	require.EqualValues(t, 1, s.Stats().Heartbeat.ReceivedMessages)
}

// Guards against more traffic between regions than its share of the link, and
// against heartbeats that wait behind it.
func TestBucket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, begin := newBucket(1000, time.Now), time.Now()
		for range 11 {
			require.NoError(t, b.wait(t.Context(), 1000))
		}
		require.InDelta(t, 9, time.Since(begin).Seconds(), 0.1, "one burst, then 1000 bytes a second")
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		begin = time.Now()
		require.ErrorIs(t, b.wait(ctx, 1), context.DeadlineExceeded)
		require.Zero(t, time.Since(begin), "a wait that must fail fails at once")
		require.Positive(t, b.take(1), "urgent traffic does not wait")
	})
}
