package schedule

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// overrunActionInterval is the minimum time between two actions against a
	// task. Measurements lag by seconds, so the effect of an action shows late.
	overrunActionInterval = 5 * time.Second
	// defaultOverrunPercent applies to profiles that set no percentage.
	defaultOverrunPercent = 120
	// maxOverrunActions bounds the actions that wait for TakeOverrunActions.
	maxOverrunActions = 10000
)

// OverrunAction is an action against a task that exceeds its declared size.
type OverrunAction struct {
	Worker string
	Task   worker.TaskID
	Kind   contract.OverrunAction
	// Limit is the declared size, for contract.OverrunThrottle.
	Limit worker.Resources
}

// overrunState tracks the actions that were taken against a task.
type overrunState struct {
	actionsTaken int
	lastAction   time.Time
}

// TakeOverrunActions returns and clears the actions that became due since the last
// call. The actions of its profile are taken against a task in their order, the
// next one only when a measurement at least 5 s after the previous action still
// shows the overrun.
func (s *Scheduler) TakeOverrunActions() []OverrunAction {
	s.lock()
	defer s.unlock()
	actions := s.overrunActions
	s.overrunActions = nil
	return actions
}

// checkOverrun adds the next action against a if its measured use exceeds the
// declared size by more than the profile allows.
func (s *Scheduler) checkOverrun(a *allocation, used worker.Resources, now time.Time) {
	p := a.profile
	percent := int64(p.OverrunPercent)
	if percent == 0 {
		percent = defaultOverrunPercent
	}
	over := func(used, declared int64) bool { return declared > 0 && used*100 > declared*percent }
	if !over(used.MilliCPU, a.declared.MilliCPU) && !over(used.MemoryMiB, a.declared.MemoryMiB) ||
		a.overrun.actionsTaken >= len(p.Overrun) || len(s.overrunActions) >= maxOverrunActions ||
		a.overrun.actionsTaken > 0 && now.Sub(a.overrun.lastAction) < overrunActionInterval {
		return
	}
	s.overrunActions = append(s.overrunActions, OverrunAction{Worker: a.workerName, Task: a.id, Kind: p.Overrun[a.overrun.actionsTaken], Limit: a.declared})
	a.overrun.actionsTaken++
	a.overrun.lastAction = now
}
