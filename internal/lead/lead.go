// Package lead elects the entry host that schedules a service. The election uses
// a topic of the store: its newest record names the holder, the elected leader. A
// record is appended only on the condition that the topic ends at the offset up to
// which its writer has read, so only one of several concurrent candidates
// succeeds. The holder's epoch fences its predecessors in the store and at the
// workers.
package lead

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

const (
	// renewInterval is the time between renewals. Each call to the store has a
	// price, and two renewals per second would cost more than the shorter takeover
	// gap gains.
	renewInterval = 600 * time.Millisecond
	// renewalTimeout is the time without a renewal after which the holder is
	// replaced. It spans three renewal intervals. How many renewals may fail within
	// it depends on the fault:
	//   - The store refuses them at once: two or more, since each is retried after
	//     retryPause.
	//   - They are not appended and get no reply: one. Its call ends after
	//     callTimeout, 0.7 s. The retry follows after a read and retryPause, 0.15 s,
	//     so it is sent 1.45 s after the last renewal at the earliest.
	//   - They are appended and only the replies are lost: any number, since each
	//     counts as a renewal.
	renewalTimeout = 1900 * time.Millisecond
	// suspectedTimeout replaces renewalTimeout when the holder does not reply to
	// calls from other entry hosts either, which HolderUnreachable reports. One
	// renewal may be lost within it if the store refuses it at once; the retry of
	// a renewal without a reply comes too late, see renewalTimeout.
	suspectedTimeout = 1100 * time.Millisecond
	// readWait is the longest time that a read waits for a renewal.
	readWait = 800 * time.Millisecond
	// callTimeout limits a call to the store, which replies in 4 ms, or in 240 ms
	// when it is 60 times slower than usual.
	callTimeout = 700 * time.Millisecond
	// readInterval is the pause after a renewal has been read. The next renewal is
	// due shortly after it.
	readInterval = 500 * time.Millisecond
	// replyValidity is how long after a reply from the holder its renewals need
	// not be read. If every host read each renewal, these reads would be a sixth of
	// all calls to the store. Calls to the holder are 0.5 s apart, so the period
	// spans three of them. A failed call ends it at once, see HolderCallFailed.
	replyValidity = 1500 * time.Millisecond
	// retryPause is the pause after a failed call to the store.
	retryPause = 150 * time.Millisecond
	// outageGrace is the time that the holder has to renew after a store outage
	// before other hosts replace it.
	outageGrace = 1200 * time.Millisecond
	// claimJitter limits the random part of the delay before a claim, which makes
	// concurrent claims rare.
	claimJitter = 60 * time.Millisecond
	// latencyWeight is the factor by which the latency of the store delays a claim.
	// Hosts close to the store are preferred because the holder writes to it before
	// each reply. A round trip of 20 ms from the other region delays a claim by
	// 100 ms.
	latencyWeight = 5
	// MaxConfirmationAge is how long after its last confirmed renewal a holder may
	// still extend leases at workers if its witnesses confirm it. It covers store outages
	// of up to 9 s.
	MaxConfirmationAge = 10 * time.Second

	recordKey = "holder"
)

// Holder is the record of the process that schedules a service.
type Holder struct {
	Host string `json:"host"`
	// Address is the address on which the holder serves other entry hosts.
	Address string `json:"address"`
	// Incarnation distinguishes successive processes on one host.
	Incarnation string `json:"incarnation"`
	Epoch       int64  `json:"epoch"`
	// SinceUnixMS is the time of the claim on the holder's wall clock. It is only
	// shown to operators.
	SinceUnixMS int64 `json:"since_unix_ms,omitempty"`
	// Resigned is set when the holder has resigned; see Elector.
	Resigned bool `json:"resigned,omitempty"`
	// Former are the holders before this one that may have scheduled not long ago, as of
	// the last renewal.
	Former []FormerHolder `json:"former,omitempty"`
	// EarlierBoundMS is how long, in milliseconds, a holder in Former may still extend
	// leases at workers. Versions that do not know Former use it.
	EarlierBoundMS int64 `json:"earlier_bound_ms,omitempty"`
	// LeaseRecordsSince is the first epoch of the series of holders up to this one that
	// all keep records of silent workers; see Term.LeaseRecordsSince.
	LeaseRecordsSince int64 `json:"lease_records_since,omitempty"`
	// ProcessRecordsSince is the first epoch of the series of holders up to this one that
	// all keep records of workers' processes; see Term.ProcessRecordsSince.
	ProcessRecordsSince int64 `json:"process_records_since,omitempty"`
	// TermMS is how long, in milliseconds, the term had lasted when the record was sent.
	TermMS int64 `json:"term_ms,omitempty"`
	// Witnesses are the hosts without whose replies the holder extends no leases for longer
	// than SoleExtensionAge after a confirmed renewal; see WitnessName.
	Witnesses []string `json:"witnesses,omitempty"`
	// WitnessesPending is set while the holder does not know yet which hosts may claim. It
	// extends no leases for longer than that at all then.
	WitnessesPending bool `json:"witnesses_pending,omitempty"`
	// SentBy is a reading of the boot clock by which the holder had sent the record, as far as
	// this process can tell; 0 if it has not read the record. WitnessedAt is when it last
	// told the holder that it knows no later one, 0 if it never has.
	SentBy      time.Duration `json:"-"`
	WitnessedAt time.Duration `json:"-"`
}

// sameMachine reports whether h and other name processes of one machine, which never run
// at the same time. A machine that replaces another one may have its host name, but it has
// another address.
func (h *Holder) sameMachine(other Holder) bool {
	return h.Host == other.Host && h.Address == other.Address
}

// sameTerm reports whether h and other are records of one term in the same state. The
// fields that a renewal updates may differ.
func (h *Holder) sameTerm(other *Holder) bool {
	return h.Epoch == other.Epoch && h.Incarnation == other.Incarnation && h.Resigned == other.Resigned
}

// Options configures an Elector.
type Options struct {
	Store store.Store
	// Topic is the compacted topic that contains the holder record.
	Topic string
	// Self identifies this process as a candidate. Its Epoch is ignored.
	Self Holder
	// StartedAt is the reading of the boot clock at which this process had started, 0 if it
	// is not known.
	StartedAt time.Duration
	Log       logr.Logger
	// RunTerm is called when this process has become the holder; its context is
	// cancelled when the term ends. previous is the holder of the epoch before, nil
	// for the first epoch. Calls never overlap.
	RunTerm func(ctx context.Context, term *Term, previous *Holder)
	// Witnesses returns the other hosts that may claim, by WitnessName, those first that are
	// the most likely to. It may be nil.
	Witnesses func() []string
	// OnResigned is called after this process has resigned. It may be nil.
	OnResigned func(epoch int64)
	// ClaimDelay returns how much later than other hosts this process should claim.
	// It may be nil.
	ClaimDelay func() time.Duration
	// ClaimLock, if not nil, is a channel of capacity 1 that the electors of a
	// process share as a semaphore. An elector holds it during a claim, so that
	// ClaimDelay takes earlier claims into account.
	ClaimLock chan struct{}
}

// Elector follows the holder record of one service and claims the service when
// the holder stops renewing.
//
// A term ends when another process becomes the holder, Term.End is called or
// Options.RunTerm returns. Nothing is written to the store then, and the process
// may claim again. To retire is to claim no more; a holder that retires keeps its
// term. To resign is to retire, end the term and mark the record, so that another
// host can claim without waiting for renewalTimeout.
type Elector struct {
	opts Options

	mu     sync.Mutex
	holder *Holder
	// offset is the end of the topic as far as it has been read.
	offset int64
	// changed is closed and replaced by notifyChange.
	changed chan struct{}
	// retired is set when this process must not claim any more, and resigning when it
	// must end its term too.
	retired, resigning bool
	// holderStopped is set when the holder is known to have stopped, and
	// holderSuspected when it does not reply to this host.
	holderStopped, holderSuspected bool
	// lastRenewal is the time at which the holder's last renewal became known, and
	// lastReply the time of its last reply to this host. After a failure of the
	// store, lastRenewal is moved forward to give the holder time to renew.
	lastRenewal, lastReply time.Time
	// extraPause lengthens replyValidity and renewalTimeout after a reply; see
	// HolderReplied.
	extraPause time.Duration
	// readPause lengthens the pause after a renewal has been read. It is the last
	// extraPause: with many hosts each of them reads more seldom too.
	readPause time.Duration
	alignment termAlignment
	// claimedEpoch is that of the last claim of this process that may be appended, 0 if there
	// is none; witnessedEpoch and witnessedAt are of the last reply of Confirms.
	claimedEpoch, witnessedEpoch int64
	witnessedAt                  time.Duration
	// renewalsSkipped is set when renewals may have been appended that were not
	// read. When they are finally read, they do not show that the holder is alive.
	renewalsSkipped bool
}

// New returns an Elector; Run starts it.
func New(opts Options) *Elector {
	return &Elector{opts: opts, changed: make(chan struct{})}
}

// Holder returns the newest known holder, nil if there is none, and a channel that
// is closed on the next change of the elector's state.
func (e *Elector) Holder() (*Holder, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder, e.changed
}

// IsHolder reports whether this process is the newest known holder and has not
// resigned. It may still do so after its term has ended.
func (e *Elector) IsHolder() bool {
	holder, _ := e.Holder()
	return holder != nil && holder.Incarnation == e.opts.Self.Incarnation && !holder.Resigned
}

// Retire prevents this process from claiming again. If it is the holder, its term
// goes on.
func (e *Elector) Retire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retired = true
	e.notifyChange()
}

// Resign retires this process. If it is the holder, it ends its term and marks its
// record; Options.OnResigned is called after that.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retired, e.resigning = true, true
	e.notifyChange()
}

// notifyChange wakes everything that waits for a change. The caller must hold
// e.mu.
func (e *Elector) notifyChange() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Run follows the holder record, and claims the service when it is vacant, until
// ctx is done.
func (e *Elector) Run(ctx context.Context) {
	if !e.load(ctx) {
		return
	}
	for ctx.Err() == nil {
		if err := e.follow(ctx); err != nil {
			return
		}
		if own, sent, previous := e.claim(ctx); own != nil {
			e.serveTerm(ctx, *own, sent, previous)
		}
	}
}

// load reads the newest record and retries on errors. It returns false if ctx is
// done.
func (e *Elector) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		records, from, err := store.ReadAllCompacted(callCtx, e.opts.Store, e.opts.Topic)
		cancel()
		if err == nil {
			e.apply(records, from)
			return true
		}
		e.opts.Log.Info("cannot read the holder record", "topic", e.opts.Topic, "error", err.Error())
		pause(ctx, retryPause)
	}
	return false
}

// apply updates the state with records that end at offset end. It returns how many
// claims, renewals and resignations they contain that show a holder to be alive.
func (e *Elector) apply(records []store.Record, end int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.offset = max(e.offset, end)
	seen, skipped, readAt := 0, e.renewalsSkipped, cell.BootTime()
	e.renewalsSkipped = false
	for _, r := range records {
		if r.Key != recordKey {
			continue
		}
		var h Holder
		if err := json.Unmarshal(r.Value, &h); err != nil {
			e.opts.Log.Error(err, "cannot decode the holder record", "topic", e.opts.Topic, "offset", r.Offset)
			continue
		}
		if e.holder != nil && h.Epoch < e.holder.Epoch {
			continue // LearnHolder has set a later holder
		}
		h.SentBy = e.alignment.sentBy(&h, readAt)
		if skipped && e.holder != nil && e.holder.sameTerm(&h) {
			e.holder = &h
			continue
		}
		// A renewal shows that a holder that was believed to have stopped is alive.
		seen++
		e.holderStopped, e.holderSuspected, e.lastRenewal = false, false, time.Now()
		changed := e.holder == nil || !e.holder.sameTerm(&h)
		e.holder = &h
		if changed {
			e.opts.Log.Info("holder", "topic", e.opts.Topic, "holder", h.Host, "epoch", h.Epoch, "resigned", h.Resigned, "offset", r.Offset)
			e.notifyChange()
		}
	}
	return seen
}

// waitForChange returns after d, on a change, or when ctx is done.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-changed:
	case <-time.After(d):
	}
}

// vacant reports whether holder has certainly stopped scheduling.
func (e *Elector) vacant(holder *Holder) bool {
	// A holder on this machine is an earlier process, or this process in a term that
	// has ended.
	return holder == nil || holder.Resigned || holder.sameMachine(e.opts.Self)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// read reads and applies the records from offset from on. It waits up to wait for
// a first record; closing changed ends the wait early. It returns what apply returns.
func (e *Elector) read(ctx context.Context, from int64, wait time.Duration, changed <-chan struct{}) (seen int, err error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-stop:
		}
	}()
	records, end, err := e.opts.Store.Read(callCtx, e.opts.Topic, from, wait)
	var truncated *store.TruncatedError
	switch {
	case errors.As(err, &truncated):
		if records, end, err = store.ReadAllCompacted(callCtx, e.opts.Store, e.opts.Topic); err != nil {
			return 0, err
		}
	case err != nil:
		select {
		case <-changed:
			return 0, nil
		default:
			return 0, err
		}
	}
	return e.apply(records, end), nil
}
