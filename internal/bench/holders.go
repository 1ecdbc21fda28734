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
	m := &holderMonitor{workers: workers, lastChange: time.Now(), unheldSince: make([]time.Time, len(workers))}
	for _, w := range workers {
		holder, _ := w.Lease()
		m.lastHolders = append(m.lastHolders, holder)
	}
	return m
}

// poll reads the holders and records the changes.
func (m *holderMonitor) poll() {
	now := time.Now()
	for i, w := range m.workers {
		holder, _ := w.Lease()
		if holder == "" {
			if m.unheldSince[i].IsZero() {
				m.unheldSince[i], m.lastChange = now, now
			}
			continue
		}
		if !m.unheldSince[i].IsZero() {
			m.unheldPeriods = append(m.unheldPeriods, now.Sub(m.unheldSince[i]))
			m.unheldSince[i], m.lastChange = time.Time{}, now
		}
		if holder != m.lastHolders[i] {
			m.lastHolders[i], m.lastChange = holder, now
			m.holderChanges++
		}
	}
}

// waitUntilSettled polls the holders until done is closed and they have settled.
// It returns an error if they do not settle within startTimeout after done is
// closed.
func (m *holderMonitor) waitUntilSettled(ctx context.Context, done <-chan struct{}) error {
	var end time.Time
	for {
		m.poll()
		select {
		case <-done:
			if end.IsZero() {
				end = time.Now().Add(startTimeout)
				m.lastChange = time.Now()
			}
		default:
		}
		if !end.IsZero() && time.Since(m.lastChange) >= settleTime && m.allHeld() {
			return nil
		}
		if !sleep(ctx, holderPollInterval) || !end.IsZero() && time.Now().After(end) {
			return errors.New("the holders of the workers did not settle")
		}
	}
}

func (m *holderMonitor) allHeld() bool {
	for _, t := range m.unheldSince {
		if !t.IsZero() {
			return false
		}
	}
	return true
}

// totalUnheldTime returns the sum of the times without a holder.
func (m *holderMonitor) totalUnheldTime() time.Duration {
	var sum time.Duration
	for _, g := range m.unheldPeriods {
		sum += g
	}
	return sum
}
