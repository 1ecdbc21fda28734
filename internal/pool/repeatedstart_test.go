package pool

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
)

// Guards against a task that runs twice after the rejection of a repeated start.
func TestRejectionOfARepeatedStart(t *testing.T) {
	for _, reason := range []cell.RejectReason{cell.RejectedUnhealthy, cell.RejectedCapacity, cell.RejectedTicket, cell.RejectedExpired, cell.RejectedInvalid} {
		for name, lost := range map[string]celltest.Fault{"carried out late": celltest.DelayRequest, "lost": celltest.DropRequest} {
			t.Run(string(reason)+"/"+name, func(t *testing.T) {
				inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
					tc.taskDuration = 5 * time.Second
					w := tc.worker("w00")
					var lostTask atomic.Value
					w.SetFault(func(call, task string) celltest.Fault {
						if call == "start" && lostTask.CompareAndSwap(nil, task) {
							return lost
						}
						return celltest.NoFault
					})
					var rejected atomic.Bool
					w.Rejects = func(task string) cell.RejectReason {
						if task == lostTask.Load() && rejected.CompareAndSwap(false, true) {
							return reason
						}
						return ""
					}
					tc.submit("a", withCount(smallStep, 6))
					tc.waitForState("a", api.JobCompleted)
					require.True(t, rejected.Load())
				})
			})
		}
	}
}
