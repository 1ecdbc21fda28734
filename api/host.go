package api

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// pathHealth is answered as long as the entry host's process runs.
	pathHealth = "/healthz"
	// probeInterval is the time between two health checks of a host while
	// requests wait for its reply.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one health check.
	probeTimeout = 500 * time.Millisecond
	// probeFailures is the number of consecutive failed checks after which a
	// host counts as unresponsive. With the times above the client abandons a
	// frozen host after 1 to 1.75 s, about when its peers have taken over.
	probeFailures = 2
)

// errUnresponsive means that a host accepted a request and then stopped
// responding. The request may be sent to another host under the same ID; the
// record keeper then joins it to the first attempt.
var errUnresponsive = errors.New("the entry host accepted the request and stopped responding")

// host holds the connections to one entry host address and its health state.
type host struct {
	http   *fasthttp.HostClient
	health *fasthttp.HostClient
	// avoidUntil is the Unix time in milliseconds until which the host is avoided.
	avoidUntil atomic.Int64

	mu      sync.Mutex
	waiting int
	probing bool
	// unresponsive is closed when the host is found unresponsive, and then
	// replaced by a new channel.
	unresponsive chan struct{}
}

func newHost(address string, o ClientOptions) *host {
	// Disable fasthttp's retries: Client retries within its own budget.
	neverRetry := func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	return &host{
		http: &fasthttp.HostClient{
			Addr: address, Dial: o.Dial, MaxConns: o.MaxConns, MaxResponseBodySize: maxReplyBytes,
			MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry,
		},
		// Health checks use a separate connection, because long requests may
		// occupy all of the others.
		health: &fasthttp.HostClient{
			Addr: address, Dial: o.Dial, MaxConns: 1, MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry,
		},
		unresponsive: make(chan struct{}),
	}
}

// beginRequest counts a waiting request, starts the health checks if none run,
// and returns a channel that is closed when the host stops responding.
func (h *host) beginRequest() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting++
	if !h.probing {
		h.probing = true
		go h.probe()
	}
	return h.unresponsive
}

func (h *host) endRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting--
}

// probe checks the host's health until no request waits for it.
func (h *host) probe() {
	failures := 0
	for {
		time.Sleep(probeInterval)
		if h.stopProbingIfIdle() {
			return
		}
		if h.healthy() {
			failures = 0
			continue
		}
		if failures++; failures >= probeFailures {
			failures = 0
			h.markUnresponsive()
		}
	}
}

// stopProbingIfIdle marks the health checks as ended if no request waits, and
// reports whether it did; probe must then return.
func (h *host) stopProbingIfIdle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing = h.waiting > 0
	return !h.probing
}

func (h *host) healthy() bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + h.health.Addr + pathHealth)
	// A reply with any status shows that the process runs.
	return h.health.DoTimeout(req, resp, probeTimeout) == nil
}

func (h *host) markUnresponsive() {
	h.avoidUntil.Store(time.Now().Add(avoidDuration).UnixMilli())
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.unresponsive)
	h.unresponsive = make(chan struct{})
}
