package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
)

// Guards against a task that misses its latency target for long because of
// fillers on the same worker. The fillers must be slowed down, and sped up
// again when the latency recovers.
func TestPace(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
		tc.taskDuration = time.Minute
		serving := smallStep
		serving.LongRunning, serving.TargetMS = true, 100
		tc.submit("s", serving)
		filler := smallStep
		filler.Filler = true
		tc.submit("f", filler)
		tc.waitFor("both run", func() bool { return len(tc.running("s")) == 1 && len(tc.running("f")) == 1 })
		n := tc.worker("w00")
		n.SetLoad("s.0.0.0", 150)
		begin := time.Now()
		tc.waitFor("the filler is slowed", func() bool { return n.PaceOf("f.0.0.0") < 50 })
		require.Less(t, time.Since(begin), 4*time.Second)
		n.SetLoad("s.0.0.0", 30)
		tc.waitFor("the filler goes on", func() bool { return n.PaceOf("f.0.0.0") == 100 })
	})
}

// Guards against a filler that stays slowed down because the request for its full
// pace was lost.
func TestLostRequestForFullPace(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
		tc.taskDuration = time.Minute
		serving, filler := smallStep, smallStep
		serving.LongRunning, serving.TargetMS, filler.Filler = true, 100, true
		tc.submit("s", serving)
		tc.submit("f", filler)
		tc.waitFor("both run", func() bool { return len(tc.running("s")) == 1 && len(tc.running("f")) == 1 })
		n := tc.worker("w00")
		n.SetLoad("s.0.0.0", 150)
		tc.waitFor("the filler is slowed", func() bool { return n.PaceOf("f.0.0.0") < 50 })
		n.SetLoad("s.0.0.0", 30)
		tc.waitFor("the filler is nearly at full pace", func() bool { return n.PaceOf("f.0.0.0") >= 80 })
		n.SetFault(func(call, _ string) celltest.Fault {
			if call == "pace" {
				return celltest.DropRequest
			}
			return celltest.NoFault
		})
		time.Sleep(3 * time.Second)
		n.SetFault(nil)
		tc.waitFor("the filler goes on", func() bool { return n.PaceOf("f.0.0.0") == 100 })
	})
}
