package request

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
)

// TestAdoptedRequestThatPeerRan guards against a second run of a stored detached request
// that the only peer ran during a pause of this host, before it died with the record.
func TestAdoptedRequestThatPeerRan(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 2)
			keeper, paused := c.hosts[0], c.hosts[1]
			req := submit(testID(time.Now(), 0))
			req.Detach, req.Idempotent = true, idempotent
			paused.stop(false)
			time.Sleep(1500 * time.Millisecond)
			keeper.k.Submit(c.ctx, req)
			synctest.Wait()
			require.Equal(t, 1, c.worker.runCount(req.Id))
			keeper.stop(true)
			time.Sleep(1500 * time.Millisecond)
			paused.resume()
			reply := paused.k.AdoptDetached(c.ctx, req)
			if idempotent {
				// A new task shows that the attempt does not repeat the peer's number.
				require.Equal(t, string(api.Answered), paused.k.AwaitOutcome(c.ctx, req.Id).Outcome)
				require.Equal(t, 2, c.worker.runCount(req.Id))
				require.Zero(t, c.worker.duplicates)
				return
			}
			time.Sleep(time.Second)
			require.Equal(t, string(api.ReasonBeforeHorizon), reply.Reason)
			require.Equal(t, 1, c.worker.runCount(req.Id)+c.worker.duplicates)
		})
	}
}

// TestAdoptedRequestOfAnyAge guards against a stored detached request that is taken for
// one that may have run because it has waited for longer than records are kept.
func TestAdoptedRequestOfAnyAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		req := submit(testID(time.Now().Add(-30*time.Minute), 0))
		req.Detach = true
		c.hosts[0].k.AdoptDetached(c.ctx, req)
		require.Equal(t, string(api.Answered), c.hosts[0].k.AwaitOutcome(c.ctx, req.Id).Outcome)
		require.Equal(t, 1, c.worker.runCount(req.Id))
	})
}

// TestAwaitOutcomeOfAnsweredRequest guards against a stored detached request that is taken
// for pending after its answer has arrived, kept, and run again when its record expires.
func TestAwaitOutcomeOfAnsweredRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		keeper := c.hosts[0]
		req := submit(testID(time.Now(), 0))
		require.Equal(t, string(api.Answered), keeper.k.Submit(c.ctx, req).Outcome)
		reply := keeper.k.AwaitOutcome(c.ctx, req.Id)
		require.Equal(t, string(api.Answered), reply.Outcome, reply.Reason)
		require.Equal(t, "answer to "+req.Id, string(reply.Body))
	})
}
