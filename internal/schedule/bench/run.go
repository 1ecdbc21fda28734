package bench

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
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
	full(p, seed)
	for _, s := range sites() {
		waiting(p, s, seed)
		packing(p, s, seed)
		flooding(p, s, seed)
		herd(p, s, seed)
	}
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

// simulations bounds the scenarios that run at the same time, each on one core.
const simulations = 4

// each runs a simulation for every system and prints its figures in order.
// What they measure is simulated, so that they may share the processor.
func each(p *printer, names []string, run func(p *printer, name string)) {
	outputs := make([]bytes.Buffer, len(names))
	var g errgroup.Group
	g.SetLimit(simulations)
	for i, name := range names {
		g.Go(func() error {
			one := &printer{w: &outputs[i]}
			run(one, name)
			return one.err
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

func waiting(p *printer, s site, seed uint64) {
	for _, load := range []int{70, 90, 100} {
		each(p, systems(), func(p *printer, name string) {
			counts := scenario{site: s, name: name, seed: seed, load: float64(load) / 100, warm: 20 * time.Second, length: 60 * time.Second}.run()
			for _, k := range s.kinds {
				c := counts[k.name]
				p.figure(fmt.Sprintf("wait.p50.%s.%d%s%s", k.name, load, s.suffix, suffix(name)), c.percentile(0.5), "ms")
				p.figure(fmt.Sprintf("wait.p99.%s.%d%s%s", k.name, load, s.suffix, suffix(name)), c.percentile(0.99), "ms")
			}
		})
	}
	// Above the capacity, only a reservation lets large jobs start.
	each(p, systems(), func(p *printer, name string) {
		g := scenario{site: s, name: name, seed: seed, load: 1.2, warm: 60 * time.Second, length: 120 * time.Second}.run()["gang"]
		p.figure("gang.started.fraction"+s.suffix+suffix(name), float64(g.good)/float64(g.good+g.lost), "fraction")
	})
}

// packing compares the completed work of a queue that never runs empty with
// that of a single worker with the capacity of all.
func packing(p *printer, s site, seed uint64) {
	const length = 120 * time.Second
	bound := packingBound(s)
	each(p, systems(), func(p *printer, name string) {
		c := scenario{site: s, name: name, seed: seed, load: 8, only: "batch", warm: 20 * time.Second, length: length}.run()["batch"]
		p.figure("packing.ratio"+s.suffix+suffix(name), c.work/length.Seconds()/bound, "fraction")
	})
}

// flooding measures what the usual work keeps of its goodput when one kind of
// work arrives at ten times the capacity: all of it when the surge comes from
// a team of its own, and the other kinds when it comes from the same teams.
func flooding(p *printer, s site, seed uint64) {
	good := func(counts map[string]*count, without string) float64 {
		sum := 0
		for name, c := range counts {
			if name != without {
				sum += c.good
			}
		}
		return float64(sum)
	}
	each(p, systems(), func(p *printer, name string) {
		flood := func(kind string, shared bool) map[string]*count {
			return scenario{site: s, name: name, seed: seed, load: 0.7, warm: 20 * time.Second, length: 20 * time.Second,
				flood: kind, overload: 10, shared: shared}.run()
		}
		suffix := s.suffix + suffix(name)
		usual := flood("", false)
		for _, f := range surges {
			counts := flood(f.kind, false)
			p.figure("flood.kept."+f.label+suffix, good(counts, "")/good(usual, ""), "fraction")
			p.figure("urgent.start.p99."+f.label+suffix, counts["desk"].percentile(0.99), "ms")
			counts = flood(f.kind, true)
			p.figure("flood.kept."+f.label+".shared"+suffix, good(counts, f.kind)/good(usual, f.kind), "fraction")
		}
	})
}

// surges are the surges of the least and of the most urgent work.
var surges = []struct{ label, kind string }{{"least", "batch"}, {"most", "desk"}}

// herd measures the urgent requests when ten times the capacity, of all kinds
// in their usual parts, arrives within one second on an empty cell that has
// learned nothing yet.
func herd(p *printer, s site, seed uint64) {
	each(p, systems(), func(p *printer, name string) {
		desk := scenario{site: s, name: name, seed: seed, herd: 10, length: time.Minute}.run()["desk"]
		p.figure("herd.wait.p99.mixed"+s.suffix+suffix(name), desk.percentile(0.99), "ms")
		p.figure("herd.started.mixed"+s.suffix+suffix(name), float64(desk.good)/float64(desk.arrived), "fraction")
	})
}

func failing(p *printer, seed uint64) {
	for _, name := range systems() {
		counts := scenario{site: cooperative(), name: name, seed: seed, load: 0.7, length: 60 * time.Second, bad: "plain7"}.run()
		failed := 0
		for _, c := range counts {
			failed += c.failed
		}
		p.figure("badworker.harm"+suffix(name), float64(failed), "requests")
	}
}
