package pool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

const (
	// registryInterval is the time between looks at the registry. A worker that
	// drains must get no new work after 2.5 s; one look in 400 ms costs a tenth
	// of one for each heartbeat.
	registryInterval = 400 * time.Millisecond
	// registryTimeout bounds one look.
	registryTimeout = 900 * time.Millisecond
	// absenceGrace is how long after an outage the entries of living workers may
	// be missing, by the platform's promise, and a heartbeat.
	absenceGrace = 2500 * time.Millisecond
)

// followRegistry keeps the workers as the registry lists them, from an offset
// on.
func (p *Pool) followRegistry(ctx context.Context, from int64) {
	absentSince := make(map[string]time.Time)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
		records, end, err := p.opts.Store.Read(callCtx, p.opts.WorkersTopic, from, 0)
		var truncated *store.TruncatedError
		if errors.As(err, &truncated) {
			p.log.Info("registry history is gone", "from", from, "first", truncated.First)
			if records, end, err = store.All(callCtx, p.opts.Store, p.opts.WorkersTopic); err == nil {
				p.unlistAbsent(records, absentSince)
			}
		}
		cancel()
		if err == nil {
			from = end
			p.applyRegistry(records)
		} else if ctx.Err() == nil {
			p.log.V(1).Info("registry cannot be read", "error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(registryInterval):
		}
	}
}

// unlistAbsent takes workers without an entry for gone, once they have been
// absent for returnTime.
func (p *Pool) unlistAbsent(records []store.Record, absentSince map[string]time.Time) {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.nodes {
		if present[id] || !n.listed {
			delete(absentSince, id)
			continue
		}
		if absentSince[id].IsZero() {
			absentSince[id] = time.Now()
		}
		if time.Since(absentSince[id]) > absenceGrace {
			p.markUnlisted(n, "absent")
		}
	}
}

func (p *Pool) applyRegistry(records []store.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		n := p.nodes[r.Key]
		if len(r.Value) == 0 {
			if n != nil && n.listed {
				p.markUnlisted(n, "removed")
			}
			continue
		}
		entry, err := p.opts.DecodeWorker(r.Key, r.Value)
		if err != nil {
			p.incrementMetric("registry.unreadable")
			p.log.V(1).Info("registry entry cannot be used", "key", r.Key, "error", err.Error())
			continue
		}
		if entry.Service == p.opts.Service {
			p.applyEntry(entry)
		} else if n != nil && n.listed {
			p.markUnlisted(n, "other_service")
		}
	}
	if len(records) > 0 {
		p.requestPass()
	}
}

// applyEntry takes in a worker's entry. It needs p.mu.
func (p *Pool) applyEntry(entry *cell.WorkerEntry) {
	n := p.node(entry.ID)
	if n.entry.Incarnation > entry.Incarnation {
		return // an entry of the incarnation before
	}
	restarted := n.entry.Incarnation != 0 && n.entry.Incarnation != entry.Incarnation
	moved := n.client != nil && n.entry.Address != entry.Address
	if restarted {
		p.endIncarnation(n, "restarted")
	}
	if !n.listed || restarted || entry.Draining != n.entry.Draining {
		p.log.Info("worker", "worker", entry.ID, "address", entry.Address, "draining", entry.Draining, "incarnation", entry.Incarnation, "cpu", entry.Capacity.MilliCPU)
	}
	n.entry, n.listed = *entry, true
	if moved || n.client == nil {
		p.connect(n)
	}
}

// connect begins to renew the worker's lease at its present address.
func (p *Pool) connect(n *node) {
	if n.cancel != nil {
		n.cancel()
		n.client.Close()
	}
	ctx, cancel := context.WithCancel(p.ctx)
	n.cancel = cancel
	n.client = p.opts.Connect(n.entry.ID, n.entry.Address)
	go p.holdLoop(ctx, n)
}

// markUnlisted takes a worker out of use. What runs on it is followed until it ends
// or its lease runs out. It needs p.mu.
func (p *Pool) markUnlisted(n *node, reason string) {
	n.listed = false
	p.log.Info("worker gone from the registry", "worker", n.entry.ID, "reason", reason, "runs", len(n.runs), "failing", n.failing)
}

// sweepNodes ends the runs of workers whose leases have run out, and forgets
// workers that are gone. It needs p.mu.
func (p *Pool) sweepNodes() {
	for id, n := range p.nodes {
		silent := n.client == nil || n.failing || !n.confirmed
		if silent && len(n.runs) > 0 && n.leaseExpired() {
			for _, r := range n.runs {
				if r.state != runPlanned {
					p.release(r, "lease_expired")
				}
			}
		}
		if !n.listed && len(n.runs) == 0 && (silent || n.client == nil) {
			if n.cancel != nil {
				n.cancel()
				n.client.Close()
			}
			delete(p.nodes, id)
		}
	}
}
