package bench

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/schedule"
)

// timed measures the real time that the scheduler takes. Its calls follow one
// another under one lock, so that a call that comes while earlier ones are
// still at work begins late; lag adds up how late.
type timed struct {
	system
	l     *loop
	from  time.Duration // counts from this simulated time on
	free  time.Duration // simulated time at which all earlier calls have ended
	began time.Time
	spent time.Duration
	calls int
	bound *count // waits of urgent work, each with the lag of its start

	running, starts int
	least           int // running tasks at any tick
}

func (t *timed) call(run func()) {
	t.free = max(t.free, t.l.now)
	t.began = time.Now()
	run()
	d := time.Since(t.began)
	t.free += d
	if t.l.now >= t.from {
		t.spent += d
		t.calls++
	}
}

// lag returns how much later than the simulated time the present point of the
// present call is reached.
func (t *timed) lag() time.Duration { return t.free - t.l.now + time.Since(t.began) }

func (t *timed) submit(job schedule.Job, report func(*grant, error)) func() bool {
	var cancel func() bool
	arrived := t.l.now
	t.call(func() {
		cancel = t.system.submit(job, func(g *grant, err error) {
			if job.Service == "desk" && job.Team != "surge" && arrived >= t.from {
				if err != nil {
					t.bound.lost++
				} else {
					t.bound.waits = append(t.bound.waits, t.l.now-arrived+t.lag())
				}
			}
			if err == nil {
				t.running += len(g.workers)
				if t.l.now >= t.from {
					t.starts += len(g.workers)
				}
				release := g.release
				g.release = func(member int, r schedule.TaskResult) {
					t.running--
					t.call(func() { release(member, r) })
				}
			}
			report(g, err)
		})
	})
	return func() (ok bool) {
		t.call(func() { ok = cancel() })
		return ok
	}
}

func (t *timed) tick() {
	t.call(t.system.tick)
	if t.l.now >= t.from && (t.least == 0 || t.running < t.least) {
		t.least = t.running
	}
}

const (
	// designWarm is several times the run time of short work, and enough for
	// the run times of all services to be learned.
	designWarm   = 10 * time.Second
	designLength = 10 * time.Second
	// designRush is the run time of the surge of urgent work. With the usual
	// 0.1 s, ten times the capacity would be four million requests a second.
	designRush = 5 * time.Second
)

// full measures the start of urgent work at the design size, on one scheduler
// that holds all workers. The simulated clock stands still while the scheduler
// works; urgent.start.bound adds the real time that its calls, one after
// another, take until the start is decided.
func full(p *printer, seed uint64) {
	s := design()
	for _, f := range append([]struct{ label, kind string }{{"usual", ""}}, surges...) {
		for _, name := range []string{"", baselines[0], baselines[2]} {
			var t *timed
			sc := scenario{site: s, name: name, seed: seed, load: designLoad, warm: designWarm, length: designLength,
				filled: true, flood: f.kind, overload: 10}
			if f.kind == "desk" {
				sc.rush = designRush
			}
			sc.wrap = func(l *loop, sys system) system {
				t = &timed{system: sys, l: l, from: designWarm, bound: &count{}}
				return t
			}
			counts := sc.run()
			suffix := s.suffix + "." + f.label + suffix(name)
			p.figure("urgent.start.p99"+suffix, counts["desk"].percentile(0.99), "ms")
			p.figure("urgent.start.bound.p99"+suffix, t.bound.percentile(0.99), "ms")
			p.figure("decision.mean"+suffix, micros(t.spent/time.Duration(t.calls)), "us")
			p.figure("decision.core"+suffix, t.spent.Seconds()/designLength.Seconds(), "core")
			if name == "" {
				p.figure("starts.rate"+suffix, float64(t.starts)/designLength.Seconds(), "starts/s")
				p.figure("running.least"+suffix, float64(t.least), "tasks")
			}
		}
	}
}
