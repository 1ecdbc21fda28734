package request

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// TestStoppedKeeperStoresNoOutcome guards against a resolution that the end of a keeper
// interrupts and whose unknown outcome callers and backups take for final.
func TestStoppedKeeperStoresNoOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		first, second, third := c.hosts[0], c.hosts[1], c.hosts[2]
		id := testID(time.Now(), 0)
		first.block("answer", true)
		go first.k.Submit(c.ctx, submit(id))
		synctest.Wait()
		second.block("resolve", true)
		first.stop(true)
		time.Sleep(1500 * time.Millisecond)
		var reply *rpc.SubmitReply
		go func() { reply = second.k.Resolve(c.ctx, id) }()
		synctest.Wait()
		second.k.stop()
		time.Sleep(time.Second)
		require.NotNil(t, reply)
		require.True(t, reply.NotKeeper, "%v", reply)
		records := third.k.Fetch("", 1).Records
		require.Len(t, records, 1)
		require.True(t, State(records[0].State).open(), "state %s", State(records[0].State))
	})
}

// TestRefusedReservationIsNotResolved guards against a request that is reported as unknown
// although its only reservation was refused, as shortly after a change of the keeper.
func TestRefusedReservationIsNotResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		keeper, backup := c.hosts[0], c.hosts[1]
		reason := api.ReasonNoReply
		c.worker.unknownReason.Store(&reason)
		req := submit(testID(time.Now(), 0))
		backup.keeperOverride = func(string) string { return backup.name }
		require.True(t, keeper.k.Submit(c.ctx, req).NotKeeper)
		backup.keeperOverride = nil
		reply := keeper.k.Submit(c.ctx, req)
		require.Equal(t, string(api.Answered), reply.Outcome, reply.Reason)
		require.Equal(t, 1, c.worker.runCount(req.Id))
	})
}
