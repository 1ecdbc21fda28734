package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a service without a leader while a retired one still runs, and
// against a retired process that claims.
func TestRetiredLeaderLeadsUntilItResigns(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		leader := c.start("a", 1)
		_, _ = c.waitForLeader(0, time.Second)
		other := c.start("b", 1)
		leader.elector.Retire()
		other.elector.Retire()
		time.Sleep(5 * time.Second)
		name, epoch := c.newestLeader()
		require.Equal(t, "a", name)
		require.EqualValues(t, 1, epoch)
		leader.elector.Resign()
		time.Sleep(5 * time.Second)
		name, _ = c.newestLeader()
		require.Empty(t, name, "both processes have retired")
		successor := c.start("c", 1)
		c.waitForLeader(1, time.Second)
		stopAll(leader, other, successor)
	})
}
