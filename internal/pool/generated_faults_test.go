package pool

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// takeOverAfter replaces the scheduler. The old one may go on for a while.
func (s *scenario) takeOverAfter(gap time.Duration, overlap bool) {
	defer s.lockScheduler()()
	s.note("change of scheduler after %s, overlap %v", gap, overlap)
	s.oracle.coreFault()
	window := time.Duration(0)
	s.endScheduler(overlap)
	if overlap {
		window = lead.MaxConfirmationAge
	} else {
		time.Sleep(gap)
	}
	s.startNext(window)
	s.oracle.coreFault()
}

// injectFault injects one random fault.
func (s *scenario) injectFault() {
	id := fmt.Sprintf("w%02d", s.rng.IntN(generatedWorkers))
	w := s.tc.worker(id)
	duration := time.Duration(500+s.rng.IntN(4000)) * time.Millisecond
	s.oracle.fault()
	after := func(f func()) { time.AfterFunc(duration, func() { s.oracle.fault(); f() }) }
	seed := s.rng.Uint64()
	switch kind := s.rng.IntN(11); kind {
	case 0, 1:
		s.takeOverAfter(time.Duration(s.rng.IntN(2500))*time.Millisecond, kind == 1)
	case 2:
		s.note("%s restarts", id)
		w.Restart()
		s.tc.publish(id)
	case 3:
		if s.refusals != nil && s.refusals.IntN(2) == 0 {
			s.note("%s refuses connections for %s", id, duration+leaseDuration)
			w.SetRefusing(true)
			time.AfterFunc(duration+leaseDuration, func() { s.oracle.fault(); w.SetRefusing(false) })
			return
		}
		s.note("%s is cut off for %s", id, duration)
		w.SetPartitioned(true)
		after(func() { w.SetPartitioned(false) })
	case 4, 5:
		call := []string{"start", "stop", "hold"}[s.rng.IntN(3)]
		fault := []celltest.Fault{celltest.DropRequest, celltest.DropReply, celltest.DelayRequest, celltest.DelayReply}[s.rng.IntN(4)]
		s.note("%s has fault %d in half of its %s calls for %s", id, fault, call, duration)
		rng := rand.New(rand.NewPCG(seed, 3))
		w.SetFault(func(c, _ string) celltest.Fault {
			if c == call && rng.IntN(2) == 0 {
				return fault
			}
			return celltest.NoFault
		})
		after(func() { w.SetFault(nil) })
		if call == "start" && s.rejections != nil {
			s.note("%s also rejects half of its starts", id)
			s.setWorker(func() { s.rejecting[id] = true })
			after(func() { s.setWorker(func() { s.rejecting[id] = false }) })
		}
	case 6:
		s.note("%s is slow for %s", id, duration)
		s.setWorker(func() { s.slow[id] = 4 })
		after(func() { s.setWorker(func() { s.slow[id] = 1 }) })
	case 7:
		s.note("%s fails all runs for %s", id, duration)
		s.setWorker(func() { s.failing[id] = true })
		after(func() { s.setWorker(func() { s.failing[id] = false }) })
	case 8:
		s.note("%s drains, and is replaced after %s", id, duration)
		s.drainWorker(id, w, duration)
	case 9:
		fault := []storetest.Fault{storetest.Refuse, storetest.DropRequest, storetest.DropReply}[s.rng.IntN(3)]
		s.note("the store has fault %d for %s", fault, duration)
		s.oracle.coreFault()
		s.tc.store.SetFault(func(string, string) storetest.Fault { return fault })
		after(func() { s.oracle.coreFault(); s.tc.store.SetFault(nil) })
	case 10:
		s.note("tasks on %s hang", id)
		w.HangTasks()
		after(func() { w.Restart(); s.tc.publish(id) })
	}
}

func (s *scenario) setWorker(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// drainWorker lets a worker leave and come back as another incarnation.
func (s *scenario) drainWorker(id string, w *celltest.Worker, d time.Duration) {
	s.tc.setDraining(id, true)
	s.oracle.mu.Lock()
	s.oracle.drainingSince[id] = time.Now()
	s.oracle.mu.Unlock()
	time.AfterFunc(drainGrace+d, func() {
		w.Restart()
		s.oracle.mu.Lock()
		delete(s.oracle.drainingSince, id)
		s.oracle.mu.Unlock()
		s.tc.setDraining(id, false)
	})
}

// heal ends the faults that have no end of their own.
func (s *scenario) heal() {
	time.Sleep(drainGrace + 5*time.Second)
	s.tc.store.SetFault(nil)
	for n := range generatedWorkers {
		w := s.tc.worker(fmt.Sprintf("w%02d", n))
		w.SetPartitioned(false)
		w.SetRefusing(false)
		w.SetFault(nil)
	}
	s.healWorkers()
}

// rejects rejects one of rejectedStarts start requests, and every second one on a worker
// that loses starts. This is no fault: a worker may do so at any time.
func (s *scenario) rejects(worker string) cell.RejectReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejections == nil {
		return ""
	}
	if draw := s.rejections.IntN(rejectedStarts); draw > 0 && !(s.rejecting[worker] && draw < rejectedStarts/2) {
		return ""
	}
	return []cell.RejectReason{cell.RejectedCapacity, cell.RejectedUnhealthy, cell.RejectedTicket}[s.rejections.IntN(3)]
}
