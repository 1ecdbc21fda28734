package pool

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

const (
	// registryInterval is the time between two reads of the registry. A
	// draining worker must get no new work after 2.5 s. With a read every 400
	// ms, there is one read of the registry for every ten heartbeats that
	// workers write to it.
	registryInterval = 400 * time.Millisecond
	// registryTimeout bounds one read. The one after a read that is cut off has more
	// to read; a silent store ends it after store.ReadSilence.
	registryTimeout = 3 * time.Second
	// absenceGrace is how long the entries of living workers may be missing
	// after an outage, as guaranteed by the platform, plus one heartbeat.
	absenceGrace = 2500 * time.Millisecond
	// removedNodeMemory is how long after its last reply a removed worker is kept for
	// the comparison with crashes that are noticed later.
	removedNodeMemory = 10 * time.Second
)

// followRegistry keeps the workers in line with the registry, reading from an
// offset on.
func (p *Pool) followRegistry(ctx context.Context, from int64) {
	absentSince := make(map[string]time.Time)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
		records, end, err := p.opts.Store.Read(callCtx, p.opts.WorkersTopic, from, 0)
		var truncated *store.TruncatedError
		if errors.As(err, &truncated) {
			p.log.Info("registry history truncated, reading all entries", "from", from, "first", truncated.First)
			if records, end, err = store.ReadAllCompacted(callCtx, p.opts.Store, p.opts.WorkersTopic); err == nil {
				p.unlistAbsent(records, absentSince)
			}
		}
		cancel()
		if err == nil {
			from = end
			p.mu.Lock()
			p.applyRegistry(records)
			p.mu.Unlock()
		} else if ctx.Err() == nil {
			p.log.V(1).Info("reading the registry failed", "error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(registryInterval):
		}
	}
}

// unlistAbsent removes workers from use once they have had no entry for
// absenceGrace. It is called only when a read has failed with a TruncatedError
// and all entries were read instead; otherwise a removed entry is seen as a
// record without a value.
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

// applyRegistry adds, updates and removes workers. The caller must hold p.mu.
func (p *Pool) applyRegistry(records []store.Record) {
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
			p.log.V(1).Info("ignoring a registry entry that cannot be decoded", "key", r.Key, "error", err.Error())
			continue
		}
		if p.opts.Shard.Owns(entry) {
			p.applyEntry(entry)
		} else if n != nil && n.listed {
			p.markUnlisted(n, "other_service")
		}
	}
	if len(records) > 0 {
		p.requestPass()
	}
}

// applyEntry adds or updates a worker from its registry entry. The caller must
// hold p.mu.
func (p *Pool) applyEntry(entry *cell.WorkerEntry) {
	n := p.node(entry.ID)
	if n.entry.Incarnation > entry.Incarnation {
		return // an entry of an earlier incarnation
	}
	restarted := n.entry.Incarnation != 0 && n.entry.Incarnation != entry.Incarnation
	moved := n.client != nil && n.entry.Address != entry.Address
	if restarted {
		p.restartIncarnation(n)
	} else if !n.listed {
		p.settlePresumedEnd(entry.ID, entry.Incarnation)
	}
	if !n.listed || restarted || entry.Draining != n.entry.Draining || entry.Capacity != n.entry.Capacity {
		p.log.Info("worker entry changed", "worker", entry.ID, "address", entry.Address, "draining", entry.Draining, "incarnation", entry.Incarnation, "cpu", entry.Capacity.MilliCPU)
	}
	n.entry, n.listed, n.addressFromRecord = *entry, true, false
	unknown := n.client == nil
	if moved || unknown {
		p.connect(n)
	}
	if unknown {
		p.stopUnansweredStarts(n)
	}
}

// connect starts renewing the worker's lease at its current address.
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

// markUnlisted takes a worker out of use: it gets no new work. While it replies,
// its running tasks continue and its lease is still renewed. sweepNodes handles a
// worker that does not reply. The caller must hold p.mu.
func (p *Pool) markUnlisted(n *node, reason string) {
	n.listed = false
	p.countUnlistedEnd(n)
	p.log.Info("worker gone from the registry", "worker", n.entry.ID, "reason", reason, "runs", len(n.runs), "failing", n.unresponsive)
}

// sweepNodes releases the runs of workers that do not reply and whose leases have
// expired. It removes unlisted workers that have no runs and do not reply. The caller
// must hold p.mu.
func (p *Pool) sweepNodes() {
	p.predecessorLeases = p.endOfPredecessorLeases()
	p.forgetPresumedEnds()
	p.forgetUnansweredStarts()
	p.forgetSettledProcesses()
	if time.Since(p.unstoredSince) > maxSettledDelay {
		p.storeSettledRuns()
	}
	for id, n := range p.nodes {
		silent := n.client == nil || n.unresponsive || !n.hasReplied
		if n.client == nil || n.unresponsive {
			p.logLeaseWait(n)
		} else {
			n.leaseWaitLogged = false
		}
		n.noteSilence(silent)
		if silent && len(n.runs) > 0 {
			p.releaseExpired(n)
		}
		if !n.listed && len(n.runs) == 0 && !n.leasesWithheld && (silent || n.client == nil) {
			if n.cancel != nil {
				n.cancel()
				n.client.Close()
			}
			delete(p.nodes, id)
			p.removed = append(p.removed, n)
		}
	}
	p.recordSilentWorkers()
	p.removed = slices.DeleteFunc(p.removed, func(n *node) bool { return time.Since(n.failingSince) > removedNodeMemory })
}
