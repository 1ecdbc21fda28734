package request

import (
	"context"
	"sync/atomic"
	"time"
)

type counters struct {
	records, running, unconfirmed                  atomic.Int64
	submits, duplicates, retries, cancelled        atomic.Uint64
	refused, reserveFailed, beforeHorizon, damaged atomic.Uint64
	late                                           atomic.Uint64
	resolutions, expired, bodiesDropped            atomic.Uint64
}

// Stats counts what a Keeper holds and did since its start.
type Stats struct {
	// Records, Running and BodyBytes are present amounts.
	Records, Running, BodyBytes int64
	// UnconfirmedMessages counts messages about closed records that are on their way.
	UnconfirmedMessages int64
	// Submits counts calls of Submit, Duplicates those that found a record.
	Submits, Duplicates uint64
	// Retries counts automatic attempts after unknown outcomes.
	Retries, Cancelled uint64
	// RefusedRecords counts peers' records that were refused here, FailedReservations own
	// reservations that were not confirmed.
	RefusedRecords, FailedReservations uint64
	// BeforeHorizon counts requests that may have run before the records began.
	BeforeHorizon uint64
	// LateCopies counts copies of requests that came too late to be run.
	LateCopies uint64
	// DamagedAnswers counts answers whose length or checksum was wrong.
	DamagedAnswers uint64
	// Resolutions counts questions to workers.
	Resolutions, Expired, BodiesDropped uint64
	// ReplicationQueue is the length of the longest queue of records for a
	// peer, of at most 8,192.
	ReplicationQueue int64
}

// Stats returns the present counts.
func (k *Keeper) Stats() Stats {
	c := &k.counts
	return Stats{
		Records: c.records.Load(), Running: c.running.Load(), BodyBytes: k.bodies.bytes.Load(),
		UnconfirmedMessages: c.unconfirmed.Load(), Submits: c.submits.Load(), Duplicates: c.duplicates.Load(),
		Retries: c.retries.Load(), Cancelled: c.cancelled.Load(), RefusedRecords: c.refused.Load(),
		FailedReservations: c.reserveFailed.Load(), BeforeHorizon: c.beforeHorizon.Load(), DamagedAnswers: c.damaged.Load(),
		LateCopies: c.late.Load(), Resolutions: c.resolutions.Load(), Expired: c.expired.Load(), BodiesDropped: c.bodiesDropped.Load(),
		ReplicationQueue: int64(k.longestQueue()),
	}
}

func (k *Keeper) longestQueue() int {
	k.peersMu.Lock()
	defer k.peersMu.Unlock()
	longest := 0
	for _, b := range k.peers {
		longest = max(longest, b.length())
	}
	return longest
}

// Drain refuses new requests as not ready and waits until the running ones
// have ended and the backups have their outcomes. Duplicates still get their
// outcome. It returns the error of ctx if that ends first.
func (k *Keeper) Drain(ctx context.Context) error {
	// The lock waits for submits that have passed the check and are about to
	// start a run.
	k.admitMu.Lock()
	k.draining.Store(true)
	k.admitMu.Unlock()
	t := time.NewTicker(leasePoll)
	defer t.Stop()
	sending := func() bool { return k.counts.unconfirmed.Load() > 0 }
	// An outcome that is due becomes unconfirmed and back, so that both are
	// looked at twice.
	for k.counts.running.Load() > 0 || sending() || k.resending() || sending() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// resending reports whether an outcome has to be sent to a backup again.
func (k *Keeper) resending() bool {
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
