package pool

import (
	"flag"
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/knownred"
)

var (
	copyPlays = flag.Uint64("copy-plays", 1, "number of plays of TestCopiesPay with and without copies")
	copyShare = flag.Float64("copy-share", 1, "share of the steps in TestCopiesPay whose tasks may have copies")
	copyRate  = flag.Float64("copy-rate", 5, "jobs a second in TestCopiesPay")
)

// unevenWorkers is the number of workers in TestCopiesPay. Of 104, 8 run tasks 8 times as
// long, 3 fail 40% of their runs, and on 2, 40% of the runs hang.
const unevenWorkers = 104

// makeUneven changes one of unevenWorkers.
func makeUneven(number int, w *celltest.Worker) {
	unlucky := func(parts ...any) bool {
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, parts...)
		return h.Sum32()%10 < 4
	}
	usual := w.Duration
	switch kind := number * 7919 % unevenWorkers; {
	case kind < 8:
		w.Duration = func(task string) time.Duration { return 8 * usual(task) }
	case kind < 11:
		w.Fails = func(task string, run int) bool { return unlucky(task, run) }
	case kind < 13:
		w.Duration = func(task string) time.Duration {
			if unlucky(task, w.Entry.ID) {
				return time.Hour
			}
			return usual(task)
		}
	}
}

// urgentShortWork is a load of urgent jobs with about 1.5 steps of 10 tasks of 0.6 s.
func urgentShortWork() []workload {
	return []workload{{
		queue: cell.Queue{
			Name: "urgent", MaxAttempts: 3, Stretch: 1.5, TargetLatency: 350 * time.Millisecond,
			Policy: &cell.PolicyTiming{DecisionTime: 26 * time.Millisecond, TimePerWorker: 364 * time.Microsecond, TicketLifetime: 2 * time.Second},
		},
		perSecond: *copyRate, burst: 1, steps: 1.5, width: 10, widthSpread: 0.5, work: 600 * time.Millisecond, cpu: 8400, cpuSpread: 0.45,
		unevenness: 0.2, estOff: 0.9, approved: 0.7, speculative: *copyShare,
	}}
}

// Guards against copies that do not bring urgent jobs to their callers in time on uneven
// workers, or that spend more core seconds than they may.
func TestCopiesPay(t *testing.T) {
	knownred.Skip(t, "../../KNOWN-RED.txt", "internal/pool")
	const played = 25 * time.Second
	inTime, jobs := make(map[bool]int), 0
	for seed := range *copyPlays {
		for _, copies := range []bool{false, true} {
			stats := playLoad(t, seed, unevenWorkers, urgentShortWork(), played, func(tc *testCluster, number int, w *celltest.Worker) {
				tc.pool.opts.SpeculativeCopies = copies
				makeUneven(number, w)
			})
			r, counts := stats.results["urgent"], stats.counts
			t.Logf("seed %d, copies %v: jobs %d, in time %d, late %d; started %d, copies %d, won %d, core seconds %d, earned %.3f", seed, copies, r.jobs, r.inTime, r.late,
				counts["tasks.started"], counts["copies.started"], counts["copies.won"], counts["copies.core_seconds"], r.share())
			inTime[copies] += r.inTime
			if copies {
				jobs += r.jobs
				require.LessOrEqual(t, float64(counts["copies.core_seconds"]), minCopyBudget+1.5*copyBudgetShare*r.owed)
			}
		}
	}
	t.Logf("in time: %.3f without copies, %.3f with, of %d jobs", float64(inTime[false])/float64(jobs), float64(inTime[true])/float64(jobs), jobs)
	require.Greater(t, inTime[true], inTime[false])
}
