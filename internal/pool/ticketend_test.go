package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// Guards against a step that is not placed with a valid ticket because a later reply brought
// one that ends earlier.
func TestTicketsThatEndInAnotherOrder(t *testing.T) {
	p := overloadedPool(1, 0)
	n := p.nodes["w000"]
	for _, r := range n.runs {
		n.removeRun(r)
	}
	p.nodes["w001"] = &node{entry: n.entry, runs: make(map[string]*run), runsPerStep: make(map[*step]int)}
	p.nodes["w001"].entry.ID = "w001"
	queue := cell.Queue{Name: "q", Service: testService, Policy: &cell.PolicyTiming{}}
	s := newJob("j", queue, "", &api.Job{Steps: []api.Step{{Count: 1, MilliCPU: 100}}}, time.Now()).occurrence(0).steps[0]
	now := time.Now()
	p.applyApprovals(s, []string{"w000"}, []cell.Approval{{Worker: "w000", Ticket: "long"}}, now.Add(3*time.Second))
	p.applyApprovals(s, []string{"w001"}, []cell.Approval{{Worker: "w001", Ticket: "short"}}, now.Add(time.Second))
	at := now.Add(2 * time.Second)
	placed := p.placeStep(s, s.tasks, p.newCapacityTracker(at), at)
	require.Len(t, placed, 1)
	require.Equal(t, "w000", placed[0].node.entry.ID)
	later := now.Add(4 * time.Second)
	p.discardPlan(s.tasks[0])
	require.Empty(t, p.placeStep(s, s.tasks, p.newCapacityTracker(later), later))
}
