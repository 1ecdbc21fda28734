package schedule

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// overrunGrace is the time that an action gets to show in a measurement,
	// which lags by seconds, before the next action follows.
	overrunGrace = 5 * time.Second
	// defaultOverrunPercent applies to profiles that give none.
	defaultOverrunPercent = 120
	// maxActions bounds the actions that wait to be taken.
	maxActions = 10000
)

// OverrunAction is what to do about a task that outgrew its declared size.
type OverrunAction struct {
	Worker string
	Task   worker.TaskID
	Kind   contract.Overrun
	// Limit is the declared size, for contract.OverrunThrottle.
	Limit worker.Resources
}

// overrun is how far the actions against a task have come.
type overrun struct {
	step int
	last time.Time
}

// TakeOverrunActions returns the actions that became due since the last call. Each task
// gets the actions of its profile in their order, the next one only when a
// measurement at least 5 s after the last one still shows the overrun.
func (s *Scheduler) TakeOverrunActions() []OverrunAction {
	s.lock()
	defer s.unlock()
	actions := s.actions
	s.actions = nil
	return actions
}

func (s *Scheduler) overrun(c *charge, used worker.Resources, now time.Time) {
	p := c.profile
	percent := int64(p.OverrunPercent)
	if percent == 0 {
		percent = defaultOverrunPercent
	}
	over := func(used, declared int64) bool { return declared > 0 && used*100 > declared*percent }
	if !over(used.MilliCPU, c.declared.MilliCPU) && !over(used.MemoryMiB, c.declared.MemoryMiB) ||
		c.over.step >= len(p.Overrun) || len(s.actions) >= maxActions ||
		c.over.step > 0 && now.Sub(c.over.last) < overrunGrace {
		return
	}
	s.actions = append(s.actions, OverrunAction{Worker: c.home, Task: c.id, Kind: p.Overrun[c.over.step], Limit: c.declared})
	c.over.step++
	c.over.last = now
}
