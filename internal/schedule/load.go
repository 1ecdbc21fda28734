package schedule

import (
	"sort"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// capacitySampleSize is the maximum number of workers whose free slots are counted
// for one service; with more workers the count of a sample is scaled up. This
// bounds the cost of a heartbeat.
const capacitySampleSize = 256

// ServiceLoad summarizes the load of one service on this host.
type ServiceLoad struct {
	Service string
	// FreeSlots is the number of tasks of the declared size that fit now. With
	// more than 256 workers of a kind it is estimated from a sample.
	FreeSlots int
	Queued    int
	// EstimatedWait is the expected wait of a new request according to the
	// latest starts.
	EstimatedWait time.Duration
}

// TrackService makes Load report a configured service even if this host has not
// seen any of its jobs, so that peers know the free capacity for it.
func (s *Scheduler) TrackService(name string) {
	now := s.lock()
	defer s.unlock()
	if svc := s.service(name); !svc.configured {
		s.configureService(svc)
	}
	s.dispatch(now)
}

// Load returns the load of each configured service for which this host has seen
// a job or TrackService was called, sorted by name.
func (s *Scheduler) Load() []ServiceLoad {
	now := s.lock()
	defer s.unlock()
	loads := make([]ServiceLoad, 0, len(s.services))
	for _, svc := range s.services {
		if !svc.configured {
			continue
		}
		load := ServiceLoad{
			Service:       svc.name,
			FreeSlots:     s.estimateFreeSlots(s.plainWorkers, svc.Resources) + s.estimateFreeSlots(s.accelWorkers, svc.Resources),
			Queued:        svc.queued,
			EstimatedWait: svc.profile.starts.estimateWait(svc.profile.queued, now),
		}
		if load.FreeSlots == 0 && svc.profile.queued == 0 {
			load.EstimatedWait = svc.profile.starts.meanInterval
		}
		loads = append(loads, load)
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Service < loads[j].Service })
	return loads
}

// estimateFreeSlots returns how many tasks of size need fit on the workers of x.
// With more than capacitySampleSize workers the result is extrapolated from a
// sample.
func (s *Scheduler) estimateFreeSlots(x *index, need worker.Resources) int {
	size := len(x.leaves)
	if size == 0 {
		return 0
	}
	sampled, sum := min(size, capacitySampleSize), 0
	start := 0
	if sampled < size {
		start = s.rng.IntN(size)
	}
	for i := range sampled {
		// Steps of size/sampled spread the sample over the whole index.
		w := x.leaves[(start+i*size/sampled)%size]
		if w == nil {
			continue
		}
		free := w.free()
		free.slots = w.offeredSlots()
		sum += fittingTasks(need, free)
	}
	return sum * size / sampled
}
