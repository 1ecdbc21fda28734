package lead

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// storedHolder returns the holder record in the store.
func (c *cluster) storedHolder() Holder {
	page, err := c.store.ReadCompacted(context.Background(), "lead", "")
	require.NoError(c.t, err)
	var h Holder
	require.NoError(c.t, json.Unmarshal(page.Records[0].Value, &h))
	return h
}

func (c *cluster) term(name string) *Term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.terms[name]
}

// succession lets a lead and be killed, and then b lead for some renewals.
func (c *cluster) succession() (b *host) {
	a := c.start("a", 1)
	c.waitForLeader(0, time.Second)
	time.Sleep(time.Second)
	a.kill()
	<-a.done
	b = c.start("b", 1)
	c.waitForLeader(1, 3*time.Second)
	return b
}

// Guards against predecessors of a successor that are not those of the record which it has
// replaced, and against a record whose ages stay those of the claim.
func TestSuccessorTakesFormerHoldersFromTheRecord(t *testing.T) {
	for name, disturb := range map[string]func(c *cluster, b *host){
		"renewals": func(*cluster, *host) { time.Sleep(4 * time.Second) },
		"replies to renewals are lost": func(c *cluster, _ *host) {
			c.store.SetFault(func(call, _ string) storetest.Fault {
				if call == "append" {
					return storetest.DropReply
				}
				return storetest.NoFault
			})
			time.Sleep(4 * time.Second)
			c.store.SetFault(nil)
		},
		"renewals are refused for a while": func(c *cluster, _ *host) {
			c.store.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
			time.Sleep(2 * time.Second)
			c.store.SetFault(nil)
			time.Sleep(2 * time.Second)
		},
	} {
		runBothModes(t, name, func(t *testing.T, polls bool) {
			runCluster(t, func(t *testing.T, c *cluster) {
				b := c.succession()
				first := c.term("b").Predecessors()
				require.Len(t, first, 1)
				follower := c.start("c", 1)
				if polls {
					c.pollHolder(follower, 0)
				}
				disturb(c, b)
				_, epoch := c.newestLeader()
				require.EqualValues(t, 2, epoch)
				b.kill()
				<-b.done
				killedAt, record := cell.BootTime(), c.storedHolder()
				confirmedAt := killedAt - c.term("b").ConfirmationAge()
				require.Len(t, record.Former, 1)
				c.waitForLeader(2, 3*time.Second)
				term := c.term("c")
				predecessors := term.Predecessors()
				require.GreaterOrEqual(t, predecessors[1].ConfirmedAt, confirmedAt)
				require.LessOrEqual(t, predecessors[1].ConfirmedAt, term.ClaimedAt)
				record.SentBy = predecessors[1].ConfirmedAt
				require.Equal(t, predecessorsOf(&record, Holder{Host: "c", Incarnation: "c-1"}, term.ClaimedAt, 0), predecessors)
				require.Equal(t, []string{"a-1", "b-1"}, []string{predecessors[0].Incarnation, predecessors[1].Incarnation})
				require.Equal(t, []int64{1, 2}, []int64{predecessors[0].Epoch, predecessors[1].Epoch})
				// b counted on a since its own claim. What the record does not tell is the
				// time since the renewal before b was killed.
				require.GreaterOrEqual(t, predecessors[0].ConfirmedAt, first[0].ConfirmedAt)
				require.Less(t, predecessors[0].ConfirmedAt, first[0].ConfirmedAt+term.ClaimedAt-killedAt+renewInterval+callTimeout)
				require.EqualValues(t, 1, term.LeaseRecordsSince)
				stopAll(follower)
			})
		})
	}
}

// Guards against a resigned holder that is waited for, and against one before it that is
// forgotten with its resignation.
func TestResignedHolderHasStopped(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		b := c.succession()
		time.Sleep(2 * time.Second)
		follower := c.start("c", 1)
		resignedAt := cell.BootTime()
		b.elector.Resign()
		c.waitForLeader(2, time.Second)
		term := c.term("c")
		predecessors := term.Predecessors()
		require.Len(t, predecessors, 2)
		require.Equal(t, NotStopped, predecessors[0].StoppedAt)
		require.Greater(t, predecessors[0].ActsUntil(MaxConfirmationAge), term.ClaimedAt+MaxConfirmationAge/2)
		require.Less(t, predecessors[0].ActsUntil(MaxConfirmationAge), term.ClaimedAt+MaxConfirmationAge-time.Second, "b has renewed since its claim")
		require.GreaterOrEqual(t, predecessors[1].StoppedAt, resignedAt)
		require.LessOrEqual(t, predecessors[1].StoppedAt, term.ClaimedAt)
		time.Sleep(time.Second)
		former := c.storedHolder().Former
		require.Len(t, former, 2)
		require.NotNil(t, former[1].StoppedAgoMS)
		require.Equal(t, former[1].ConfirmedAgoMS, *former[1].StoppedAgoMS)
		stopAll(b, follower)
	})
}

// Guards against a claim after a holder of which another host told without its predecessors.
func TestClaimAfterALearnedHolder(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		follower := c.start("c", 1)
		c.waitForLeader(0, time.Second)
		follower.kill()
		<-follower.done
		a := c.start("a", 1)
		c.waitForLeader(1, 3*time.Second)
		follower = c.start("c", 2)
		time.Sleep(time.Second)
		follower.store.setDisconnected(true)
		a.kill()
		<-a.done
		b := c.start("b", 1)
		c.waitForLeader(2, 3*time.Second)
		time.Sleep(time.Second)
		follower.elector.LearnHolder(Holder{Host: "b", Incarnation: "b-1", Epoch: 3})
		b.kill()
		<-b.done
		record := c.storedHolder()
		require.Len(t, record.Former, 2)
		time.Sleep(3 * time.Second)
		connectedAt := cell.BootTime()
		follower.store.setDisconnected(false)
		follower.elector.HolderStopped(3)
		c.waitForLeader(3, 5*time.Second)
		term := c.term("c")
		record.SentBy = term.Predecessors()[len(term.Predecessors())-1].ConfirmedAt
		require.GreaterOrEqual(t, record.SentBy, connectedAt)
		require.LessOrEqual(t, record.SentBy, term.ClaimedAt)
		require.Equal(t, predecessorsOf(&record, Holder{Host: "c", Incarnation: "c-2"}, term.ClaimedAt, 0), term.Predecessors())
		require.Len(t, term.Predecessors(), 3)
		require.EqualValues(t, 1, term.LeaseRecordsSince)
		stopAll(follower)
	})
}

// Guards against a holder that is forgotten while a lease from it may be in force.
func TestFormerHoldersAreRetained(t *testing.T) {
	inSimulatedTime(t, func(t *testing.T) {
		_, record := succeed(t, nil, process("a", "1"))
		term, record := succeed(t, record, process("b", "1"))
		time.Sleep(MaxConfirmationAge + formerRetention)
		require.Len(t, term.Renewal(*record, cell.BootTime()).Former, 1)
		time.Sleep(time.Millisecond)
		require.Empty(t, term.Renewal(*record, cell.BootTime()).Former)
	})
}
