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

// leasePoll is the interval at which an operation looks again for the keeper
// lease. The lease is renewed every 270 ms by the heartbeats.
const leasePoll = 10 * time.Millisecond

// retryNotReady is the time to retry that a draining host gives. Another host
// is the keeper as soon as this one has left.
const retryNotReady = time.Second

// Keeper keeps the records of requests. It is safe for concurrent use.
type Keeper struct {
	o      Options
	self   name
	seed   maphash.Seed
	shards [shardCount]shard
	bodies bodies
	budget *api.RetryBudget
	// horizon is the Unix time in milliseconds since when the records are
	// complete.
	horizon  atomic.Int64
	draining atomic.Bool
	ctx      context.Context
	stop     context.CancelFunc
	kick     chan struct{}
	// resolving bounds the questions to workers that are under way.
	resolving chan struct{}

	peersMu sync.Mutex
	peers   map[string]*Batcher

	// active counts the goroutines of runs and resolutions.
	active active
	// admitMu orders the start of runs before the wait of Drain.
	admitMu sync.RWMutex
	counts  counters
}

// New returns a Keeper whose records are complete from now on. Run must be
// called for expiry and for the resolution of unknown outcomes.
func New(o Options) (*Keeper, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	k := &Keeper{o: o, self: intern(o.Self), seed: maphash.MakeSeed(),
		budget: api.NewRetryBudget(o.RetryRatio, o.RetryBurst),
		kick:   make(chan struct{}, 1), resolving: make(chan struct{}, maxResolving),
		peers: make(map[string]*Batcher)}
	k.ctx, k.stop = context.WithCancel(context.Background())
	for i := range k.shards {
		k.shards[i].entries = make(map[string]*entry)
		k.shards[i].due = make(map[string]int64)
	}
	k.bodies.limit = o.MaxBodyBytes
	k.active.idle.L = &k.active.mu
	k.SetHorizon(o.Now())
	return k, nil
}

// Submit runs a request, joins its running attempt or returns its kept
// outcome. It waits until the outcome is known, the request's deadline or the
// end of ctx; after the latter two the request goes on and the outcome is
// Unknown with ReasonPending. With Detach it returns that at once.
//
// not_keeper in the reply means that this host cannot say whether the request
// has run: the sender has to ask the keeper in its own view.
func (k *Keeper) Submit(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	k.counts.submits.Add(1)
	id, err := api.ParseID(req.Id)
	if err != nil {
		return reply(req.Id, api.NotRun, api.ReasonInvalid, "")
	}
	at, err := k.awaitLease(ctx, req.Id)
	if err != nil {
		return notKeeperReply(req.Id)
	}
	r, out := k.admit(id, req, at, false)
	if out != nil {
		return out
	}
	if req.Detach {
		return k.pending(req.Id)
	}
	return k.wait(ctx, req.Id, time.Duration(req.DeadlineMs)*time.Millisecond, r)
}

// lease reports whether this host may act as the keeper of id, and returns a
// Unix time in milliseconds at which it might. The time is read before the
// lease is checked: a change that is stamped with it counts as made under the
// lease even if the host is paused right after the check.
func (k *Keeper) lease(id string) (int64, bool) {
	at := k.o.Now().UnixMilli()
	return at, k.o.Membership.CheckKeeper(id) == nil
}

// awaitLease waits until this host may act as the keeper of id and returns the
// time of lease. It returns ErrNotKeeper at once if another host is the keeper
// in the own view.
func (k *Keeper) awaitLease(ctx context.Context, id string) (int64, error) {
	if at, ok := k.lease(id); ok {
		return at, nil
	}
	t := time.NewTicker(leasePoll)
	defer t.Stop()
	end := time.NewTimer(k.o.LeaseWait)
	defer end.Stop()
	for k.o.Membership.Keeper(id) == k.o.Self {
		if at, ok := k.lease(id); ok {
			return at, nil
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

// wait waits for the outcome of r. A limit of 0 is none.
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
		return k.pending(id)
	}
}

// cloneReply gives each caller that joined a run a reply of its own. They
// share the body, which nobody changes.
func cloneReply(r *rpc.SubmitReply) *rpc.SubmitReply {
	return &rpc.SubmitReply{Id: r.Id, Outcome: r.Outcome, Reason: r.Reason, RetryAfterMs: r.RetryAfterMs,
		Body: r.Body, BodyLength: r.BodyLength, Checksum: r.Checksum, BodyDropped: r.BodyDropped,
		Failed: r.Failed, Worker: r.Worker, State: r.State, NotKeeper: r.NotKeeper, Detail: r.Detail}
}

// pending returns the present state of a record. Since it makes no claim that
// the request was not run, it needs no lease.
func (k *Keeper) pending(id string) *rpc.SubmitReply {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[id]; e != nil && e.state.open() {
		return e.reply()
	}
	return reply(id, api.Unknown, api.ReasonPending, "")
}

// admit decides about a submit: it returns the run to wait for or the reply.
// at is the time of lease. An adopted request is known not to have run.
func (k *Keeper) admit(id api.ID, req *rpc.SubmitRequest, at int64, adopted bool) (*run, *rpc.SubmitReply) {
	content := k.contentHash(req)
	k.admitMu.RLock()
	defer k.admitMu.RUnlock()
	s := k.shard(req.Id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[req.Id]
	if !adopted && (e == nil || e.run == nil && e.state == StateNotRun) && k.late(e, req) {
		return nil, k.refuseLate(e, req.Id)
	}
	if e == nil {
		if out := k.refuseNew(id, req); out != nil && !adopted {
			return nil, out
		}
		e = &entry{id: req.Id, team: intern(req.Team), service: intern(req.Service), idempotent: req.Idempotent,
			keeper: k.self, holder: noName, worker: noName, reason: noName, content: content}
		s.entries[e.id] = e
		k.counts.records.Add(1)
		if !adopted && k.mayHaveRun(id, k.o.Now()) {
			e.doubt(id, at)
		}
		return k.startRun(e, req, e.attempt+1, at), nil
	}
	// A cancellation that came before the request has no team.
	if e.team != noName && !e.sameContent(req, content) {
		return nil, reply(req.Id, api.NotRun, api.ReasonInvalid, "")
	}
	k.counts.duplicates.Add(1)
	switch {
	case e.run != nil:
		return e.run, nil
	case e.state == StateAnswered:
		return nil, e.reply()
	case e.state == StateNotRun:
		if !k.trusted(e, id) {
			if !e.idempotent || k.draining.Load() {
				return nil, k.beforeHorizon(req.Id)
			}
			e.doubt(id, at)
		}
		switch {
		case e.reason.Value() == string(api.ReasonCancelled), e.maybeRan && k.draining.Load():
			return nil, e.reply()
		case k.draining.Load():
			return nil, k.notReady(req.Id)
		}
	case e.state == StateUnknown && e.idempotent:
		// Nothing tells whether it ran, but it may run again.
		if k.draining.Load() || !k.budget.Retry() {
			return nil, e.reply()
		}
		if e.maybeRan = true; !k.trusted(e, id) {
			e.doubt(id, at)
		}
	default:
		return k.startResolve(s, e), nil
	}
	e.content = content
	return k.startRun(e, req, e.attempt+1, at), nil
}

// late reports whether a copy of a request comes too late to be run: no caller
// waits for it any longer, or its entry host received it before the request was
// refused for good. Such a copy was held up by a link or a paused host. Its
// caller may have sent another copy since and been told that the request has not
// run, which must stay true. The shard's lock is held; e may be nil.
func (k *Keeper) late(e *entry, req *rpc.SubmitRequest) bool {
	if req.ReceivedBy == "" || req.Detach {
		return false
	}
	slack := k.o.MaxHostClockSkew.Milliseconds()
	if req.ReceivedBy == k.o.Self {
		slack = 0
	}
	if k.o.Now().UnixMilli() > req.ExpiresUnixMs+slack {
		return true
	}
	if e == nil || routerRetries(e.reason.Value()) {
		return false
	}
	if e.keeper != k.self {
		slack = k.o.MaxHostClockSkew.Milliseconds()
	}
	return req.ReceivedUnixMs < e.updated+slack
}

// routerRetries reports whether an entry host submits the same copy of a request
// again after a refusal for this reason, so that no caller was told it for good.
func routerRetries(reason string) bool {
	return reason == string(api.ReasonNotReady) || reason == string(api.ReasonWorkerFailed)
}

// refuseLate refuses a late copy without a claim about others.
func (k *Keeper) refuseLate(e *entry, id string) *rpc.SubmitReply {
	k.counts.late.Add(1)
	if e != nil {
		return e.reply()
	}
	return reply(id, api.Unknown, api.ReasonNoReply, "")
}

// refuseNew checks a request that has no record. The shard's lock is held.
func (k *Keeper) refuseNew(id api.ID, req *rpc.SubmitRequest) *rpc.SubmitReply {
	now := k.o.Now()
	if id.Created.After(now.Add(k.o.MaxClockSkew)) {
		// Its record would expire before its age forbids a second run.
		return reply(req.Id, api.NotRun, api.ReasonInvalid, "")
	}
	full := k.counts.records.Load() >= int64(k.o.MaxRecords)
	switch {
	case (!req.Idempotent || full || k.draining.Load()) && k.mayHaveRun(id, now):
		return k.beforeHorizon(req.Id)
	case k.draining.Load():
		return k.notReady(req.Id)
	case full:
		out := reply(req.Id, api.NotRun, api.ReasonQueueFull, "")
		out.RetryAfterMs = uint32(retryNotReady.Milliseconds())
		return out
	}
	return nil
}

// mayHaveRun reports whether a request without a record may have run before
// the records began or may have had a record that expired.
func (k *Keeper) mayHaveRun(id api.ID, now time.Time) bool {
	return id.Created.UnixMilli() < k.horizon.Load()+k.o.MaxClockSkew.Milliseconds() ||
		now.Sub(id.Created) > k.o.MaxRequestAge
}

// trusted reports whether a record tells all that happened to its request. A
// record that is older than the horizon does not: another keeper may have
// acted since. The shard's lock is held.
func (k *Keeper) trusted(e *entry, id api.ID) bool {
	h := k.horizon.Load()
	return e.updated >= h || id.Created.UnixMilli() >= h+k.o.MaxClockSkew.Milliseconds()
}

func (k *Keeper) beforeHorizon(id string) *rpc.SubmitReply {
	k.counts.beforeHorizon.Add(1)
	return reply(id, api.Unknown, api.ReasonBeforeHorizon, "")
}

func (k *Keeper) notReady(id string) *rpc.SubmitReply {
	out := reply(id, api.NotRun, api.ReasonNotReady, "")
	out.RetryAfterMs = uint32(retryNotReady.Milliseconds())
	return out
}

// Resolve returns the outcome of a request, after asking again if it is not
// known. Without a record and without doubt about earlier runs, the outcome is
// Unknown with ReasonPending and StateAbsent, since a submit may still be on
// its way; Cancel makes that certain.
func (k *Keeper) Resolve(ctx context.Context, id string) *rpc.SubmitReply {
	parsed, err := api.ParseID(id)
	if err != nil {
		return reply(id, api.NotRun, api.ReasonInvalid, "")
	}
	if _, err := k.awaitLease(ctx, id); err != nil {
		return notKeeperReply(id)
	}
	r, out := k.lookup(parsed, id)
	if out != nil {
		return out
	}
	return k.wait(ctx, id, k.o.ResolveTimeout, r)
}

func (k *Keeper) lookup(parsed api.ID, id string) (*run, *rpc.SubmitReply) {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	switch {
	case e == nil:
		if k.mayHaveRun(parsed, k.o.Now()) {
			return nil, k.beforeHorizon(id)
		}
		return nil, reply(id, api.Unknown, api.ReasonPending, StateAbsent)
	case e.run != nil && !e.run.resolving:
		return nil, e.reply()
	case e.run != nil:
		return e.run, nil
	case e.state == StateNotRun && !k.trusted(e, parsed):
		return nil, k.beforeHorizon(id)
	case e.state == StateAnswered || e.state == StateNotRun:
		return nil, e.reply()
	}
	return k.startResolve(s, e), nil
}
