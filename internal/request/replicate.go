package request

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// replicateRetryDelay is the delay before a record is sent again to a peer that
// did not confirm it.
const replicateRetryDelay = 20 * time.Millisecond

// replicate stores rec at all backups. It retries a peer that does not confirm
// until the peer is no longer a backup or LeaseWait has passed. It returns
// ErrRecordRefused, ErrCancelled or ErrNotReplicated.
func (k *Keeper) replicate(ctx context.Context, rec *rpc.Record) error {
	type ack struct {
		peer string
		err  error
	}
	var confirmed []string
	waitCtx, cancel := context.WithTimeout(ctx, k.opts.LeaseWait)
	defer cancel()
	for {
		// The next iteration includes hosts that have joined meanwhile.
		peers := k.opts.Membership.Backups()
		acks := make(chan ack, len(peers))
		waiting := 0
		for _, p := range peers {
			if slices.Contains(confirmed, p) {
				continue
			}
			waiting++
			if !k.batcher(p).Enqueue(rec, func(err error) { acks <- ack{p, err} }) {
				acks <- ack{p, errQueueFull}
			}
		}
		if waiting == 0 {
			return nil
		}
		failed := false
		for range waiting {
			select {
			case a := <-acks:
				switch {
				case a.err == nil:
					confirmed = append(confirmed, a.peer)
				case errors.Is(a.err, ErrRecordRefused):
					return ErrRecordRefused
				default:
					failed = true
				}
			case <-waitCtx.Done():
				return replicateError(ctx)
			}
		}
		if failed && !sleepContext(waitCtx, replicateRetryDelay) {
			return replicateError(ctx)
		}
	}
}

// replicateError returns ErrCancelled if the caller's ctx ended, and
// ErrNotReplicated if the wait timed out.
func replicateError(ctx context.Context) error {
	if ctx.Err() != nil {
		return ErrCancelled
	}
	return ErrNotReplicated
}

// sleepContext waits for d and returns false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// replicateAsync sends a closed entry to the backups without waiting. The
// background task sends it again if a backup does not confirm it. The shard's
// lock must be held.
func (k *Keeper) replicateAsync(s *shard, e *entry) {
	peers := k.opts.Membership.Backups()
	if len(peers) == 0 {
		return
	}
	rec := e.record()
	for _, p := range peers {
		k.counts.unconfirmedMessages.Add(1)
		if !k.batcher(p).Enqueue(rec, func(err error) { k.handleConfirmation(e, rec.Version, err) }) {
			k.counts.unconfirmedMessages.Add(-1)
			k.scheduleDue(s, e, resendDelay)
		}
	}
}

// handleConfirmation handles a backup's result for a closed entry and schedules
// another transmission after a failure.
func (k *Keeper) handleConfirmation(e *entry, version uint64, err error) {
	// The count is decremented after the entry becomes due again, so that Drain
	// observes at least one of the two.
	defer k.counts.unconfirmedMessages.Add(-1)
	// A refusal means that another host is the keeper and has a newer record.
	if err == nil || errors.Is(err, ErrRecordRefused) {
		return
	}
	s := k.shard(e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[e.id] == e && e.version == version && e.run == nil {
		k.scheduleDue(s, e, resendDelay)
	}
}

// HandleReplicate stores records from a peer. It refuses a record if this host
// does not consider the peer to be its keeper, or if a newer version is stored.
func (k *Keeper) HandleReplicate(req *rpc.ReplicateRequest) *rpc.ReplicateReply {
	out := &rpc.ReplicateReply{}
	for i, rec := range req.Records {
		if rec.Keeper != req.Keeper || !k.apply(rec, req.Keeper) {
			out.Refused = append(out.Refused, uint32(i))
			k.counts.refusedRecords.Add(1)
		}
	}
	return out
}

// apply stores a record unless a newer version is stored, and reports whether
// the given version is now stored. If from is not empty, this host must
// consider it to be the keeper.
func (k *Keeper) apply(rec *rpc.Record, from string) bool {
	s := k.shard(rec.Id)
	s.mu.Lock()
	// Checked under the lock because this host may become the keeper meanwhile.
	if from != "" && !k.opts.Membership.AcceptsKeeper(rec.Id, from) {
		s.mu.Unlock()
		return false
	}
	e := s.entries[rec.Id]
	switch {
	case e == nil:
		e = &entry{id: rec.Id}
		s.entries[rec.Id] = e
		k.counts.records.Add(1)
	case rec.Version == e.version && rec.Keeper == e.keeper.Value():
		s.mu.Unlock()
		return true
	case rec.Version <= e.version:
		s.mu.Unlock()
		return false
	}
	if r := e.run; r != nil {
		// Another keeper acted while this host was paused. A dispatched run may
		// still return an answer; a run that is not dispatched must not start.
		r.superseded = true
		e.run = nil
		if e.state != StateDispatched && !r.resolving {
			r.complete(notKeeperReply(e.id))
			r.cancel()
		}
	}
	k.bodyCache.bytes.Add(-int64(len(e.body)))
	e.setRecord(rec)
	overLimit := k.trackBody(e)
	if !e.state.open() {
		k.scheduleExpiry(s, e)
	}
	delete(s.due, e.id)
	s.mu.Unlock()
	k.evictBodies(overLimit)
	return true
}

// Load stores a page of records that a joining host has fetched from a peer and
// adopts the peer's horizon. With several peers, the horizon of the last call
// remains in force.
func (k *Keeper) Load(records []*rpc.Record, horizon time.Time) {
	for _, rec := range records {
		k.apply(rec, "")
	}
	k.SetHorizon(horizon)
}

// SetHorizon sets the time since which the records are complete. A host that
// starts or rejoins without a live peer sets the current time.
func (k *Keeper) SetHorizon(t time.Time) { k.horizon.Store(t.UnixMilli()) }

// Horizon returns the time since which the records are complete.
func (k *Keeper) Horizon() time.Time { return time.UnixMilli(k.horizon.Load()) }

// maxFetchRecords bounds the number of records that Fetch returns.
const maxFetchRecords = 4096

// Fetch returns up to limit records that follow the ID after, in an order that
// is the same on all hosts. It omits a request that is queued for its first
// attempt, of which nothing has run. A request that is queued for a later
// attempt is returned as not run with ReasonNotReady.
func (k *Keeper) Fetch(after string, limit int) *rpc.FetchRecordsReply {
	if limit <= 0 || limit > maxFetchRecords {
		limit = maxFetchRecords
	}
	out := &rpc.FetchRecordsReply{Horizon: k.Horizon().UnixNano()}
	first := 0
	if after != "" {
		first = shardIndex(after)
	}
	size := 0
	for i := first; i < shardCount; i++ {
		s := &k.shards[i]
		s.mu.Lock()
		var ids []string
		for id, e := range s.entries {
			if id > after && (e.state != StateQueued || e.attempt > 1) {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		for _, id := range ids {
			if len(out.Records) == limit || size > maxBatchBytes {
				out.More = true
				s.mu.Unlock()
				return out
			}
			rec := s.entries[id].record()
			if State(rec.State) == StateQueued {
				rec.State, rec.Reason = uint32(StateNotRun), string(api.ReasonNotReady)
			}
			size += len(rec.Body)
			out.Records = append(out.Records, rec)
		}
		s.mu.Unlock()
		after = ""
	}
	return out
}
