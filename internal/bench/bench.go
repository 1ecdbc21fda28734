// Package bench measures the system and prints each figure on a line of the form
// "figure <name> <value> <unit>".
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/dev"
	"github.com/laburnumpass/laburnumpass/internal/logging"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// startTimeout limits the start of a cell and each wait for its state to settle.
const startTimeout = time.Minute

// printer prints figures.
type printer struct{ w io.Writer }

func (p printer) figure(name string, value float64, unit string) {
	fmt.Fprintf(p.w, "figure %s %.4g %s\n", name, value, unit)
}

// Part is a group of figures that are measured together.
type Part struct {
	Name string
	run  func(ctx context.Context, p printer, seed uint64) error
}

// Parts returns the groups of figures in the order in which they are measured.
func Parts() []Part {
	return []Part{
		{"decisions", measureDecisions},
		{"takeover", measureTakeover},
		{"restart", measureRollingRestart},
		{"configuration", measureConfigurationDelay},
		{"leaving", measureLeavingWorkers},
		{"records", measureRecords},
		{"wake", measureSimultaneousCallers},
		{"control", measureControlCost},
		{"capacity", measureCapacity},
	}
}

// Run measures the named parts, or all parts if names is empty, and prints their
// figures to w.
func Run(ctx context.Context, w io.Writer, names []string, seed uint64) error {
	for _, part := range Parts() {
		if len(names) > 0 && !slices.Contains(names, part.Name) {
			continue
		}
		if err := part.run(ctx, printer{w}, seed); err != nil {
			return errors.Wrapf(err, "measure %s", part.Name)
		}
	}
	return nil
}

// cell is a development cell with the stand-ins for its platform services.
type cell struct {
	*dev.Cell
	platform *dev.Platform
}

// newCell starts a cell with the workers of the order desk's deployment.
// entryHosts are the numbers of entry hosts, one for each failure domain.
func newCell(ctx context.Context, entryHosts ...int) (*cell, error) {
	return newCellWithLayout(ctx, dev.OrderDesk, entryHosts...)
}

// newCellWithLayout is newCell with another worker layout.
func newCellWithLayout(ctx context.Context, layout dev.WorkerLayout, entryHosts ...int) (*cell, error) {
	domains := dev.NewFailureDomains(entryHosts...)
	platform, err := dev.StartPlatform(layout.Workers(domains), standin.WorkerOptions{})
	if err != nil {
		return nil, err
	}
	if err := platform.Publish(contract.Sample()); err != nil {
		return nil, err
	}
	settings, err := platform.Settings(domains)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c, err := dev.StartCell(ctx, settings, logging.New(os.Stderr, -1))
	if err != nil {
		platform.Close()
		return nil, err
	}
	return &cell{Cell: c, platform: platform}, nil
}

func (c *cell) close() {
	_ = c.Stop()
	c.platform.Close()
}

// holderByWorker returns the holder of each worker by the name of the worker.
func (c *cell) holderByWorker() map[string]string {
	out := make(map[string]string)
	for _, w := range c.platform.Workers {
		holder, _ := w.Lease()
		out[w.Info().Name] = holder
	}
	return out
}

// awaitAllHeld waits until every worker has a holder other than except.
func (c *cell) awaitAllHeld(ctx context.Context, except string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		missing := 0
		for _, holder := range c.holderByWorker() {
			if holder == "" || holder == except {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if !sleep(ctx, 2*time.Millisecond) {
			return errors.Errorf("%d workers have no holder", missing)
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// quantile returns the quantile q of the durations in milliseconds, or 0 if
// there are none.
func quantile(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	i := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[i]) / float64(time.Millisecond)
}
