// Package pool schedules the jobs of one shard of a service on its workers. A Pool is
// the scheduler of one shard, not the group of workers that cell.Service and
// cell.Queue.Service name. It lives for one term of its host as the shard's
// scheduler. The schedulers of earlier terms of the shard, on this host or on
// others, are its predecessors. State is stored before it takes effect: a job
// before it is acknowledged, a placement before the start request is sent, the
// end of a run before it is acknowledged to the worker.
package pool

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/logging"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

const (
	// minPassInterval is the minimum time between two scheduling passes. Placements
	// are stored every commitInterval, so more passes would hardly start work sooner.
	minPassInterval = 20 * time.Millisecond
	// passRestFactor is the minimum pause after a pass, as a multiple of the
	// duration of the pass. It leaves most of the processor to replies and
	// lease renewals under overload.
	passRestFactor = 2
	// tickInterval is how often due occurrences and expired leases are checked.
	tickInterval = 100 * time.Millisecond
	// loadTimeout bounds one attempt to read the registry and the jobs when
	// the term begins. An attempt that is cut off begins anew; a silent store ends
	// it after store.ReadSilence.
	loadTimeout = 10 * time.Second
	// loadRetryDelay is the pause after a failed attempt.
	loadRetryDelay = 100 * time.Millisecond
	// maxConfirmationAgeForNotFound is how old the last confirmation of the
	// term may be for a reply that a job does not exist.
	maxConfirmationAgeForNotFound = 1500 * time.Millisecond
	// purgeInterval is how often ended jobs past their retention are removed.
	purgeInterval = 5 * time.Second
)

// Errors returned by the methods of Pool.
var (
	// ErrNotScheduler means that this host does not, not yet or no longer
	// schedule the service. The call had no effect.
	ErrNotScheduler = errors.New("this host is not the scheduler of the service")
	// ErrStoreUnavailable means that an append to the store has been in
	// progress, retries included, for longer than stallThreshold. The call had
	// no effect.
	ErrStoreUnavailable = errors.New("the store does not answer")
	// ErrExceedsQuota means that a task or gang of the job needs more than the whole
	// quota of the job's team. The call had no effect.
	ErrExceedsQuota = errors.New("a task or gang of the job is larger than the quota of its team")
	// ErrSubmitPending means that an earlier call may have stored the job or may
	// still store it, and that the store is unavailable as for
	// ErrStoreUnavailable.
	ErrSubmitPending = errors.New("an earlier submission of the job may be pending and the store does not answer")
)

// Options configures a Pool.
type Options struct {
	// Shard is the part of a service that is scheduled.
	Shard shard.Shard
	// Host is the name of this entry host.
	Host  string
	Store store.Store
	// Topic is the compacted topic of the shard's jobs.
	Topic string
	// MaxRecordBytes and MaxAppendBytes are the store's limits for a record and for the
	// records of one append; 0 means 256 KiB and 2 MiB.
	MaxRecordBytes, MaxAppendBytes int
	// WorkersTopic is the topic of the worker registry.
	WorkersTopic string
	// DecodeWorker decodes a record of the worker registry.
	DecodeWorker func(id string, value []byte) (*cell.WorkerEntry, error)
	// Connect returns the client of a worker.
	Connect func(id, address string) Client
	// RequestApprovals asks the policy service through an entry host. expected is the
	// expected duration of the call. It returns how long the tickets are valid,
	// 0 if the service did not say, and a wrapped ErrPolicyCallBusy if the host
	// cannot make the call now.
	RequestApprovals func(ctx context.Context, host, step string, workers []string, expected time.Duration) ([]cell.Approval, time.Duration, error)
	// Hosts returns the entry hosts that can be asked.
	Hosts func() []string
	// Shards calls the other shards of the service; it may be nil if there are none.
	Shards Shards
	// Teams returns the teams of the configuration in force by name; it may be nil.
	Teams func() map[string]cell.Team
	// Lenders calls the shards of all services about quotas; it may be nil if no team
	// has a quota.
	Lenders Lenders
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// RemoteFactor is how many times as long a task runs outside its preferred rack,
	// or a gang on several racks. With 0 or 1, no task waits for a rack.
	RemoteFactor float64
	// SpeculativeCopies enables copies of slow runs in steps that allow them.
	SpeculativeCopies bool
	// Count increments a metric by 1, and Add by n; both may be nil.
	Count func(name string)
	Add   func(name string, n int64)
	// Observe adds a duration to a histogram; it may be nil.
	Observe func(name string, d time.Duration)
	// Event adds an event to the host's timeline; it may be nil.
	Event func(timeline.Event)
	Log   logr.Logger
}

// Client is the exported name of the interface through which a Pool calls one
// worker. Its methods return these errors: a *cell.RejectedError means that the
// request was not carried out, httpcall.ErrNotSent that it was not sent. After
// any other error the outcome is unknown.
type Client = client

// Pool is the scheduler of one shard of a service.
type Pool struct {
	opts Options
	term *lead.Term
	log  logr.Logger
	// taskLog is for lines about single tasks, and summaryLog for those about jobs that
	// have ended.
	taskLog      logr.Logger
	summaryLog   logr.Logger
	journal      *journal
	ctx          context.Context
	passRequests chan struct{}

	mu sync.Mutex
	// predecessorLeases tells when leases from predecessors have expired at workers that do
	// not reply.
	predecessorLeases leaseEnds
	// settledProcesses holds node.settledProcess as it is stored, by worker ID, and goneSince
	// when this scheduler noticed that such a worker is not in nodes.
	settledProcesses map[string]int64
	goneSince        map[string]time.Time
	// unstoredSettled holds settled runs whose records wait for other records, the first of
	// them since unstoredSince.
	unstoredSettled []*run
	unstoredSince   time.Time
	// resumingNodes holds the workers that are taken out of the record of silent workers by
	// the next request to the store.
	resumingNodes []*node
	// silentStoredAt is when the record of silent workers was last written.
	silentStoredAt time.Time
	loaded         bool
	jobs           map[string]*Job
	// openJobs holds the jobs that have not ended.
	openJobs map[string]*Job
	nodes    map[string]*node
	// removed holds workers that were removed from nodes not long ago.
	removed []*node
	// presumedEnds holds the presumed ends of workers' processes by worker ID.
	presumedEnds map[string]*presumedEnd
	// unansweredStarts holds the start requests without a reply that workers may still
	// execute, by worker ID.
	unansweredStarts map[string][]unansweredStart
	advisors         map[string]*advisor
	advisorHosts     advisorHosts
	// longCalls counts the long calls to the policy service in flight, by queue.
	longCalls      map[string]int
	approvalShares map[string]float64
	// passes, passTime and stopsForRoom sum up the scheduling passes and the runs
	// stopped for more urgent work since the last log line about the load.
	passes       int
	passTime     time.Duration
	stopsForRoom int
	// lastPass is what the last pass did not start.
	lastPass passLog
	// idle tells since when less than half of the capacity is in use.
	idle idleTime
	// queueRounds tells since when all waiting steps of a queue have been tried once more,
	// by queue.
	queueRounds map[string]time.Time
	quotas      teamQuotas
	// slowdowns holds how long runs take relative to their estimates, by queue.
	slowdowns map[string]*slowdown
	// rates holds the token buckets of the teams' jobs.
	rates map[string]*rate.Limiter
	// shares are the shares of the teams in the last pass, nil without teams.
	shares *shareTable
	// teamQueues holds measurements of the jobs of teams, for refusals.
	teamQueues map[teamQueueKey]*teamQueueLoad
	copies     copyState
	// rackDemands holds the demand for racks, nil without a RemoteFactor.
	rackDemands map[string]*rackDemand
}

// New returns a scheduler for a term.
func New(opts Options, term *lead.Term) *Pool {
	log := opts.Log.WithValues("shard", opts.Shard.String(), "epoch", term.Epoch)
	return &Pool{
		opts: opts, term: term, log: log, taskLog: log.WithName(logging.TaskLogger), summaryLog: log.WithName(logging.SummaryLogger),
		journal:      newJournal(opts.Store, opts.Topic, opts.MaxAppendBytes, term, opts.Log.WithValues("shard", opts.Shard.String())),
		passRequests: make(chan struct{}, 1),
		jobs:         make(map[string]*Job), openJobs: make(map[string]*Job), nodes: make(map[string]*node), presumedEnds: make(map[string]*presumedEnd), unansweredStarts: make(map[string][]unansweredStart), settledProcesses: make(map[string]int64), goneSince: make(map[string]time.Time),
		advisors: make(map[string]*advisor), longCalls: make(map[string]int), queueRounds: make(map[string]time.Time), lastPass: newPassLog(), approvalShares: make(map[string]float64), slowdowns: make(map[string]*slowdown),
		quotas: newTeamQuotas(opts.Shard.String()),
		rates:  make(map[string]*rate.Limiter), teamQueues: make(map[teamQueueKey]*teamQueueLoad),
		copies: copyState{budget: minCopyBudget},
	}
}

// Run schedules until ctx, the context of the term, is cancelled.
func (p *Pool) Run(ctx context.Context) error {
	p.ctx = ctx
	begin := cell.BootTime()
	fenced := make(chan struct{})
	var fencedAt time.Duration
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		first := encodeRecord(keyTerm, termRecord{Host: p.opts.Host, Epoch: p.term.Epoch})
		p.journal.run(ctx, first, func() {
			fencedAt = cell.BootTime()
			close(fenced)
		})
		return nil
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case <-fenced:
		}
		from, ok := p.loadState(ctx, fencedAt)
		if !ok {
			return nil
		}
		p.log.Info("scheduling", "jobs", len(p.jobs), "workers", len(p.nodes), "took_ms", (cell.BootTime() - begin).Milliseconds(), "previous_bound_ms", max(p.lastPredecessorAction()-p.term.ClaimedAt, 0).Milliseconds())
		g.Go(func() error { p.followRegistry(ctx, from); return nil })
		p.scheduleLoop(ctx)
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

// loadState retries reading the registry and the jobs until it succeeds or ctx
// is cancelled. Predecessors are fenced, so they cannot change the jobs any
// more. fencedAt is the reading of the boot clock at which they were.
func (p *Pool) loadState(ctx context.Context, fencedAt time.Duration) (registryFrom int64, ok bool) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		entries, from, err := store.ReadAllCompacted(callCtx, p.opts.Store, p.opts.WorkersTopic)
		var records []store.Record
		if err == nil {
			records, _, err = store.ReadAllCompacted(callCtx, p.opts.Store, p.opts.Topic)
		}
		cancel()
		if err != nil {
			p.log.Info("reading the registry and the jobs failed", "error", err.Error())
			select {
			case <-ctx.Done():
			case <-time.After(loadRetryDelay):
			}
			continue
		}
		p.mu.Lock()
		// One critical section: a worker's list must not be applied before the
		// runs that it refers to are known.
		p.predecessorLeases = p.endOfPredecessorLeases()
		p.applyRegistry(entries)
		p.restore(records, fencedAt)
		p.loaded = true
		for _, j := range p.openJobs {
			if j.spread {
				p.handOutPortions(j)
			}
			p.endIfFinished(j)
			if j.cancelled && j.spec != nil {
				p.stopRuns(j, "cancelled")
			}
		}
		p.mu.Unlock()
		return from, true
	}
	return 0, false
}

// requestPass triggers a scheduling pass.
func (p *Pool) requestPass() {
	select {
	case p.passRequests <- struct{}{}:
	default:
	}
}

// event adds an event about a job, and its task and worker if given, to the
// timeline.
func (p *Pool) event(kind, job, task, worker, detail string) {
	if p.opts.Event != nil {
		p.opts.Event(timeline.Event{Kind: kind, Request: job, Task: task, Worker: worker, Epoch: uint64(p.term.Epoch), Detail: detail})
	}
}

// scheduleLoop makes scheduling passes until ctx is cancelled.
func (p *Pool) scheduleLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastPurge, lastLoadLog := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.passRequests:
		case <-ticker.C:
			p.mu.Lock()
			p.sweepNodes()
			p.moveTasks(time.Now())
			if time.Since(lastLoadLog) > loadLogInterval {
				lastLoadLog = time.Now()
				p.logLoad(lastLoadLog)
			}
			if time.Since(lastPurge) > purgeInterval {
				lastPurge = time.Now()
				p.purgeEndedJobs(lastPurge)
			}
			p.mu.Unlock()
		}
		if p.journal.stalled() || !p.mayStart() {
			// Placements could not be stored, or startRun would release them
			// without a start.
			select {
			case <-ctx.Done():
			case <-time.After(minPassInterval):
			}
			continue
		}
		p.mu.Lock()
		begin := time.Now()
		p.schedule(begin)
		p.startCopies(begin)
		p.passes++
		p.passTime += time.Since(begin)
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(minPassInterval, passRestFactor*time.Since(begin))):
		}
	}
}

// purgeEndedJobs removes jobs that ended longer ago than the retention time.
func (p *Pool) purgeEndedJobs(now time.Time) {
	var records []store.Record
	for id, j := range p.jobs {
		if j.state.Terminal() && now.Sub(j.endedAt) > p.opts.Retention {
			delete(p.jobs, id)
			// A cancellation may have been stored after the job's end.
			records = append(records, store.Record{Key: keyEndPrefix + id}, store.Record{Key: keyCancelPrefix + id})
		}
	}
	if len(records) > 0 {
		p.storeRecords(records, nil)
	}
}

// storeRecords adds records to the journal. onDone, which may be nil, is called
// with p.mu held. The caller must hold p.mu, so that the records are in the
// order of the decisions. The term ends if the store rejects them.
func (p *Pool) storeRecords(records []store.Record, onDone func(error)) {
	if len(records) > 0 {
		p.storeSettledRuns()
	}
	request := appendRequest{records: records}
	if onDone != nil {
		request.onDone = p.locked(onDone)
	}
	p.journal.add(request)
}

func (p *Pool) storeTask(t *task) { p.storeRecords([]store.Record{t.record()}, nil) }
