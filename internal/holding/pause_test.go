package holding

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a renewal that revives a lease after a pause, so that tasks start on
// a worker that was listed as leaving in the meantime.
func TestLapsedLeaseIsNotRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newFakeWorker(false), assignedTo("a")
		a := newTestHost("a", w, s.get)
		defer stopHosts(a)
		timeUntilStarted(t, a, "t1")
		a.RecordListRead(a.now())
		a.pause(3 * time.Second)
		time.Sleep(time.Second)
		_, held := a.Held("w1")
		require.False(t, held, "the newest read began before the pause")
		a.RecordListRead(a.now())
		require.Less(t, timeUntilStarted(t, a, "t2"), 200*time.Millisecond)
	})
}
