package bench

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

// printer prints figures and keeps the first write error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) figure(name string, value float64, unit string) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, "figure %s %.4g %s\n", name, value, unit)
	}
}

// baselineSuffix returns the suffix of the figure names of a baseline.
func baselineSuffix(baseline string) string {
	if baseline == "" {
		return ""
	}
	return "." + baseline
}

// systemNames returns the names of the compared systems: "" for the scheduler,
// then those of the baselines.
func systemNames() []string { return append([]string{""}, baselines...) }

// Run prints the figures of the scheduler and, beside them, those of the
// baselines, each on a line of the form "figure <name> <value> <unit>". A wait
// of -1 means that the quantile falls among the jobs that were refused or
// expired. It returns the first error of w.
func Run(w io.Writer, seed uint64) error {
	p := &printer{w: w}
	printPlacement(p, seed)
	printDesignSize(p, seed)
	for _, d := range sampleDeployments() {
		printWaits(p, d, seed)
		printPacking(p, d, seed)
		printSurges(p, d, seed)
		printBurst(p, d, seed)
	}
	printFailingWorker(p, seed)
	perWorker, perJob := measureMemory(seed)
	p.figure("state.bytes.worker", perWorker, "B")
	p.figure("state.bytes.job", perJob, "B")
	return p.err
}

// micros returns d in microseconds.
func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// printPlacement prints the cost of placements, queue changes and cancellations
// at several sizes.
func printPlacement(p *printer, seed uint64) {
	const starts = 60_000
	means := map[int]time.Duration{}
	for _, c := range []struct{ workers, running int }{{48, 320}, {500, 3333}, {1700, 11333}, {5100, 34000}} {
		t := measurePlacement("", seed, c.workers, c.running, starts)
		means[c.workers] = t.mean
		if c.workers == 48 || c.workers == 5100 {
			p.figure(fmt.Sprintf("place.p50.%d", c.workers), micros(t.p50), "us")
			p.figure(fmt.Sprintf("place.p99.%d", c.workers), micros(t.p99), "us")
		}
		if c.workers == 5100 {
			p.figure("place.rate.5100", float64(time.Second)/float64(t.mean), "starts/s")
			p.figure("place.core.3100", 3100*t.mean.Seconds(), "core")
		}
	}
	p.figure("place.slope.500.1700", growthExponent(500, 1700, means[500], means[1700]), "exponent")
	p.figure("place.slope.1700.5100", growthExponent(1700, 5100, means[1700], means[5100]), "exponent")
	p.figure("place.slope.500.5100", growthExponent(500, 5100, means[500], means[5100]), "exponent")
	p.figure("place.full.mean.48", micros(measureSaturated(seed, 48, 40_000, 20_000)), "us")
	p.figure("place.full.mean.5100", micros(measureSaturated(seed, 5100, 40_000, 20_000)), "us")
	quota, profile, cancel := measureQueueChanges(seed, 40_000)
	p.figure("cancel.mean.40000", micros(cancel), "us")
	p.figure("configuration.quota.40000", micros(quota), "us")
	p.figure("configuration.profile.40000", micros(profile), "us")
	for _, b := range baselines[:2] {
		t := measurePlacement(b, seed, 5100, 34000, starts/10)
		p.figure("place.p99.5100."+b, micros(t.p99), "us")
	}
}

// maxConcurrentSimulations limits the scenarios that run concurrently, each on one
// core.
const maxConcurrentSimulations = 4

// printEachSystem runs a simulation for each of the named systems and prints the
// figures in order. The simulations measure simulated time only, so they may
// share the processor.
func printEachSystem(p *printer, names []string, run func(p *printer, name string)) {
	outputs := make([]bytes.Buffer, len(names))
	var g errgroup.Group
	g.SetLimit(maxConcurrentSimulations)
	for i, name := range names {
		g.Go(func() error {
			systemPrinter := &printer{w: &outputs[i]}
			run(systemPrinter, name)
			return systemPrinter.err
		})
	}
	if err := g.Wait(); err != nil && p.err == nil {
		p.err = err
	}
	for i := range outputs {
		if p.err == nil {
			_, p.err = outputs[i].WriteTo(p.w)
		}
	}
}

// printWaits prints the waits of all workloads at 70, 90 and 100% load, and the
// fraction of gang jobs that start under overload.
func printWaits(p *printer, d deployment, seed uint64) {
	for _, load := range []int{70, 90, 100} {
		printEachSystem(p, systemNames(), func(p *printer, name string) {
			stats := scenario{deployment: d, system: name, seed: seed, load: float64(load) / 100, warmUp: 20 * time.Second, duration: 60 * time.Second}.run()
			for _, wl := range d.workloads {
				st := stats[wl.name]
				p.figure(fmt.Sprintf("wait.p50.%s.%d%s%s", wl.name, load, d.figureSuffix, baselineSuffix(name)), st.waitQuantile(0.5), "ms")
				p.figure(fmt.Sprintf("wait.p99.%s.%d%s%s", wl.name, load, d.figureSuffix, baselineSuffix(name)), st.waitQuantile(0.99), "ms")
			}
		})
	}
	// Above the capacity, only a reservation lets large jobs start.
	printEachSystem(p, systemNames(), func(p *printer, name string) {
		gang := scenario{deployment: d, system: name, seed: seed, load: 1.2, warmUp: 60 * time.Second, duration: 120 * time.Second}.run()["gang"]
		p.figure("gang.started.fraction"+d.figureSuffix+baselineSuffix(name), float64(gang.started)/float64(gang.started+gang.rejected), "fraction")
	})
}

// printPacking compares the work completed from a queue that never runs empty
// with what a single worker with the capacity of all would complete.
func printPacking(p *printer, d deployment, seed uint64) {
	const length = 120 * time.Second
	bound := maxCoreThroughput(d)
	printEachSystem(p, systemNames(), func(p *printer, name string) {
		batch := scenario{deployment: d, system: name, seed: seed, load: 8, onlyWorkload: "batch", warmUp: 20 * time.Second, duration: length}.run()["batch"]
		p.figure("packing.ratio"+d.figureSuffix+baselineSuffix(name), batch.coreSeconds/length.Seconds()/bound, "fraction")
	})
}

// printSurges prints how much of its goodput the usual work keeps when one
// workload arrives at ten times the capacity: the goodput of all workloads if
// the surge comes from a team of its own, and that of the other workloads if it
// comes from the same teams.
func printSurges(p *printer, d deployment, seed uint64) {
	startedJobs := func(stats map[string]*jobStats, except string) float64 {
		sum := 0
		for name, st := range stats {
			if name != except {
				sum += st.started
			}
		}
		return float64(sum)
	}
	printEachSystem(p, systemNames(), func(p *printer, name string) {
		runWithSurge := func(workload string, shared bool) map[string]*jobStats {
			return scenario{deployment: d, system: name, seed: seed, load: 0.7, warmUp: 20 * time.Second, duration: 20 * time.Second,
				surgeWorkload: workload, surgeLoad: 10, surgeSharesTeams: shared}.run()
		}
		suffix := d.figureSuffix + baselineSuffix(name)
		usual := runWithSurge("", false)
		for _, surge := range surges {
			stats := runWithSurge(surge.workload, false)
			p.figure("flood.kept."+surge.label+suffix, startedJobs(stats, "")/startedJobs(usual, ""), "fraction")
			p.figure("urgent.start.p99."+surge.label+suffix, stats["desk"].waitQuantile(0.99), "ms")
			stats = runWithSurge(surge.workload, true)
			p.figure("flood.kept."+surge.label+".shared"+suffix, startedJobs(stats, surge.workload)/startedJobs(usual, surge.workload), "fraction")
		}
	})
}

// surges lists the surges of the least and of the most urgent workload.
var surges = []struct{ label, workload string }{{"least", "batch"}, {"most", "desk"}}

// printBurst prints the waits of urgent requests when ten times the capacity, of
// all workloads in their usual proportions, arrives within one second at an
// empty cell that has not learned any run times yet.
func printBurst(p *printer, d deployment, seed uint64) {
	printEachSystem(p, systemNames(), func(p *printer, name string) {
		desk := scenario{deployment: d, system: name, seed: seed, burstLoad: 10, duration: time.Minute}.run()["desk"]
		p.figure("herd.wait.p99.mixed"+d.figureSuffix+baselineSuffix(name), desk.waitQuantile(0.99), "ms")
		p.figure("herd.started.mixed"+d.figureSuffix+baselineSuffix(name), float64(desk.started)/float64(desk.arrived), "fraction")
	})
}

// printFailingWorker prints how many requests a worker that fails every task
// immediately makes fail.
func printFailingWorker(p *printer, seed uint64) {
	for _, name := range systemNames() {
		stats := scenario{deployment: orderDesk(), system: name, seed: seed, load: 0.7, duration: 60 * time.Second, failingWorker: "plain7"}.run()
		failed := 0
		for _, st := range stats {
			failed += st.failedTasks
		}
		p.figure("badworker.harm"+baselineSuffix(name), float64(failed), "requests")
	}
}
