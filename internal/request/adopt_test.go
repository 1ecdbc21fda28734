package request

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
)

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
