package e2e

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/demo"
)

// TestRequestsUnderFailures guards the promises while processes are killed,
// frozen and restarted: nothing runs twice, no worker is overfilled, every
// "not run" is absent from every journal and every answer is whole and the
// request's own. Unknown outcomes are allowed, wrong ones are not.
func TestRequestsUnderFailures(t *testing.T) {
	c := newCluster(t, nil, 3, 2, 2)
	kinds := demo.OrderDesk(1.5)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		c.disturb(ctx)
	}()
	sent, err := demo.Run(t.Context(), c.client(), kinds, 2)
	require.NoError(t, err)
	cancel()
	<-faults
	c.checkPromises(sent)
}

// disturb kills, freezes and restarts entry hosts, one after the other and two
// at a time.
func (c *cluster) disturb(ctx context.Context) {
	steps := []struct {
		after time.Duration
		do    func()
	}{
		{500 * time.Millisecond, func() { c.kill("fd-a-1") }},
		{300 * time.Millisecond, func() { c.signal("fd-b-1", syscall.SIGSTOP) }},
		{2 * time.Second, func() { c.signal("fd-b-1", syscall.SIGCONT) }},
		{100 * time.Millisecond, func() { c.start(c.settingsOf("fd-a-1")) }},
		{400 * time.Millisecond, func() { c.signal("fd-a-2", syscall.SIGSTOP); c.kill("fd-c-1") }},
		{1500 * time.Millisecond, func() { c.signal("fd-a-2", syscall.SIGCONT); c.start(c.settingsOf("fd-c-1")) }},
	}
	for _, s := range steps {
		select {
		case <-ctx.Done():
		case <-time.After(s.after):
		}
		// Every step is taken, also after the load has ended, so that no
		// process stays frozen.
		s.do()
	}
}

// checkPromises compares the outcomes with the workers' journals.
func (c *cluster) checkPromises(sent []demo.Sent) {
	c.t.Helper()
	for _, broken := range demo.Broken(sent, c.platform.Journals()) {
		assert.Fail(c.t, broken)
	}
	c.t.Logf("outcomes: %v", demo.Outcomes(sent))
}
