package bench

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/schedule"
)

// timedSystem measures the real time that the calls of a system take. The calls
// run one after another under one lock, so a call that arrives while earlier
// ones still run starts late; lag adds up that delay.
type timedSystem struct {
	system
	loop         *eventLoop
	measureFrom  time.Duration // simulated time at which measuring starts
	busyUntil    time.Duration // simulated time at which all earlier calls have ended
	began        time.Time     // start of the current call
	callTime     time.Duration // real time of the measured calls
	calls        int
	urgentStarts *jobStats // waits of urgent work, each including the lag of its start

	running, starts int
	minRunning      int // fewest running tasks at any tick
}

// call runs one call of the system and measures its real time.
func (t *timedSystem) call(run func()) {
	t.busyUntil = max(t.busyUntil, t.loop.now)
	t.began = time.Now()
	run()
	d := time.Since(t.began)
	t.busyUntil += d
	if t.loop.now >= t.measureFrom {
		t.callTime += d
		t.calls++
	}
}

// lag returns how much later than the simulated time the current point of the
// current call is reached, because earlier calls and this one take real time.
func (t *timedSystem) lag() time.Duration { return t.busyUntil - t.loop.now + time.Since(t.began) }

func (t *timedSystem) submit(job schedule.Job, report func(*placement, error)) func() bool {
	var cancel func() bool
	arrived := t.loop.now
	t.call(func() {
		cancel = t.system.submit(job, func(placed *placement, err error) {
			if job.Service == "desk" && job.Team != "surge" && arrived >= t.measureFrom {
				if err != nil {
					t.urgentStarts.rejected++
				} else {
					t.urgentStarts.waits = append(t.urgentStarts.waits, t.loop.now-arrived+t.lag())
				}
			}
			if err == nil {
				t.running += len(placed.workers)
				if t.loop.now >= t.measureFrom {
					t.starts += len(placed.workers)
				}
				release := placed.release
				placed.release = func(member int, r schedule.TaskResult) {
					t.running--
					t.call(func() { release(member, r) })
				}
			}
			report(placed, err)
		})
	})
	return func() (ok bool) {
		t.call(func() { ok = cancel() })
		return ok
	}
}

func (t *timedSystem) tick() {
	t.call(t.system.tick)
	if t.loop.now >= t.measureFrom && (t.minRunning == 0 || t.running < t.minRunning) {
		t.minRunning = t.running
	}
}

const (
	// designWarmUp is several times the run time of short work, and long enough
	// for the scheduler to learn the run times of all services.
	designWarmUp   = 10 * time.Second
	designDuration = 10 * time.Second
	// designSurgeRunTime is the run time of the surge of urgent work. With the
	// usual 0.1 s, a load of ten times the capacity would take four million
	// requests per second.
	designSurgeRunTime = 5 * time.Second
)

// printDesignSize prints the waits for the start of urgent work at the design
// size, on one scheduler that holds all workers, and the cost of its decisions.
// The simulated clock stands still while the scheduler works; urgent.start.bound
// adds the real time that its calls, one after another, take until the start is
// decided.
func printDesignSize(p *printer, seed uint64) {
	s := designSize()
	for _, surge := range append([]struct{ label, workload string }{{"usual", ""}}, surges...) {
		for _, name := range []string{"", baselines[0], baselines[2]} {
			var t *timedSystem
			sc := scenario{deployment: s, system: name, seed: seed, load: designLoad, warmUp: designWarmUp, duration: designDuration,
				startsFilled: true, surgeWorkload: surge.workload, surgeLoad: 10}
			if surge.workload == "desk" {
				sc.surgeRunTime = designSurgeRunTime
			}
			sc.wrapSystem = func(l *eventLoop, sys system) system {
				t = &timedSystem{system: sys, loop: l, measureFrom: designWarmUp, urgentStarts: &jobStats{}}
				return t
			}
			stats := sc.run()
			suffix := s.figureSuffix + "." + surge.label + baselineSuffix(name)
			p.figure("urgent.start.p99"+suffix, stats["desk"].percentile(0.99), "ms")
			p.figure("urgent.start.bound.p99"+suffix, t.urgentStarts.percentile(0.99), "ms")
			p.figure("decision.mean"+suffix, micros(t.callTime/time.Duration(t.calls)), "us")
			p.figure("decision.core"+suffix, t.callTime.Seconds()/designDuration.Seconds(), "core")
			if name == "" {
				p.figure("starts.rate"+suffix, float64(t.starts)/designDuration.Seconds(), "starts/s")
				p.figure("running.least"+suffix, float64(t.minRunning), "tasks")
			}
		}
	}
}
