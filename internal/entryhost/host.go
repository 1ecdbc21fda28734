// Package entryhost builds one entry host from its parts and serves callers,
// other entry hosts and operators.
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

// Platform is the way to the platform's services.
type Platform struct {
	Log   platform.Log
	Hosts platform.HostList
	// Dial makes the client of a worker.
	Dial func(worker.Info) worker.Worker
}

// Host is one entry host.
type Host struct {
	settings settings.Settings
	topology domain.Topology
	self     domain.Host
	log      logr.Logger
	platform Platform

	clock      *timeline.Clock
	ring       *timeline.Ring
	telemetry  *telemetry
	membership *domain.Membership
	links      *link.Set
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
	local        localLoadCache
	sightings    sightings

	// life ends when the host has stopped.
	life context.Context
	end  context.CancelFunc

	callers, operators *fasthttp.Server

	inProgress atomic.Int64
	// peerCalls counts the calls of peers that are in progress.
	peerCalls atomic.Int64
	// listRead is when the host list was last read, in Unix nanoseconds.
	listRead atomic.Int64
	// served counts the bytes of the heartbeats that peers sent, with replies.
	served    atomic.Int64
	draining  atomic.Bool
	drained   chan struct{}
	drainOnce sync.Once
	listening Addresses
	// acceptFailures counts connections that could not be accepted.
	acceptFailures atomic.Uint64
}

// New builds an entry host. It connects to nothing before Run.
func New(s settings.Settings, p Platform, log logr.Logger) (*Host, error) {
	self, ok := s.Self()
	if !ok {
		return nil, errors.Errorf("host %q is not in entry_hosts", s.Host)
	}
	h := &Host{
		settings: s,
		topology: topologyOf(s),
		self:     domain.Host(self),
		log:      log.WithValues("host", s.Host, "failure_domain", self.FailureDomain),
		platform: p,
		drained:  make(chan struct{}),
	}
	h.life, h.end = context.WithCancel(context.Background())
	h.clock = timeline.NewClock(time.Now)
	h.ring = timeline.NewRing(s.Limits.TimelineEvents, h.clock)
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
	h.callers, h.operators = h.newCallersServer(), h.newOperatorsServer()
	h.listRead.Store(time.Now().UnixNano())
	h.registerMetrics()
	return h, nil
}

// build makes the parts that depend on each other.
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
		ProfileNames:      h.profiles,
		MaxWorkerCapacity: func() worker.Capacity { return h.holding.LargestCapacity() },
	})
	h.holding = holding.New(holding.Options{
		Self:      h.self.Name,
		Owner:     h.ownerOf,
		Dial:      h.platform.Dial,
		Sink:      &ledgerSink{Scheduler: h.scheduler, tasks: h.tasks},
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

// ledgerSink passes what happens to workers to the ledger and the ends of
// tasks to those who wait for them.
type ledgerSink struct {
	*schedule.Scheduler
	tasks *taskTable
}

// TaskEnded implements holding.Sink.
func (s *ledgerSink) TaskEnded(name string, task worker.Task) {
	s.Scheduler.TaskEnded(name, task)
	s.tasks.ended(task)
}

func topologyOf(s settings.Settings) domain.Topology {
	t := domain.Topology{Self: s.Host}
	for _, e := range s.EntryHosts {
		t.Hosts = append(t.Hosts, domain.Host(e))
	}
	return t
}

// hostIndex returns the position of a host among the sorted names of all.
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

// keeps reports whether this host is the record keeper of id in its own view.
func (h *Host) keeps(id string) bool {
	return h.homeDomain(id) == h.self.FailureDomain && h.membership.Keeper(id) == h.self.Name
}

func (h *Host) live() bool { return h.membership.State() == rpc.HostState_HOST_STATE_LIVE }

func (h *Host) inOwnDomain(name string) bool {
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

// profiles returns the names of the configured profiles.
func (h *Host) profiles() []string {
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

// admit counts a request in, or returns false if the host takes no more.
func (h *Host) admit() bool {
	if h.notReady() != "" && !h.draining.Load() {
		return false
	}
	if h.inProgress.Add(1) > int64(h.settings.Limits.RequestsInProgress) {
		h.inProgress.Add(-1)
		return false
	}
	return true
}

// discharge counts an admitted request out.
func (h *Host) discharge() { h.inProgress.Add(-1) }

// noConfiguration is what callers and operators read before the first
// configuration is in force.
const noConfiguration = "no configuration has been read yet"

// notReady returns why the balancer should send no requests, empty if it
// should.
func (h *Host) notReady() string {
	if h.draining.Load() {
		return "the host is draining"
	}
	if _, ok := h.config.Current(); !ok {
		return noConfiguration
	}
	if !h.live() {
		return "the host is joining its failure domain"
	}
	if time.Now().Before(h.keeper.Horizon().Add(request.DefaultMaxClockSkew)) {
		// New requests would be taken for ones from before the horizon.
		return "the request records are too new"
	}
	return ""
}

// replicator sends records to backups.
type replicator struct{ host *Host }

// Replicate implements request.Replicator.
func (r replicator) Replicate(ctx context.Context, peer string, records []*rpc.Record) ([]uint32, error) {
	h := r.host
	client, ok := h.links.Client(peer)
	if !ok {
		return nil, errors.Errorf("no link to %s", peer)
	}
	reply, err := client.Replicate(ctx, &rpc.ReplicateRequest{Keeper: h.self.Name, Records: records})
	if err != nil {
		return nil, errors.Wrapf(err, "replicate to %s", peer)
	}
	return reply.Refused, nil
}
