package request

import (
	"context"
	"sync/atomic"
	"time"
)

type counters struct {
	records, running, unconfirmedMessages                             atomic.Int64
	submits, duplicates, retries, cancelled                           atomic.Uint64
	refusedRecords, failedReservations, beforeHorizon, damagedAnswers atomic.Uint64
	lateCopies                                                        atomic.Uint64
	resolutions, expired, bodiesDropped                               atomic.Uint64
}

// Stats holds current amounts and counts of events since the Keeper was
// created.
type Stats struct {
	// Records is the number of records, Running the number of requests that are
	// queued or running here, BodyBytes the total size of the stored answer
	// bodies.
	Records, Running, BodyBytes int64
	// UnconfirmedMessages is the number of messages about closed records that
	// are waiting for a backup's confirmation.
	UnconfirmedMessages int64
	// Submits counts calls of Submit, Duplicates those that found a record.
	Submits, Duplicates uint64
	// Retries counts automatic attempts after unknown outcomes, Cancelled the
	// calls of Cancel that closed a request which had not been dispatched.
	Retries, Cancelled uint64
	// RefusedRecords counts records from peers that this host refused,
	// FailedReservations this host's reservations that the backups did not
	// confirm.
	RefusedRecords, FailedReservations uint64
	// BeforeHorizon counts replies stating that the request may have run before
	// the horizon or may have had a record that has expired.
	BeforeHorizon uint64
	// LateCopies counts copies of requests that arrived too late to be run.
	LateCopies uint64
	// DamagedAnswers counts answers that did not match their length or
	// checksum.
	DamagedAnswers uint64
	// Resolutions counts queries to the workers, Expired the records removed
	// after their retention, and BodiesDropped the answer bodies dropped before
	// that.
	Resolutions, Expired, BodiesDropped uint64
	// ReplicationQueue is the length of the longest queue of records for a
	// peer; at most 8,192.
	ReplicationQueue int64
}

// Stats returns the current statistics.
func (k *Keeper) Stats() Stats {
	c := &k.counts
	return Stats{
		Records: c.records.Load(), Running: c.running.Load(), BodyBytes: k.bodyCache.bytes.Load(),
		UnconfirmedMessages: c.unconfirmedMessages.Load(), Submits: c.submits.Load(), Duplicates: c.duplicates.Load(),
		Retries: c.retries.Load(), Cancelled: c.cancelled.Load(), RefusedRecords: c.refusedRecords.Load(),
		FailedReservations: c.failedReservations.Load(), BeforeHorizon: c.beforeHorizon.Load(), DamagedAnswers: c.damagedAnswers.Load(),
		LateCopies: c.lateCopies.Load(), Resolutions: c.resolutions.Load(), Expired: c.expired.Load(), BodiesDropped: c.bodiesDropped.Load(),
		ReplicationQueue: int64(k.longestQueue()),
	}
}

func (k *Keeper) longestQueue() int {
	k.peersMu.Lock()
	defer k.peersMu.Unlock()
	longest := 0
	for _, b := range k.peers {
		longest = max(longest, b.queueLength())
	}
	return longest
}

// Drain refuses new requests as not ready and waits until the running ones have
// ended and the backups have stored their outcomes. Duplicates still receive
// their outcome. If ctx ends first, Drain returns its error.
func (k *Keeper) Drain(ctx context.Context) error {
	// Taking the lock waits for submits that have passed the check and are
	// about to start a run.
	k.admitMu.Lock()
	k.draining.Store(true)
	k.admitMu.Unlock()
	t := time.NewTicker(leasePollInterval)
	defer t.Stop()
	unconfirmed := func() bool { return k.counts.unconfirmedMessages.Load() > 0 }
	// An outcome can move from due to unconfirmed and back between the checks.
	// Checking the unconfirmed count before and after the due records covers
	// both directions.
	for k.counts.running.Load() > 0 || unconfirmed() || k.hasPendingResend() || unconfirmed() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// hasPendingResend reports whether an outcome is due to be sent to a backup
// again.
func (k *Keeper) hasPendingResend() bool {
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		for id := range s.due {
			if e := s.entries[id]; e != nil && (e.state == StateAnswered || e.state == StateNotRun) {
				s.mu.Unlock()
				return true
			}
		}
		s.mu.Unlock()
	}
	return false
}
