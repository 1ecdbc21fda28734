package jobhost

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
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
	// peerDialTimeout bounds connecting to another entry host; regions are 16 ms
	// apart.
	peerDialTimeout = 300 * time.Millisecond
	// peerIdle is how long an unused connection to another entry host is kept.
	peerIdle = time.Minute
	// peerConnections bounds the idle connections to each other entry host.
	peerConnections = 8
	// peerCallTimeout bounds a try of a call to the scheduler: a commit takes
	// 20 ms, and 0.5 s while the store is slow.
	peerCallTimeout = 900 * time.Millisecond
)

// peers makes clients of the other entry hosts.
type peers struct {
	transport *http.Transport
	mu        sync.Mutex
	clients   map[string]jobsrpc.Jobs
}

func newPeers() *peers {
	return &peers{
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
			MaxIdleConnsPerHost: peerConnections, IdleConnTimeout: peerIdle,
			WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10,
		},
		clients: make(map[string]jobsrpc.Jobs),
	}
}

func (p *peers) client(address string) jobsrpc.Jobs {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = jobsrpc.NewJobsProtobufClient("http://"+address, &http.Client{Transport: p.transport})
		p.clients[address] = c
	}
	return c
}

// failed closes idle connections after a call without an answer: others to the
// same host may be silent too.
func (p *peers) failed() { p.transport.CloseIdleConnections() }

// peerServer serves the other entry hosts, and this host's own callers.
type peerServer struct{ host *Host }

var _ jobsrpc.Jobs = peerServer{}

// rpcError turns an error of a pool into one of the calls between hosts.
func rpcError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, pool.ErrNotScheduler), errors.Is(err, pool.ErrNotStored):
		return twirp.NewError(twirp.Unavailable, err.Error())
	case errors.Is(err, pool.ErrStoreUnavailable):
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	case errors.Is(err, pool.ErrSubmitPending):
		return twirp.NewError(twirp.Aborted, err.Error())
	}
	return twirp.NewError(twirp.Unknown, err.Error())
}

func (s peerServer) pool(service string) (*pool.Pool, error) {
	p := s.host.poolOf(service)
	if p == nil {
		return nil, twirp.NewError(twirp.Unavailable, pool.ErrNotScheduler.Error())
	}
	return p, nil
}

// Submit implements jobsrpc.Jobs.
func (s peerServer) Submit(ctx context.Context, r *jobsrpc.SubmitRequest) (*jobsrpc.SubmitReply, error) {
	p, err := s.pool(r.Service)
	if err != nil {
		return nil, err
	}
	s.host.config.atLeast(ctx, r.ConfigVersion)
	current, _ := s.host.config.get()
	if current == nil {
		return nil, twirp.NewError(twirp.Unavailable, "no configuration yet")
	}
	queue := current.Queue(r.Queue)
	if queue == nil {
		return nil, twirp.NewError(twirp.NotFound, "no such queue")
	}
	job := new(api.Job)
	if err := json.Unmarshal(r.Job, job); err != nil {
		return nil, twirp.InvalidArgumentError("job", err.Error())
	}
	if err := p.Submit(ctx, r.Id, *queue, job); err != nil {
		return nil, rpcError(err)
	}
	return &jobsrpc.SubmitReply{ConfigVersion: current.Version}, nil
}

// State implements jobsrpc.Jobs.
func (s peerServer) State(_ context.Context, r *jobsrpc.JobRequest) (*jobsrpc.StateReply, error) {
	p, err := s.pool(r.Service)
	if err != nil {
		return nil, err
	}
	state, known, err := p.State(r.Id)
	if err != nil {
		return nil, rpcError(err)
	}
	return &jobsrpc.StateReply{Known: known, State: string(state), ConfigVersion: s.host.config.version()}, nil
}

// Cancel implements jobsrpc.Jobs.
func (s peerServer) Cancel(ctx context.Context, r *jobsrpc.JobRequest) (*jobsrpc.StateReply, error) {
	p, err := s.pool(r.Service)
	if err != nil {
		return nil, err
	}
	known, err := p.Cancel(ctx, r.Id)
	if err != nil {
		return nil, rpcError(err)
	}
	return &jobsrpc.StateReply{Known: known, ConfigVersion: s.host.config.version()}, nil
}

// Pending implements jobsrpc.Jobs.
func (s peerServer) Pending(_ context.Context, r *jobsrpc.PendingRequest) (*jobsrpc.PendingReply, error) {
	p, err := s.pool(r.Service)
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
	p, err := s.pool(r.Service)
	if err != nil {
		return nil, err
	}
	s.host.members.saw(r.Host, r.Address, time.Now())
	s.host.strongest.observe(r.ProcessorShare)
	s.host.neighbours.learn([]*jobsrpc.Member{{Host: r.Host, Address: r.Address}})
	if p.StoreUnresponsive() && cutOffAlone(s.host.store.Age(), time.Duration(r.StoreAgeMs)*time.Millisecond) {
		p.StepDown("the store answers " + r.Host)
		go s.host.tellResigned(r.Service, p.Epoch())
		return &jobsrpc.JoinReply{GivesUp: true}, nil
	}
	s.host.config.atLeast(ctx, r.ConfigVersion)
	reply := &jobsrpc.JoinReply{ConfigVersion: s.host.config.version(), MaxProcessorShare: s.host.maxShare(), ConfirmedAgeMs: p.ConfirmedAge().Milliseconds()}
	for _, host := range s.host.members.live(time.Now()) {
		if host != r.Host {
			reply.Members = append(reply.Members, &jobsrpc.Member{Host: host, Address: s.host.members.address(host)})
		}
	}
	return reply, nil
}

// cutOffAlone tells whether the store answers another host and not this one, by
// the time since its last answer to each.
func cutOffAlone(own, other time.Duration) bool { return own > storeFresh && other < storeFresh }

// Holder implements jobsrpc.Jobs.
func (s peerServer) Holder(_ context.Context, r *jobsrpc.HolderRequest) (*jobsrpc.HolderReply, error) {
	scheduler := s.host.scheduler(r.Service)
	if scheduler == nil {
		return &jobsrpc.HolderReply{}, nil
	}
	holder, _ := scheduler.elector.Holder()
	if holder == nil || holder.Resigned {
		return &jobsrpc.HolderReply{}, nil
	}
	return &jobsrpc.HolderReply{Host: holder.Host, Address: holder.Address, Incarnation: holder.Incarnation, Epoch: holder.Epoch}, nil
}

// Advise implements jobsrpc.Jobs.
func (s peerServer) Advise(ctx context.Context, r *jobsrpc.AdviseRequest) (*jobsrpc.AdviseReply, error) {
	approvals, valid, err := s.host.advise(ctx, r.Step, r.Workers, time.Duration(r.ExpectedMs)*time.Millisecond)
	if errors.Is(err, pool.ErrAdvisorBusy) {
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
	if scheduler := s.host.scheduler(r.Service); scheduler != nil {
		scheduler.elector.HolderStopped(r.Epoch)
	}
	return &jobsrpc.ResignedReply{}, nil
}

// adviseThrough asks the policy service through an entry host.
func (h *Host) adviseThrough(ctx context.Context, host, step string, workers []string, expected time.Duration) ([]cell.Approval, time.Duration, error) {
	if host == h.settings.Host {
		return h.advise(ctx, step, workers, expected)
	}
	address := h.members.address(host)
	if address == "" {
		return nil, 0, errors.Errorf("host %s is not known any more", host)
	}
	reply, err := h.peers.client(address).Advise(ctx, &jobsrpc.AdviseRequest{Step: step, Workers: workers, ExpectedMs: expected.Milliseconds()})
	var coded twirp.Error
	if errors.As(err, &coded) && coded.Code() == twirp.ResourceExhausted {
		return nil, 0, errors.Wrap(pool.ErrAdvisorBusy, host)
	}
	if err != nil {
		return nil, 0, errors.Wrapf(err, "ask through %s", host)
	}
	var approvals []cell.Approval
	for _, a := range reply.Approvals {
		approvals = append(approvals, cell.Approval{Worker: a.Worker, Ticket: a.Ticket})
	}
	return approvals, time.Duration(reply.ValidMs) * time.Millisecond, nil
}

// advise asks the policy service from this host. The service handles the calls
// of a host in turn, so a long call is only made when there is no other.
func (h *Host) advise(ctx context.Context, step string, workers []string, expected time.Duration) ([]cell.Approval, time.Duration, error) {
	advisor := h.advisor.Load()
	if advisor == nil {
		return nil, 0, errors.New("the settings name no policy service")
	}
	if pool.IsLongAdviceCall(expected) {
		if !h.longCall.CompareAndSwap(false, true) {
			return nil, 0, errors.WithStack(pool.ErrAdvisorBusy)
		}
		defer h.longCall.Store(false)
	}
	return advisor.Advise(ctx, step, workers)
}

// strongest is the largest processor share of any host that this one has heard
// of; 0 until it has heard of one.
type strongest struct {
	mu  sync.Mutex
	max float64
}

func (s *strongest) observe(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.max = max(s.max, share)
}

func (s *strongest) share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.max
}

// maxShare returns the largest processor share of this host and of those that it
// has heard of.
func (h *Host) maxShare() float64 { return max(h.settings.processorShare(), h.strongest.share()) }

// neighbours are the addresses of the other entry hosts that this one has heard
// of, for questions while the store does not answer.
type neighbours struct {
	mu   sync.Mutex
	seen map[string]string
}

func (n *neighbours) learn(members []*jobsrpc.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen == nil {
		n.seen = make(map[string]string)
	}
	for _, m := range members {
		n.seen[m.Host] = m.Address
	}
}

func (n *neighbours) addresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.seen))
}

// askNeighbours asks the other hosts who schedules a service.
func (h *Host) askNeighbours(ctx context.Context, s *scheduler) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var calls errgroup.Group
	for _, address := range h.neighbours.addresses() {
		calls.Go(func() error {
			r, err := h.peers.client(address).Holder(ctx, &jobsrpc.HolderRequest{Service: s.service})
			if err != nil {
				return errors.Wrapf(err, "ask %s", address)
			}
			if r.Epoch > 0 {
				s.elector.Learn(lead.Holder{Host: r.Host, Address: r.Address, Incarnation: r.Incarnation, Epoch: r.Epoch})
			}
			return nil
		})
	}
	if err := calls.Wait(); err != nil {
		h.log.V(1).Info("a host did not say who schedules", "service", s.service, "error", err.Error())
	}
}

// memberTimeout is how long a host counts as there after its last call: two
// calls may be lost.
const memberTimeout = 2500 * time.Millisecond

// members are the other entry hosts that have joined a scheduler here.
type members struct {
	mu   sync.Mutex
	seen map[string]member
}

type member struct {
	address string
	at      time.Time
}

func (m *members) saw(host, address string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen == nil {
		m.seen = make(map[string]member)
	}
	m.seen[host] = member{address, now}
}

func (m *members) address(host string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen[host].address
}

// live returns the hosts that have called lately.
func (m *members) live(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var hosts []string
	for host, member := range m.seen {
		if now.Sub(member.at) < memberTimeout {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
