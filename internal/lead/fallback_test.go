package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against many hosts that all read the holder's record while it does not reply.
func TestReadsWithoutRepliesKeepThePaceOfManyHosts(t *testing.T) {
	const pause, period = 3 * time.Second, 60 * time.Second
	for name, dies := range map[string]bool{"the holder renews": false, "the holder dies": true} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, func(t *testing.T, c *cluster) {
				holder := c.start("a", 1)
				c.waitForLeader(0, time.Second)
				follower := c.start("b", 1)
				time.Sleep(time.Second)
				follower.elector.HolderReplied(1, 0, pause)
				read := follower.store.reads.Load()
				for begin := time.Now(); time.Since(begin) < period; time.Sleep(pause) {
					follower.elector.HolderCallFailed(1)
				}
				require.LessOrEqual(t, follower.store.reads.Load()-read, int64(1.3*float64(period)/float64(pause)))
				require.False(t, follower.elector.IsHolder(), "the holder renews")
				if dies {
					holder.kill()
					leader, gap := c.waitForLeader(1, 10*time.Second)
					require.Equal(t, "b", leader)
					require.Less(t, gap, renewalTimeout+pause+time.Second)
				}
				stopAll(holder, follower)
			})
		})
	}
}

// Guards against a second pause of the reads after the death of the holder.
func TestHolderThatDiesDuringAPauseIsReplacedAfterIt(t *testing.T) {
	const pause = 3 * time.Second
	for offset := time.Duration(0); offset < 8*time.Second; offset += 200 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			runCluster(t, func(t *testing.T, c *cluster) {
				holder := c.start("a", 1)
				c.waitForLeader(0, time.Second)
				follower := c.start("b", 1)
				time.Sleep(time.Second)
				follower.elector.HolderReplied(1, 0, pause)
				follower.elector.HolderCallFailed(1)
				time.Sleep(10*time.Second + offset)
				holder.kill()
				leader, gap := c.waitForLeader(1, 10*time.Second)
				require.Equal(t, "b", leader)
				require.Less(t, gap, renewalTimeout+pause+time.Second)
				stopAll(holder, follower)
			})
		})
	}
}
