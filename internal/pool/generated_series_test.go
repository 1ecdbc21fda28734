package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

const (
	// lastingJob is a job that runs during the whole of a scenario with holder records. Its
	// tasks outlive every lease.
	lastingJob = "lasting"
	// seriesOvertime is how long after the end of other faults a series may go on.
	seriesOvertime = 8 * time.Second
	// longestTerm is the longest time between two changes of a series.
	longestTerm = 7 * time.Second
)

// submitLasting submits a job of long-running tasks, which settle cancels at once.
func (s *scenario) submitLasting(id string, count int) {
	job := &api.Job{Payload: "payload-" + id, Steps: []api.Step{{Count: count, MaxPerWorker: 2, MilliCPU: 100, MemoryMiB: 10, LongRunning: true, Image: "image-0"}}}
	s.tc.mu.Lock()
	s.tc.specs[id] = job
	s.tc.mu.Unlock()
	s.oracle.addJob(id, job, s.tc.queue.MaxAttempts)
	s.mu.Lock()
	s.jobs, s.feasible[id] = append(s.jobs, id), true
	s.mu.Unlock()
	for range 4 {
		if s.submitOnce(id) {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// changeSeries is a series of changes of scheduler.
type changeSeries struct {
	// silent holds the workers that stop replying or that some schedulers do not reach.
	silent []string
	// stayCut is set if no successor reaches them for a long time.
	stayCut bool
	// brief is set if the present scheduler is killed soon, and calm if it lasts.
	brief, calm bool
}

// drawer draws for one goroutine.
type drawer struct{ *rand.Rand }

func (d drawer) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.Int64N(int64(to-from)))
}

// drawSilentWorkers returns one or two workers, most of the time some that run tasks of
// lastingJob.
func (s *scenario) drawSilentWorkers() (ids []string) {
	candidates := s.tc.workersOf(lastingJob)
	for range 1 + s.terms.IntN(2) {
		id := s.drawWorker()
		if len(candidates) > 0 && s.terms.IntN(8) > 0 {
			id = candidates[s.terms.IntN(len(candidates))]
		}
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// injectSeries replaces the scheduler 3 to 10 times, while workers stop replying at any
// moment between two changes, and returns when their faults have ended.
func (s *scenario) injectSeries(end time.Time) {
	var faults sync.WaitGroup
	longest := []time.Duration{900 * time.Millisecond, 2500 * time.Millisecond, 4600 * time.Millisecond, longestTerm}[s.terms.IntN(4)]
	changes, ids := 3+s.terms.IntN(8), s.drawSilentWorkers()
	s.note("series of up to %d changes of scheduler, at most %s apart, beside faults of %v", changes, longest, ids)
	if s.terms.IntN(2) == 0 {
		time.Sleep(s.between(5*time.Second, 8*time.Second)) // processes and runs are settled then
	}
	s.oracle.coreFault()
	for _, id := range ids {
		if s.terms.IntN(2) == 0 {
			continue // only schedulers do not reach it
		}
		d := drawer{rand.New(rand.NewPCG(s.terms.Uint64(), 30))}
		begin := d.between(0, time.Duration(changes)*longest/2)
		faults.Go(func() {
			time.Sleep(begin)
			s.silence(id, d)
		})
	}
	if s.terms.IntN(3) == 0 {
		begin, duration := s.between(0, 2*longest), s.between(500*time.Millisecond, 4*time.Second)
		fault := []storetest.Fault{storetest.Refuse, storetest.DropRequest, storetest.DropReply}[s.terms.IntN(3)]
		faults.Go(func() {
			time.Sleep(begin)
			s.note("the store has fault %d for %s", fault, duration)
			s.disturb(duration)
			s.tc.store.SetFault(func(string, string) storetest.Fault { return fault })
			time.Sleep(duration)
			s.tc.store.SetFault(nil)
		})
	}
	series := &changeSeries{silent: ids, stayCut: s.terms.IntN(2) == 0}
	for range changes {
		switch {
		case series.brief:
			time.Sleep(s.between(300*time.Millisecond, 1500*time.Millisecond))
		case series.calm, s.terms.IntN(2) == 0: // long enough for a wait to end
			time.Sleep(s.between(4*time.Second, longestTerm))
		default:
			time.Sleep(s.between(300*time.Millisecond, longest))
		}
		if time.Now().After(end.Add(seriesOvertime)) {
			break
		}
		s.changeInSeries(series)
	}
	faults.Wait()
}

// changeInSeries replaces the scheduler. The successor may not reach the silent workers.
func (s *scenario) changeInSeries(series *changeSeries) {
	defer s.lockScheduler()()
	old, cut, others := s.tc.link, make(map[string]bool), make(map[string]bool)
	for _, id := range series.silent {
		cut[id] = series.stayCut || series.brief || s.terms.IntN(2) == 0
	}
	duration, overlap := s.between(time.Second, 9*time.Second), true
	if series.stayCut || series.brief {
		duration += 6 * time.Second
	}
	s.disturb(duration)
	kind := s.terms.IntN(12)
	if series.calm = series.brief; series.brief {
		kind = 0
	}
	series.brief = false
	switch kind {
	case 0, 1, 2: // it is killed
		overlap = false
	case 3: // it stands still
		old.pause()
		time.AfterFunc(duration, old.resume)
	case 4, 5, 8: // it loses the store, and goes on or is killed
		old.setStoreLost(true)
		time.AfterFunc(duration, func() { old.setStoreLost(false) })
		time.Sleep(s.between(100*time.Millisecond, []time.Duration{time.Second, 5 * time.Second}[s.terms.IntN(2)]))
		overlap = kind != 5
	case 6:
		s.returnUnnoticed(series, old, cut)
		overlap = s.terms.IntN(2) == 0
	case 7:
		s.restartDuringStarts(series, cut)
		overlap = false
	case 9, 10:
		s.returnToSuccessor(series)
		clear(cut)
		overlap, series.brief = false, true
	}
	s.note("change %d in a series, the old scheduler goes on: %v, the new one does not reach %v for %s", kind, overlap, cut, duration)
	s.endScheduler(overlap)
	if overlap && !series.calm {
		series.brief = s.terms.IntN(2) == 0
	}
	if !overlap {
		time.Sleep(s.between(0, 1500*time.Millisecond))
	} else if s.terms.IntN(4) > 0 {
		for n := range generatedWorkers {
			id := fmt.Sprintf("w%02d", n)
			others[id] = !cut[id] // otherwise these reject its calls soon
		}
		old.set(func() { old.cut = others })
	}
	s.claimInSeries(cut)
	link := s.tc.link
	time.AfterFunc(duration, func() {
		s.oracle.fault()
		link.set(func() { link.cut = nil })
		old.set(func() { clear(others) })
	})
}

// returnToSuccessor lets workers be silent for long enough to be noted, and return about
// when the next scheduler is there.
func (s *scenario) returnToSuccessor(series *changeSeries) {
	silence := s.between(1300*time.Millisecond, 4*time.Second)
	for _, id := range series.silent {
		w := s.tc.worker(id)
		w.SetPartitioned(true)
		time.AfterFunc(silence+s.between(0, 1500*time.Millisecond), func() { w.SetPartitioned(false) })
	}
	time.Sleep(silence)
}

// claimInSeries starts the next scheduler, which may reach the workers in cut for a moment.
func (s *scenario) claimInSeries(cut map[string]bool) {
	if s.terms.IntN(4) > 0 {
		s.tc.cutForNext = cut
	}
	s.hosts.claim()
	s.tc.cutForNext = nil
	link := s.tc.link
	if s.terms.IntN(4) > 0 { // the others may be replaced before they schedule
		s.tc.waitFor("the scheduler has loaded its state", s.tc.loaded)
	}
	time.Sleep(s.between(0, 300*time.Millisecond))
	link.set(func() { link.cut = cut })
}

// returnUnnoticed lets workers in cut return to a scheduler that has lost the store, after
// it has noted that they are silent.
func (s *scenario) returnUnnoticed(series *changeSeries, old *schedulerLink, cut map[string]bool) {
	for _, id := range series.silent {
		cut[id] = true
		s.tc.worker(id).SetPartitioned(true)
	}
	time.Sleep(s.between(1300*time.Millisecond, 4*time.Second))
	old.setStoreLost(true)
	time.AfterFunc(s.between(2*time.Second, 9*time.Second), func() { old.setStoreLost(false) })
	time.Sleep(s.between(0, 300*time.Millisecond))
	for _, id := range series.silent {
		s.tc.worker(id).SetPartitioned(false)
	}
	time.Sleep(s.between(100*time.Millisecond, 2*time.Second))
}

// restartDuringStarts lets workers in cut restart while tasks of another job start, shortly
// before the end of the scheduler.
func (s *scenario) restartDuringStarts(series *changeSeries, cut map[string]bool) {
	s.mu.Lock()
	id := fmt.Sprint(lastingJob, len(s.jobs))
	s.mu.Unlock()
	for _, worker := range series.silent {
		cut[worker] = true
		w := s.tc.worker(worker)
		time.AfterFunc(s.between(0, 400*time.Millisecond), w.Restart)
		time.AfterFunc(s.between(500*time.Millisecond, 3*time.Second), func() { s.tc.publish(worker) })
	}
	time.AfterFunc(s.between(0, 400*time.Millisecond), func() { s.submitLasting(id, 10) })
	time.Sleep(s.between(100*time.Millisecond, time.Second))
}

// silence lets a worker stop replying in one of several ways. It returns when the worker
// replies again.
func (s *scenario) silence(id string, d drawer) {
	w := s.tc.worker(id)
	s.oracle.fault()
	defer func() {
		s.oracle.fault()
		w.SetPartitioned(false)
		w.SetRefusing(false)
		w.SetFault(nil)
		s.tc.publish(id)
	}()
	duration := d.between(500*time.Millisecond, 14*time.Second)
	switch d.IntN(8) {
	case 0, 1:
		s.note("%s dies, its next process is there after %s", id, duration)
		refuses, gone := d.IntN(2) == 0, d.IntN(2) == 0
		w.Restart()
		w.SetRefusing(refuses)
		w.SetPartitioned(!refuses)
		time.Sleep(min(duration, d.between(time.Second, 5*time.Second)))
		if gone {
			s.tc.unpublish(id)
		}
		time.Sleep(duration)
		w.Restart()
	case 2:
		s.note("%s restarts", id)
		w.Restart()
	case 3:
		s.note("%s refuses connections for %s", id, duration)
		w.SetRefusing(true)
		time.Sleep(duration)
	case 4:
		fault := []celltest.Fault{celltest.DropReply, celltest.DropRequest}[d.IntN(2)]
		s.note("%s is cut off in one direction, fault %d, for %s", id, fault, duration)
		w.SetFault(func(string, string) celltest.Fault { return fault })
		time.Sleep(duration)
	case 5:
		s.note("%s is cut off for %s and dies meanwhile", id, duration)
		w.SetPartitioned(true)
		time.Sleep(duration / 2)
		w.Restart()
		time.Sleep(duration / 2)
	default:
		for range 1 + d.IntN(4) {
			out, back := d.between(time.Second, 5*time.Second), d.between(50*time.Millisecond, 1500*time.Millisecond)
			s.note("%s is cut off for %s and back for %s", id, out, back)
			w.SetPartitioned(true)
			time.Sleep(out)
			w.SetPartitioned(false)
			time.Sleep(back)
		}
	}
}
