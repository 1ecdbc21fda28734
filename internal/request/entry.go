package request

import (
	"context"
	"hash/maphash"
	"sync"
	"unique"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// reasonFailed stands in the reason of a replicated answer whose task failed,
// since rpc.Record has no field for it.
const reasonFailed = "failed"

// name is an interned string: keepers, holders, teams, services, workers and
// reasons repeat in most records, and interning halves the size of one.
type name = unique.Handle[string]

func intern(s string) name { return unique.Make(s) }

var noName = intern("")

// entry is the record of one request. Its shard's lock guards it.
type entry struct {
	id      string
	members []*rpc.Member
	body    []byte
	run     *run
	keeper  name
	holder  name
	team    name
	service name
	worker  name
	reason  name
	// version rises with each change under a keeper lease.
	version uint64
	// content is a hash of the request; 0 if it came from a peer.
	content uint64
	// updated is the Unix time in milliseconds of the last change that was made
	// under a valid keeper lease.
	updated     int64
	attempt     uint32
	length      uint32
	checksum    uint32
	retryAfter  uint32
	state       State
	idempotent  bool
	failed      bool
	bodyDropped bool
	// maybeRan is set for an idempotent request of which an earlier attempt may
	// have run, so that no later attempt may claim that it was not run.
	maybeRan bool
	// expiring is set while the entry is in its shard's expiry queue.
	expiring bool
}

// run is an attempt or a resolution in progress.
type run struct {
	done   chan struct{}
	cancel context.CancelFunc
	// reply is the outcome; it is set before done is closed and not changed
	// afterwards.
	reply *rpc.SubmitReply
	// superseded is set when another keeper's record replaced the entry.
	superseded bool
	// refused is set while the last reservation was refused by a backup, which
	// may know of another keeper's attempt.
	refused bool
	// finished is set when done is closed. The shard's lock guards it.
	finished bool
	// resolving is set for a resolution.
	resolving bool
}

// end publishes the outcome. The shard's lock must be held.
func (r *run) end(reply *rpc.SubmitReply) {
	if !r.finished {
		r.finished, r.reply = true, reply
		close(r.done)
	}
}

// maxAttemptAge bounds the attempt number that doubt gives, in milliseconds,
// so that there are numbers left.
const maxAttemptAge = 1 << 31

// maxReplicatedBody bounds the body in a replicated record, in bytes.
const maxReplicatedBody = 256 << 10

const shardCount = 64

// shard holds a part of the records.
type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
	// expiry lists closed entries in about the order in which they expire.
	expiry []expiring
	// due holds records that the background task has to act on: unknown or
	// open ones without a run, and closed ones that a backup has not confirmed.
	due map[string]int64
}

type expiring struct {
	e  *entry
	at int64
}

// shardIndex uses the random tail of the UUID. It is the same on all hosts, so
// that a page of records can be continued after a restart of the peer.
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

// contentHash covers the fields that a retry must repeat. The deadline, which
// shrinks with each retry, is not among them.
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

// sameContent reports whether r repeats the request of e. A record from a peer
// carries no hash, so that only its replicated fields are compared.
func (e *entry) sameContent(r *rpc.SubmitRequest, content uint64) bool {
	if e.content != 0 {
		return e.content == content
	}
	return e.team.Value() == r.Team && e.service.Value() == r.Service && e.idempotent == r.Idempotent
}

// record returns the entry as it is replicated. A long body stays with the
// keeper, so that it does not delay the reservations behind it.
func (e *entry) record() *rpc.Record {
	r := &rpc.Record{
		Id: e.id, Keeper: e.keeper.Value(), State: uint32(e.state), Idempotent: e.idempotent,
		Attempt: e.attempt, Holder: e.holder.Value(), Members: e.members, Reason: e.reason.Value(),
		Body: e.body, BodyLength: e.length, Checksum: e.checksum, BodyDropped: e.bodyDropped,
		UpdatedUnixMs: e.updated, Team: e.team.Value(), Service: e.service.Value(),
		Version: e.version, RetryAfterMs: e.retryAfter, Outcome: string(e.outcome()),
	}
	if len(r.Members) == 0 && e.worker != noName {
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

// set replaces the entry by a peer's record.
func (e *entry) set(r *rpc.Record) {
	e.keeper, e.holder = intern(r.Keeper), intern(r.Holder)
	e.team, e.service = intern(r.Team), intern(r.Service)
	e.members, e.worker = r.Members, noName
	e.version, e.updated, e.attempt = r.Version, r.UpdatedUnixMs, r.Attempt
	e.state, e.idempotent = State(r.State), r.Idempotent
	e.body, e.length, e.checksum, e.bodyDropped = r.Body, r.BodyLength, r.Checksum, r.BodyDropped
	e.retryAfter, e.reason, e.failed = r.RetryAfterMs, intern(r.Reason), false
	e.maybeRan = r.Idempotent && r.Attempt > 1
	if e.state == StateAnswered {
		e.failed, e.reason = r.Reason == reasonFailed, noName
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

// doubt notes that attempts of an idempotent request may have been made that
// the record does not know. Their numbers must not be used again, since a
// worker takes a second start of a task for a duplicate: the next attempt is
// numbered by the age of the request in milliseconds.
func (e *entry) doubt(id api.ID, now int64) {
	e.maybeRan = true
	e.attempt = max(e.attempt, 1, uint32(min(max(0, now-id.Created.UnixMilli()), maxAttemptAge)))
}

// reply returns the entry as an answer to a caller.
func (e *entry) reply() *rpc.SubmitReply {
	r := &rpc.SubmitReply{
		Id: e.id, Outcome: string(e.outcome()), Reason: e.reason.Value(), State: e.state.String(),
		RetryAfterMs: e.retryAfter, Body: e.body, BodyLength: e.length, Checksum: e.checksum,
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

// close stores an outcome in the entry. It leaves version, keeper and time.
func (e *entry) close(res *Result) {
	e.body, e.length, e.checksum, e.bodyDropped, e.failed = nil, 0, 0, false, false
	e.reason, e.retryAfter = intern(string(res.Reason)), uint32(res.RetryAfter.Milliseconds())
	switch res.Outcome {
	case api.Answered:
		e.state, e.reason = StateAnswered, noName
		e.body, e.length, e.checksum, e.failed = res.Body, res.Length, res.Checksum, res.Failed
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

func reply(id string, outcome api.Outcome, reason api.Reason, state string) *rpc.SubmitReply {
	return &rpc.SubmitReply{Id: id, Outcome: string(outcome), Reason: string(reason), State: state}
}

// notKeeperReply tells the sender to ask the record keeper. This host cannot
// say whether the request has run.
func notKeeperReply(id string) *rpc.SubmitReply {
	r := reply(id, api.Unknown, api.ReasonHomeUnreachable, "")
	r.NotKeeper = true
	return r
}
