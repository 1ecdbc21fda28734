package bench

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/standin"
)

const (
	// holderPollInterval is the interval at which the holders are read.
	holderPollInterval = time.Millisecond
	// settleTime is the time without a change after which the holders count as
	// final. It is twice the interval at which an entry host recomputes who
	// should hold its workers.
	settleTime = 2 * time.Second
)

// closedChannel is a channel that is already closed.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// holderMonitor tracks the holders of all workers.
type holderMonitor struct {
	workers []*standin.Worker
	// lastHolders holds the last known holder of each worker, and unheldSince
	// the time since which a worker has none, or zero.
	lastHolders []string
	unheldSince []time.Time
	lastChange  time.Time
	// holderChanges counts the grants to a holder other than the previous one,
	// and unheldPeriods lists the times without a holder before each grant.
	holderChanges int
	unheldPeriods []time.Duration
}

// newHolderMonitor returns a monitor of workers that all have a holder.
func newHolderMonitor(workers []*standin.Worker) *holderMonitor {
	w := &holderMonitor{workers: workers, lastChange: time.Now(), unheldSince: make([]time.Time, len(workers))}
	for _, m := range workers {
		holder, _ := m.Lease()
		w.lastHolders = append(w.lastHolders, holder)
	}
	return w
}

// poll reads the holders and records the changes.
func (w *holderMonitor) poll() {
	now := time.Now()
	for i, m := range w.workers {
		holder, _ := m.Lease()
		if holder == "" {
			if w.unheldSince[i].IsZero() {
				w.unheldSince[i], w.lastChange = now, now
			}
			continue
		}
		if !w.unheldSince[i].IsZero() {
			w.unheldPeriods = append(w.unheldPeriods, now.Sub(w.unheldSince[i]))
			w.unheldSince[i], w.lastChange = time.Time{}, now
		}
		if holder != w.lastHolders[i] {
			w.lastHolders[i], w.lastChange = holder, now
			w.holderChanges++
		}
	}
}

// waitUntilSettled polls the holders until done is closed and they have settled.
// It returns an error if they do not settle within startTimeout after done is
// closed.
func (w *holderMonitor) waitUntilSettled(ctx context.Context, done <-chan struct{}) error {
	var end time.Time
	for {
		w.poll()
		select {
		case <-done:
			if end.IsZero() {
				end = time.Now().Add(startTimeout)
				w.lastChange = time.Now()
			}
		default:
		}
		if !end.IsZero() && time.Since(w.lastChange) >= settleTime && w.allHeld() {
			return nil
		}
		if !sleep(ctx, holderPollInterval) || !end.IsZero() && time.Now().After(end) {
			return errors.New("the holders of the workers did not settle")
		}
	}
}

func (w *holderMonitor) allHeld() bool {
	for _, t := range w.unheldSince {
		if !t.IsZero() {
			return false
		}
	}
	return true
}

// totalUnheldTime returns the sum of the times without a holder.
func (w *holderMonitor) totalUnheldTime() time.Duration {
	var sum time.Duration
	for _, g := range w.unheldPeriods {
		sum += g
	}
	return sum
}
