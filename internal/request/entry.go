package request

import (
	"context"
	"hash/maphash"
	"sync"
	"unique"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// reasonFailed is the reason in a replicated answer whose task failed, because
// rpc.Record has no field for the failure.
const reasonFailed = "failed"

// internedString is an interned string. Keepers, holders, teams, services,
// workers and reasons repeat in most records; interning them halves the size of
// a record.
type internedString = unique.Handle[string]

func intern(s string) internedString { return unique.Make(s) }

var internedEmpty = intern("")

// entry is the record of one request. It is guarded by the lock of its shard.
type entry struct {
	id      string
	members []*rpc.Member
	body    []byte
	run     *run
	keeper  internedString
	holder  internedString
	team    internedString
	service internedString
	worker  internedString
	reason  internedString
	// version increases with each change that is sent to the backups: see stamp
	// and, for an answer without a keeper lease, settleAndUnlock.
	version uint64
	// contentHash is a hash of the request's content, or 0 for a record
	// received from a peer.
	contentHash uint64
	// updatedMs is the Unix time in milliseconds of the last change that was
	// made under a valid keeper lease.
	updatedMs    int64
	attempt      uint32
	bodyLength   uint32
	checksum     uint32
	retryAfterMs uint32
	state        State
	idempotent   bool
	failed       bool
	bodyDropped  bool
	// maybeRan is set for an idempotent request of which an earlier attempt may
	// have run. Later attempts must then not report that it was not run.
	maybeRan bool
	// inExpiryQueue is set while the entry is in its shard's expiry queue.
	inExpiryQueue bool
}

// run is the execution of a request, including its automatic retries, or a
// resolution that is in progress.
type run struct {
	done   chan struct{}
	cancel context.CancelFunc
	// reply is the outcome. It is set before done is closed and does not change
	// afterwards.
	reply *rpc.SubmitReply
	// superseded is set when a record from another keeper has replaced the
	// entry.
	superseded bool
	// refusedByBackup is set when a backup refused the latest reservation. The
	// backup may know of another keeper's attempt.
	refusedByBackup bool
	// finished is set when done is closed. The shard's lock guards it.
	finished bool
	// resolving is set for a resolution and clear for an execution.
	resolving bool
}

// complete publishes the outcome. The shard's lock must be held.
func (r *run) complete(reply *rpc.SubmitReply) {
	if !r.finished {
		r.finished, r.reply = true, reply
		close(r.done)
	}
}

// maxAgeBasedAttempt bounds the attempt number that markMaybeRan derives from
// the request's age in milliseconds, so that higher numbers remain available.
const maxAgeBasedAttempt = 1 << 31

// maxReplicatedBody bounds the size in bytes of the body in a replicated
// record.
const maxReplicatedBody = 256 << 10

// shardCount is the number of shards, each with its own lock.
const shardCount = 64

// shard holds a subset of the records.
type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
	// expiryQueue lists closed entries in approximate order of expiry.
	expiryQueue []expiryItem
	// due maps the ID of each record that needs background work to the Unix
	// time in milliseconds at which it is due: unknown or open records without
	// a run, and closed records that a backup has not confirmed.
	due map[string]int64
}

// expiryItem is an entry and the Unix time in milliseconds at which its expiry
// is checked.
type expiryItem struct {
	entry   *entry
	checkMs int64
}

// shardIndex derives the shard from the random tail of the UUID. It is the same
// on all hosts, so that paging through the records can continue after the peer
// has restarted.
func shardIndex(id string) int {
	n := len(id)
	if n < 2 {
		return 0
	}
	return int(hexDigit(id[n-2])<<4|hexDigit(id[n-1])) % shardCount
}

func hexDigit(c byte) byte {
	if c >= 'a' {
		return c - 'a' + 10
	}
	return c & 15
}

func (k *Keeper) shard(id string) *shard { return &k.shards[shardIndex(id)] }

// contentHash hashes the fields that a retry must repeat. The deadline is
// excluded because it shrinks with each retry.
func (k *Keeper) contentHash(r *rpc.SubmitRequest) uint64 {
	var h maphash.Hash
	h.SetSeed(k.seed)
	h.WriteString(r.Team)
	h.WriteByte(0)
	h.WriteString(r.Service)
	h.WriteByte(0)
	maphash.WriteComparable(&h, [6]int64{r.MilliCpu, r.MemoryMib, r.Accelerators, int64(max(r.Members, 1)), int64(r.RunTimeMs), int64(len(r.Body))})
	maphash.WriteComparable(&h, r.Idempotent)
	h.Write(r.Body)
	return max(h.Sum64(), 1)
}

// sameContent reports whether r repeats the request of e. For a record from a
// peer, which has no hash, only the replicated fields are compared.
func (e *entry) sameContent(r *rpc.SubmitRequest, hash uint64) bool {
	if e.contentHash != 0 {
		return e.contentHash == hash
	}
	return e.team.Value() == r.Team && e.service.Value() == r.Service && e.idempotent == r.Idempotent
}

// record returns the entry in the form in which it is replicated. Bodies longer
// than maxReplicatedBody are omitted, so that they do not delay the
// reservations queued behind them; the keeper retains them.
func (e *entry) record() *rpc.Record {
	r := &rpc.Record{
		Id: e.id, Keeper: e.keeper.Value(), State: uint32(e.state), Idempotent: e.idempotent,
		Attempt: e.attempt, Holder: e.holder.Value(), Members: e.members, Reason: e.reason.Value(),
		Body: e.body, BodyLength: e.bodyLength, Checksum: e.checksum, BodyDropped: e.bodyDropped,
		UpdatedUnixMs: e.updatedMs, Team: e.team.Value(), Service: e.service.Value(),
		Version: e.version, RetryAfterMs: e.retryAfterMs, Outcome: string(e.outcome()),
	}
	if len(r.Members) == 0 && e.worker != internedEmpty {
		r.Members = []*rpc.Member{{Worker: e.worker.Value()}}
	}
	if e.failed {
		r.Reason = reasonFailed
	}
	if len(r.Body) > maxReplicatedBody {
		r.Body, r.BodyDropped = nil, true
	}
	return r
}

// setRecord overwrites the entry with a record from a peer.
func (e *entry) setRecord(r *rpc.Record) {
	e.keeper, e.holder = intern(r.Keeper), intern(r.Holder)
	e.team, e.service = intern(r.Team), intern(r.Service)
	e.members, e.worker = r.Members, internedEmpty
	e.version, e.updatedMs, e.attempt = r.Version, r.UpdatedUnixMs, r.Attempt
	e.state, e.idempotent = State(r.State), r.Idempotent
	e.body, e.bodyLength, e.checksum, e.bodyDropped = r.Body, r.BodyLength, r.Checksum, r.BodyDropped
	e.retryAfterMs, e.reason, e.failed = r.RetryAfterMs, intern(r.Reason), false
	e.maybeRan = r.Idempotent && r.Attempt > 1
	if e.state == StateAnswered {
		e.failed, e.reason = r.Reason == reasonFailed, internedEmpty
		if len(r.Members) > 0 {
			e.worker = intern(r.Members[0].Worker)
		}
		e.members = nil
	}
}

func (e *entry) outcome() api.Outcome {
	switch e.state {
	case StateAnswered:
		return api.Answered
	case StateNotRun:
		if !e.maybeRan {
			return api.NotRun
		}
	}
	return api.Unknown
}

// markMaybeRan notes that an idempotent request may have had attempts that are
// missing from the record. Their numbers must not be used again, because a
// worker treats a second start of a task as a duplicate. The next attempt is
// therefore numbered from the age of the request in milliseconds.
func (e *entry) markMaybeRan(id api.ID, nowMs int64) {
	e.maybeRan = true
	e.attempt = max(e.attempt, 1, uint32(min(max(0, nowMs-id.Created.UnixMilli()), maxAgeBasedAttempt)))
}

// reply returns the entry as a reply to a caller.
func (e *entry) reply() *rpc.SubmitReply {
	r := &rpc.SubmitReply{
		Id: e.id, Outcome: string(e.outcome()), Reason: e.reason.Value(), State: e.state.String(),
		RetryAfterMs: e.retryAfterMs, Body: e.body, BodyLength: e.bodyLength, Checksum: e.checksum,
		BodyDropped: e.bodyDropped, Failed: e.failed, Worker: e.worker.Value(),
	}
	switch {
	case e.state.open():
		r.Reason = string(api.ReasonPending)
	case e.state == StateNotRun && e.maybeRan:
		r.Reason, r.State = string(api.ReasonNoReply), StateUnknown.String()
	}
	return r
}

// setOutcome stores an outcome in the entry. It does not change the version,
// the keeper or the time of the update.
func (e *entry) setOutcome(res *Result) {
	e.body, e.bodyLength, e.checksum, e.bodyDropped, e.failed = nil, 0, 0, false, false
	e.reason, e.retryAfterMs = intern(string(res.Reason)), uint32(res.RetryAfter.Milliseconds())
	switch res.Outcome {
	case api.Answered:
		e.state, e.reason = StateAnswered, internedEmpty
		e.body, e.bodyLength, e.checksum, e.failed = res.Body, res.Length, res.Checksum, res.Failed
		worker := res.Worker
		if worker == "" && len(e.members) > 0 {
			worker = e.members[0].Worker
		}
		e.worker, e.members = intern(worker), nil
	case api.NotRun:
		e.state, e.members = StateNotRun, nil
	default:
		e.state = StateUnknown
	}
}

func newReply(id string, outcome api.Outcome, reason api.Reason, state string) *rpc.SubmitReply {
	return &rpc.SubmitReply{Id: id, Outcome: string(outcome), Reason: string(reason), State: state}
}

// notKeeperReply tells the sender to ask the record keeper, because this host
// cannot tell whether the request has run.
func notKeeperReply(id string) *rpc.SubmitReply {
	r := newReply(id, api.Unknown, api.ReasonHomeUnreachable, "")
	r.NotKeeper = true
	return r
}
