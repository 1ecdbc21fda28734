package jobhost

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/pool"
)

const (
	// peerCallTimeout limits each attempt of a call to the scheduler: a commit takes
	// 20 ms, and 0.5 s while the store is slow.
	peerCallTimeout = 900 * time.Millisecond
	// maxHolderPeers bounds the hosts that are asked at once for the scheduler of a shard.
	maxHolderPeers = 12
	// holderQuestionsPerSecond and holderQuestionsBurst bound the calls that ask for
	// schedulers. Without a bound all hosts that the store does not answer would ask all
	// hosts for all shards.
	holderQuestionsPerSecond, holderQuestionsBurst = 10, 2 * maxHolderPeers
	// metaRetryAfterMS is the key of an error's metadata that tells when to retry a
	// request that was refused because its team is overloaded.
	metaRetryAfterMS = "retry_after_ms"
)

// peerServer serves the calls of the other entry hosts, and those of this host when
// it is the scheduler itself.
type peerServer struct{ host *Host }

var _ jobsrpc.Jobs = peerServer{}

// rpcError converts an error of a pool into a Twirp error, whose code tells the
// calling host whether the call had an effect.
func rpcError(err error) error {
	var overloaded *pool.TeamOverloadedError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, pool.ErrNotScheduler), errors.Is(err, pool.ErrNotStored):
		return twirp.NewError(twirp.Unavailable, err.Error())
	case errors.Is(err, pool.ErrExceedsQuota), errors.Is(err, pool.ErrRecordRejected):
		return twirp.NewError(twirp.InvalidArgument, err.Error())
	case errors.Is(err, pool.ErrStoreUnavailable):
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	case errors.As(err, &overloaded):
		return twirp.NewError(twirp.ResourceExhausted, err.Error()).WithMeta(metaRetryAfterMS, strconv.FormatInt(overloaded.RetryAfter.Milliseconds(), 10))
	case errors.Is(err, pool.ErrSubmitPending):
		return twirp.NewError(twirp.Aborted, err.Error())
	}
	return twirp.NewError(twirp.Unknown, err.Error())
}

// pool returns the scheduler of the shard with that name, or an error if this host does
// not schedule it.
func (s peerServer) pool(shard string) (*pool.Pool, error) {
	p := s.host.schedulerOf(shard)
	if p == nil {
		return nil, twirp.NewError(twirp.Unavailable, pool.ErrNotScheduler.Error())
	}
	return p, nil
}

// Submit implements jobsrpc.Jobs.
func (s peerServer) Submit(ctx context.Context, r *jobsrpc.SubmitRequest) (*jobsrpc.SubmitReply, error) {
	p, err := s.pool(r.Shard)
	if err != nil {
		return nil, err
	}
	job := new(api.Job)
	if err := json.Unmarshal(r.Job, job); err != nil {
		return nil, twirp.InvalidArgumentError("job", err.Error())
	}
	if r.Portion != nil {
		return s.submitPortion(ctx, p, r, job)
	}
	s.host.catchUp(ctx, r.ConfigVersion, "")
	config, _ := s.host.config.get()
	if config == nil {
		return nil, twirp.NewError(twirp.Unavailable, "no configuration yet")
	}
	queue := config.Queue(r.Queue)
	if queue == nil && config.Version < r.ConfigVersion {
		// The calling host knows a version that may have added it.
		return nil, twirp.NewError(twirp.Unavailable, "the configuration of this host is older than that of the caller")
	}
	if queue == nil {
		return nil, twirp.NewError(twirp.NotFound, "no such queue")
	}
	if err := p.Submit(ctx, r.Id, *queue, r.Team, job); err != nil {
		return nil, rpcError(err)
	}
	return &jobsrpc.SubmitReply{ConfigVersion: config.Version}, nil
}

// visibleTo reports whether the caller of a request about a job may learn about it.
func visibleTo(p *pool.Pool, r *jobsrpc.JobRequest) (bool, error) {
	if !r.CheckTeam {
		return true, nil
	}
	return p.Visible(r.Id, r.Team)
}

// State implements jobsrpc.Jobs.
func (s peerServer) State(_ context.Context, r *jobsrpc.JobRequest) (*jobsrpc.StateReply, error) {
	p, err := s.pool(r.Shard)
	if err != nil {
		return nil, err
	}
	if visible, err := visibleTo(p, r); err != nil || !visible {
		return &jobsrpc.StateReply{ConfigVersion: s.host.config.version()}, rpcError(err)
	}
	state, known, err := p.State(r.Id)
	if err != nil {
		return nil, rpcError(err)
	}
	return &jobsrpc.StateReply{Known: known, State: string(state), ConfigVersion: s.host.config.version()}, nil
}

// Cancel implements jobsrpc.Jobs.
func (s peerServer) Cancel(ctx context.Context, r *jobsrpc.JobRequest) (*jobsrpc.StateReply, error) {
	p, err := s.pool(r.Shard)
	if err != nil {
		return nil, err
	}
	if r.Portion {
		if err := p.CancelPortion(ctx, r.Id); err != nil {
			return nil, rpcError(err)
		}
		return &jobsrpc.StateReply{Known: true}, nil
	}
	if visible, err := visibleTo(p, r); err != nil || !visible {
		return &jobsrpc.StateReply{ConfigVersion: s.host.config.version()}, rpcError(err)
	}
	known, err := p.Cancel(ctx, r.Id)
	if err != nil {
		return nil, rpcError(err)
	}
	return &jobsrpc.StateReply{Known: known, ConfigVersion: s.host.config.version()}, nil
}

// Pending implements jobsrpc.Jobs.
func (s peerServer) Pending(_ context.Context, r *jobsrpc.PendingRequest) (*jobsrpc.PendingReply, error) {
	p, err := s.pool(r.Shard)
	if err != nil {
		return nil, err
	}
	count, err := p.Pending(r.Queue)
	if err != nil {
		return nil, rpcError(err)
	}
	return &jobsrpc.PendingReply{Count: int64(count)}, nil
}

// Join implements jobsrpc.Jobs.
func (s peerServer) Join(ctx context.Context, r *jobsrpc.JoinRequest) (*jobsrpc.JoinReply, error) {
	p, err := s.pool(r.Shard)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	pause := s.host.joinedHosts.recordJoin(r, s.host.maxShare(), now)
	s.host.largestPeerShare.observe(r.ProcessorShare)
	s.host.knownHosts.add([]*jobsrpc.Member{{Host: r.Host, Address: r.Address}})
	p.NoteHost(lead.HostReport{
		Host: r.Host, Address: r.Address, Incarnation: r.Incarnation, KnownEpoch: r.Epoch, Uptime: time.Duration(r.UptimeMs) * time.Millisecond,
		EndedEpoch: r.EndedEpoch, EndedAgo: time.Duration(r.EndedMs) * time.Millisecond,
	})
	if p.StoreUnresponsive() && onlySelfCutOff(s.host.store.SinceLastReply(), time.Duration(r.StoreAgeMs)*time.Millisecond) {
		// The caller and the notified hosts report the end of the term to their
		// electors, which claim the service. The store contains no record of it.
		p.EndTerm("only this host cannot reach the store, which replies to host " + r.Host)
		go s.host.announceEndOfTerm(r.Shard, p.Epoch())
		return &jobsrpc.JoinReply{GivesUp: true}, nil
	}
	s.host.catchUp(ctx, r.ConfigVersion, r.Address)
	reply := &jobsrpc.JoinReply{ConfigVersion: s.host.config.version(), MaxProcessorShare: s.host.maxShare(), ConfirmedAgeMs: p.ConfirmationAge().Milliseconds(), PauseMs: pause.Milliseconds()}
	hosts := s.host.joinedHosts.live(now)
	rand.Shuffle(len(hosts), func(a, b int) { hosts[a], hosts[b] = hosts[b], hosts[a] })
	for _, host := range hosts[:min(len(hosts), maxMembersPerReply)] {
		if host != r.Host {
			reply.Members = append(reply.Members, &jobsrpc.Member{Host: host, Address: s.host.joinedHosts.address(host)})
		}
	}
	return reply, nil
}

// onlySelfCutOff reports whether the store replies to another host and not to
// this one. own and other are the times since its last reply to each.
func onlySelfCutOff(own, other time.Duration) bool { return own > maxStoreAge && other < maxStoreAge }

// Holder implements jobsrpc.Jobs.
func (s peerServer) Holder(_ context.Context, r *jobsrpc.HolderRequest) (*jobsrpc.HolderReply, error) {
	election := s.host.election(r.Shard)
	if election == nil {
		return &jobsrpc.HolderReply{}, nil
	}
	holder, _ := election.elector.Holder()
	if holder == nil || holder.Resigned {
		return &jobsrpc.HolderReply{}, nil
	}
	return &jobsrpc.HolderReply{Host: holder.Host, Address: holder.Address, Incarnation: holder.Incarnation, Epoch: holder.Epoch}, nil
}

// Advise implements jobsrpc.Jobs.
func (s peerServer) Advise(ctx context.Context, r *jobsrpc.AdviseRequest) (*jobsrpc.AdviseReply, error) {
	approvals, valid, err := s.host.advise(ctx, r.Step, r.Workers, time.Duration(r.ExpectedMs)*time.Millisecond)
	if errors.Is(err, pool.ErrPolicyCallBusy) {
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	if err != nil {
		return nil, twirp.NewError(twirp.Aborted, err.Error())
	}
	reply := &jobsrpc.AdviseReply{ValidMs: valid.Milliseconds()}
	for _, a := range approvals {
		reply.Approvals = append(reply.Approvals, &jobsrpc.Approval{Worker: a.Worker, Ticket: a.Ticket})
	}
	return reply, nil
}

// Resigned implements jobsrpc.Jobs.
func (s peerServer) Resigned(_ context.Context, r *jobsrpc.ResignedRequest) (*jobsrpc.ResignedReply, error) {
	if election := s.host.election(r.Shard); election != nil {
		election.elector.HolderStopped(r.Epoch)
	}
	return &jobsrpc.ResignedReply{}, nil
}

// adviseVia calls the policy service through an entry host, which may be this one.
func (h *Host) adviseVia(ctx context.Context, host, step string, workers []string, expected time.Duration) ([]cell.Approval, time.Duration, error) {
	if host == h.settings.Host {
		return h.advise(ctx, step, workers, expected)
	}
	address := h.joinedHosts.address(host)
	if address == "" {
		return nil, 0, errors.Errorf("address of host %s is not known", host)
	}
	reply, err := h.peerClients.client(address).Advise(ctx, &jobsrpc.AdviseRequest{Step: step, Workers: workers, ExpectedMs: expected.Milliseconds()})
	var coded twirp.Error
	if errors.As(err, &coded) && coded.Code() == twirp.ResourceExhausted {
		return nil, 0, errors.Wrap(pool.ErrPolicyCallBusy, host)
	}
	if err != nil {
		return nil, 0, errors.Wrapf(err, "ask the policy service through host %s", host)
	}
	var approvals []cell.Approval
	for _, a := range reply.Approvals {
		approvals = append(approvals, cell.Approval{Worker: a.Worker, Ticket: a.Ticket})
	}
	return approvals, time.Duration(reply.ValidMs) * time.Millisecond, nil
}

// advise calls the policy service from this host. The service handles the calls of
// a host one after the other, so this host makes at most one long call at a time.
func (h *Host) advise(ctx context.Context, step string, workers []string, expected time.Duration) ([]cell.Approval, time.Duration, error) {
	client := h.policyClient.Load()
	if client == nil {
		return nil, 0, errors.New("the settings name no policy service")
	}
	if pool.IsLongPolicyCall(expected) {
		if !h.longPolicyCall.CompareAndSwap(false, true) {
			return nil, 0, errors.WithStack(pool.ErrPolicyCallBusy)
		}
		defer h.longPolicyCall.Store(false)
	}
	return client.Advise(ctx, step, workers)
}

// shareMaximum records the largest processor share that other hosts have reported,
// of themselves or of hosts that they know; 0 before the first report. It never
// decreases.
type shareMaximum struct {
	mu  sync.Mutex
	max float64
}

func (s *shareMaximum) observe(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.max = max(s.max, share)
}

func (s *shareMaximum) get() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.max
}

// maxShare returns the largest processor share of this host and of those that have
// been reported to it.
func (h *Host) maxShare() float64 { return max(h.settings.shareOrDefault(), h.largestPeerShare.get()) }

// hostDirectory contains the addresses of the other entry hosts that this one knows
// from Join calls and their replies. It is used without the store, to find the
// scheduler while the store does not reply and to collect events.
type hostDirectory struct {
	mu            sync.Mutex
	addressByHost map[string]string
}

func (d *hostDirectory) add(members []*jobsrpc.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addressByHost == nil {
		d.addressByHost = make(map[string]string)
	}
	for _, m := range members {
		d.addressByHost[m.Host] = m.Address
	}
}

func (d *hostDirectory) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.addressByHost))
}

// askKnownHosts asks some of the other hosts which host schedules a shard and passes
// their replies to the elector. It does nothing while this host has asked too often.
func (h *Host) askKnownHosts(ctx context.Context, s *shardElection) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	addresses := h.knownHosts.addresses()
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	var calls errgroup.Group
	for _, address := range addresses[:min(len(addresses), maxHolderPeers)] {
		if !h.holderQuestions.Allow() {
			break
		}
		calls.Go(func() error {
			r, err := h.peerClients.client(address).Holder(ctx, &jobsrpc.HolderRequest{Shard: s.shard.String()})
			if err != nil {
				return errors.Wrapf(err, "ask %s for the scheduler", address)
			}
			if r.Epoch > 0 {
				s.elector.LearnHolder(lead.Holder{Host: r.Host, Address: r.Address, Incarnation: r.Incarnation, Epoch: r.Epoch})
			}
			return nil
		})
	}
	if err := calls.Wait(); err != nil {
		h.log.V(1).Info("host did not report the scheduler of a shard", "shard", s.shard.String(), "error", err.Error())
	}
}
