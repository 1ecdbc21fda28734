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

// harness is the Membership of host a, with peer b in the same failure domain and
// peer c in another failure domain of the region. The test advances its clock.
type harness struct {
	*Membership
	t   *testing.T
	now time.Time
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: time.Unix(1000, 0)}
	m, err := NewMembership(Options{
		Topology: Topology{Self: "a", Hosts: []Host{
			{Name: "a", Region: "r", FailureDomain: "d1"}, {Name: "b", Region: "r", FailureDomain: "d1"},
			{Name: "c", Region: "r", FailureDomain: "d2"},
		}},
		Incarnation: 1, Now: func() time.Time { return h.now },
	})
	require.NoError(t, err)
	h.Membership = m
	h.peerHeartbeat(1, live)
	h.peerReply(false)
	require.True(t, h.peersAcknowledgedJoin() && h.SetLive())
	h.peerReply(false)
	return h
}

// peerHeartbeat handles a heartbeat from b and returns the reply to it.
func (h *harness) peerHeartbeat(incarnation int64, s rpc.HostState) *rpc.Beat {
	return h.HandleHeartbeat(&rpc.Beat{Host: "b", Incarnation: incarnation, State: s})
}

// peerReply handles a reply from b to a heartbeat that was sent now.
func (h *harness) peerReply(mustRejoin bool) {
	p := h.peers["b"]
	h.HandleHeartbeatReply("b", h.now, &rpc.Beat{Host: "b", Incarnation: max(p.incarnation, 1), State: p.state, MustRejoin: mustRejoin})
}

// failHeartbeats advances the clock by d while heartbeats to the host fail.
func (h *harness) failHeartbeats(host string, d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.HandleHeartbeatFailure(host, h.now, nil)
		h.advance(50 * time.Millisecond)
	}
}

// advance advances the clock by d with a tick every 50 ms.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		h.Tick()
	}
}

// idKeptBy returns an ID whose keeper is the host while a and b are live.
func (h *harness) idKeptBy(host string) string {
	id := "x"
	for RendezvousFirst(id, []string{"a", "b"}) != host {
		id += "x"
	}
	return id
}

// Each case tests one rule that prevents a host from acting on stale information.
func TestMembershipRules(t *testing.T) {
	for name, run := range map[string]func(t *testing.T, h *harness){
		"a lease expires before the peer can declare this host dead": func(t *testing.T, h *harness) {
			h.failHeartbeats("b", 550*time.Millisecond)
			require.NoError(t, h.CheckKeeper(h.idKeptBy("a")))
			h.failHeartbeats("b", 50*time.Millisecond)
			require.Equal(t, ErrLeaseExpired, h.CheckKeeper(h.idKeptBy("a")))
			h.failHeartbeats("b", 450*time.Millisecond)
			require.NoError(t, h.CheckKeeper(h.idKeptBy("b")), "the peer is dead")
		},
		"a declaration of death needs fresh evidence": func(t *testing.T, h *harness) {
			h.failHeartbeats("b", 1100*time.Millisecond)
			require.NoError(t, h.CheckKeeper(h.idKeptBy("a")))
			h.advance(600 * time.Millisecond)
			require.Equal(t, ErrLeaseExpired, h.CheckKeeper(h.idKeptBy("a")))
		},
		"a peer that was declared dead must rejoin": func(t *testing.T, h *harness) {
			h.failHeartbeats("b", 1100*time.Millisecond)
			require.True(t, h.peerHeartbeat(1, live).MustRejoin)
			require.Equal(t, []string{"a"}, h.LiveHosts())
			require.False(t, h.AcceptsKeeper(h.idKeptBy("b"), "b"))
			require.False(t, h.peerHeartbeat(1, joining).MustRejoin)
			require.False(t, h.peerHeartbeat(1, live).MustRejoin)
			require.Equal(t, []string{"a", "b"}, h.LiveHosts())
			require.True(t, h.AcceptsKeeper(h.idKeptBy("b"), "b"))
		},
		"this host rejoins when a peer asks for it": func(t *testing.T, h *harness) {
			h.advance(50 * time.Millisecond)
			h.peerReply(true)
			require.Equal(t, ErrJoining, h.CheckKeeper(h.idKeptBy("a")))
			require.Len(t, h.RejoinNeeded(), 1)
			require.False(t, h.SetLive(), "the peer has not acknowledged the join")
			require.Equal(t, "a", h.Owner(h.idKeptBy("a")), "joining again must not move workers")
		},
		"a long pause revokes declarations of death and rejoins": func(t *testing.T, h *harness) {
			h.failHeartbeats("b", 1100*time.Millisecond)
			h.now = h.now.Add(700 * time.Millisecond)
			require.Equal(t, ErrJoining, h.CheckKeeper(h.idKeptBy("a")))
			h.failHeartbeats("b", 900*time.Millisecond)
			require.False(t, h.peersAcknowledgedJoin(), "declaring the peer dead needs another second of failed heartbeats")
			h.failHeartbeats("b", 200*time.Millisecond)
			require.True(t, h.peersAcknowledgedJoin())
		},
		"a pause during a join begins it anew": func(t *testing.T, h *harness) {
			h.advance(50 * time.Millisecond)
			h.peerReply(true)
			h.now = h.now.Add(5 * time.Second)
			h.Tick()
			resumed := h.now
			h.failHeartbeats("b", 1100*time.Millisecond)
			since, err := h.AwaitPeers(t.Context())
			require.NoError(t, err)
			require.Equal(t, resumed, since, "the peer may have acted alone until it died")
		},
		"a heartbeat that failed across a pause is ignored": func(t *testing.T, h *harness) {
			sentAt := h.now
			h.now = h.now.Add(300 * time.Millisecond)
			h.HandleHeartbeatFailure("b", sentAt, nil)
			require.Zero(t, h.peers["b"].failures)
		},
		"a pause resets the failed heartbeats": func(t *testing.T, h *harness) {
			h.failHeartbeats("b", 900*time.Millisecond)
			h.now = h.now.Add(300 * time.Millisecond)
			h.failHeartbeats("b", 200*time.Millisecond)
			require.Equal(t, []string{"a", "b"}, h.LiveHosts())
		},
		"a reply of another host is a failure": func(t *testing.T, h *harness) {
			h.HandleHeartbeatReply("b", h.now, &rpc.Beat{Host: "c", Incarnation: 1, State: live})
			require.Equal(t, 1, h.peers["b"].failures)
		},
		"heartbeats of a replaced process are ignored": func(t *testing.T, h *harness) {
			require.False(t, h.peerHeartbeat(2, joining).MustRejoin)
			require.Equal(t, []string{"a"}, h.LiveHosts(), "a restart must be noticed at once")
			require.True(t, h.peerHeartbeat(1, live).MustRejoin)
			require.Equal(t, []string{"a"}, h.LiveHosts())
			require.Equal(t, int64(2), h.Incarnation("b"))
		},
		"leaving is final and does not invalidate the keeper lease": func(t *testing.T, h *harness) {
			h.peerHeartbeat(1, leaving)
			h.peerHeartbeat(1, live)
			require.Equal(t, []string{"a"}, h.LiveHosts())
			h.failHeartbeats("b", 700*time.Millisecond)
			require.NoError(t, h.CheckKeeper(h.idKeptBy("b")))
		},
		"a delayed heartbeat does not overwrite a later one": func(t *testing.T, h *harness) {
			h.HandleHeartbeat(&rpc.Beat{Host: "b", Incarnation: 1, State: joining, Clock: 8})
			h.HandleHeartbeat(&rpc.Beat{Host: "b", Incarnation: 1, State: live, Clock: 7})
			require.Equal(t, []string{"a"}, h.LiveHosts())
		},
		"workers of an unreachable failure domain are taken over after 10 s": func(t *testing.T, h *harness) {
			renewLease := func() { h.peerReply(false) }
			for range 9 {
				h.HandleHeartbeatFailure("c", h.now, nil)
				h.advance(time.Second)
				renewLease()
			}
			require.Empty(t, h.OwnerIn("d2", "w"))
			h.HandleHeartbeatFailure("c", h.now, nil)
			h.advance(1100 * time.Millisecond)
			require.Equal(t, "a", h.OwnerIn("d2", "w"))
			h.advance(50 * time.Millisecond)
			h.peerReply(true)
			h.peerHeartbeat(1, leaving)
			require.True(t, h.IsFirstHost(), "no host is live")
			require.Empty(t, h.OwnerIn("d2", "w"), "a joining host must not take over workers")
			h.HandleHeartbeat(&rpc.Beat{Host: "c", Incarnation: 1, State: live})
			require.Equal(t, "c", h.OwnerIn("d2", "w"), "the worker must return to its failure domain")
		},
	} {
		t.Run(name, func(t *testing.T) { run(t, newHarness(t)) })
	}
}

// Guards against a host without peers that distrusts its records after a pause, and
// against one that trusts them before its first join or although a peer may have acted.
func TestOnlyKeeper(t *testing.T) {
	now := time.Unix(1000, 0)
	m, err := NewMembership(Options{Topology: Topology{Self: "a", Hosts: []Host{
		{Name: "a", Region: "r", FailureDomain: "d1"}, {Name: "c", Region: "r", FailureDomain: "d2"},
	}}, Now: func() time.Time { return now }})
	require.NoError(t, err)
	require.False(t, m.IsOnlyKeeper(), "a former process may have acted")
	require.True(t, m.peersAcknowledgedJoin() && m.SetLive())
	now = now.Add(time.Minute)
	require.Equal(t, joining, m.State())
	require.True(t, m.IsOnlyKeeper())
	h := newHarness(t)
	h.failHeartbeats("b", 1100*time.Millisecond)
	require.False(t, h.IsOnlyKeeper(), "a dead peer may have acted before")
}

// Guards against an uneven distribution of keys, and against keys that move when a
// host is removed that is not their first choice.
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
