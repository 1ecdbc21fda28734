package pool

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// The runs of a silent worker are kept until its lease has expired. So that this wait goes
// on after a change of scheduler, the scheduler stores which workers get no leases any more
// and how long the last ones may last. Before a worker in that record gets a lease again, it
// is taken out of it. A successor takes over the record with this obligation.

const (
	// silenceRecordDelay is how long a worker must have refused connections to get into the
	// record. It exceeds one hold call with a lost reply.
	silenceRecordDelay = 1200 * time.Millisecond
	// unansweredRecordDelay replaces it for a worker that does not reply at all, which is
	// more often cut off and returns: by then most of its lease is over, so that little
	// is lost if the store goes down before it returns.
	unansweredRecordDelay = 2 * time.Second
	// unreachedRecordDelay replaces both for a worker that has not replied in this term. It
	// has got no lease from this scheduler that would be lost.
	unreachedRecordDelay = 300 * time.Millisecond
	// silenceRecordInterval is the time between two updates of the record.
	silenceRecordInterval = 500 * time.Millisecond
	// maxSilentWorkers bounds the size of the record to some 120 KB.
	maxSilentWorkers = 2000
	// maxSilentLease bounds the figures of a record. It exceeds what a scheduler writes,
	// and multiples of it still fit into a duration.
	maxSilentLease = 1000 * time.Hour
)

// silentRecord names the workers that get no leases.
type silentRecord struct {
	// Epoch is that of the scheduler that has written the record.
	Epoch int64 `json:"epoch"`
	// TermMS is how long, in milliseconds, its term had lasted then.
	TermMS  int64                  `json:"term_ms"`
	Workers map[string]silentLease `json:"workers"`
}

// silentLease tells how long the leases of a silent worker may last, in milliseconds from
// when the record was sent.
type silentLease struct {
	// UsualMS bounds settled runs, and LongestMS all others.
	UsualMS   int64 `json:"usual_ms"`
	LongestMS int64 `json:"longest_ms"`
}

// valid reports whether a scheduler may have written the figures.
func (l silentLease) valid() bool {
	return l.UsualMS > 0 && l.LongestMS >= l.UsualMS && l.LongestMS <= maxSilentLease.Milliseconds()
}

// noteSilence records whether the worker is silent.
func (n *node) noteSilence(silent bool) {
	if !silent {
		n.silentSince = time.Time{}
	} else if n.silentSince.IsZero() {
		n.silentSince = time.Now()
	}
}

// isSilentForLong reports whether the worker is to get into the record of silent workers.
func (n *node) isSilentForLong() bool {
	delay := silenceRecordDelay
	switch {
	case !n.hasReplied:
		if n.client != nil && !n.unresponsive {
			return false // the first call is under way
		}
		delay = unreachedRecordDelay
	case !n.refusesConnections:
		delay = unansweredRecordDelay
	}
	return !n.silentSince.IsZero() && time.Since(n.silentSince) >= delay
}

// recordSilentWorkers stores which workers get no leases, if that has changed, and how long
// the leases of these may last, from time to time. The caller must hold p.mu.
func (p *Pool) recordSilentWorkers() {
	changed, recorded := false, 0
	for _, n := range p.nodes {
		if n.leasesWithheld && !n.leasesResuming {
			recorded++
		}
	}
	withheld := recorded > 0
	// A worker that returns while the store is down could not be taken out of the record.
	storeReplies := !p.journal.stalled() && p.term.ConfirmationAge() < renewalOverdueAfter
	for _, n := range p.nodes {
		switch {
		case n.leasesResuming:
		case n.leasesWithheld && len(n.runs) == 0:
			p.resumeLeases(n)
		case n.leasesWithheld:
		case storeReplies && len(n.runs) > 0 && recorded < maxSilentWorkers && n.isSilentForLong():
			n.leasesWithheld, changed = true, true
			recorded++
			p.log.Info("leases withheld", "worker", n.entry.ID, "runs", len(n.runs))
			p.incrementMetric("workers.leases_withheld")
		}
	}
	if changed || withheld && time.Since(p.silentStoredAt) > silenceRecordInterval {
		p.storeSilentWorkers(nil)
	}
}

// storeSilentWorkers stores which workers get no leases. onDone may be nil. The caller must
// hold p.mu.
func (p *Pool) storeSilentWorkers(onDone func(error)) {
	p.silentStoredAt = time.Now()
	now := cell.BootTime()
	record := silentRecord{Epoch: p.term.Epoch, TermMS: (now - p.term.ClaimedAt).Milliseconds(), Workers: make(map[string]silentLease)}
	remaining := func(end time.Duration) int64 { return max(end-now, 0).Milliseconds() + 1 }
	for id, n := range p.nodes {
		if n.leasesWithheld && !n.leasesResuming {
			ends := p.silentLeaseEnds(n)
			record.Workers[id] = silentLease{UsualMS: remaining(ends.usual), LongestMS: remaining(ends.longest)}
		}
	}
	p.storeRecords([]store.Record{encodeRecord(keySilent, record)}, onDone)
}

// silentLeaseEnds returns when the leases of a worker that gets none any more have expired.
func (p *Pool) silentLeaseEnds(n *node) leaseEnds {
	if !n.hasReplied {
		return p.unrepliedLeaseEnds(n)
	}
	ends := leaseEnds{n.repliedLeaseEnd(), n.repliedLeaseEnd()}
	for _, r := range n.runs {
		ends.longest = max(ends.longest, p.runLeaseEnd(r))
	}
	return ends
}

// resumeLeases makes the worker get leases again once the record of silent workers does not
// name it any more. The caller must hold p.mu.
func (p *Pool) resumeLeases(n *node) {
	if !n.leasesWithheld || n.leasesResuming {
		return
	}
	n.leasesResuming = true
	p.resumingNodes = append(p.resumingNodes, n)
	if len(p.resumingNodes) > 1 {
		return
	}
	// One record for all workers that return at about the same time.
	time.AfterFunc(commitInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.storeResumed()
	})
}

// storeResumed stores that the workers in resumingNodes are not silent any more. The caller
// must hold p.mu.
func (p *Pool) storeResumed() {
	resuming := p.resumingNodes
	p.resumingNodes = nil
	p.storeSilentWorkers(func(err error) {
		if err != nil {
			return
		}
		for _, n := range resuming {
			n.leasesWithheld, n.leasesResuming = false, false
			p.log.Info("leases no longer withheld", "worker", n.entry.ID, "runs", len(n.runs))
		}
	})
}

// restoreSilentWorkers takes over the record of silent workers. value is empty if there is
// none. The caller must hold p.mu.
func (p *Pool) restoreSilentWorkers(value []byte, fencedAt time.Duration) error {
	if len(value) == 0 {
		return nil
	}
	var r silentRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.WithStack(err)
	}
	if p.term.LeaseRecordsSince == 0 || r.Epoch < p.term.LeaseRecordsSince {
		return nil // a scheduler that ignores the record may have sent leases since
	}
	sentBy := fencedAt
	if r.Epoch == p.term.PreviousEpoch {
		sentBy = min(sentBy, p.term.PreviousClaimedBy+milliseconds(max(r.TermMS, 0)+1))
	}
	for id, lease := range r.Workers {
		// A worker without runs gets no lease either until it is taken out of the record.
		n := p.node(id)
		n.leasesWithheld = true
		if !lease.valid() {
			p.log.Info("ignoring how long the leases of a silent worker last", "worker", id, "usual_ms", lease.UsualMS, "longest_ms", lease.LongestMS)
			continue
		}
		n.inheritedLeases = &leaseEnds{sentBy + milliseconds(lease.UsualMS), sentBy + milliseconds(lease.LongestMS)}
	}
	return nil
}
