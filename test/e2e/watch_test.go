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

// watchConfigOffsets polls the applied configuration offset of every host, also
// across restarts, and fails the test if one decreases. The returned function stops
// it.
func (c *cluster) watchConfigOffsets() (stop func()) {
	ctx, cancel := context.WithCancel(c.t.Context())
	var watches sync.WaitGroup
	for _, s := range c.settings {
		watches.Go(func() {
			for last := uint64(0); ctx.Err() == nil; sleepContext(ctx, 10*time.Millisecond) {
				// A host that is down or has no configuration yet has offset 0.
				if offset := c.configOffset(s); offset != 0 {
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

// sleepContext waits for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
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

// startedTasks estimates the number of started tasks as half the number of journal
// events, since a completed task has two: its start and its end.
func (c *cluster) startedTasks() int {
	n := 0
	for _, j := range c.platform.Journals() {
		n += len(j.Events())
	}
	return n / 2
}

// workersHeldBy returns the number of workers whose lease a host holds.
func (c *cluster) workersHeldBy(host string) int {
	n := 0
	for _, w := range c.platform.Workers {
		if holder, _ := w.Lease(); holder == host {
			n++
		}
	}
	return n
}

func (c *cluster) failureDomainOf(host string) string {
	i := slices.IndexFunc(c.settings, func(s settings.Settings) bool { return s.Host == host })
	self, _ := c.settings[i].Self()
	return self.FailureDomain
}

// workersWithoutHolder returns the number of workers in a failure domain whose lease
// nobody holds.
func (c *cluster) workersWithoutHolder(domain string) int {
	n := 0
	for _, w := range c.platform.Workers {
		if holder, _ := w.Lease(); holder == "" && w.Info().FailureDomain == domain {
			n++
		}
	}
	return n
}

// startedTasksIn returns the number of tasks that started in a failure domain after
// a time.
func (c *cluster) startedTasksIn(domain string, since time.Time) int {
	n := 0
	for _, w := range c.platform.Workers {
		if w.Info().FailureDomain != domain {
			continue
		}
		for _, e := range w.Journal().Events() {
			if e.Kind == standin.EventStart && e.Time.After(since) {
				n++
			}
		}
	}
	return n
}
