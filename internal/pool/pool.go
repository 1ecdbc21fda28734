// Package pool schedules the jobs of one service on its workers. A Pool lives
// for one term of its host as the service's scheduler. What must last is
// stored before it has an effect: a job before it is acknowledged, a placement
// before the start is ordered, an end before the worker may forget it.
package pool

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

const (
	// passInterval is the least time between two passes over the queue.
	passInterval = 8 * time.Millisecond
	// passRest is how many times as long as a pass the pause after it is at least,
	// so that answers and leases get most of the processor under overload.
	passRest = 2
	// tickInterval is how often due times and expired leases are looked for.
	tickInterval = 100 * time.Millisecond
	// loadTimeout bounds one page of the jobs at a change of scheduler.
	loadTimeout = 3 * time.Second
	// loadRetry is the pause after a failed load.
	loadRetry = 100 * time.Millisecond
	// freshTerm is how old the last confirmation may be for an answer that
	// something does not exist.
	freshTerm = 1500 * time.Millisecond
	// forgetInterval is how often ended jobs are looked through.
	forgetInterval = 5 * time.Second
)

// Errors of a Pool's calls.
var (
	// ErrNotScheduler means that this host does not, or not any more or not
	// yet, schedule the service. The call had no effect.
	ErrNotScheduler = errors.New("not the scheduler")
	// ErrStoreUnavailable means that the store does not answer. The call had no effect.
	ErrStoreUnavailable = errors.New("the store does not answer")
	// ErrSubmitPending means that the job of an earlier call may have been stored or be
	// stored later, and that the store does not answer.
	ErrSubmitPending = errors.New("an earlier call waits for the store, which does not answer")
)

// Options configures a Pool.
type Options struct {
	Service string
	// Host is the name of this entry host.
	Host  string
	Store store.Store
	// Topic is the compacted topic of the service's jobs.
	Topic string
	// WorkersTopic is the topic of the registry.
	WorkersTopic string
	// DecodeWorker decodes a record of the registry.
	DecodeWorker func(id string, value []byte) (*cell.WorkerEntry, error)
	// Connect returns the client of a worker.
	Connect func(id, address string) Client
	// Advise asks the policy service through an entry host. It returns how long
	// the tickets are valid, 0 if the service did not say. expected is how long
	// the call should take. It returns ErrAdvisorBusy, wrapped, if the host
	// cannot make it now.
	Advise func(ctx context.Context, host, step string, workers []string, expected time.Duration) ([]cell.Approval, time.Duration, error)
	// Hosts returns the entry hosts that can be asked.
	Hosts func() []string
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// Retention is how long an ended job can be asked for.
	Retention time.Duration
	// PredecessorRenewalWindow is how long earlier schedulers may go on to extend leases.
	PredecessorRenewalWindow time.Duration
	// Count adds 1 to a metric.
	Count func(name string)
	// Event adds an event to the host's time line; it may be nil.
	Event func(timeline.Event)
	Log   logr.Logger
}

// Client reaches one worker. A *cell.RejectedError means that an order was not
// carried out, httpcall.ErrNotSent that it was not sent; after any other error
// the outcome is unknown.
type Client = client

// Pool is the scheduler of one service.
type Pool struct {
	opts    Options
	term    *lead.Term
	log     logr.Logger
	journal *journal
	ctx     context.Context
	wakeUp  chan struct{}
	// inheritedLapse is the boot time by which leases of earlier schedulers at
	// workers that do not reply have expired.
	inheritedLapse time.Duration

	mu     sync.Mutex
	loaded bool
	jobs   map[string]*Job
	// open has the jobs that have not ended.
	open      map[string]*Job
	nodes     map[string]*node
	advisors  map[string]*advisor
	approvals map[string]float64
	// speeds is how long runs take beside their estimates, by queue.
	speeds map[string]*speed
}

// New returns a scheduler for a term.
func New(opts Options, term *lead.Term) *Pool {
	return &Pool{
		opts: opts, term: term, log: opts.Log.WithValues("service", opts.Service, "epoch", term.Epoch),
		journal: newJournal(opts.Store, opts.Topic, term, opts.Log.WithValues("service", opts.Service)),
		wakeUp:  make(chan struct{}, 1),
		jobs:    make(map[string]*Job), open: make(map[string]*Job), nodes: make(map[string]*node),
		advisors: make(map[string]*advisor), approvals: make(map[string]float64), speeds: make(map[string]*speed),
	}
}

// Run schedules until ctx, the term's context, ends.
func (p *Pool) Run(ctx context.Context) error {
	p.ctx = ctx
	begin := cell.BootTime()
	p.inheritedLapse = begin + p.opts.PredecessorRenewalWindow + time.Duration(float64(p.leaseTerm())*(1+clockSlowness)) + lapseSlack
	fenced := make(chan struct{})
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		first := encode(keyTerm, termRecord{Host: p.opts.Host, Epoch: p.term.Epoch})
		p.journal.run(ctx, first, func() { close(fenced) })
		return nil
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case <-fenced:
		}
		from, ok := p.load(ctx)
		if !ok {
			return nil
		}
		p.log.Info("scheduling", "jobs", len(p.jobs), "workers", len(p.nodes), "took_ms", (cell.BootTime() - begin).Milliseconds(), "previous_bound_ms", p.opts.PredecessorRenewalWindow.Milliseconds())
		g.Go(func() error { p.followRegistry(ctx, from); return nil })
		p.loop(ctx)
		return nil
	})
	err := g.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loaded = false
	for _, n := range p.nodes {
		if n.client != nil {
			n.client.Close()
		}
	}
	return err
}

// load reads the registry and the jobs until it succeeds or ctx ends. No other
// scheduler can write any more.
func (p *Pool) load(ctx context.Context) (registryFrom int64, ok bool) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		entries, from, err := store.All(callCtx, p.opts.Store, p.opts.WorkersTopic)
		var records []store.Record
		if err == nil {
			records, _, err = store.All(callCtx, p.opts.Store, p.opts.Topic)
		}
		cancel()
		if err != nil {
			p.log.Info("cannot load the jobs", "error", err.Error())
			select {
			case <-ctx.Done():
			case <-time.After(loadRetry):
			}
			continue
		}
		p.applyRegistry(entries)
		p.mu.Lock()
		p.restore(records)
		p.loaded = true
		for _, j := range p.open {
			p.review(j)
			if j.cancelled && j.spec != nil {
				p.stopAll(j, "cancelled")
			}
		}
		p.mu.Unlock()
		return from, true
	}
	return 0, false
}

// wake asks for a pass over the queue.
func (p *Pool) wake() {
	select {
	case p.wakeUp <- struct{}{}:
	default:
	}
}

// event adds an event about a job, and a task and worker where it has them, to
// the time line.
func (p *Pool) event(kind, job, task, worker, detail string) {
	if p.opts.Event != nil {
		p.opts.Event(timeline.Event{Kind: kind, Request: job, Task: task, Worker: worker, Epoch: uint64(p.term.Epoch), Detail: detail})
	}
}

func (p *Pool) count(name string) {
	if p.opts.Count != nil {
		p.opts.Count(name)
	}
}

// loop makes passes until ctx ends.
func (p *Pool) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	forgotten, logged := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wakeUp:
		case <-ticker.C:
			p.mu.Lock()
			p.sweepNodes()
			p.supervise(time.Now())
			if time.Since(logged) > loadInterval {
				logged = time.Now()
				p.logLoad(logged)
			}
			if time.Since(forgotten) > forgetInterval {
				forgotten = time.Now()
				p.forget(forgotten)
			}
			p.mu.Unlock()
		}
		if p.journal.stalled() || p.term.Age() > lead.Bound {
			// Placements could not be stored.
			select {
			case <-ctx.Done():
			case <-time.After(passInterval):
			}
			continue
		}
		p.mu.Lock()
		begin := time.Now()
		p.schedule(begin)
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(passInterval, passRest*time.Since(begin))):
		}
	}
}

// forget removes jobs that ended longer ago than they can be asked for.
func (p *Pool) forget(now time.Time) {
	var records []store.Record
	for id, j := range p.jobs {
		if j.state.Terminal() && now.Sub(j.endedAt) > p.opts.Retention {
			delete(p.jobs, id)
			// A cancellation may have been stored beside the end.
			records = append(records, store.Record{Key: keyEnd + id}, store.Record{Key: keyCancel + id})
		}
	}
	if len(records) > 0 {
		p.store(records, nil)
	}
}

// store adds records to the journal; then, which may be nil, runs with p.mu
// held. It needs p.mu, so that records are in the order of the decisions.
func (p *Pool) store(records []store.Record, then func(error)) {
	p.journal.add(records, func(err error) {
		if then == nil {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		then(err)
		p.wake()
	})
}

func (p *Pool) storeTask(t *task) { p.store([]store.Record{t.record()}, nil) }

// cutOffAfter is how long an append or a renewal may be without an answer
// before the scheduler asks itself whether it alone is cut off from the store.
// Renewals come every 0.6 s.
const cutOffAfter = 1100 * time.Millisecond

// StoreUnresponsive tells whether the store has not answered this scheduler for a while.
func (p *Pool) StoreUnresponsive() bool {
	return p.journal.stalledFor(stallAfter*3/2) || p.term.Age() > cutOffAfter+stallAfter
}

// ConfirmedAge returns the time since the last renewal of the term.
func (p *Pool) ConfirmedAge() time.Duration { return p.term.Age() }

// Epoch returns the epoch of the term.
func (p *Pool) Epoch() int64 { return p.term.Epoch }

// StepDown ends the term, because another host can schedule better.
func (p *Pool) StepDown(reason string) {
	p.log.Info("gives the service up", "reason", reason, "confirmed_ago", p.term.Age().String())
	p.term.Lost()
}
