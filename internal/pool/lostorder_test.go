package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// Guards against long-running tasks that stand behind all new work of their priority
// because their job was accepted long ago.
func TestUrgencyOfLongRunningTasks(t *testing.T) {
	p := overloadedPool(1, 0)
	now := time.Now()
	queue := cell.Queue{Name: "q", Stretch: 2, TargetLatency: 3 * time.Second}
	waiting := func(id string, age time.Duration, spec api.Step) *step {
		spec.Count, spec.EstimateMS = 1, 500
		return newJob(id, queue, "", &api.Job{Steps: []api.Step{spec}}, now.Add(-age)).occurrence(0).steps[0]
	}
	lost := waiting("lost", time.Hour, api.Step{LongRunning: true})
	lost.tasks[0].lastRun = 1 // its run was released a moment ago
	lost.noteReady(now)
	longLost := waiting("lost long ago", time.Hour, api.Step{LongRunning: true})
	longLost.tasks[0].lastRun = 1
	longLost.noteReady(now.Add(-time.Minute))
	never := waiting("never started", time.Minute, api.Step{LongRunning: true})
	never.noteReady(now)
	late := waiting("late", time.Minute, api.Step{})
	oldest, newest := waiting("waits", 2*time.Second, api.Step{}), waiting("new", 0, api.Step{})
	steps := []*step{late, newest, lost, oldest, never, longLost}
	p.sortByUrgency(steps, now)
	require.Equal(t, []*step{longLost, oldest, lost, newest, late, never}, steps, "order")
	slack, objective := p.slack(lost, now)
	require.Equal(t, objective-500*time.Millisecond, slack)
}
