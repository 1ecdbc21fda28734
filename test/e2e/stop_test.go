package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// TestRepeatedSignalsDuringPlannedStop guards against a second SIGTERM or SIGINT that
// ends a draining process at once, with the requests in progress.
func TestRepeatedSignalsDuringPlannedStop(t *testing.T) {
	c := newCluster(t, nil, 1, 1)
	host := c.settings[0]
	self, _ := host.Self()
	client := c.clientForDomain(self.FailureDomain)
	load := demo.Workload{
		Name: "long", Service: "order-desk", Team: "sales", Requests: 20, RequestsPerSecond: 1000, RunMS: 3000,
		Deadline: 20 * time.Second, AnswerBytes: 100,
	}
	var results []demo.Result
	var submitting errgroup.Group
	submitting.Go(func() error {
		var err error
		results, err = demo.Run(t.Context(), client, []demo.Workload{load}, 1)
		return err
	})
	// None has ended, so startedTasks counts half of them.
	c.await(func() bool { return c.startedTasks() >= load.Requests/2 }, "the tasks have not started")
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT} {
		c.signal(host.Host, signal)
		c.await(func() bool {
			code, _, err := fasthttp.Get(nil, "http://"+host.Listen.Callers+"/readyz")
			return err == nil && code == fasthttp.StatusServiceUnavailable
		}, "the host does not drain")
	}
	<-c.process(host.Host).exited
	require.NoError(t, submitting.Wait())
	for i := range results {
		assert.NoError(t, results[i].Check(standin.ExpectedAnswer), results[i].Request.ID)
	}
}
