package bench

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/schedule"
)

// BenchmarkRun prints all figures. Run it once with -benchtime 1x.
func BenchmarkRun(b *testing.B) {
	for range b.N {
		require.NoError(b, Run(os.Stdout, 1))
	}
}

// TestPrinterFormat checks the line format from which the figures are read.
func TestPrinterFormat(t *testing.T) {
	var out bytes.Buffer
	p := &printer{w: &out}
	p.figure("a.b", 1.5, "ms")
	require.Equal(t, "figure a.b 1.5 ms", strings.TrimSpace(out.String()))
}

// TestDeployments guards against deployments whose sizes drift from those in
// docs/design.md, so that the figures would be those of another cell.
func TestDeployments(t *testing.T) {
	for _, c := range []struct {
		deployment                               deployment
		workers, accelerators, plainCores, teams int
		load                                     float64
		running, starts, long, tolerance         float64
	}{
		{orderDesk(), 48, 104, 32, usualTeams, 1, 384 * 0.95, 0, 0, 0.01},
		{sparesDesk(), 48, 104, 64, usualTeams, 1, 384 * 0.95, 0, 0, 0.01},
		{designSize(), 5100, 7200, 32, 570, designLoad, 34000, 3100, 0.2, 0.01},
	} {
		accelerators := 0
		for _, spec := range c.deployment.workers {
			require.Equal(t, 8, spec.capacity.Slots)
			require.Equal(t, 64, spec.capacity.Connections)
			accelerators += int(spec.capacity.Accelerators)
		}
		require.Len(t, c.deployment.workers, c.workers)
		require.Equal(t, c.accelerators, accelerators)
		require.EqualValues(t, 1000*c.plainCores, c.deployment.workers[0].capacity.MilliCPU)
		require.Equal(t, c.teams, c.deployment.teams)
		var running, starts, long float64
		for _, wl := range c.deployment.workloads {
			n := c.load * wl.slotShare * c.deployment.slots()
			running += n
			starts += n / wl.meanRunTime.Seconds()
			if wl.meanRunTime > time.Hour {
				long += n
			}
		}
		require.InEpsilon(t, c.running, running, c.tolerance)
		if c.starts > 0 {
			require.InEpsilon(t, c.starts, starts, c.tolerance)
			require.InEpsilon(t, c.long, long/running, c.tolerance)
		}
	}
}

// slowSystem is a system that starts every job after a real delay of one
// millisecond.
type slowSystem struct{}

func (slowSystem) submit(_ schedule.Job, report func(*placement, error)) func() bool {
	time.Sleep(time.Millisecond)
	report(&placement{workers: []string{"w"}, release: func(int, schedule.TaskResult) {}}, nil)
	return func() bool { return false }
}

func (slowSystem) tick() {}

// TestTimedSystemLag guards against a bound that leaves out the time of calls that
// were still running when a request arrived.
func TestTimedSystemLag(t *testing.T) {
	s := &timedSystem{system: slowSystem{}, loop: &eventLoop{}, urgentStarts: &jobStats{}}
	for range 10 {
		s.submit(schedule.Job{Service: "desk"}, func(*placement, error) {})
	}
	require.Len(t, s.urgentStarts.waits, 10)
	require.GreaterOrEqual(t, s.urgentStarts.waits[9], 10*time.Millisecond)
	s.loop.now = time.Hour
	require.Less(t, s.lag(), time.Hour, "an idle scheduler is not late")
}
