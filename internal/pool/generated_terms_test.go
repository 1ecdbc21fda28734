package pool

import (
	"fmt"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// returnGrace is how long after the return of the store the entries of living workers
// may be missing.
const returnGrace = 2 * time.Second

// lockScheduler keeps other changes of scheduler away until unlock is called.
func (s *scenario) lockScheduler() (unlock func()) {
	s.changing <- struct{}{}
	return func() { <-s.changing }
}

// endScheduler kills the scheduler, or lets it go on beside its successor.
func (s *scenario) endScheduler(goesOn bool) {
	switch {
	case goesOn:
		s.tc.abandon()
		if s.hosts != nil {
			s.killLater(s.hosts.holder)
		}
	case s.hosts != nil:
		s.hosts.kill(s.hosts.holder)
	default:
		s.tc.stop()
	}
}

// killLater kills every fourth scheduler that goes on beside its successor.
func (s *scenario) killLater(p *hostProcess) {
	s.hosts.mu.Lock()
	epoch := s.hosts.record.Epoch
	s.hosts.mu.Unlock()
	if s.terms.IntN(4) == 0 {
		time.AfterFunc(s.between(100*time.Millisecond, 8*time.Second), func() {
			defer s.lockScheduler()()
			s.hosts.mu.Lock()
			schedules := p.term != nil && p.term.Epoch == epoch
			s.hosts.mu.Unlock()
			if schedules {
				s.hosts.kill(p)
			}
		})
	}
}

// startNext starts the next scheduler. window is how long earlier ones may extend leases if
// there are no holder records.
func (s *scenario) startNext(window time.Duration) {
	if s.hosts == nil {
		s.tc.takeOver(window)
		return
	}
	s.hosts.claim()
	s.tc.waitFor("the scheduler has loaded its state", s.tc.loaded)
}

// ensureScheduler replaces a scheduler that has lost its term.
func (s *scenario) ensureScheduler() {
	defer s.lockScheduler()()
	if s.tc.currentPool().ctx.Err() != nil {
		s.endScheduler(false)
		s.startNext(lead.MaxConfirmationAge)
	}
}

// between draws a duration from a range.
func (s *scenario) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.terms.Int64N(int64(to-from)))
}

// disturb tells the oracle that the core is disturbed for d.
func (s *scenario) disturb(d time.Duration) {
	go func() {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
			s.oracle.coreFault()
		}
		s.oracle.coreFault()
	}()
}

// injectTermFaults injects random faults around changes of scheduler until end.
func (s *scenario) injectTermFaults(end time.Time) {
	for time.Sleep(s.between(time.Second, 5*time.Second)); time.Now().Before(end); time.Sleep(s.between(time.Second, 6*time.Second)) {
		switch s.terms.IntN(6) {
		case 0:
			s.lapseEntries()
		case 1, 2:
			s.replaceDisturbedScheduler()
		default:
			s.injectSeries(end)
		}
	}
}

// replaceDisturbedScheduler lets the scheduler stand still or lose the store, and then
// replaces it, at times twice.
func (s *scenario) replaceDisturbedScheduler() {
	defer s.lockScheduler()()
	duration, gap := s.between(2*time.Second, 9*time.Second), s.between(500*time.Millisecond, 2500*time.Millisecond)
	old := s.tc.link
	s.disturb(duration)
	if s.terms.IntN(2) == 0 {
		s.note("the scheduler stands still for %s", duration)
		old.set(func() { old.pausesAtStart = true })
		for wait := s.between(0, 2*time.Second); wait > 0 && !old.paused(); wait -= 10 * time.Millisecond {
			time.Sleep(10 * time.Millisecond)
		}
		old.pause()
		time.AfterFunc(duration, old.resume)
	} else {
		s.note("the scheduler loses the store for %s", duration)
		old.setStoreLost(true)
		time.AfterFunc(duration, func() { old.setStoreLost(false) })
	}
	cut := s.drawCut()
	for _, id := range s.drawRestarts(cut) {
		time.AfterFunc(s.between(0, duration), func() {
			s.note("%s restarts", id)
			s.tc.worker(id).Restart()
			s.tc.publish(id)
		})
	}
	time.Sleep(gap)
	s.changeWithCuts(true, cut)
	if s.terms.IntN(3) == 0 {
		time.Sleep(s.between(0, 2*time.Second))
		s.changeWithCuts(s.terms.IntN(2) == 0, s.drawCut())
	}
}

func (s *scenario) drawWorker() string {
	return fmt.Sprintf("w%02d", s.terms.IntN(generatedWorkers))
}

// drawCut returns the workers that the next scheduler does not reach, at times none.
func (s *scenario) drawCut() map[string]bool {
	cut := make(map[string]bool)
	if s.terms.IntN(3) > 0 {
		for n := range generatedWorkers {
			if s.terms.IntN(2) == 0 {
				cut[fmt.Sprintf("w%02d", n)] = true
			}
		}
	}
	return cut
}

// drawRestarts returns workers that restart under their IDs. Most are among those that
// the next scheduler does not reach: they see no higher fencing token.
func (s *scenario) drawRestarts(cut map[string]bool) (ids []string) {
	for n := range generatedWorkers {
		id, rarity := fmt.Sprintf("w%02d", n), 8
		if cut[id] {
			rarity = 2
		}
		if s.terms.IntN(rarity) == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// changeWithCuts replaces the scheduler by one that does not reach some workers. The old
// one goes on if overlap is set, and may reach only these workers then; otherwise a worker
// that both reach soon shows it the higher fencing token.
func (s *scenario) changeWithCuts(overlap bool, cut map[string]bool) {
	others, duration := make(map[string]bool), s.between(2*time.Second, 16*time.Second)
	for n := range generatedWorkers {
		id := fmt.Sprintf("w%02d", n)
		others[id] = len(cut) > 0 && !cut[id]
	}
	if s.terms.IntN(4) == 0 {
		clear(others)
	}
	s.note("change of scheduler, overlap %v, for %s without %v, the old one without %v", overlap, duration, cut, others)
	old := s.tc.link
	s.endScheduler(overlap)
	if overlap {
		old.set(func() { old.cut = others })
	}
	s.disturb(duration)
	s.tc.cutForNext = cut
	s.startNext(0)
	s.tc.cutForNext = nil
	link := s.tc.link
	time.AfterFunc(duration, func() {
		link.set(func() { clear(cut) })
		old.set(func() { clear(others) })
	})
}

// lapseEntries removes entries of workers while the store is away. Most are back within
// returnGrace of its return; some workers are gone for longer.
func (s *scenario) lapseEntries() {
	outage := s.between(time.Second, 6*time.Second)
	fault := []storetest.Fault{storetest.Refuse, storetest.DropRequest}[s.terms.IntN(2)]
	s.note("the store is away for %s, and entries lapse", outage)
	s.disturb(outage + returnGrace)
	s.tc.store.SetFault(func(call, topic string) storetest.Fault {
		if call == "append" && topic == testWorkersTopic {
			return storetest.NoFault // the store itself removes entries
		}
		return fault
	})
	time.AfterFunc(outage, func() { s.tc.store.SetFault(nil) })
	for range 1 + s.terms.IntN(3) {
		id, back := s.drawWorker(), s.between(0, returnGrace)
		w := s.tc.worker(id)
		gone, restarts, refuses := s.terms.IntN(4) == 0, s.terms.IntN(3) == 0, s.terms.IntN(2) == 0
		if gone {
			back += s.between(2*time.Second, 10*time.Second)
			s.disturb(outage + back)
		}
		time.AfterFunc(s.between(0, outage), func() {
			s.note("the entry of %s lapses, gone %v, restarts %v", id, gone, restarts)
			s.tc.unpublish(id)
			if gone && refuses {
				w.SetRefusing(true)
			}
		})
		time.AfterFunc(outage+back, func() {
			s.note("the entry of %s is back", id)
			if restarts {
				w.Restart()
			}
			w.SetRefusing(false)
			s.tc.publish(id)
		})
	}
}
