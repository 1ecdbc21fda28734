package entryhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// TestQuotaSharesNeverExceedQuota guards against shares of a team's quota that add
// up to more than the quota while hosts lend and withdraw slots, lose heartbeats
// and cannot reach each other.
func TestQuotaSharesNeverExceedQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 5).Draw(t, "hosts")
		quota := rapid.IntRange(1, 60).Draw(t, "quota")
		now := time.Unix(0, 0)
		brokers := make([]*quotaBroker, hosts)
		use := make([]teamUsage, hosts)
		for i := range brokers {
			brokers[i] = newQuotaBroker(hosts, i, func() time.Time { return now })
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				i := rapid.IntRange(0, hosts-1).Draw(t, "host")
				share := brokers[i].localShare("team", quota)
				use[i] = teamUsage{running: rapid.IntRange(0, share).Draw(t, "running"), queued: rapid.IntRange(0, 40).Draw(t, "queued")}
			case 1:
				from, to := rapid.IntRange(0, hosts-1).Draw(t, "from"), rapid.IntRange(0, hosts-1).Draw(t, "to")
				if from != to {
					offer := brokers[from].teamDemands(hostName(to), map[string]teamUsage{"team": use[from]}, func(string) int { return quota })
					if rapid.Bool().Draw(t, "delivered") {
						brokers[to].observe(hostName(from), offer, now)
					}
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			}
			sum := 0
			for _, b := range brokers {
				sum += b.localShare("team", quota)
			}
			if sum > quota {
				t.Fatalf("shares add up to %d slots, the quota is %d", sum, quota)
			}
		}
	})
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

// TestQuotaFollowsDemand guards against a team that is limited to the base share of
// one host while the other hosts have no work of it.
func TestQuotaFollowsDemand(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	busy, idle := newQuotaBroker(2, 0, clock), newQuotaBroker(2, 1, clock)
	quota := func(string) int { return 40 }
	demand := map[string]teamUsage{"team": {running: 20, queued: 50}}
	require.Equal(t, 20, busy.localShare("team", 40))
	idle.observe("busy", busy.teamDemands("idle", demand, quota), now)
	busy.observe("idle", idle.teamDemands("busy", nil, quota), now)
	require.Equal(t, 30, busy.localShare("team", 40), "half of the idle host's base share is lent")
	require.Equal(t, 10, idle.localShare("team", 40))
	now = now.Add(grantTTL + time.Millisecond)
	require.Equal(t, 20, busy.localShare("team", 40), "a grant that is not confirmed expires")
	require.Equal(t, 10, idle.localShare("team", 40), "the lender waits longer than the borrower")
	now = now.Add(grantTTL)
	require.Equal(t, 20, idle.localShare("team", 40))
}

// TestReducedGrantIsNotReusedEarly guards against a lender that reuses slots while the
// borrower, which has not received the smaller grant yet, still uses the larger one.
func TestReducedGrantIsNotReusedEarly(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	busy, idle := newQuotaBroker(2, 0, clock), newQuotaBroker(2, 1, clock)
	quota := func(string) int { return 40 }
	idle.observe("busy", busy.teamDemands("idle", map[string]teamUsage{"team": {running: 20, queued: 50}}, quota), now)
	busy.observe("idle", idle.teamDemands("busy", nil, quota), now)
	require.Equal(t, 30, busy.localShare("team", 40))
	own := map[string]teamUsage{"team": {running: 10, queued: 6}}
	require.Empty(t, grantedSlots(idle.teamDemands("busy", own, quota)), "the larger grant is no longer confirmed")
	require.Equal(t, 10, idle.localShare("team", 40), "its slots are not reused before it has expired")
	now = now.Add(2*grantTTL + time.Millisecond)
	require.Equal(t, []uint32{4}, grantedSlots(idle.teamDemands("busy", own, quota)))
}

func grantedSlots(entries []*rpc.TeamDemand) []uint32 {
	var out []uint32
	for _, e := range entries {
		if e.Granted > 0 {
			out = append(out, e.Granted)
		}
	}
	return out
}
