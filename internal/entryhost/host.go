// Package entryhost assembles an entry host from its components and serves the
// APIs for callers, other entry hosts and operators.
//
// The router sends a caller's request to the record keeper of its ID, which may be
// another entry host. There package request calls the runner, which queues the
// request in the scheduler or forwards it to a peer that can start it sooner. When
// a worker or a peer is chosen, the request's record is replicated to the backups;
// only then does the taskTable start the task on the worker, or the peer receives
// the dispatch. If the keeper or the peer fails afterwards, the resolver determines
// the outcome.
package entryhost

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/internal/configuration"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/domain"
	"github.com/laburnumpass/laburnumpass/internal/holding"
	"github.com/laburnumpass/laburnumpass/internal/link"
	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/schedule"
	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Platform holds the clients of the platform's services.
type Platform struct {
	Log   platform.Log
	Hosts platform.HostList
	// Dial returns a client for a worker.
	Dial func(worker.Info) worker.Worker
}

// Host is an entry host: it accepts requests, keeps their records and runs them
// on the workers whose leases it holds or through other entry hosts.
type Host struct {
	settings settings.Settings
	topology domain.Topology
	self     domain.Host
	log      logr.Logger
	platform Platform

	clock      *timeline.Clock
	timeline   *timeline.Ring
	telemetry  *telemetry
	membership *domain.Membership
	links      *link.Peers
	config     *configuration.Reader
	publisher  *configuration.Publisher
	holding    *holding.Manager
	scheduler  *schedule.Scheduler
	keeper     *request.Keeper

	router       *router
	runner       *runner
	resolver     *resolver
	tasks        *taskTable
	dispatches   *dispatchTable
	reservations *reservationTable
	detached     *detachedTable
	peers        *peerWatcher
	cancels      *cancelTable
	loads        *loadTable
	quotas       *quotaBroker
	localLoad    localLoadCache
	incarnations incarnationTable

	// lifetime is the context of the background loops and of the runs for peers. It
	// ends with Abort, when Run returns, or in shutdown as soon as the callers'
	// server has stopped.
	lifetime    context.Context
	endLifetime context.CancelFunc

	callersServer, operatorsServer *fasthttp.Server

	// requestsInProgress counts the callers' submit calls that were admitted.
	requestsInProgress atomic.Int64
	// peerCallsInProgress counts the calls from peers that this host is serving.
	peerCallsInProgress atomic.Int64
	// hostListReadAt is when the host list was last read successfully, or when the
	// host was created, in Unix nanoseconds.
	hostListReadAt atomic.Int64
	// heartbeatBytesServed counts the bytes of heartbeats received from peers and
	// of the replies to them.
	heartbeatBytesServed atomic.Int64
	draining             atomic.Bool
	// refusing is set when a draining host stops to admit requests.
	refusing  atomic.Bool
	drained   chan struct{}
	drainOnce sync.Once
	addresses Addresses
	// acceptFailures counts failed accept calls of all listeners.
	acceptFailures atomic.Uint64
}

// New creates an entry host. It opens no connections; Run does.
func New(s settings.Settings, p Platform, log logr.Logger) (*Host, error) {
	self, ok := s.Self()
	if !ok {
		return nil, errors.Errorf("host %q is not listed in entry_hosts", s.Host)
	}
	h := &Host{
		settings: s,
		topology: topologyOf(s),
		self:     domain.Host(self),
		log:      log.WithValues("host", s.Host, "failure_domain", self.FailureDomain),
		platform: p,
		drained:  make(chan struct{}),
	}
	h.lifetime, h.endLifetime = context.WithCancel(context.Background())
	h.clock = timeline.NewClock(time.Now)
	h.timeline = timeline.NewRing(s.Limits.TimelineEvents, h.clock)
	h.telemetry = newTelemetry()
	h.router = &router{host: h}
	h.resolver = &resolver{host: h}
	h.tasks = newTaskTable(h)
	h.dispatches = newDispatchTable(time.Now)
	h.reservations = newReservationTable(h.telemetry)
	h.detached = newDetachedTable()
	h.peers = newPeerWatcher()
	h.cancels = newCancelTable()
	h.loads = newLoadTable(h.topology, h.self, time.Now)
	h.quotas = newQuotaBroker(len(s.EntryHosts), hostIndex(h.topology, h.self.Name), time.Now)
	if err := h.build(); err != nil {
		return nil, err
	}
	h.callersServer, h.operatorsServer = h.newCallersServer(), h.newOperatorsServer()
	h.hostListReadAt.Store(time.Now().UnixNano())
	h.registerMetrics()
	return h, nil
}

// build creates the components that refer to each other.
func (h *Host) build() error {
	var err error
	if h.membership, err = domain.NewMembership(domain.Options{
		Topology:    h.topology,
		Incarnation: time.Now().UnixNano(),
	}); err != nil {
		return errors.Wrap(err, "membership")
	}
	if h.links, err = link.New(link.Options{
		Topology:         h.topology,
		Membership:       h.membership,
		FillHeartbeat:    h.fillHeartbeat,
		OnHeartbeatReply: h.observeHeartbeat,
	}); err != nil {
		return errors.Wrap(err, "links")
	}
	h.config = configuration.New(h.configReaderOptions())
	h.publisher = configuration.NewPublisher(h.config, h.platform.Log)
	h.scheduler = schedule.New(schedule.Options{
		Seed:              uint64(time.Now().UnixNano()),
		Configuration:     h.scheduleConfiguration,
		ProfileNames:      h.profileNames,
		MaxWorkerCapacity: func() worker.Capacity { return h.holding.LargestCapacity() },
	})
	h.holding = holding.New(holding.Options{
		Self:      h.self.Name,
		Owner:     h.ownerOf,
		Dial:      h.platform.Dial,
		Sink:      &schedulerSink{Scheduler: h.scheduler, tasks: h.tasks},
		OnEvent:   h.recordWorkerEvent,
		LeaseOnly: h.settings.Platform.WorkerMode == settings.WorkerModeLeaseOnly,
	})
	h.runner = newRunner(h)
	h.keeper, err = request.New(request.Options{
		Self:         h.self.Name,
		Membership:   h.membership,
		Replicator:   replicator{h},
		Runner:       h.runner,
		Resolver:     h.resolver,
		Canceller:    canceller{h},
		Retention:    time.Duration(h.settings.Limits.RecordRetentionSeconds) * time.Second,
		MaxBodyBytes: int64(h.settings.Limits.AnswerCacheMiB) << 20,
		Logger:       h.log.WithName("request"),
	})
	return errors.Wrap(err, "request records")
}

// schedulerSink forwards worker events to the scheduler, which tracks the allocated
// capacity of each worker, and the end of a task also to the goroutine that waits for it.
type schedulerSink struct {
	*schedule.Scheduler
	tasks *taskTable
}

// TaskEnded implements holding.Sink.
func (s *schedulerSink) TaskEnded(name string, task worker.Task) {
	s.Scheduler.TaskEnded(name, task)
	s.tasks.reportEnded(task)
}

func topologyOf(s settings.Settings) domain.Topology {
	t := domain.Topology{Self: s.Host}
	for _, e := range s.EntryHosts {
		t.Hosts = append(t.Hosts, domain.Host(e))
	}
	return t
}

// hostIndex returns the position of a host in the sorted list of all host names.
func hostIndex(t domain.Topology, name string) int {
	index := 0
	for _, h := range t.Hosts {
		if h.Name < name {
			index++
		}
	}
	return index
}

func (h *Host) homeDomain(id string) string { return domain.HomeDomain(h.topology, id) }

// isRecordKeeper reports whether this host is the record keeper of a request
// according to its own view of the membership.
func (h *Host) isRecordKeeper(id string) bool {
	return h.homeDomain(id) == h.self.FailureDomain && h.membership.Keeper(id) == h.self.Name
}

func (h *Host) isLive() bool { return h.membership.State() == rpc.HostState_HOST_STATE_LIVE }

func (h *Host) inOwnFailureDomain(name string) bool {
	host, ok := h.topology.Host(name)
	return ok && host.FailureDomain == h.self.FailureDomain
}

// ownerOf implements holding.Options.Owner.
func (h *Host) ownerOf(name string) string {
	info, ok := h.holding.Info(name)
	if !ok {
		return ""
	}
	return h.membership.OwnerIn(info.FailureDomain, name)
}

func (h *Host) scheduleConfiguration() schedule.Configuration {
	c, ok := h.config.Current()
	if !ok {
		return nil
	}
	return c
}

// profileNames returns the names of the configured profiles.
func (h *Host) profileNames() []string {
	c, ok := h.config.Current()
	if !ok {
		return nil
	}
	var names []string
	for _, o := range c.List(contract.KindProfile) {
		names = append(names, o.Name)
	}
	return names
}

// admit counts a new request as in progress. It returns false if the host is not
// ready or the limit is reached. A draining host admits requests until
// drainExitDelay has passed.
func (h *Host) admit() bool {
	if h.refusing.Load() || h.notReadyReason() != "" && !h.draining.Load() {
		return false
	}
	if h.requestsInProgress.Add(1) > int64(h.settings.Limits.RequestsInProgress) {
		h.requestsInProgress.Add(-1)
		return false
	}
	return true
}

// finishRequest must be called once for every admitted request.
func (h *Host) finishRequest() { h.requestsInProgress.Add(-1) }

// noConfiguration is the error that callers and operators receive before the
// first configuration is in force.
const noConfiguration = "no configuration has been read yet"

// notReadyReason returns why the load balancer must not send requests to this
// host, or an empty string if the host is ready.
func (h *Host) notReadyReason() string {
	if h.draining.Load() {
		return "the host is draining"
	}
	if _, ok := h.config.Current(); !ok {
		return noConfiguration
	}
	if !h.isLive() {
		return "the host is joining its failure domain"
	}
	if time.Now().Before(h.keeper.Horizon().Add(request.DefaultMaxClockSkew)) {
		// Within the clock skew, a new request could appear to be older than the
		// time since which the records are complete.
		return "the request records are too new"
	}
	return ""
}

// replicator sends request records to the backups.
type replicator struct{ host *Host }

// Replicate implements request.Replicator.
func (r replicator) Replicate(ctx context.Context, peer string, records []*rpc.Record) ([]uint32, error) {
	h := r.host
	client, ok := h.links.Client(peer)
	if !ok {
		return nil, errors.Errorf("no link to entry host %s", peer)
	}
	reply, err := client.Replicate(ctx, &rpc.ReplicateRequest{Keeper: h.self.Name, Records: records})
	if err != nil {
		return nil, errors.Wrapf(err, "replicate records to entry host %s", peer)
	}
	return reply.Refused, nil
}
