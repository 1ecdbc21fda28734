// Package jobhost runs an entry host on the platform: it answers callers,
// schedules the services for which it is elected, and asks the policy service
// for the schedulers of others.
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

	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
	"github.com/laburnumpass/laburnumpass/platform"
)

const (
	// gcPercent makes the collector run more often than by default: memory is
	// paid for by its peak, processor time hardly.
	gcPercent = 50
	// memoryPart is the part of the memory, in percent, from which the collector
	// works harder; buffers of the system count toward the limit too.
	memoryPart = 70
	// readBuffer holds a caller's request header; the configuration allows
	// 16 KiB.
	readBuffer = 16 << 10
	// maxBody bounds a caller's request body, as today's configurations do.
	maxBody = 256 << 10
	// callerIdle is how long a caller's unused connection is kept.
	callerIdle = 30 * time.Second
	// drainLeast is how long a stopping host goes on to serve: the balancer
	// sends no new connections after two missed checks, 1 s apart.
	drainLeast = 2600 * time.Millisecond
	// drainReserve is the part of the grace period that is kept for the end.
	drainReserve = 900 * time.Millisecond
	// unreachedAfter is how long a scheduler may be silent before the host is
	// not ready: a takeover takes up to 2.5 s.
	unreachedAfter = 4 * time.Second
)

// Host is an entry host.
type Host struct {
	// settings are those of the start, current those that were read last.
	settings *Settings
	current  atomic.Pointer[Settings]
	log      logr.Logger
	self     lead.Holder
	store    *store.ReplyTracker
	config   *configuration
	advisor  atomic.Pointer[platform.PolicyClient]
	peers    *peers
	members  members
	// neighbours outlive the members that a scheduler here has.
	neighbours neighbours
	strongest  strongest
	registry   metrics.Registry
	clock      *timeline.Clock
	events     *timeline.Ring
	draining   atomic.Bool
	// longCall is set while this host makes a long call to the policy service.
	longCall atomic.Bool

	// claims has an element while this host claims a service.
	claims chan struct{}

	startedAt  time.Time
	background *errgroup.Group

	mu         sync.Mutex
	schedulers map[string]*scheduler
}

// New returns an entry host.
func New(s *Settings, log logr.Logger) *Host {
	h := &Host{
		settings: s, log: log.WithValues("host", s.Host),
		self:  lead.Holder{Host: s.Host, Address: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPorts[0])), Incarnation: uuid.NewString()},
		store: &store.ReplyTracker{Store: platform.NewStoreClient(s.StoreAddress)}, peers: newPeers(),
		claims: make(chan struct{}, 1), startedAt: time.Now(), registry: metrics.NewRegistry(), schedulers: make(map[string]*scheduler),
	}
	h.clock = timeline.NewClock(nil)
	h.events = timeline.NewRing(timelineEvents, h.clock)
	h.current.Store(s)
	h.setAdvisor(s.PolicyServiceAddress)
	h.config = newConfiguration(h.store, h.log)
	return h
}

// Run serves until ctx ends, then drains and returns. It returns an error if it
// cannot listen.
func (h *Host) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if h.settings.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(h.settings.MemoryMiB) << 20 * memoryPart / 100)
	}
	callers, err := net.Listen("tcp4", h.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	readiness, err := net.Listen("tcp4", h.settings.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	inner, err := net.Listen("tcp4", h.self.Address)
	if err != nil {
		return errors.Wrap(err, "listen for entry hosts")
	}
	callerServer := &fasthttp.Server{
		Handler: h.serveCaller, ReadBufferSize: readBuffer, MaxRequestBodySize: maxBody, IdleTimeout: callerIdle,
		CloseOnShutdown: true, NoDefaultServerHeader: true, Logger: quiet{},
	}
	readyServer := &fasthttp.Server{Handler: h.serveReadiness, NoDefaultServerHeader: true, Logger: quiet{}}
	peerServer := &http.Server{Handler: jobsrpc.NewJobsServer(peerServer{h}), ReadHeaderTimeout: joinTimeout}

	backgroundCtx, stop := context.WithCancel(context.Background())
	defer stop()
	h.background, backgroundCtx = errgroup.WithContext(backgroundCtx)
	h.background.Go(func() error { return errors.Wrap(callerServer.Serve(callers), "serve callers") })
	h.background.Go(func() error { return errors.Wrap(readyServer.Serve(readiness), "serve readiness checks") })
	h.background.Go(func() error {
		if err := peerServer.Serve(inner); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve entry hosts")
		}
		return nil
	})
	h.background.Go(func() error { h.config.run(backgroundCtx); return nil })
	h.background.Go(func() error { h.follow(backgroundCtx); return nil })
	h.log.Info("started", "callers", h.settings.CallerAddress, "peers", h.self.Address, "incarnation", h.self.Incarnation, "failure_domain", h.settings.FailureDomain)
	select {
	case <-ctx.Done():
	case <-backgroundCtx.Done():
		return h.background.Wait()
	}
	h.drain(callerServer)
	stop()
	for _, err := range []error{readyServer.Shutdown(), peerServer.Close()} {
		if err != nil {
			h.log.Info("listener did not close", "error", err.Error())
		}
	}
	return h.background.Wait()
}

// drain hands the services over and serves callers until their connections are
// closed or the grace period is nearly over.
func (h *Host) drain(callers *fasthttp.Server) {
	begin := time.Now()
	h.log.Info("draining", "connections", callers.GetOpenConnectionsCount())
	h.draining.Store(true)
	h.mu.Lock()
	for _, s := range h.schedulers {
		s.elector.Retire()
	}
	h.mu.Unlock()
	end := max(seconds(h.settings.GraceSeconds)-drainReserve, 0)
	for time.Since(begin) < end && (time.Since(begin) < drainLeast || callers.GetOpenConnectionsCount() > 0) {
		time.Sleep(50 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainReserve/2)
	defer cancel()
	if err := callers.ShutdownWithContext(ctx); err != nil {
		h.log.Info("connections cut at the end of the drain", "connections", callers.GetOpenConnectionsCount(), "error", err.Error())
	}
	h.log.Info("stopped", "took_ms", time.Since(begin).Milliseconds())
}

// quiet drops fasthttp's own log, which reports faults of callers' connections.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// notReady returns why the balancer should send no connections, empty if it
// should.
func (h *Host) notReady() string {
	if h.draining.Load() {
		return "draining"
	}
	current, _ := h.config.get()
	if current == nil {
		return "no configuration"
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.schedulers {
		if s.pool == nil && !s.reached.IsZero() && time.Since(s.reached) > unreachedAfter {
			return "scheduler of " + s.service + " not reached"
		}
	}
	return ""
}

// serveReadiness answers the balancer's checks, and operators.
func (h *Host) serveReadiness(c *fasthttp.RequestCtx) {
	if string(c.Path()) == "/metrics" {
		h.writeMetrics(c)
		return
	}
	if h.serveOperator(c) {
		return
	}
	if reason := h.notReady(); reason != "" {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString(reason)
	}
}

func (h *Host) count(name string) { metrics.GetOrRegisterCounter(name, h.registry).Inc(1) }

// Parameters of an exponentially decaying sample that favours the last minutes.
const (
	sampleSize  = 256
	sampleAlpha = 0.015
)

func (h *Host) observe(name string, d time.Duration) {
	sample := h.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	sample.Update(int64(d))
}

func (h *Host) writeMetrics(c *fasthttp.RequestCtx) {
	h.registry.Each(func(name string, metric any) {
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
