package e2e

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// watchOffsets follows the applied configuration offset of every host, over
// its restarts. The returned function ends this and reports any that fell.
func (c *cluster) watchOffsets() (stop func()) {
	ctx, cancel := context.WithCancel(c.t.Context())
	var watches sync.WaitGroup
	for _, s := range c.settings {
		watches.Go(func() {
			for last := uint64(0); ctx.Err() == nil; pause(ctx, 10*time.Millisecond) {
				// A host that is down or has no configuration yet has offset 0.
				if offset := c.offset(s); offset != 0 {
					assert.GreaterOrEqual(c.t, offset, last, "configuration offset of %s", s.Host)
					last = offset
				}
			}
		})
	}
	return func() {
		cancel()
		watches.Wait()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// await waits until done reports true.
func (c *cluster) await(done func() bool, message string, args ...any) {
	c.t.Helper()
	require.Eventually(c.t, done, startTimeout, 10*time.Millisecond, append([]any{message}, args...)...)
}

// begun returns the number of tasks that have begun.
func (c *cluster) begun() int {
	n := 0
	for _, j := range c.platform.Journals() {
		n += len(j.Events())
	}
	return n / 2
}

// heldBy returns the number of workers whose lease a host has.
func (c *cluster) heldBy(host string) int {
	n := 0
	for _, w := range c.platform.Workers {
		if holder, _ := w.Lease(); holder == host {
			n++
		}
	}
	return n
}

func (c *cluster) domainOf(host string) string {
	i := slices.IndexFunc(c.settings, func(s settings.Settings) bool { return s.Host == host })
	self, _ := c.settings[i].Self()
	return self.FailureDomain
}

// unheld returns the number of workers of a failure domain without a holder.
func (c *cluster) unheld(domain string) int {
	n := 0
	for _, w := range c.platform.Workers {
		if holder, _ := w.Lease(); holder == "" && w.Info().FailureDomain == domain {
			n++
		}
	}
	return n
}

// begunIn returns the number of tasks that began in a failure domain since a
// time.
func (c *cluster) begunIn(domain string, since time.Time) int {
	n := 0
	for _, w := range c.platform.Workers {
		if w.Info().FailureDomain != domain {
			continue
		}
		for _, e := range w.Journal().Events() {
			if e.Kind == standin.EventBegin && e.Time.After(since) {
				n++
			}
		}
	}
	return n
}
