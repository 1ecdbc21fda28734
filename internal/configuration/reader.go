// Package configuration keeps an entry host's copy of the configuration up to
// date from the log service and from neighbours, and publishes changes.
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
	// pollInterval is the interval of the failure domain's poller.
	pollInterval = 200 * time.Millisecond
	// fallbackInterval is the interval at which every host polls, in case no
	// host takes itself for the poller.
	fallbackInterval = 2 * time.Second
	// readTimeout bounds one read of the log. It is long because a slow log
	// still makes progress; neighbours are asked meanwhile.
	readTimeout = 5 * time.Second
	// appendTimeout bounds one append to the log.
	appendTimeout = 5 * time.Second
	// neighbourTimeout bounds one call to a neighbour.
	neighbourTimeout = time.Second
	// askInterval is the least time between rounds of asking neighbours.
	askInterval = time.Second
	// refusedInterval is the time for which no more states are fetched after
	// one of lower precedence was refused: only the log can settle that.
	refusedInterval = 10 * time.Second
	// pageRecords is the number of records in one read.
	pageRecords = 256
)

// ErrGap means that the log has dropped records that this host hasn't read
// and that no snapshot covers.
var ErrGap = errors.New("the log has dropped records that no snapshot covers")

// Delta is what a neighbour has beyond an offset: records, or the whole state
// if the neighbour no longer keeps the records, or neither.
type Delta struct {
	// Records are consecutive and begin directly after the offset.
	Records []platform.Record
	// State is an encoded contract.Snapshot, nil if Records are enough.
	State []byte
	// Applied is the neighbour's applied offset, 0 while it has no state.
	Applied uint64
}

// Peer is another entry host.
type Peer interface {
	Name() string
	// ConfigSince returns up to limit records after an offset, or the state; a
	// limit of 0 asks for Applied only. Any error means that nothing is known.
	ConfigSince(ctx context.Context, offset uint64, limit int) (Delta, error)
}

// Options are the settings and surroundings of a Reader.
type Options struct {
	// Self is the name of this entry host.
	Self string
	Log  platform.Log
	// Peers returns the reachable entry hosts; nil for none.
	Peers func() []Peer
	// IsPoller reports whether this host polls the log every 200 ms for its
	// failure domain; nil for no.
	IsPoller func() bool
	// IsSnapshotter reports whether this host appends snapshots; nil for no.
	IsSnapshotter func() bool
	// Retention is the time for which the log keeps records; 0 if unknown,
	// which leaves snapshots to the number of records.
	Retention time.Duration
	Logger    logr.Logger
	// OnApplied is called with each new applied offset, in rising order. It
	// must not block.
	OnApplied func(offset uint64)
}

// Reader keeps the configuration of one entry host up to date. Its methods
// are safe for concurrent use.
type Reader struct {
	opts Options
	// inForce is the state that this host acts on, nil until it isn't a guess.
	inForce atomic.Pointer[contract.Configuration]
	// pollSlot admits one poll at a time.
	pollSlot chan struct{}
	// wake starts a round of fetching from neighbours.
	wake chan struct{}
	// installing orders installs and the calls of OnApplied.
	installing sync.Mutex

	mu sync.Mutex
	// folded is inForce, or a fold that hasn't reached the log's end yet.
	folded  *contract.Configuration
	records retained
	changed chan struct{}
	// ahead holds the offsets of neighbours that are ahead, by name.
	ahead   map[string]uint64
	started time.Time
	// pollTime is the time of the last successful poll, or of the last start
	// of one by pollLoop.
	pollTime time.Time
	// refused is when a neighbour's state was last refused.
	refused time.Time
	// failingSince is the time of the first failed read since the last
	// successful poll, zero if there is none.
	failingSince time.Time
	gap          gap
	snapshots    snapshots
	encoded      encodedState
}

// New returns a Reader without a state. Run starts it.
func New(opts Options) *Reader {
	if opts.Peers == nil {
		opts.Peers = func() []Peer { return nil }
	}
	no := func() bool { return false }
	if opts.IsPoller == nil {
		opts.IsPoller = no
	}
	if opts.IsSnapshotter == nil {
		opts.IsSnapshotter = no
	}
	return &Reader{
		opts:     opts,
		pollSlot: make(chan struct{}, 1),
		wake:     make(chan struct{}, 1),
		folded:   contract.EmptyConfiguration(),
		changed:  make(chan struct{}),
		ahead:    map[string]uint64{},
	}
}

// Run reads the log and the neighbours until ctx ends, and then returns nil.
func (r *Reader) Run(ctx context.Context) error {
	r.mu.Lock()
	r.started = time.Now()
	r.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error { r.pollLoop(ctx); return nil })
	g.Go(func() error { r.fetchLoop(ctx); return nil })
	g.Go(func() error { r.snapshotLoop(ctx); return nil })
	return g.Wait()
}

// Current returns the configuration in force, and false until there is one
// that isn't a guess: the log was read to its end, or, with the log down, the
// neighbours were asked.
func (r *Reader) Current() (*contract.Configuration, bool) {
	c := r.inForce.Load()
	return c, c != nil
}

// AppliedOffset returns the offset of the configuration in force, 0 without one. It
// never falls.
func (r *Reader) AppliedOffset() uint64 {
	if c := r.inForce.Load(); c != nil {
		return c.Offset()
	}
	return 0
}

// LogFailingFor returns the time since the first failed read of the log after the
// last successful one, 0 if the last read succeeded.
func (r *Reader) LogFailingFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingSince.IsZero() {
		return 0
	}
	return time.Since(r.failingSince)
}

// Changed returns a channel that is closed when the configuration in force
// next changes. Call it before Current to miss no change.
func (r *Reader) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// ObservePeerOffset tells the reader a neighbour's applied offset, from its
// heartbeat. If the neighbour is ahead, the missing records are fetched.
func (r *Reader) ObservePeerOffset(peer string, offset uint64) {
	if offset <= r.AppliedOffset() {
		return
	}
	r.mu.Lock()
	r.ahead[peer] = offset
	r.mu.Unlock()
	r.wakeFetch()
}

func (r *Reader) wakeFetch() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Reader) state() *contract.Configuration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.folded
}

// install makes next the folded state if it is ahead, or equally far with
// precedence. A state of lower precedence is taken only if the folded state
// ends before crossing-1, the first record that the log still has being
// crossing. records are those that led to next, empty if it was received whole.
func (r *Reader) install(next *contract.Configuration, records []platform.Record, crossing uint64, ready bool) {
	r.installing.Lock()
	defer r.installing.Unlock()
	r.mu.Lock()
	old := r.folded
	ahead := next.Offset() > old.Offset() && (crossing > old.Offset()+1 || !old.TakesPrecedenceOver(next))
	if ahead || next.Offset() == old.Offset() && next.TakesPrecedenceOver(old) {
		if next.TakesPrecedenceOver(old) || old.TakesPrecedenceOver(next) {
			r.records = retained{}
		}
		r.records.add(next.Offset(), records)
		r.folded = next
	}
	next = r.folded
	before := r.inForce.Load()
	update := (ready || before != nil) && before != next
	if update {
		r.inForce.Store(next)
		close(r.changed)
		r.changed = make(chan struct{})
	}
	r.mu.Unlock()
	if update && r.opts.OnApplied != nil && (before == nil || before.Offset() < next.Offset()) {
		r.opts.OnApplied(next.Offset())
	}
}

// apply folds consecutive records onto cur and returns those that it applied.
// It stops after a snapshot that takes precedence and then returns its state,
// which may be behind cur. Such a snapshot is passed over if the log no longer
// has the records after its state, the first kept one being first.
func (r *Reader) apply(cur *contract.Configuration, records []platform.Record, first uint64) (*contract.Configuration, []platform.Record) {
	var applied []platform.Record
	for _, rec := range records {
		next, result := cur.Apply(rec.Offset, rec.Data)
		switch result.Status {
		case contract.StatusOutOfOrder:
			// The record is repeated, or records before it are missing: then
			// the caller notices that nothing was applied.
			continue
		case contract.StatusUnreadable:
			r.opts.Logger.Info("ignored an unreadable log record", "offset", rec.Offset)
		case contract.StatusSnapshot, contract.StatusSuperseded:
			r.noteSnapshot(rec, result.LowerPrecedence)
		}
		if result.Base != nil && result.Base.Offset()+1 >= first {
			r.opts.Logger.Info("a snapshot of another history takes precedence", "offset", rec.Offset)
			return result.Base, nil
		}
		cur = next
		applied = append(applied, rec)
	}
	return cur, applied
}
