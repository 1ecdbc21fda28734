package api

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// pathHealth answers as long as an entry host's process runs.
	pathHealth = "/healthz"
	// probeInterval is the time between two health checks of a host that has
	// requests waiting.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one health check.
	probeTimeout = 500 * time.Millisecond
	// probeFailures is the number of failed checks in a row after which a host
	// counts as silent. With the times above a frozen host is left after 1 to
	// 1.75 s, about when its peers have taken its place.
	probeFailures = 2
)

// errSilent means that a host accepted a request and then stopped to answer.
// The same ID may be sent to another host, whose record keeper joins it.
var errSilent = errors.New("the entry host has stopped to answer")

// host is one entry host address.
type host struct {
	http   *fasthttp.HostClient
	health *fasthttp.HostClient
	// aside is the Unix time in milliseconds until which the host is avoided.
	aside atomic.Int64

	mu      sync.Mutex
	waiting int
	probing bool
	// silent is closed when the host counts as silent, and then replaced.
	silent chan struct{}
}

func newHost(address string, o ClientOptions) *host {
	// The client retries by itself, within its budget.
	never := func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	return &host{
		http: &fasthttp.HostClient{
			Addr: address, Dial: o.Dial, MaxConns: o.MaxConns, MaxResponseBodySize: maxReplyBytes,
			MaxIdemponentCallAttempts: 1, RetryIfErr: never,
		},
		// The check has a connection of its own, since long requests may use up
		// the others.
		health: &fasthttp.HostClient{
			Addr: address, Dial: o.Dial, MaxConns: 1, MaxIdemponentCallAttempts: 1, RetryIfErr: never,
		},
		silent: make(chan struct{}),
	}
}

// enter counts a waiting request and returns a channel that is closed when the
// host stops to answer.
func (h *host) enter() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting++
	if !h.probing {
		h.probing = true
		go h.probe()
	}
	return h.silent
}

func (h *host) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting--
}

// probe checks the host while requests wait for it.
func (h *host) probe() {
	failures := 0
	for {
		time.Sleep(probeInterval)
		if h.idle() {
			return
		}
		if h.healthy() {
			failures = 0
			continue
		}
		if failures++; failures >= probeFailures {
			failures = 0
			h.giveUp()
		}
	}
}

// idle ends the probing if no request waits.
func (h *host) idle() bool {
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
	// Any reply shows that the process runs.
	return h.health.DoTimeout(req, resp, probeTimeout) == nil
}

func (h *host) giveUp() {
	h.aside.Store(time.Now().Add(asideTime).UnixMilli())
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.silent)
	h.silent = make(chan struct{})
}
