package jobhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
)

// Guards against Join calls that grow with the number of hosts and take the whole
// processor of a scheduler: each host must call more seldom, strong ones less so, and
// a host that calls when it was told to must count as live.
func TestJoinPause(t *testing.T) {
	for _, c := range []struct {
		strong, weak         int
		strongPause, weakMin time.Duration
	}{
		{3, 4, joinInterval, joinInterval},
		{18, 129, joinInterval, 2500 * time.Millisecond},
		{600, 4500, 12 * time.Second, maxJoinPause},
	} {
		t.Run(fmt.Sprint(c.strong+c.weak), func(t *testing.T) {
			var set joinedHostSet
			now := time.Now()
			var strongPause, weakPause time.Duration
			for n := range c.strong {
				strongPause = set.recordJoin(&jobsrpc.JoinRequest{Host: fmt.Sprint("s", n), Address: "a", ProcessorShare: 0.8}, 0.8, now)
			}
			for n := range c.weak {
				weakPause = set.recordJoin(&jobsrpc.JoinRequest{Host: fmt.Sprint("w", n), Address: "a", ProcessorShare: 0.192}, 0.8, now)
			}
			require.Equal(t, c.strongPause, strongPause)
			require.GreaterOrEqual(t, weakPause, c.weakMin)
			require.Contains(t, set.live(now.Add(weakPause)), fmt.Sprint("w", c.weak-1))
			require.Empty(t, set.live(now.Add(weakPause+strongPause+joinExpiry)))
		})
	}
}

// Guards against a handover to hosts that are stopping.
func TestStoppingHostsAreNoSuccessors(t *testing.T) {
	var set joinedHostSet
	now := time.Now()
	for _, r := range []*jobsrpc.JoinRequest{{Host: "a"}, {Host: "b"}, {Host: "b", Draining: true}, {Host: "c", Draining: true}, {Host: "c"}} {
		set.recordJoin(r, 1, now)
	}
	require.ElementsMatch(t, []string{"a", "c"}, set.staying(now))
	require.ElementsMatch(t, []string{"a", "b", "c"}, set.live(now))
	require.Empty(t, set.staying(now.Add(joinInterval+joinExpiry)))
}

// Guards against a shard without a scheduler between its handover and the restart of
// the first host that can claim it.
func TestHandoverDue(t *testing.T) {
	for _, c := range []struct {
		name       string
		remaining  time.Duration
		successors int
		want       bool
	}{
		{"early in the drain", 3 * time.Second, 2, false},
		{"a host can take over", handoverReserve, 1, true},
		{"all others are stopping", handoverReserve, 0, false},
		{"at the very end", lastHandoverReserve, 0, true},
		{"no time to drain", 0, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, handoverDue(c.remaining, c.successors)) })
	}
}

// Guards against witnesses of an earlier version, which never reply to the calls, and against a choice that leaves out the hosts that take over.
func TestOnlyHostsThatAnswerAreWitnesses(t *testing.T) {
	var joined joinedHostSet
	now := time.Now()
	joined.recordJoin(&jobsrpc.JoinRequest{Host: "a", Address: "a:1", Witness: true, ProcessorShare: 0.2}, 1, now)
	joined.recordJoin(&jobsrpc.JoinRequest{Host: "d", Address: "d:1", Witness: true, ProcessorShare: 0.9}, 1, now)
	joined.recordJoin(&jobsrpc.JoinRequest{Host: "b", Address: "b:1", Witness: true, ProcessorShare: 0.8}, 1, now)
	joined.recordJoin(&jobsrpc.JoinRequest{Host: "c", Address: "c:1"}, 1, now)
	require.Equal(t, []string{"b@b:1", "d@d:1", "a@a:1"}, joined.witnesses(now))
}
