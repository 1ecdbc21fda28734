package schedule

import (
	"sort"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// loadSample is the number of workers whose room is counted for one service;
// with more workers the count is scaled up. It bounds the cost of a heartbeat.
const loadSample = 256

// ServiceLoad summarizes the free capacity for one service.
type ServiceLoad struct {
	Service string
	// FreeSlots is the number of tasks of the declared size that fit now,
	// estimated from a sample on more than 256 workers.
	FreeSlots int
	Queued    int
	// EstimatedWait is the wait of a new request by the latest starts.
	EstimatedWait time.Duration
}

// TrackService makes Load report a configured service of which this host has seen no
// work yet, so that peers know of its room.
func (s *Scheduler) TrackService(name string) {
	now := s.lock()
	defer s.unlock()
	if svc := s.service(name); !svc.known {
		s.configureService(svc)
	}
	s.dispatch(now)
}

// Load returns the load of each configured service that this host has seen,
// by name.
func (s *Scheduler) Load() []ServiceLoad {
	now := s.lock()
	defer s.unlock()
	loads := make([]ServiceLoad, 0, len(s.services))
	for _, svc := range s.services {
		if !svc.known {
			continue
		}
		load := ServiceLoad{
			Service:       svc.name,
			FreeSlots:     s.room(s.plain, svc.Resources) + s.room(s.accel, svc.Resources),
			Queued:        svc.queued,
			EstimatedWait: svc.profile.pace.wait(svc.profile.queued, now),
		}
		if load.FreeSlots == 0 && svc.profile.queued == 0 {
			load.EstimatedWait = svc.profile.pace.gap
		}
		loads = append(loads, load)
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Service < loads[j].Service })
	return loads
}

func (s *Scheduler) room(x *index, need worker.Resources) int {
	size := len(x.leaves)
	if size == 0 {
		return 0
	}
	looked, sum := min(size, loadSample), 0
	start := 0
	if looked < size {
		start = s.rng.IntN(size)
	}
	for i := range looked {
		// Steps of size/looked spread the sample over the whole index.
		n := x.leaves[(start+i*size/looked)%size]
		if n == nil {
			continue
		}
		free := n.free()
		free.slots = n.offered()
		sum += members(need, free)
	}
	return sum * size / looked
}
