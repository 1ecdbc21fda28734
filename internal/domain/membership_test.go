package domain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

const (
	joining = rpc.HostState_HOST_STATE_JOINING
	live    = rpc.HostState_HOST_STATE_LIVE
	leaving = rpc.HostState_HOST_STATE_LEAVING
)

// bench is the Membership of host a with peers b and, in another failure
// domain of the region, c. Its clock moves by hand.
type bench struct {
	*Membership
	t   *testing.T
	now time.Time
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.Unix(1000, 0)}
	m, err := NewMembership(Options{
		Topology: Topology{Self: "a", Hosts: []Host{
			{Name: "a", Region: "r", FailureDomain: "d1"}, {Name: "b", Region: "r", FailureDomain: "d1"},
			{Name: "c", Region: "r", FailureDomain: "d2"},
		}},
		Incarnation: 1, Now: func() time.Time { return b.now },
	})
	require.NoError(t, err)
	b.Membership = m
	b.beat(1, live)
	b.answer(false)
	require.True(t, b.peersKnow() && b.SetLive())
	b.answer(false)
	return b
}

func (b *bench) beat(incarnation int64, s rpc.HostState) *rpc.Beat {
	return b.HandleHeartbeat(&rpc.Beat{Host: "b", Incarnation: incarnation, State: s})
}

func (b *bench) answer(mustRejoin bool) {
	p := b.peers["b"]
	b.HandleHeartbeatReply("b", b.now, &rpc.Beat{Host: "b", Incarnation: max(p.incarnation, 1), State: p.state, MustRejoin: mustRejoin})
}

// silence lets d pass while beats to the host fail.
func (b *bench) silence(host string, d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.HandleHeartbeatFailure(host, b.now, nil)
		b.pass(50 * time.Millisecond)
	}
}

func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		b.Tick()
	}
}

// id returns an ID of which a host is the keeper while both are live.
func (b *bench) id(host string) string {
	id := "x"
	for RendezvousFirst(id, []string{"a", "b"}) != host {
		id += "x"
	}
	return id
}

// Each case guards one rule that keeps a host from acting on stale knowledge.
func TestMembershipRules(t *testing.T) {
	for name, run := range map[string]func(t *testing.T, b *bench){
		"a lease lapses before the peer can declare this host dead": func(t *testing.T, b *bench) {
			b.silence("b", 550*time.Millisecond)
			require.NoError(t, b.CheckKeeper(b.id("a")))
			b.silence("b", 50*time.Millisecond)
			require.Equal(t, ErrLeaseExpired, b.CheckKeeper(b.id("a")))
			b.silence("b", 450*time.Millisecond)
			require.NoError(t, b.CheckKeeper(b.id("b")), "the peer is dead")
		},
		"a declaration of death needs fresh evidence": func(t *testing.T, b *bench) {
			b.silence("b", 1100*time.Millisecond)
			require.NoError(t, b.CheckKeeper(b.id("a")))
			b.pass(600 * time.Millisecond)
			require.Equal(t, ErrLeaseExpired, b.CheckKeeper(b.id("a")))
		},
		"a peer that was declared dead must rejoin": func(t *testing.T, b *bench) {
			b.silence("b", 1100*time.Millisecond)
			require.True(t, b.beat(1, live).MustRejoin)
			require.Equal(t, []string{"a"}, b.LiveHosts())
			require.False(t, b.AcceptsKeeper(b.id("b"), "b"))
			require.False(t, b.beat(1, joining).MustRejoin)
			require.False(t, b.beat(1, live).MustRejoin)
			require.Equal(t, []string{"a", "b"}, b.LiveHosts())
			require.True(t, b.AcceptsKeeper(b.id("b"), "b"))
		},
		"this host rejoins when a peer asks for it": func(t *testing.T, b *bench) {
			b.pass(50 * time.Millisecond)
			b.answer(true)
			require.Equal(t, ErrJoining, b.CheckKeeper(b.id("a")))
			require.Len(t, b.RejoinNeeded(), 1)
			require.False(t, b.SetLive(), "the peer does not know yet that this host joins")
			require.Equal(t, "a", b.Owner(b.id("a")), "joining again does not move workers")
		},
		"a long pause forgets deaths and joins again": func(t *testing.T, b *bench) {
			b.silence("b", 1100*time.Millisecond)
			b.now = b.now.Add(700 * time.Millisecond)
			require.Equal(t, ErrJoining, b.CheckKeeper(b.id("a")))
			b.silence("b", 900*time.Millisecond)
			require.False(t, b.peersKnow(), "death needs another second of silence")
			b.silence("b", 200*time.Millisecond)
			require.True(t, b.peersKnow())
		},
		"a beat that failed over a pause proves nothing": func(t *testing.T, b *bench) {
			sentAt := b.now
			b.now = b.now.Add(300 * time.Millisecond)
			b.HandleHeartbeatFailure("b", sentAt, nil)
			require.Zero(t, b.peers["b"].failures)
		},
		"a pause restarts the count of silence": func(t *testing.T, b *bench) {
			b.silence("b", 900*time.Millisecond)
			b.now = b.now.Add(300 * time.Millisecond)
			b.silence("b", 200*time.Millisecond)
			require.Equal(t, []string{"a", "b"}, b.LiveHosts())
		},
		"a reply of another host is a failure": func(t *testing.T, b *bench) {
			b.HandleHeartbeatReply("b", b.now, &rpc.Beat{Host: "c", Incarnation: 1, State: live})
			require.Equal(t, 1, b.peers["b"].failures)
		},
		"an older process of the same name does not count": func(t *testing.T, b *bench) {
			require.False(t, b.beat(2, joining).MustRejoin)
			require.Equal(t, []string{"a"}, b.LiveHosts(), "a restart is known at once")
			require.True(t, b.beat(1, live).MustRejoin)
			require.Equal(t, []string{"a"}, b.LiveHosts())
			require.Equal(t, int64(2), b.Incarnation("b"))
		},
		"leaving is final and does not hold up the lease": func(t *testing.T, b *bench) {
			b.beat(1, leaving)
			b.beat(1, live)
			require.Equal(t, []string{"a"}, b.LiveHosts())
			b.silence("b", 700*time.Millisecond)
			require.NoError(t, b.CheckKeeper(b.id("b")))
		},
		"a delayed beat does not undo a later one": func(t *testing.T, b *bench) {
			b.HandleHeartbeat(&rpc.Beat{Host: "b", Incarnation: 1, State: joining, Clock: 8})
			b.HandleHeartbeat(&rpc.Beat{Host: "b", Incarnation: 1, State: live, Clock: 7})
			require.Equal(t, []string{"a"}, b.LiveHosts())
		},
		"workers of a silent failure domain are taken after 10 s": func(t *testing.T, b *bench) {
			keep := func() { b.answer(false) }
			for range 9 {
				b.HandleHeartbeatFailure("c", b.now, nil)
				b.pass(time.Second)
				keep()
			}
			require.Empty(t, b.OwnerIn("d2", "w"))
			b.HandleHeartbeatFailure("c", b.now, nil)
			b.pass(1100 * time.Millisecond)
			require.Equal(t, "a", b.OwnerIn("d2", "w"))
			b.pass(50 * time.Millisecond)
			b.answer(true)
			b.beat(1, leaving)
			require.True(t, b.IsFirstHost(), "no host is live")
			require.Empty(t, b.OwnerIn("d2", "w"), "a joining host takes none")
			b.HandleHeartbeat(&rpc.Beat{Host: "c", Incarnation: 1, State: live})
			require.Equal(t, "c", b.OwnerIn("d2", "w"), "it is given back")
		},
	} {
		t.Run(name, func(t *testing.T) { run(t, newBench(t)) })
	}
}

// Guards against an uneven spread and against moves of keys that the death of
// another host does not concern.
func TestRendezvous(t *testing.T) {
	names, count := []string{"a", "b", "c", "d"}, map[string]int{}
	for i := range 4000 {
		key := string(rune('0'+i%10)) + time.Duration(i).String()
		order := RendezvousOrder(key, names)
		require.Equal(t, RendezvousFirst(key, names), order[0])
		require.Equal(t, order[1:], RendezvousOrder(key, order[1:]))
		count[order[0]]++
	}
	for _, n := range count {
		require.InDelta(t, 1000, n, 120)
	}
	topology := Topology{Self: "a", Hosts: []Host{{"a", "r", "d1", ""}, {"b", "r", "d2", ""}}}
	require.Equal(t, "d2", HomeDomain(topology, "d2/0190"))
	require.Contains(t, topology.FailureDomains(), HomeDomain(topology, "d3/0190"))
}
