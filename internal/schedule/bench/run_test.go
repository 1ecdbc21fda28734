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

// BenchmarkRun prints all figures; it is run once with -benchtime 1x.
func BenchmarkRun(b *testing.B) {
	for range b.N {
		require.NoError(b, Run(os.Stdout, 1))
	}
}

// TestPrinterFormat guards the line format that the figures are read by.
func TestPrinterFormat(t *testing.T) {
	var out bytes.Buffer
	p := &printer{w: &out}
	p.figure("a.b", 1.5, "ms")
	require.Equal(t, "figure a.b 1.5 ms", strings.TrimSpace(out.String()))
}

// TestSites guards the shapes against drifting from the design page, which
// would make the figures those of another cell.
func TestSites(t *testing.T) {
	for _, c := range []struct {
		site                                     site
		workers, accelerators, plainCores, teams int
		load                                     float64
		running, starts, long, tolerance         float64
	}{
		{cooperative(), 48, 104, 32, teams, 1, 384 * 0.95, 0, 0, 0.01},
		{regie(), 48, 104, 64, teams, 1, 384 * 0.95, 0, 0, 0.01},
		{design(), 5100, 7200, 32, 570, designLoad, 34000, 3100, 0.2, 0.01},
	} {
		accelerators := 0
		for _, m := range c.site.machines {
			require.Equal(t, 8, m.capacity.Slots)
			require.Equal(t, 64, m.capacity.Connections)
			accelerators += int(m.capacity.Accelerators)
		}
		require.Len(t, c.site.machines, c.workers)
		require.Equal(t, c.accelerators, accelerators)
		require.EqualValues(t, 1000*c.plainCores, c.site.machines[0].capacity.MilliCPU)
		require.Equal(t, c.teams, c.site.teams)
		var running, starts, long float64
		for _, k := range c.site.kinds {
			n := c.load * k.slots * c.site.slots()
			running += n
			starts += n / k.run.Seconds()
			if k.run > time.Hour {
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

// slow is a system that starts everything after a real millisecond.
type slow struct{}

func (slow) submit(_ schedule.Job, report func(*grant, error)) func() bool {
	time.Sleep(time.Millisecond)
	report(&grant{workers: []string{"w"}, release: func(int, schedule.TaskResult) {}}, nil)
	return func() bool { return false }
}

func (slow) tick() {}

// TestTimedAddsUp guards against a bound that leaves out the calls that were
// still at work when a request came.
func TestTimedAddsUp(t *testing.T) {
	s := &timed{system: slow{}, l: &loop{}, bound: &count{}}
	for range 10 {
		s.submit(schedule.Job{Service: "desk"}, func(*grant, error) {})
	}
	require.Len(t, s.bound.waits, 10)
	require.GreaterOrEqual(t, s.bound.waits[9], 10*time.Millisecond)
	s.l.now = time.Hour
	require.Less(t, s.lag(), time.Hour, "an idle scheduler is not late")
}
