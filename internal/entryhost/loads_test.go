package entryhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/domain"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

func testTopology() domain.Topology {
	return domain.Topology{Self: "a1", Hosts: []domain.Host{
		{Name: "a1", Region: "west", FailureDomain: "a"}, {Name: "a2", Region: "west", FailureDomain: "a"},
		{Name: "b1", Region: "west", FailureDomain: "b"}, {Name: "c1", Region: "east", FailureDomain: "c"},
	}}
}

func anyPeer(string) bool { return true }

// TestChoosePeer guards against requests that are forwarded although that costs
// more than the wait that it saves, to a host without free slots, or to a failure
// domain that the profile excludes.
func TestChoosePeer(t *testing.T) {
	freeLoad := func(wait time.Duration) []*rpc.Load {
		return []*rpc.Load{{Service: "desk", FreeSlots: 12, WaitUs: uint32(wait / time.Microsecond)}}
	}
	fullLoad := []*rpc.Load{{Service: "desk", Queued: 9}}
	for _, tc := range []struct {
		name           string
		loads          map[string][]*rpc.Load
		localWait      time.Duration
		sameDomainOnly bool
		want           string
	}{
		{"nothing reported", nil, time.Second, false, ""},
		{"peer in the failure domain first", map[string][]*rpc.Load{"a2": freeLoad(0), "b1": freeLoad(0)}, 50 * time.Millisecond, false, "a2"},
		{"wait below the cost within the failure domain", map[string][]*rpc.Load{"a2": freeLoad(0)}, sameDomainCost, false, ""},
		{"other failure domain when the own is full", map[string][]*rpc.Load{"a2": fullLoad, "b1": freeLoad(0)}, 50 * time.Millisecond, false, "b1"},
		{"wait below the cost between failure domains", map[string][]*rpc.Load{"b1": freeLoad(0)}, crossDomainRTT + crossDomainCost, false, ""},
		{"other region only for a long wait", map[string][]*rpc.Load{"c1": freeLoad(0)}, 40 * time.Millisecond, false, ""},
		{"other region", map[string][]*rpc.Load{"c1": freeLoad(0)}, 50 * time.Millisecond, false, "c1"},
		{"profile excludes other failure domains", map[string][]*rpc.Load{"b1": freeLoad(0)}, time.Second, true, ""},
		{"peer with a longer wait", map[string][]*rpc.Load{"a2": freeLoad(time.Second)}, 50 * time.Millisecond, false, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newLoadTable(testTopology(), domain.Host{Name: "a1", Region: "west", FailureDomain: "a"}, time.Now)
			for peer, loads := range tc.loads {
				table.observe(peer, &rpc.Beat{Load: loads})
			}
			got, ok := table.choosePeer("desk", tc.localWait, tc.sameDomainOnly, anyPeer)
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.want != "", ok)
		})
	}
}

// TestUnderPressure guards against load reports in every heartbeat of an idle cell in
// which some host has no worker for some service: they exceeded the budget for
// heartbeat traffic. It also guards against missing reports while work is queued.
func TestUnderPressure(t *testing.T) {
	noWorker := uint32(noWorkerWait / time.Microsecond)
	for _, tc := range []struct {
		name string
		load *rpc.Load
		want bool
	}{
		{"free slots", &rpc.Load{FreeSlots: 3}, false},
		{"no worker for the service", &rpc.Load{WaitUs: noWorker}, false},
		{"no worker for the service, work queued", &rpc.Load{Queued: 1, WaitUs: noWorker}, true},
		{"no free slots", &rpc.Load{WaitUs: 4000}, true},
		{"work queued", &rpc.Load{FreeSlots: 1, Queued: 1}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, anyUnderPressure([]*rpc.Load{{FreeSlots: 1}, tc.load}))
			table := newLoadTable(testTopology(), domain.Host{Name: "a1", Region: "west", FailureDomain: "a"}, time.Now)
			require.True(t, table.peerUnderPressure("a2"), "before the first report")
			table.observe("a2", &rpc.Beat{Load: []*rpc.Load{tc.load}})
			require.Equal(t, tc.want, table.peerUnderPressure("a2"))
		})
	}
}

// TestChooseBudget guards against all hosts sending their requests to the host that
// reported free slots: together they must not forward more than it has free.
func TestChooseBudget(t *testing.T) {
	now := time.Unix(0, 0)
	table := newLoadTable(testTopology(), domain.Host{Name: "a1", Region: "west", FailureDomain: "a"}, func() time.Time { return now })
	report := &rpc.Beat{Load: []*rpc.Load{{Service: "desk", FreeSlots: 12}}}
	table.observe("b1", report)
	forwarded := 0
	for {
		if _, ok := table.choosePeer("desk", time.Second, false, anyPeer); !ok {
			break
		}
		forwarded++
	}
	require.Equal(t, 3, forwarded, "four hosts of two failure domains share 12 slots")
	table.observe("b1", report)
	_, ok := table.choosePeer("desk", time.Second, false, anyPeer)
	require.True(t, ok, "the next report renews the budget")
	now = now.Add(loadMaxAge + time.Millisecond)
	_, ok = table.choosePeer("desk", time.Second, false, anyPeer)
	require.False(t, ok, "an outdated report is ignored")
	table.observe("b1", report)
	table.exhaustBudget("b1", "desk")
	_, ok = table.choosePeer("desk", time.Second, false, anyPeer)
	require.False(t, ok, "a refusal empties the budget")
}

// TestDispatchRunsOnce guards against a dispatch that runs twice, or that runs
// after the host replied to its record keeper that it will not run.
func TestDispatchRunsOnce(t *testing.T) {
	now := time.Unix(0, 0)
	table := newDispatchTable(func() time.Time { return now })
	key := dispatchKey{"fd-a/x", 1}
	d, first := table.begin(key)
	require.True(t, first)
	_, again := table.begin(key)
	require.False(t, again)
	table.finish(d, refusedReply(key.id))
	now = now.Add(dispatchRetention + time.Millisecond)
	table.expire()
	_, first = table.begin(key)
	require.True(t, first, "a finished dispatch is dropped when its retention has passed")

	fenced := dispatchKey{"fd-a/y", 1}
	table.fence(fenced, time.Minute)
	now = now.Add(30 * time.Second)
	table.expire()
	late, first := table.begin(fenced)
	require.False(t, first)
	require.True(t, late.fenced)
}
