// Package bench measures the system and prints one figure a line as
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

// startTimeout bounds the start of a cell.
const startTimeout = time.Minute

// printer writes figures.
type printer struct{ w io.Writer }

func (p printer) figure(name string, value float64, unit string) {
	fmt.Fprintf(p.w, "figure %s %.4g %s\n", name, value, unit)
}

// Part is a group of figures that is measured together.
type Part struct {
	Name string
	run  func(ctx context.Context, p printer, seed uint64) error
}

// Parts lists the groups in their order.
func Parts() []Part {
	return []Part{
		{"decisions", decisions},
		{"takeover", takeover},
		{"restart", restart},
		{"configuration", configurationInForce},
		{"leaving", leaving},
		{"records", records},
		{"wake", wake},
		{"control", control},
		{"capacity", capacity},
	}
}

// Run measures the named parts, or all if none is named.
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

// cell is a development cell with its platform.
type cell struct {
	*dev.Cell
	platform *dev.Platform
}

// newCell starts the order desk's workers and a number of entry hosts in each
// of three failure domains.
func newCell(ctx context.Context, entryHosts ...int) (*cell, error) {
	return newCellOf(ctx, dev.OrderDesk, entryHosts...)
}

func newCellOf(ctx context.Context, shape dev.WorkerLayout, entryHosts ...int) (*cell, error) {
	domains := dev.NewFailureDomains(entryHosts...)
	platform, err := dev.StartPlatform(shape.Workers(domains), standin.WorkerOptions{})
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

// holders returns the holder of each worker.
func (c *cell) holders() map[string]string {
	out := make(map[string]string)
	for _, w := range c.platform.Workers {
		holder, _ := w.Lease()
		out[w.Info().Name] = holder
	}
	return out
}

// awaitHeld waits until every worker has a holder that is not in except.
func (c *cell) awaitHeld(ctx context.Context, except string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		missing := 0
		for _, holder := range c.holders() {
			if holder == "" || holder == except {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if !pause(ctx, 2*time.Millisecond) {
			return errors.Errorf("%d workers have no holder", missing)
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// quantile returns a quantile of durations in milliseconds.
func quantile(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	i := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[i]) / float64(time.Millisecond)
}
