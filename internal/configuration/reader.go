// Package configuration keeps an entry host's copy of the configuration up to
// date from the platform's log and from its peers, and publishes changes.
//
// In each failure domain one host, the poller, reads the log frequently; the
// others fetch what it has read and poll the log rarely. Hosts that are
// snapshotters regularly append a snapshot of the configuration to the log,
// because the log drops old records.
//
// If the log drops records that a host hasn't read and that no snapshot covers,
// the host has a gap. If no reachable peer has the records either, a host bridges
// the gap with a snapshot of its own state. Histories that were bridged differently
// diverge; all hosts switch to the one that takes precedence according to
// contract.Configuration.TakesPrecedenceOver.
package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

const (
	// pollInterval is the polling interval of the failure domain's poller.
	pollInterval = 200 * time.Millisecond
	// fallbackInterval is the interval at which every host polls the log, in
	// case no host considers itself the poller.
	fallbackInterval = 2 * time.Second
	// readTimeout bounds one read of the log. It is long because a slow log
	// still makes progress; peers are asked in the meantime.
	readTimeout = 5 * time.Second
	// appendTimeout bounds one append to the log.
	appendTimeout = 5 * time.Second
	// peerTimeout bounds one call to a peer.
	peerTimeout = time.Second
	// askInterval is the minimum time between rounds of asking peers.
	askInterval = time.Second
	// refusedBackoff is the time for which no more states are fetched from
	// peers after one of lower precedence was refused: only reading the log can
	// resolve the difference.
	refusedBackoff = 10 * time.Second
	// pageRecords is the maximum number of records in one read.
	pageRecords = 256
)

// ErrGap means that the log has dropped records that this host doesn't have and
// that no snapshot in the log covers.
var ErrGap = errors.New("the log has dropped records that no snapshot covers")

// Delta is what a peer has beyond an offset: records, or the whole state if the
// peer no longer keeps the records, or neither.
type Delta struct {
	// Records are consecutive and start directly after the offset.
	Records []platform.Record
	// State is an encoded contract.Snapshot, nil if Records are sufficient.
	State []byte
	// Applied is the peer's applied offset, 0 while it has no state.
	Applied uint64
}

// Peer is another entry host.
type Peer interface {
	Name() string
	// ConfigSince returns up to limit records after an offset, or the state; a
	// limit of 0 asks for Applied only. An error says nothing about the peer's
	// state.
	ConfigSince(ctx context.Context, offset uint64, limit int) (Delta, error)
}

// Options are the settings and dependencies of a Reader.
type Options struct {
	// Self is the name of this entry host.
	Self string
	// Log is the platform's log, to which configuration changes are published.
	Log platform.Log
	// Peers returns the other entry hosts to ask; nil for none.
	Peers func() []Peer
	// IsPoller reports whether this host polls the log every 200 ms on behalf
	// of its failure domain; nil for never.
	IsPoller func() bool
	// IsSnapshotter reports whether this host regularly appends snapshots to
	// the log; nil for never.
	IsSnapshotter func() bool
	// Retention is the time for which the log keeps records. If it is 0
	// (unknown), only the number of records determines when a snapshot is due.
	Retention time.Duration
	Logger    logr.Logger
	// OnApplied is called with each new applied offset, in ascending order. It
	// must not block.
	OnApplied func(offset uint64)
}

// Reader keeps the configuration of one entry host up to date. Its methods
// are safe for concurrent use.
type Reader struct {
	opts Options
	// active is the configuration that this host uses. It is nil until the log
	// was read to its end or, with the log unavailable, all peers were asked
	// and the best state was fetched, because an earlier state may be outdated.
	active atomic.Pointer[contract.Configuration]
	// pollSemaphore admits one poll at a time.
	pollSemaphore chan struct{}
	// fetchSignal wakes fetchLoop.
	fetchSignal chan struct{}
	// installMu serializes installs and the calls of OnApplied.
	installMu sync.Mutex

	mu sync.Mutex
	// latest is the newest state that was read or fetched. It equals active, or
	// is a state that hasn't reached the end of the log while active is nil.
	latest *contract.Configuration
	// records holds the newest log records for Since.
	records recordBuffer
	// changed is closed when active changes, and then replaced.
	changed chan struct{}
	// peersAhead holds the offsets of peers that reported a higher offset than
	// this host's, by name.
	peersAhead map[string]uint64
	startedAt  time.Time
	// lastPoll is the later of the last start of a Sync by pollLoop and the end of
	// the last successful Sync.
	lastPoll time.Time
	// refusedAt is when a peer's state of lower precedence was last refused.
	refusedAt time.Time
	// failingSince is the time of the first failed Sync since the last
	// successful one, zero if there is none. A Sync whose caller gave up doesn't
	// count.
	failingSince time.Time
	gap          gap
	snapshots    snapshotStatus
	// encoded caches the encoded state for Since.
	encoded encodedState
}

// New returns a Reader without a state. Run starts it.
func New(opts Options) *Reader {
	if opts.Peers == nil {
		opts.Peers = func() []Peer { return nil }
	}
	never := func() bool { return false }
	if opts.IsPoller == nil {
		opts.IsPoller = never
	}
	if opts.IsSnapshotter == nil {
		opts.IsSnapshotter = never
	}
	return &Reader{
		opts:          opts,
		pollSemaphore: make(chan struct{}, 1),
		fetchSignal:   make(chan struct{}, 1),
		latest:        contract.EmptyConfiguration(),
		changed:       make(chan struct{}),
		peersAhead:    map[string]uint64{},
	}
}

// Run reads the log and asks the peers until ctx ends, and then returns nil.
func (r *Reader) Run(ctx context.Context) error {
	r.mu.Lock()
	r.startedAt = time.Now()
	r.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error { r.pollLoop(ctx); return nil })
	g.Go(func() error { r.fetchLoop(ctx); return nil })
	g.Go(func() error { r.snapshotLoop(ctx); return nil })
	return g.Wait()
}

// Current returns the active configuration. It returns false until the log was
// read to its end or, with the log unavailable, all peers were asked and the
// best state was fetched.
func (r *Reader) Current() (*contract.Configuration, bool) {
	c := r.active.Load()
	return c, c != nil
}

// AppliedOffset returns the offset of the active configuration, 0 if there is
// none. It never decreases.
func (r *Reader) AppliedOffset() uint64 {
	if c := r.active.Load(); c != nil {
		return c.Offset()
	}
	return 0
}

// LogFailingFor returns the time since the first failed Sync after the last
// successful one, 0 if the last one succeeded.
func (r *Reader) LogFailingFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingSince.IsZero() {
		return 0
	}
	return time.Since(r.failingSince)
}

// Changed returns a channel that is closed when the active configuration next
// changes. Call it before Current to miss no change.
func (r *Reader) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// ObservePeerOffset notes a peer's applied offset, as reported in its
// heartbeat. If the peer is ahead, the missing records are fetched.
func (r *Reader) ObservePeerOffset(peer string, offset uint64) {
	if offset <= r.AppliedOffset() {
		return
	}
	r.mu.Lock()
	r.peersAhead[peer] = offset
	r.mu.Unlock()
	r.signalFetch()
}

// signalFetch wakes fetchLoop without blocking.
func (r *Reader) signalFetch() {
	select {
	case r.fetchSignal <- struct{}{}:
	default:
	}
}

func (r *Reader) latestState() *contract.Configuration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// install makes next the latest state if its offset is higher, or equal and
// next takes precedence. A state of lower precedence is accepted only to cross
// a gap: if records after the latest state are missing from the log and gapEnd
// is the offset of the first record that the log still has. records are the
// records that led to next, empty if it was received as a whole state. activate
// makes the latest state active if no state is active yet.
func (r *Reader) install(next *contract.Configuration, records []platform.Record, gapEnd uint64, activate bool) {
	r.installMu.Lock()
	defer r.installMu.Unlock()
	r.mu.Lock()
	old := r.latest
	ahead := next.Offset() > old.Offset() && (gapEnd > old.Offset()+1 || !old.TakesPrecedenceOver(next))
	if ahead || next.Offset() == old.Offset() && next.TakesPrecedenceOver(old) {
		if next.TakesPrecedenceOver(old) || old.TakesPrecedenceOver(next) {
			r.records = recordBuffer{}
		}
		r.records.add(next.Offset(), records)
		r.latest = next
	}
	next = r.latest
	before := r.active.Load()
	update := (activate || before != nil) && before != next
	if update {
		r.active.Store(next)
		close(r.changed)
		r.changed = make(chan struct{})
	}
	r.mu.Unlock()
	if update && r.opts.OnApplied != nil && (before == nil || before.Offset() < next.Offset()) {
		r.opts.OnApplied(next.Offset())
	}
}

// apply applies consecutive records to cur and returns the records that it
// applied. It stops after a snapshot that takes precedence and then returns the
// snapshot's state, which may be behind cur. Such a snapshot is skipped if the
// log no longer has the records after its state; first is the offset of the
// first record that the log has.
func (r *Reader) apply(cur *contract.Configuration, records []platform.Record, first uint64) (*contract.Configuration, []platform.Record) {
	var applied []platform.Record
	for _, rec := range records {
		next, result := cur.Apply(rec.Offset, rec.Data)
		switch result.Status {
		case contract.StatusOutOfOrder:
			// The record is a duplicate, or records before it are missing. In
			// the latter case the caller notices that nothing was applied.
			continue
		case contract.StatusUnreadable:
			r.opts.Logger.Info("ignoring an unreadable log record", "offset", rec.Offset)
		case contract.StatusSnapshot, contract.StatusSuperseded:
			r.observeSnapshot(rec, result.LowerPrecedence)
		}
		if result.Base != nil && result.Base.Offset()+1 >= first {
			r.opts.Logger.Info("a snapshot of a divergent history takes precedence", "offset", rec.Offset)
			return result.Base, nil
		}
		cur = next
		applied = append(applied, rec)
	}
	return cur, applied
}
