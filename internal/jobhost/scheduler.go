package jobhost

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/pool"
	"github.com/laburnumpass/laburnumpass/platform"
)

const (
	// joinInterval is the time between two calls to the scheduler that tell it
	// of this host; they also notice early that its process has ended.
	joinInterval = 500 * time.Millisecond
	// joinTimeout bounds such a call.
	joinTimeout = 400 * time.Millisecond
	// refusedJoins is how many connections in a row must be refused before the
	// scheduler's process counts as ended.
	refusedJoins = 2
	// silentJoins is how many calls in a row must be without an answer before the
	// scheduler counts as silent.
	silentJoins = 2
	// storeFresh is how recently the store must have answered this host for the
	// scheduler to be the one that is cut off from it, and for how long it must not
	// have answered the scheduler: a read of the configuration returns at least
	// every 0.7 s. While many answers are lost, some still arrive in that time.
	storeFresh = 900 * time.Millisecond
	// storeAway is after how long without an answer of the store a host asks the
	// others who schedules a service.
	storeAway = 1300 * time.Millisecond
	// leadHandicap is how much later a host claims a service for each one that it
	// schedules already, so that the loss of a host takes few services.
	leadHandicap = 200 * time.Millisecond
	// ageHandicap is how much later a host claims that was not started lately:
	// while hosts are stopped in turn, the next one to be stopped is not a new one.
	ageHandicap = 60 * time.Millisecond
	// weakHandicap is how much later a host claims by the part of the strongest
	// host's processor that it lacks. Scheduling 250 workers takes a third of a
	// core, which the weakest hosts do not have, and hosts notice the loss of a
	// scheduler up to 0.5 s apart.
	weakHandicap = 900 * time.Millisecond
	// firstHandicap takes the place of weakHandicap while no other host is known,
	// as at the first election: a whole core is assumed then. It is shorter because
	// hosts that are all equally weak wait it in vain.
	firstHandicap = 300 * time.Millisecond
	// newFor is how long after its start a host counts as new.
	newFor = 20 * time.Second
	// refusedPause is the pause after a refused connection.
	refusedPause = 100 * time.Millisecond

	topicLeadPrefix = "lead."
	topicJobsPrefix = "jobs."
)

// scheduler is a service's scheduler as this host sees it: the election, and
// the pool while this host is the scheduler itself.
type scheduler struct {
	service string
	elector *lead.Elector
	// pool is guarded by the host's mutex.
	pool *pool.Pool
	// reached is when the scheduler last answered; guarded by the host's mutex.
	reached time.Time
	// doubt asks for a call to the scheduler at once.
	doubt chan struct{}
}

// follow starts a scheduler for each service of the configuration.
func (h *Host) follow(ctx context.Context) {
	for ctx.Err() == nil {
		current, changed := h.config.get()
		if current != nil {
			for name := range current.Services {
				h.ensureScheduler(ctx, name)
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (h *Host) ensureScheduler(ctx context.Context, service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.schedulers[service] != nil || ctx.Err() != nil {
		return
	}
	s := &scheduler{service: service, doubt: make(chan struct{}, 1)}
	s.elector = lead.New(lead.Options{
		Store: h.store, Topic: topicLeadPrefix + service, Self: h.self, Log: h.log.WithValues("service", service),
		ClaimDelay: h.handicap, ClaimLock: h.claims,
		OnResigned: func(epoch int64) { h.tellResigned(service, epoch) },
		RunTerm:    func(ctx context.Context, term *lead.Term, previous *lead.Holder) { h.lead(ctx, s, term, previous) },
	})
	if h.draining.Load() {
		s.elector.Retire()
	}
	h.schedulers[service] = s
	h.background.Go(func() error { s.elector.Run(ctx); return nil })
	h.background.Go(func() error { h.join(ctx, s); return nil })
}

// lead schedules a service until ctx ends.
func (h *Host) lead(ctx context.Context, s *scheduler, term *lead.Term, previous *lead.Holder) {
	inherited := lead.MaxConfirmationAge
	if previous == nil || previous.Host == h.settings.Host || previous.Resigned {
		// The scheduler before does nothing any more.
		inherited = 0
	}
	p := pool.New(pool.Options{
		Service: s.service, Host: h.settings.Host, Store: h.store,
		Topic: topicJobsPrefix + s.service, WorkersTopic: platform.TopicWorkers, DecodeWorker: platform.DecodeWorker,
		Connect:  func(id, address string) pool.Client { return platform.NewWorkerClient(id, address) },
		Advise:   h.adviseThrough,
		Hosts:    func() []string { return append(h.members.live(time.Now()), h.settings.Host) },
		MaxLease: time.Duration(h.settings.MaxLeaseMS) * time.Millisecond, Retention: seconds(h.settings.RetentionSeconds),
		PredecessorRenewalWindow: inherited, Count: h.count, Event: h.event, Log: h.log,
	}, term)
	h.setPool(s, p)
	defer h.setPool(s, nil)
	if err := p.Run(ctx); err != nil {
		h.log.Error(err, "scheduler ended", "service", s.service, "epoch", term.Epoch)
	}
}

// scheduler returns the scheduler of a service, nil if there is none.
func (h *Host) scheduler(service string) *scheduler {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.schedulers[service]
}

// handicap implements lead.Options.ClaimDelay.
func (h *Host) handicap() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	led := time.Duration(0)
	for _, s := range h.schedulers {
		if s.elector.IsLeader() {
			led++
		}
	}
	wait := led * leadHandicap
	if time.Since(h.startedAt) > newFor {
		wait += ageHandicap
	}
	return wait + weakWait(h.settings.processorShare(), h.strongest.share())
}

// weakWait returns how much later a host with a share of a processor core claims
// when the strongest other host has strongest; 0 means that none is known.
func weakWait(own, strongest float64) time.Duration {
	if strongest == 0 {
		return time.Duration(max(1-own, 0) * float64(firstHandicap))
	}
	return time.Duration(max(1-own/strongest, 0) * float64(weakHandicap))
}

// tellResigned tells all other hosts that this one has given a service up.
func (h *Host) tellResigned(service string, epoch int64) {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	var calls errgroup.Group
	for _, host := range h.members.live(time.Now()) {
		calls.Go(func() error {
			_, err := h.peers.client(h.members.address(host)).Resigned(ctx, &jobsrpc.ResignedRequest{Service: service, Epoch: epoch})
			return errors.Wrapf(err, "tell %s", host)
		})
	}
	if err := calls.Wait(); err != nil {
		// It reads the record within half a second.
		h.log.Info("a host was not told of the resignation", "service", service, "error", err.Error())
	}
}

func (h *Host) setPool(s *scheduler, p *pool.Pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.pool = p
}

// poolOf returns the pool of a service that this host schedules, else nil.
func (h *Host) poolOf(service string) *pool.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.schedulers[service]; s != nil {
		return s.pool
	}
	return nil
}

// join tells the scheduler of a service of this host until ctx ends.
func (h *Host) join(ctx context.Context, s *scheduler) {
	refused, silent := 0, 0
	for ctx.Err() == nil {
		holder, changed := s.elector.Holder()
		rest := joinInterval
		if holder != nil && holder.Incarnation != h.self.Incarnation && !holder.Resigned {
			givesUp, err := h.joinOnce(ctx, s, holder)
			switch {
			case err == nil:
				refused, silent = 0, 0
				if givesUp {
					h.log.Info("scheduler is cut off from the store", "service", s.service, "host", holder.Host, "epoch", holder.Epoch)
					s.elector.HolderStopped(holder.Epoch)
				}
			case dialFailed(err):
				s.elector.HolderCallFailed(holder.Epoch)
				refused++
				rest = refusedPause
				if refused >= refusedJoins {
					h.log.Info("scheduler refuses connections", "service", s.service, "host", holder.Host, "epoch", holder.Epoch, "error", err.Error())
					s.elector.HolderStopped(holder.Epoch)
					refused, rest = 0, joinInterval
				}
			default:
				s.elector.HolderCallFailed(holder.Epoch)
				refused = 0
				silent++
				rest = refusedPause
				if silent >= silentJoins {
					s.elector.HolderUnreachable(holder.Epoch)
				}
				h.peers.failed()
			}
			if err != nil && h.store.SinceLastReply() > storeAway {
				h.askNeighbours(ctx, s)
			}
		} else if h.store.SinceLastReply() > storeAway && h.poolOf(s.service) == nil {
			// This host may have scheduled the service until the store did not
			// answer it any more.
			h.askNeighbours(ctx, s)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.doubt:
		case <-time.After(rest):
		}
	}
}

// doubtful asks for a call to the scheduler at once, after another call to it has
// failed.
func (s *scheduler) doubtful() {
	select {
	case s.doubt <- struct{}{}:
	default:
	}
}

func (h *Host) joinOnce(ctx context.Context, s *scheduler, holder *lead.Holder) (givesUp bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply, err := h.peers.client(holder.Address).Join(ctx, &jobsrpc.JoinRequest{
		Service: s.service, Host: h.settings.Host, Address: h.self.Address, ConfigVersion: h.config.version(),
		StoreAgeMs: h.store.SinceLastReply().Milliseconds(), ProcessorShare: h.settings.processorShare(),
	})
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	s.reached = time.Now()
	h.mu.Unlock()
	s.elector.HolderAnswered(holder.Epoch, time.Duration(reply.ConfirmedAgeMs)*time.Millisecond)
	h.strongest.observe(reply.MaxProcessorShare)
	h.neighbours.learn(reply.Members)
	h.neighbours.learn([]*jobsrpc.Member{{Host: holder.Host, Address: holder.Address}})
	h.config.atLeast(ctx, reply.ConfigVersion)
	return reply.GivesUp, nil
}

// dialFailed tells whether no connection could be opened because the peer's
// system refused it, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !op.Timeout()
}

// notRun tells whether a failed call certainly had no effect.
func notRun(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	var coded twirp.Error
	if !errors.As(err, &coded) {
		return false
	}
	switch coded.Code() {
	case twirp.Unavailable, twirp.ResourceExhausted, twirp.NotFound, twirp.InvalidArgument:
		return true
	}
	return false
}

// errNoScheduler means that a service had no scheduler that answered in time.
var errNoScheduler = errors.New("no scheduler has answered")

const (
	// callMargin is the part of a caller's time that is kept for the answer.
	callMargin = 150 * time.Millisecond
	// callRetry is the pause before another try, unless the scheduler changes.
	callRetry = 80 * time.Millisecond
)

// call calls the scheduler of a service until it answers or ctx ends. maybe
// tells whether a failed call may have had an effect.
func (h *Host) call(ctx context.Context, service string, do func(context.Context, jobsrpc.Jobs) error) (maybe bool, err error) {
	s := h.scheduler(service)
	if s == nil {
		return false, errors.Wrapf(errNoScheduler, "service %s", service)
	}
	cause := errNoScheduler
	for {
		holder, changed := s.elector.Holder()
		if holder != nil && !holder.Resigned {
			err := h.callOnce(ctx, holder, do)
			if err == nil {
				return false, nil
			}
			var coded twirp.Error
			if errors.As(err, &coded) && coded.Code() == twirp.Aborted {
				// Waiting longer would not tell more.
				return true, err
			}
			if errors.As(err, &coded) && (coded.Code() == twirp.ResourceExhausted || coded.Code() == twirp.NotFound || coded.Code() == twirp.InvalidArgument) {
				return maybe, err
			}
			if dialFailed(err) {
				s.doubtful()
			}
			maybe = maybe || !notRun(err)
			cause = err
		}
		select {
		case <-ctx.Done():
			return maybe, errors.Wrapf(cause, "service %s", service)
		case <-changed:
		case <-time.After(callRetry):
		}
	}
}

func (h *Host) callOnce(ctx context.Context, holder *lead.Holder, do func(context.Context, jobsrpc.Jobs) error) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	if holder.Incarnation == h.self.Incarnation {
		return do(ctx, peerServer{h})
	}
	err := do(ctx, h.peers.client(holder.Address))
	if err != nil && ctx.Err() != nil {
		h.peers.failed()
	}
	return err
}
