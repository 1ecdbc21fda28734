package request

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// replicatePause is the pause before a record is sent again to a peer that did
// not confirm it.
const replicatePause = 20 * time.Millisecond

// replicate stores rec at all backups. A peer that does not confirm is asked
// again until it is no longer a backup. It returns ErrRecordRefused, ErrCancelled or
// ErrNotReplicated.
func (k *Keeper) replicate(ctx context.Context, rec *rpc.Record) error {
	type ack struct {
		peer string
		err  error
	}
	var confirmed []string
	limit, cancel := context.WithTimeout(ctx, k.o.LeaseWait)
	defer cancel()
	for {
		// A host that joins meanwhile is among the backups of the next turn.
		peers := k.o.Membership.Backups()
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
			case <-limit.Done():
				return replicateEnd(ctx)
			}
		}
		if failed && !pause(limit, replicatePause) {
			return replicateEnd(ctx)
		}
	}
}

func replicateEnd(ctx context.Context) error {
	if ctx.Err() != nil {
		return ErrCancelled
	}
	return ErrNotReplicated
}

// pause waits for d and reports whether ctx is still valid.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// replicateLater sends a closed entry to the backups without waiting. What a
// backup does not confirm is sent again by the background task. The shard's
// lock is held.
func (k *Keeper) replicateLater(s *shard, e *entry) {
	peers := k.o.Membership.Backups()
	if len(peers) == 0 {
		return
	}
	rec := e.record()
	for _, p := range peers {
		k.counts.unconfirmed.Add(1)
		if !k.batcher(p).Enqueue(rec, func(err error) { k.confirmed(e, rec.Version, err) }) {
			k.counts.unconfirmed.Add(-1)
			k.dueAt(s, e, resendPause)
		}
	}
}

func (k *Keeper) confirmed(e *entry, version uint64, err error) {
	// The count ends after the entry is due again, so that Drain sees either.
	defer k.counts.unconfirmed.Add(-1)
	// A refusal means that another host is the keeper and has the newer record.
	if err == nil || errors.Is(err, ErrRecordRefused) {
		return
	}
	s := k.shard(e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[e.id] == e && e.version == version && e.run == nil {
		k.dueAt(s, e, resendPause)
	}
}

// HandleReplicate stores a peer's records. It refuses a record if in the own
// view the peer is not its keeper, or if a newer one is stored.
func (k *Keeper) HandleReplicate(req *rpc.ReplicateRequest) *rpc.ReplicateReply {
	out := &rpc.ReplicateReply{}
	for i, rec := range req.Records {
		if rec.Keeper != req.Keeper || !k.apply(rec, req.Keeper) {
			out.Refused = append(out.Refused, uint32(i))
			k.counts.refused.Add(1)
		}
	}
	return out
}

// apply stores a record unless a newer one is stored, and reports whether this
// version is stored now. If from is set, it must be the keeper in the own view.
func (k *Keeper) apply(rec *rpc.Record, from string) bool {
	s := k.shard(rec.Id)
	s.mu.Lock()
	// Under the lock, since this host may become the keeper meanwhile.
	if from != "" && !k.o.Membership.AcceptsKeeper(rec.Id, from) {
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
		// still bring an answer; a queued one must not begin.
		r.superseded = true
		e.run = nil
		if e.state != StateDispatched && !r.resolving {
			r.end(notKeeperReply(e.id))
			r.cancel()
		}
	}
	k.bodies.bytes.Add(-int64(len(e.body)))
	e.set(rec)
	size := k.keepBody(e)
	if !e.state.open() {
		k.expireLater(s, e)
	}
	delete(s.due, e.id)
	s.mu.Unlock()
	k.trimBodies(size)
	return true
}

// Load stores the records that a joining host has fetched from a peer and
// takes over the peer's horizon. It is called for each page; if there are
// several peers, the horizon of the last call counts.
func (k *Keeper) Load(records []*rpc.Record, horizon time.Time) {
	for _, rec := range records {
		k.apply(rec, "")
	}
	k.SetHorizon(horizon)
}

// SetHorizon sets the time since which the records are complete: now on a
// start or rejoin without a live peer.
func (k *Keeper) SetHorizon(t time.Time) { k.horizon.Store(t.UnixMilli()) }

// Horizon returns the time since which the records are complete.
func (k *Keeper) Horizon() time.Time { return time.UnixMilli(k.horizon.Load()) }

// maxPage bounds a page of Fetch.
const maxPage = 4096

// Fetch returns up to limit records after the one with the ID after, in an
// order that is the same on all hosts. A request that is queued for its first
// attempt is left out, since nothing of it has run; one that is queued for a
// later attempt is shown as it was before that.
func (k *Keeper) Fetch(after string, limit int) *rpc.FetchRecordsReply {
	if limit <= 0 || limit > maxPage {
		limit = maxPage
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
