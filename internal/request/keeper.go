package request

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// leasePollInterval is the interval at which an operation checks for the keeper
// lease. Heartbeats renew the lease every 270 ms.
const leasePollInterval = 10 * time.Millisecond

// notReadyRetryAfter is the retry delay in the replies of a host that is
// draining or whose record store is full. Another host becomes the keeper as
// soon as a draining host has left.
const notReadyRetryAfter = time.Second

// Keeper keeps the records of requests. It is safe for concurrent use.
type Keeper struct {
	opts      Options
	self      internedString
	seed      maphash.Seed
	shards    [shardCount]shard
	bodyCache bodyQueue
	budget    *api.RetryBudget
	// horizon is the Unix time in milliseconds since which the records are
	// complete.
	horizon  atomic.Int64
	draining atomic.Bool
	// ctx is the parent context of all runs. stop cancels it when Run ends.
	ctx  context.Context
	stop context.CancelFunc
	// wakeSweep makes Run sweep without waiting for the next interval.
	wakeSweep chan struct{}
	// resolveSlots bounds the number of concurrent queries to workers.
	resolveSlots chan struct{}

	peersMu sync.Mutex
	peers   map[string]*Batcher // by name of the peer

	// goroutines counts the goroutines of attempts and resolutions.
	goroutines goroutineCounter
	// admitMu ensures that Drain waits for every run that passed the check for
	// draining.
	admitMu sync.RWMutex
	counts  counters
}

// New returns a Keeper whose records are complete from the present time on. Run
// must be called to expire records and to resolve unknown outcomes.
func New(o Options) (*Keeper, error) {
	if err := o.setDefaultsAndValidate(); err != nil {
		return nil, err
	}
	k := &Keeper{opts: o, self: intern(o.Self), seed: maphash.MakeSeed(),
		budget:    api.NewRetryBudget(o.RetryRatio, o.RetryBurst),
		wakeSweep: make(chan struct{}, 1), resolveSlots: make(chan struct{}, maxConcurrentResolutions),
		peers: make(map[string]*Batcher)}
	k.ctx, k.stop = context.WithCancel(context.Background())
	for i := range k.shards {
		k.shards[i].entries = make(map[string]*entry)
		k.shards[i].due = make(map[string]int64)
	}
	k.bodyCache.limit = o.MaxBodyBytes
	k.goroutines.idle.L = &k.goroutines.mu
	k.SetHorizon(o.Now())
	return k, nil
}

// Submit runs a request, joins its current attempt or returns its stored
// outcome. It waits until the outcome is known, the request's deadline passes
// or ctx ends. In the latter two cases the request continues and the outcome is
// Unknown with ReasonPending; with Detach, Submit returns that at once.
//
// NotKeeper in the reply means that this host cannot tell whether the request
// has run. The sender must ask the host that it considers to be the keeper.
func (k *Keeper) Submit(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	k.counts.submits.Add(1)
	id, err := api.ParseID(req.Id)
	if err != nil {
		return newReply(req.Id, api.NotRun, api.ReasonInvalid, "")
	}
	leasedAtMs, err := k.awaitLease(ctx, req.Id)
	if err != nil {
		return notKeeperReply(req.Id)
	}
	r, out := k.admit(id, req, leasedAtMs, false)
	if out != nil {
		return out
	}
	if req.Detach {
		return k.pendingReply(req.Id)
	}
	return k.wait(ctx, req.Id, time.Duration(req.DeadlineMs)*time.Millisecond, r)
}

// checkLease reports whether this host may act as the keeper of id. It also
// returns the current Unix time in milliseconds, read before the check: a
// change stamped with that time counts as made under the lease even if the host
// is paused right after the check.
func (k *Keeper) checkLease(id string) (int64, bool) {
	leasedAtMs := k.opts.Now().UnixMilli()
	return leasedAtMs, k.opts.Membership.CheckKeeper(id) == nil
}

// awaitLease waits until this host may act as the keeper of id and returns the
// time that checkLease read. It returns ErrNotKeeper after LeaseWait or the end
// of ctx, and at once if this host considers another host to be the keeper.
func (k *Keeper) awaitLease(ctx context.Context, id string) (int64, error) {
	if leasedAtMs, ok := k.checkLease(id); ok {
		return leasedAtMs, nil
	}
	t := time.NewTicker(leasePollInterval)
	defer t.Stop()
	end := time.NewTimer(k.opts.LeaseWait)
	defer end.Stop()
	for k.opts.Membership.Keeper(id) == k.opts.Self {
		if leasedAtMs, ok := k.checkLease(id); ok {
			return leasedAtMs, nil
		}
		select {
		case <-t.C:
		case <-end.C:
			return 0, ErrNotKeeper
		case <-ctx.Done():
			return 0, ErrNotKeeper
		}
	}
	return 0, ErrNotKeeper
}

// wait waits for the outcome of r for at most limit, or without a limit if it
// is 0.
func (k *Keeper) wait(ctx context.Context, id string, limit time.Duration, r *run) *rpc.SubmitReply {
	var expired <-chan time.Time
	if limit > 0 {
		t := time.NewTimer(limit)
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-r.done:
		return cloneReply(r.reply)
	case <-expired:
	case <-ctx.Done():
	}
	select {
	case <-r.done:
		return cloneReply(r.reply)
	default:
		return k.pendingReply(id)
	}
}

// cloneReply returns a separate reply for each caller that joined a run. The
// copies share the body, which is read-only.
func cloneReply(r *rpc.SubmitReply) *rpc.SubmitReply {
	return &rpc.SubmitReply{Id: r.Id, Outcome: r.Outcome, Reason: r.Reason, RetryAfterMs: r.RetryAfterMs,
		Body: r.Body, BodyLength: r.BodyLength, Checksum: r.Checksum, BodyDropped: r.BodyDropped,
		Failed: r.Failed, Worker: r.Worker, State: r.State, NotKeeper: r.NotKeeper, Detail: r.Detail}
}

// pendingReply returns the state of an open record, or Unknown with
// ReasonPending. It needs no lease, because it never states that the request
// was not run.
func (k *Keeper) pendingReply(id string) *rpc.SubmitReply {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[id]; e != nil && e.state.open() {
		return e.reply()
	}
	return newReply(id, api.Unknown, api.ReasonPending, "")
}

// admit decides how to handle a submit. It returns either the run to wait for
// or the reply. leasedAtMs is the time that awaitLease returned. adopted is set
// for a request from AdoptDetached.
func (k *Keeper) admit(id api.ID, req *rpc.SubmitRequest, leasedAtMs int64, adopted bool) (*run, *rpc.SubmitReply) {
	hash := k.contentHash(req)
	k.admitMu.RLock()
	defer k.admitMu.RUnlock()
	s := k.shard(req.Id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[req.Id]
	if !adopted && (e == nil || e.run == nil && e.state == StateNotRun) && k.isLateCopy(e, req) {
		return nil, k.lateCopyReply(e, req.Id)
	}
	if e == nil {
		if out := k.checkNewRequest(id, req, adopted); out != nil {
			return nil, out
		}
		e = &entry{id: req.Id, team: intern(req.Team), service: intern(req.Service), idempotent: req.Idempotent,
			keeper: k.self, holder: internedEmpty, worker: internedEmpty, reason: internedEmpty, contentHash: hash}
		s.entries[e.id] = e
		k.counts.records.Add(1)
		if k.mayHaveRun(id, k.opts.Now(), adopted) {
			e.markMaybeRan(id, leasedAtMs)
		}
		return k.startRun(e, req, e.attempt+1, leasedAtMs), nil
	}
	// A record that a cancellation created before the submit has no team.
	if e.team != internedEmpty && !e.sameContent(req, hash) {
		return nil, newReply(req.Id, api.NotRun, api.ReasonInvalid, "")
	}
	k.counts.duplicates.Add(1)
	switch {
	case e.run != nil:
		return e.run, nil
	case e.state == StateAnswered:
		return nil, e.reply()
	case e.state == StateNotRun:
		if !k.recordComplete(e, id) {
			if !e.idempotent || k.draining.Load() {
				return nil, k.beforeHorizonReply(req.Id)
			}
			e.markMaybeRan(id, leasedAtMs)
		}
		switch {
		case e.reason.Value() == string(api.ReasonCancelled), e.maybeRan && k.draining.Load():
			return nil, e.reply()
		case k.draining.Load():
			return nil, k.notReadyReply(req.Id)
		}
	case e.state == StateUnknown && e.idempotent:
		// Whether it ran is unknown, but an idempotent request may run again.
		if k.draining.Load() || !k.budget.Retry() {
			return nil, e.reply()
		}
		if e.maybeRan = true; !k.recordComplete(e, id) {
			e.markMaybeRan(id, leasedAtMs)
		}
	default:
		return k.startResolve(s, e), nil
	}
	e.contentHash = hash
	return k.startRun(e, req, e.attempt+1, leasedAtMs), nil
}

// isLateCopy reports whether a copy of a request arrives too late to be run:
// either no caller waits for it any longer, or its entry host received it
// before the request was refused and the refusal was final. A slow link or a
// paused host delays such a copy. The caller may have submitted another copy
// since and been told that the request has not run, which must remain true. The
// shard's lock must be held; e may be nil.
func (k *Keeper) isLateCopy(e *entry, req *rpc.SubmitRequest) bool {
	if req.ReceivedBy == "" || req.Detach {
		return false
	}
	maxSkewMs := k.opts.MaxHostClockSkew.Milliseconds()
	if req.ReceivedBy == k.opts.Self {
		maxSkewMs = 0
	}
	if k.opts.Now().UnixMilli() > req.ExpiresUnixMs+maxSkewMs {
		return true
	}
	if e == nil || receivingHostRetries(e.reason.Value()) {
		return false
	}
	if e.keeper != k.self {
		maxSkewMs = k.opts.MaxHostClockSkew.Milliseconds()
	}
	return req.ReceivedUnixMs < e.updatedMs+maxSkewMs
}

// receivingHostRetries reports whether the entry host that received a request
// from the caller submits the same copy again after a refusal for this reason.
// No caller has been told of such a refusal as final.
func receivingHostRetries(reason string) bool {
	return reason == string(api.ReasonNotReady) || reason == string(api.ReasonWorkerFailed)
}

// lateCopyReply refuses a late copy without stating what happened to the other
// copies.
func (k *Keeper) lateCopyReply(e *entry, id string) *rpc.SubmitReply {
	k.counts.lateCopies.Add(1)
	if e != nil {
		return e.reply()
	}
	return newReply(id, api.Unknown, api.ReasonNoReply, "")
}

// checkNewRequest returns the reply that refuses a request without a record, or
// nil if it may run. An adopted request was accepted by an earlier keeper, so only
// the possibility that it has run is a reason to refuse it. The shard's lock must
// be held.
func (k *Keeper) checkNewRequest(id api.ID, req *rpc.SubmitRequest, adopted bool) *rpc.SubmitReply {
	now := k.opts.Now()
	if adopted {
		if !req.Idempotent && k.mayHaveRun(id, now, adopted) {
			return k.beforeHorizonReply(req.Id)
		}
		return nil
	}
	if id.Created.After(now.Add(k.opts.MaxClockSkew)) {
		// MaxRequestAge + MaxClockSkew may be as long as Retention, so the record of
		// a request created later than that could expire while its ID is still
		// accepted as new, and the request could run twice.
		return newReply(req.Id, api.NotRun, api.ReasonInvalid, "")
	}
	full := k.counts.records.Load() >= int64(k.opts.MaxRecords)
	switch {
	case (!req.Idempotent || full || k.draining.Load()) && k.mayHaveRun(id, now, adopted):
		return k.beforeHorizonReply(req.Id)
	case k.draining.Load():
		return k.notReadyReply(req.Id)
	case full:
		out := newReply(req.Id, api.NotRun, api.ReasonQueueFull, "")
		out.RetryAfterMs = uint32(notReadyRetryAfter.Milliseconds())
		return out
	}
	return nil
}

// mayHaveRun reports whether a request without a record may have run before the
// horizon or may have had a record that has expired. An adopted request has not had
// one, since a stored request does not outlive its record.
func (k *Keeper) mayHaveRun(id api.ID, now time.Time, adopted bool) bool {
	return id.Created.UnixMilli() < k.horizon.Load()+k.opts.MaxClockSkew.Milliseconds() ||
		!adopted && now.Sub(id.Created) > k.opts.MaxRequestAge
}

// recordComplete reports whether a record covers everything that happened to
// its request. A record last updated before the horizon does not, because
// another keeper may have acted since, unless the request was created after the
// horizon. The shard's lock must be held.
func (k *Keeper) recordComplete(e *entry, id api.ID) bool {
	horizonMs := k.horizon.Load()
	return e.updatedMs >= horizonMs || id.Created.UnixMilli() >= horizonMs+k.opts.MaxClockSkew.Milliseconds()
}

func (k *Keeper) beforeHorizonReply(id string) *rpc.SubmitReply {
	k.counts.beforeHorizon.Add(1)
	return newReply(id, api.Unknown, api.ReasonBeforeHorizon, "")
}

func (k *Keeper) notReadyReply(id string) *rpc.SubmitReply {
	out := newReply(id, api.NotRun, api.ReasonNotReady, "")
	out.RetryAfterMs = uint32(notReadyRetryAfter.Milliseconds())
	return out
}

// Resolve returns the outcome of a request and queries the workers if it is
// unknown. If there is no record and the request cannot have run earlier, it
// returns Unknown with ReasonPending and StateAbsent, since a submit may still
// arrive; Cancel rules that out.
func (k *Keeper) Resolve(ctx context.Context, id string) *rpc.SubmitReply {
	parsed, err := api.ParseID(id)
	if err != nil {
		return newReply(id, api.NotRun, api.ReasonInvalid, "")
	}
	if _, err := k.awaitLease(ctx, id); err != nil {
		return notKeeperReply(id)
	}
	r, out := k.lookup(parsed, id)
	if out != nil {
		return out
	}
	return k.wait(ctx, id, k.opts.ResolveTimeout, r)
}

// lookup returns the resolution that Resolve must wait for, which it starts if
// necessary, or the reply to Resolve.
func (k *Keeper) lookup(parsed api.ID, id string) (*run, *rpc.SubmitReply) {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	switch {
	case e == nil:
		if k.mayHaveRun(parsed, k.opts.Now(), false) {
			return nil, k.beforeHorizonReply(id)
		}
		return nil, newReply(id, api.Unknown, api.ReasonPending, StateAbsent)
	case e.run != nil && !e.run.resolving:
		return nil, e.reply()
	case e.run != nil:
		return e.run, nil
	case e.state == StateNotRun && !k.recordComplete(e, parsed):
		return nil, k.beforeHorizonReply(id)
	case e.state == StateAnswered || e.state == StateNotRun:
		return nil, e.reply()
	}
	return k.startResolve(s, e), nil
}
