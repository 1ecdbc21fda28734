package jobhost

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/pool"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/platform"
)

const (
	// joinInterval is the shortest time between Join calls to the scheduler, which may
	// ask for a longer one. They register this host there and detect early that the
	// scheduler's process has exited.
	joinInterval = 500 * time.Millisecond
	// joinTimeout limits the duration of a Join call and of other short calls between
	// hosts.
	joinTimeout = 400 * time.Millisecond
	// maxRefusedJoins is the number of consecutive refused connections after which
	// the scheduler's process is assumed to have exited.
	maxRefusedJoins = 2
	// maxUnansweredJoins is the number of consecutive calls without a reply after
	// which the scheduler counts as unreachable.
	maxUnansweredJoins = 2
	// maxStoreAge is the age of a host's last reply from the store up to which the
	// host counts as connected to the store. The scheduler alone is cut off if its
	// last reply is older and that of another host is not. The read of the
	// configuration returns at least every 0.7 s, so that even if many replies are
	// lost, some arrive within this time.
	maxStoreAge = 900 * time.Millisecond
	// storeSilenceLimit is the time without a reply from the store after which a host
	// asks the others which host schedules a service.
	storeSilenceLimit = 1300 * time.Millisecond
	// delayPerShard delays a host's claim for each shard that it already
	// schedules, so that the failure of a host affects few shards.
	delayPerShard = 200 * time.Millisecond
	// oldHostDelay delays the claim of a host that was not started recently: in a
	// rolling restart, the next host to stop is one of these.
	oldHostDelay = 60 * time.Millisecond
	// weakHostDelay delays the claim of a host in proportion to the processor share
	// that it lacks compared with the strongest host. Scheduling 250 workers takes a
	// third of a core, which the weakest hosts do not have. Hosts detect the loss of
	// a scheduler up to 0.5 s apart, which the delay has to outweigh.
	weakHostDelay = 900 * time.Millisecond
	// firstElectionDelay replaces weakHostDelay while no other host is known, as at
	// the first election. The strongest host is then assumed to have a whole core.
	// The delay is shorter because hosts that are all equally weak gain nothing by
	// waiting.
	firstElectionDelay = 300 * time.Millisecond
	// newHostPeriod is the time after its start for which a host is exempt from
	// oldHostDelay.
	newHostPeriod = 20 * time.Second
	// failedJoinPause is the pause before the next Join call after one that failed. It is
	// longer if several have failed in a row and the scheduler has asked for longer
	// pauses: with many hosts the calls of all of them may be what delays the replies.
	failedJoinPause = 100 * time.Millisecond

	// Prefixes of a shard's topics in the store: its elections and its jobs.
	topicLeadPrefix = "lead."
	topicJobsPrefix = "jobs."
)

// shardElection is this host's part in the election of a shard's scheduler. It
// contains the scheduler itself while this host is elected.
type shardElection struct {
	shard   shard.Shard
	elector *lead.Elector
	// pool is the scheduler of the shard in this host's term, nil outside of it;
	// guarded by the host's mutex.
	pool *pool.Pool
	// endedEpoch is the epoch of this host's last term that has ended, 0 if there is none,
	// and endedAt the reading of the boot clock at its end; guarded by the host's mutex.
	endedEpoch int64
	endedAt    time.Duration
	// lastReply is when the scheduler last replied to a Join call of this host, and
	// joinPause how long it asked this host to wait before the next one; guarded by
	// the host's mutex.
	lastReply time.Time
	joinPause time.Duration
	// joinNow triggers an immediate Join call.
	joinNow chan struct{}
}

// startElections takes part in the election of a scheduler for each shard of each
// service of the configuration, also for those that later versions add, until ctx ends.
func (h *Host) startElections(ctx context.Context) {
	known := make(map[string]bool)
	for ctx.Err() == nil {
		config, changed := h.config.get()
		if config != nil {
			for name := range config.Services {
				if known[name] {
					continue
				}
				known[name] = true
				h.background.Go(func() error {
					if h.shards.learn(ctx, name) != nil {
						return nil // the host stops
					}
					for _, s := range h.shards.all(name) {
						h.ensureElection(ctx, s)
					}
					return nil
				})
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// ensureElection takes part in the election for a shard, and sends Join calls to
// its scheduler, unless this host does so already. A draining host only follows
// the election.
func (h *Host) ensureElection(ctx context.Context, sh shard.Shard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := sh.String()
	if h.elections[name] != nil || ctx.Err() != nil {
		return
	}
	s := &shardElection{shard: sh, joinNow: make(chan struct{}, 1)}
	s.elector = lead.New(lead.Options{
		Store: h.store, Topic: topicLeadPrefix + name, Self: h.self, StartedAt: h.bootedAt, Log: h.log.WithValues("shard", name),
		ClaimDelay: h.claimDelay, ClaimLock: h.claimLock,
		Witnesses:  func() []string { return h.joinedHosts.witnesses(time.Now()) },
		OnResigned: func(epoch int64) { h.announceEndOfTerm(name, epoch) },
		RunTerm:    func(ctx context.Context, term *lead.Term, _ *lead.Holder) { h.runTerm(ctx, s, term) },
	})
	if h.draining.Load() {
		s.elector.Retire()
	}
	h.elections[name] = s
	h.background.Go(func() error { s.elector.Run(ctx); return nil })
	h.background.Go(func() error { h.keepJoined(ctx, s); return nil })
}

// runTerm schedules a shard until ctx ends, which is when the term ends.
func (h *Host) runTerm(ctx context.Context, s *shardElection, term *lead.Term) {
	p := pool.New(pool.Options{
		Shard: s.shard, Host: h.settings.Host, Store: h.store,
		Topic: topicJobsPrefix + s.shard.String(), MaxRecordBytes: h.settings.StoreRecordBytes, MaxAppendBytes: h.settings.StoreRequestBytes, WorkersTopic: platform.TopicWorkers, DecodeWorker: platform.DecodeWorker,
		Connect:          func(id, address string) pool.Client { return platform.NewWorkerClient(id, address) },
		RequestApprovals: h.adviseVia,
		Hosts:            func() []string { return append(h.joinedHosts.live(time.Now()), h.settings.Host) },
		Shards:           otherShards{h},
		Teams:            h.teams, Lenders: quotaLenders{h}, Observe: h.observeDuration,
		MaxLease: time.Duration(h.settings.MaxLeaseMS) * time.Millisecond, Retention: seconds(h.settings.RetentionSeconds),
		RemoteFactor: h.settings.RemoteFactor, SpeculativeCopies: h.settings.SpeculativeCopies,
		Count: h.count, Add: h.add, Event: h.recordEvent, Log: h.log,
	}, term)
	h.setPool(s, p)
	go h.askWitnesses(ctx, s.shard.String(), term)
	if err := p.Run(ctx); err != nil {
		h.log.Error(err, "scheduler failed", "shard", s.shard.String(), "epoch", term.Epoch)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.pool, s.endedEpoch, s.endedAt = nil, term.Epoch, cell.BootTime()
}

// teams implements pool.Options.Teams.
func (h *Host) teams() map[string]cell.Team {
	if config, _ := h.config.get(); config != nil {
		return config.Teams
	}
	return nil
}

// election returns the election for the shard with that name, nil if it is unknown.
func (h *Host) election(shard string) *shardElection {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.elections[shard]
}

// claimDelay implements lead.Options.ClaimDelay. It prefers hosts that schedule few
// shards, were started recently and have much processor time.
func (h *Host) claimDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	heldShards := time.Duration(0)
	for _, s := range h.elections {
		if s.elector.IsHolder() {
			heldShards++
		}
	}
	delay := heldShards * delayPerShard
	if time.Since(h.startedAt) > newHostPeriod {
		delay += oldHostDelay
	}
	return delay + weakHostClaimDelay(h.settings.shareOrDefault(), h.largestPeerShare.get())
}

// weakHostClaimDelay returns the claim delay of a host with the processor share own
// if strongest is the largest share that other hosts have reported, 0 if none has.
func weakHostClaimDelay(own, strongest float64) time.Duration {
	if strongest == 0 {
		return time.Duration(max(1-own, 0) * float64(firstElectionDelay))
	}
	return time.Duration(max(1-own/strongest, 0) * float64(weakHostDelay))
}

// announceEndOfTerm notifies the hosts that have joined a scheduler here that this
// host no longer schedules a shard: it has resigned, or it has ended its term with
// Pool.EndTerm, which writes nothing to the store, so that Holder.Resigned stays
// false. The other hosts then claim the shard without waiting for the renewal
// timeout.
func (h *Host) announceEndOfTerm(shard string, epoch int64) {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	var calls errgroup.Group
	for _, host := range h.joinedHosts.live(time.Now()) {
		calls.Go(func() error {
			_, err := h.peerClients.client(h.joinedHosts.address(host)).Resigned(ctx, &jobsrpc.ResignedRequest{Shard: shard, Epoch: epoch})
			return errors.Wrapf(err, "notify host %s", host)
		})
	}
	if err := calls.Wait(); err != nil {
		// That host reads a resignation from the store within 0.5 s. If there is none,
		// it notices that its Join calls fail and that the renewals have stopped.
		h.log.Info("host was not notified of the end of the term", "shard", shard, "error", err.Error())
	}
}

func (h *Host) setPool(s *shardElection, p *pool.Pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.pool = p
}

// schedulerOf returns the scheduler of the shard with that name, nil if this host does
// not schedule it.
func (h *Host) schedulerOf(shard string) *pool.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.elections[shard]; s != nil {
		return s.pool
	}
	return nil
}

// keepJoined sends Join calls to the scheduler of a shard until ctx ends and
// reports their results to the elector.
func (h *Host) keepJoined(ctx context.Context, s *shardElection) {
	refused, unanswered := 0, 0
	for ctx.Err() == nil {
		holder, changed := s.elector.Holder()
		pause := joinInterval
		if holder != nil && holder.Incarnation != h.self.Incarnation && !holder.Resigned {
			termEnded, err := h.sendJoin(ctx, s, holder)
			switch {
			case err == nil:
				refused, unanswered = 0, 0
				pause = h.joinPauseOf(s)
				if termEnded {
					h.log.Info("scheduler is cut off from the store", "shard", s.shard.String(), "host", holder.Host, "epoch", holder.Epoch)
					s.elector.HolderStopped(holder.Epoch)
				}
			case dialFailed(err):
				s.elector.HolderCallFailed(holder.Epoch)
				refused++
				pause = failedJoinPause
				if refused >= maxRefusedJoins {
					h.log.Info("scheduler refuses connections", "shard", s.shard.String(), "host", holder.Host, "epoch", holder.Epoch, "error", err.Error())
					s.elector.HolderStopped(holder.Epoch)
					refused, pause = 0, joinInterval
				}
			default:
				s.elector.HolderCallFailed(holder.Epoch)
				refused = 0
				unanswered++
				pause = failedJoinPause
				if unanswered >= maxUnansweredJoins {
					s.elector.HolderUnreachable(holder.Epoch)
					pause = max(failedJoinPause, h.joinPauseOf(s)-joinInterval)
				}
				h.peerClients.closeIdle(holder.Address)
			}
			if err != nil && h.store.SinceLastReply() > storeSilenceLimit {
				h.askKnownHosts(ctx, s)
			}
		} else if h.store.SinceLastReply() > storeSilenceLimit && h.schedulerOf(s.shard.String()) == nil {
			// This host may have been the scheduler until it lost the store, and does
			// not know its successor.
			h.askKnownHosts(ctx, s)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.joinNow:
		case <-time.After(pause):
		}
	}
}

// joinPauseOf returns how long the scheduler asked this host to wait.
func (h *Host) joinPauseOf(s *shardElection) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return s.joinPause
}

// requestJoin triggers an immediate Join call after another call to the scheduler
// has failed.
func (s *shardElection) requestJoin() {
	select {
	case s.joinNow <- struct{}{}:
	default:
	}
}

// joinRequest returns the Join request for the scheduler of the epoch.
func (h *Host) joinRequest(s *shardElection, epoch int64) *jobsrpc.JoinRequest {
	r := &jobsrpc.JoinRequest{
		Shard: s.shard.String(), Host: h.settings.Host, Address: h.self.Address, ConfigVersion: h.config.version(),
		StoreAgeMs: h.store.SinceLastReply().Milliseconds(), ProcessorShare: h.settings.shareOrDefault(), Draining: h.draining.Load(),
		Incarnation: h.self.Incarnation, UptimeMs: (cell.BootTime() - h.bootedAt).Milliseconds(), Epoch: epoch, Witness: true,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.endedEpoch > 0 {
		r.EndedEpoch, r.EndedMs = s.endedEpoch, (cell.BootTime() - s.endedAt).Milliseconds()
	}
	return r
}

// sendJoin sends one Join call to the scheduler and processes its reply. termEnded
// means that the scheduler has ended its term because only it is cut off from the
// store. Its holder record does not show that, so the caller reports it to the
// elector, which then claims the service.
func (h *Host) sendJoin(ctx context.Context, s *shardElection, holder *lead.Holder) (termEnded bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply, err := h.peerClients.client(holder.Address).Join(ctx, h.joinRequest(s, holder.Epoch))
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	s.lastReply, s.joinPause = time.Now(), max(time.Duration(reply.PauseMs)*time.Millisecond, joinInterval)
	extraPause := s.joinPause - joinInterval
	h.mu.Unlock()
	s.elector.HolderReplied(holder.Epoch, time.Duration(reply.ConfirmedAgeMs)*time.Millisecond, extraPause)
	h.largestPeerShare.observe(reply.MaxProcessorShare)
	h.knownHosts.add(reply.Members)
	h.knownHosts.add([]*jobsrpc.Member{{Host: holder.Host, Address: holder.Address}})
	h.catchUp(ctx, reply.ConfigVersion, holder.Address)
	return reply.GivesUp, nil
}
