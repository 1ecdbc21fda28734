package bench

import (
	"fmt"
	"io"
	"time"
)

// printer prints figures and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) figure(name string, value float64, unit string) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, "figure %s %.4g %s\n", name, value, unit)
	}
}

// suffix names the figure of a baseline.
func suffix(baseline string) string {
	if baseline == "" {
		return ""
	}
	return "." + baseline
}

// systems are the scheduler and the baselines.
func systems() []string { return append([]string{""}, baselines...) }

// Run prints the figures of the scheduler, one a line as
// "figure <name> <value> <unit>", each baseline's beside it. A wait of -1
// means that more work was refused or expired than the percentile leaves out.
// It returns the first error of w.
func Run(w io.Writer, seed uint64) error {
	p := &printer{w: w}
	placing(p, seed)
	waiting(p, seed)
	packing(p, seed)
	flooding(p, seed)
	failing(p, seed)
	perWorker, perJob := state(seed)
	p.figure("state.bytes.worker", perWorker, "B")
	p.figure("state.bytes.job", perJob, "B")
	return p.err
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func placing(p *printer, seed uint64) {
	const starts = 60_000
	means := map[int]time.Duration{}
	for _, c := range []struct{ workers, running int }{{48, 320}, {500, 3333}, {1700, 11333}, {5100, 34000}} {
		t := place("", seed, c.workers, c.running, starts)
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
	p.figure("place.slope.500.1700", slope(500, 1700, means[500], means[1700]), "exponent")
	p.figure("place.slope.1700.5100", slope(1700, 5100, means[1700], means[5100]), "exponent")
	p.figure("place.slope.500.5100", slope(500, 5100, means[500], means[5100]), "exponent")
	p.figure("place.full.mean.48", micros(saturated(seed, 48, 40_000, 20_000)), "us")
	p.figure("place.full.mean.5100", micros(saturated(seed, 5100, 40_000, 20_000)), "us")
	quota, profile, cancel := queueing(seed, 40_000)
	p.figure("cancel.mean.40000", micros(cancel), "us")
	p.figure("configuration.quota.40000", micros(quota), "us")
	p.figure("configuration.profile.40000", micros(profile), "us")
	for _, b := range baselines[:2] {
		t := place(b, seed, 5100, 34000, starts/10)
		p.figure("place.p99.5100."+b, micros(t.p99), "us")
	}
}

func waiting(p *printer, seed uint64) {
	for _, load := range []int{70, 90, 100} {
		for _, name := range systems() {
			counts := scenario{name: name, seed: seed, load: float64(load) / 100, warm: 20 * time.Second, length: 60 * time.Second}.run()
			for _, k := range kinds() {
				c := counts[k.name]
				p.figure(fmt.Sprintf("wait.p50.%s.%d%s", k.name, load, suffix(name)), c.percentile(0.5), "ms")
				p.figure(fmt.Sprintf("wait.p99.%s.%d%s", k.name, load, suffix(name)), c.percentile(0.99), "ms")
			}
		}
	}
	// Above the capacity, only a reservation lets large jobs start.
	for _, name := range systems() {
		g := scenario{name: name, seed: seed, load: 1.2, warm: 60 * time.Second, length: 120 * time.Second}.run()["gang"]
		p.figure("gang.started.fraction"+suffix(name), float64(g.good)/float64(g.good+g.lost), "fraction")
	}
}

// packing compares the completed work of a queue that never runs empty with
// that of a single worker with the capacity of all.
func packing(p *printer, seed uint64) {
	const length = 120 * time.Second
	bound := packingBound()
	for _, name := range systems() {
		c := scenario{name: name, seed: seed, load: 8, only: "batch", warm: 20 * time.Second, length: length}.run()["batch"]
		p.figure("packing.ratio"+suffix(name), c.work/length.Seconds()/bound, "fraction")
	}
}

// flooding measures what the usual work keeps of its goodput when one kind of
// work arrives at ten times the capacity: all of it when the surge comes from
// a team of its own, and the other kinds when it comes from the same teams.
func flooding(p *printer, seed uint64) {
	flood := func(name, kind string, shared bool) map[string]*count {
		return scenario{name: name, seed: seed, load: 0.7, warm: 20 * time.Second, length: 20 * time.Second,
			flood: kind, overload: 10, shared: shared}.run()
	}
	good := func(counts map[string]*count, without string) float64 {
		sum := 0
		for name, c := range counts {
			if name != without {
				sum += c.good
			}
		}
		return float64(sum)
	}
	for _, name := range systems() {
		usual := flood(name, "", false)
		for _, f := range []struct{ label, kind string }{{"least", "batch"}, {"most", "desk"}} {
			counts := flood(name, f.kind, false)
			p.figure("flood.kept."+f.label+suffix(name), good(counts, "")/good(usual, ""), "fraction")
			p.figure("urgent.start.p99."+f.label+suffix(name), counts["desk"].percentile(0.99), "ms")
			counts = flood(name, f.kind, true)
			p.figure("flood.kept."+f.label+".shared"+suffix(name), good(counts, f.kind)/good(usual, f.kind), "fraction")
		}
	}
}

func failing(p *printer, seed uint64) {
	for _, name := range systems() {
		counts := scenario{name: name, seed: seed, load: 0.7, length: 60 * time.Second, bad: "plain7"}.run()
		failed := 0
		for _, c := range counts {
			failed += c.failed
		}
		p.figure("badworker.harm"+suffix(name), float64(failed), "requests")
	}
}
