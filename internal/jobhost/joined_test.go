package jobhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
				strongPause = set.recordJoin(fmt.Sprint("s", n), "a", 0.8, 0.8, now)
			}
			for n := range c.weak {
				weakPause = set.recordJoin(fmt.Sprint("w", n), "a", 0.192, 0.8, now)
			}
			require.Equal(t, c.strongPause, strongPause)
			require.GreaterOrEqual(t, weakPause, c.weakMin)
			require.Contains(t, set.live(now.Add(weakPause)), fmt.Sprint("w", c.weak-1))
			require.Empty(t, set.live(now.Add(weakPause+strongPause+joinExpiry)))
		})
	}
}
