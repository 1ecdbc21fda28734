// Package jobhost implements an entry host for jobs on the platform. It serves
// callers, schedules the services for which it is elected, and calls the policy
// service on behalf of the schedulers on other hosts.
package jobhost

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/logging"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
	"github.com/laburnumpass/laburnumpass/platform"
)

const (
	// gcPercent makes the garbage collector run more often than by default: memory
	// is billed by its peak, while processor time costs next to nothing.
	gcPercent = 50
	// memoryLimitPercent is the percentage of the available memory above which the
	// garbage collector works harder. The rest is left for buffers of the operating
	// system, which count toward the available memory too.
	memoryLimitPercent = 70
	// callerReadBuffer is the size of the buffer for a caller's request header; the
	// configuration allows headers of 16 KiB.
	callerReadBuffer = 16 << 10
	// maxBodyBytes limits a caller's request body. It equals the limit in the
	// operator's current configurations.
	maxBodyBytes = 256 << 10
	// callerIdleTimeout is how long a caller's idle connection is kept open.
	callerIdleTimeout = 30 * time.Second
	// schedulerSilenceLimit is how long a scheduler may fail to reply before the
	// host is not ready: a takeover takes up to 2.5 s.
	schedulerSilenceLimit = 4 * time.Second
)

// Host is an entry host for jobs: it serves callers and takes part in the election of
// a scheduler for each shard of each service. Requests are served by entryhost.Host.
type Host struct {
	// settings are those that the process started with, currentSettings those that
	// were read last.
	settings        *Settings
	currentSettings atomic.Pointer[Settings]
	log             logr.Logger
	// self identifies this host as a candidate in the elections.
	self         lead.Holder
	store        *store.ReplyTracker
	config       *configFollower
	policyClient atomic.Pointer[platform.PolicyClient]
	peerClients  *peerClientCache
	// joinedHosts are the other entry hosts that have joined a scheduler here.
	joinedHosts joinedHostSet
	// knownHosts also contains hosts that have never joined a scheduler here.
	knownHosts hostDirectory
	// holderQuestions bounds the calls that ask other hosts for schedulers.
	holderQuestions  *rate.Limiter
	largestPeerShare shareMaximum
	metricsRegistry  metrics.Registry
	clock            *timeline.Clock
	events           *timeline.Ring
	draining         atomic.Bool
	// openRequests counts the callers' requests that were read and not answered yet.
	openRequests atomic.Int64
	// callerCalls is the parent context of the calls that callers' requests cause.
	// endCallerCalls cancels it when the host stops.
	callerCalls    context.Context
	endCallerCalls context.CancelFunc
	// startedServing is set once the shards of all services were known. A service that
	// the configuration adds later does not make the host unready.
	startedServing atomic.Bool
	// longPolicyCall is set while this host makes a long call to the policy service.
	longPolicyCall atomic.Bool

	// fetchingConfig is set while this host asks others for the configuration.
	fetchingConfig atomic.Bool

	// claimLock is a one-element semaphore that the electors share: it contains an
	// element while this host claims a service.
	claimLock chan struct{}

	startedAt time.Time
	// bootedAt is the reading of the boot clock at the start of the process.
	bootedAt   time.Duration
	background *errgroup.Group

	shards *shardDirectory
	// mu guards elections, which is indexed by the name of the shard, and the fields
	// of its elements that say so.
	mu        sync.Mutex
	elections map[string]*shardElection
}

// New returns an entry host, which starts to serve with Run.
func New(s *Settings, log logr.Logger) *Host {
	h := &Host{
		settings: s, log: log.WithValues("host", s.Host),
		self:      lead.Holder{Host: s.Host, Address: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPorts[0])), Incarnation: uuid.NewString()},
		store:     &store.ReplyTracker{Store: platform.NewStoreClient(s.StoreAddress)},
		claimLock: make(chan struct{}, 1), startedAt: time.Now(), bootedAt: cell.BootTime(), metricsRegistry: metrics.NewRegistry(), elections: make(map[string]*shardElection),
	}
	h.holderQuestions = rate.NewLimiter(holderQuestionsPerSecond, holderQuestionsBurst)
	h.store.OnFailure = func() { h.count("store.failures") }
	h.peerClients = newPeerClients(func() { h.count("peers.connections") })
	h.callerCalls, h.endCallerCalls = context.WithCancel(context.Background())
	h.clock = timeline.NewClock(nil)
	h.events = timeline.NewRing(timelineCapacity, h.clock)
	h.currentSettings.Store(s)
	h.setPolicyClient(s.PolicyServiceAddress)
	h.config = newConfigFollower(h.store, h.log)
	h.shards = newShardDirectory(h.store, s.Host, s.workersPerShardOrDefault(), h.log)
	return h
}

// Run serves until ctx ends, then drains and returns. It returns an error if it
// cannot listen on one of its addresses or a listener fails.
func (h *Host) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if h.settings.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(h.settings.MemoryMiB) << 20 * memoryLimitPercent / 100)
	}
	callerSocket, err := net.Listen("tcp4", h.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	managementListener, err := net.Listen("tcp4", h.settings.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	peerListener, err := net.Listen("tcp4", h.self.Address)
	if err != nil {
		return errors.Wrap(err, "listen for calls from entry hosts")
	}
	callerServer := h.newCallerServer()
	managementServer := &fasthttp.Server{Handler: h.serveManagement, NoDefaultServerHeader: true, Logger: discardLogger{}}
	peerHTTPServer := &http.Server{Handler: jobsrpc.NewJobsServer(peerServer{h}), ReadHeaderTimeout: joinTimeout}

	backgroundCtx, stop := context.WithCancel(context.Background())
	defer stop()
	h.background, backgroundCtx = errgroup.WithContext(backgroundCtx)
	h.background.Go(func() error { return errors.Wrap(callerServer.Serve(callerListener{callerSocket}), "serve callers") })
	h.background.Go(func() error { return errors.Wrap(managementServer.Serve(managementListener), "serve readiness checks") })
	h.background.Go(func() error {
		if err := peerHTTPServer.Serve(peerListener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve entry hosts")
		}
		return nil
	})
	h.background.Go(func() error { h.config.run(backgroundCtx); return nil })
	h.background.Go(func() error { h.startElections(backgroundCtx); return nil })
	h.log.Info("started", "callers", h.settings.CallerAddress, "peers", h.self.Address, "incarnation", h.self.Incarnation, "failure_domain", h.settings.FailureDomain)
	select {
	case <-ctx.Done():
	case <-backgroundCtx.Done():
		return h.background.Wait()
	}
	h.drain(callerServer)
	stop()
	// fasthttp waits for incomplete requests and for new connections without one.
	managementCtx, cancel := context.WithTimeout(context.Background(), managementShutdownTimeout)
	defer cancel()
	for _, err := range []error{peerHTTPServer.Close(), managementServer.ShutdownWithContext(managementCtx)} {
		if err != nil {
			h.log.Info("server did not close", "error", err.Error())
		}
	}
	return h.background.Wait()
}

// discardLogger discards the log of fasthttp, which reports errors on the
// connections of callers.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// notReadyReason returns why the load balancer should not send connections to this
// host, empty if it should.
func (h *Host) notReadyReason() string {
	if h.draining.Load() {
		return "draining"
	}
	config, _ := h.config.get()
	if config == nil {
		return "no configuration"
	}
	if !h.startedServing.Load() {
		for service := range config.Services {
			if !h.shards.known(service) {
				return "shards of " + service + " not known"
			}
		}
		h.startedServing.Store(true)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.elections {
		if s.pool == nil && !s.lastReply.IsZero() && time.Since(s.lastReply) > schedulerSilenceLimit+s.joinPause {
			return "scheduler of " + s.shard.String() + " not reached"
		}
	}
	return ""
}

// serveManagement serves the load balancer's checks, the metrics and the requests of
// operators.
func (h *Host) serveManagement(c *fasthttp.RequestCtx) {
	if string(c.Path()) == "/metrics" {
		h.writeMetrics(c)
		return
	}
	if h.serveOperator(c) {
		return
	}
	if reason := h.notReadyReason(); reason != "" {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString(reason)
	}
}

func (h *Host) count(name string) { h.add(name, 1) }

func (h *Host) add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, h.metricsRegistry).Inc(n)
}

// Parameters of the exponentially decaying samples behind the histograms, in which
// the last minutes weigh most.
const (
	sampleSize  = 256
	sampleAlpha = 0.015
)

func (h *Host) observeDuration(name string, d time.Duration) {
	sample := h.metricsRegistry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	sample.Update(int64(d))
}

func (h *Host) writeMetrics(c *fasthttp.RequestCtx) {
	fmt.Fprintf(c, "log.left_out %d\nlog.left_out.task %d\n", logging.DroppedLines(), logging.DroppedTaskLines())
	h.metricsRegistry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			fmt.Fprintf(c, "%s %d\n", name, m.Count())
		case metrics.Histogram:
			s := m.Snapshot()
			for _, q := range []float64{0.5, 0.9, 0.99} {
				fmt.Fprintf(c, "%s.seconds.p%g %.6f\n", name, q*100, s.Percentile(q)/float64(time.Second))
			}
			fmt.Fprintf(c, "%s.count %d\n", name, s.Count())
		}
	})
}
