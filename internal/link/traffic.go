package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrTooLarge means that a message between entry hosts exceeds MaxMessageBytes.
// A request that is too large was not sent.
var ErrTooLarge = errors.New("message between entry hosts is too large")

// MessageOverhead is an estimate of the bytes that a message adds to its body:
// about 25 for HTTP/2 frames and compressed headers, and 52 for TCP and IP.
const MessageOverhead = 80

// TrafficCounts is the number of messages and bytes of one kind of traffic. The
// bytes include an estimate for headers. A call is one message in each
// direction.
type TrafficCounts struct {
	SentMessages, SentBytes         int64
	ReceivedMessages, ReceivedBytes int64
}

// Stats is the traffic with all peers: heartbeats and other calls.
type Stats struct {
	Heartbeat, Other TrafficCounts
	// CrossRegionBytesPerSecond is the limit of the traffic with other regions.
	// CrossRegionBudgetBytes is the unused part of it, at most the amount for
	// one second; while it is negative, calls other than heartbeats wait.
	CrossRegionBytesPerSecond, CrossRegionBudgetBytes int64
}

type counters struct {
	sentMessages, sentBytes         atomic.Int64
	receivedMessages, receivedBytes atomic.Int64
}

func (c *counters) snapshot() TrafficCounts {
	return TrafficCounts{c.sentMessages.Load(), c.sentBytes.Load(), c.receivedMessages.Load(), c.receivedBytes.Load()}
}

type traffic struct {
	heartbeat, other counters
}

// newHTTPClient returns a client with at most conns connections. Its messages are
// counted in c. If limiter is not nil, they are also taken from limiter, without
// waiting if neverWaits is set. timeout applies to requests whose context has no
// deadline.
func (p *Peers) newHTTPClient(conns int, timeout time.Duration, c *counters, limiter *tokenBucket, neverWaits bool) *http.Client {
	t := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: p.opts.DialTimeout}).DialContext,
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: 8 << 10,
		DisableCompression:     true,
		Protocols:              Protocols(),
	}
	p.transports = append(p.transports, t)
	return &http.Client{
		Transport: &meteredTransport{
			next: t, counters: c, limiter: limiter, neverWaits: neverWaits,
			timeout: timeout, maxBytes: p.opts.MaxMessageBytes,
		},
	}
}

// Protocols returns the protocols used between entry hosts: HTTP/2 without TLS.
// Many concurrent calls wait for a task, which would take a connection each
// over HTTP/1.1. HTTP/2 also compresses the repeated headers of heartbeats to a
// few bytes.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// meteredTransport counts and limits the messages of one client.
type meteredTransport struct {
	next     http.RoundTripper
	counters *counters
	// limiter is nil for peers in the same region.
	limiter *tokenBucket
	// neverWaits is set for heartbeats: they take tokens without waiting.
	neverWaits bool
	// timeout applies to requests whose context has no deadline.
	timeout  time.Duration
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (m *meteredTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.ContentLength > m.maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "request of %d bytes", req.ContentLength)
	}
	cancel := func() {}
	if _, ok := req.Context().Deadline(); !ok {
		var ctx context.Context
		ctx, cancel = context.WithTimeout(req.Context(), m.timeout)
		req = req.WithContext(ctx)
	}
	resp, err := m.send(req)
	if err != nil {
		cancel()
		return nil, err
	}
	m.counters.receivedMessages.Add(1)
	m.countReceived(MessageOverhead)
	resp.Body = &meteredBody{ReadCloser: resp.Body, meter: m, remaining: m.maxBytes, cancel: cancel}
	return resp, nil
}

func (m *meteredTransport) send(req *http.Request) (*http.Response, error) {
	size := max(req.ContentLength, 0) + MessageOverhead
	if m.limiter != nil {
		if m.neverWaits {
			m.limiter.forceTake(size)
		} else if err := m.limiter.wait(req.Context(), size); err != nil {
			return nil, err
		}
	}
	m.counters.sentMessages.Add(1)
	m.counters.sentBytes.Add(size)
	return m.next.RoundTrip(req)
}

func (m *meteredTransport) countReceived(n int64) {
	m.counters.receivedBytes.Add(n)
	if m.limiter != nil {
		m.limiter.forceTake(n)
	}
}

// meteredBody counts the bytes of a reply's body and returns ErrTooLarge beyond
// the limit.
type meteredBody struct {
	io.ReadCloser
	meter     *meteredTransport
	remaining int64
	cancel    func()
}

// Close implements io.Closer.
func (b *meteredBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.meter.countReceived(int64(n))
	if b.remaining -= int64(n); b.remaining < 0 {
		return n, ErrTooLarge
	}
	return n, err
}

// tokenBucket is a token bucket that counts bytes. Its capacity is the amount
// for one second. Its level may be negative.
type tokenBucket struct {
	rate float64
	now  func() time.Time

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

func newTokenBucket(bytesPerSecond int64, now func() time.Time) *tokenBucket {
	return &tokenBucket{rate: float64(bytesPerSecond), now: now, tokens: float64(bytesPerSecond), lastRefill: now()}
}

// forceTake takes n bytes even if this makes the level negative. It returns the
// time until the level is zero again.
func (b *tokenBucket) forceTake(n int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens -= float64(n)
	return b.untilNonNegative()
}

// refill adds the tokens for the time since the last refill. The lock must be
// held.
func (b *tokenBucket) refill() {
	now := b.now()
	b.tokens = min(b.tokens+now.Sub(b.lastRefill).Seconds()*b.rate, b.rate)
	b.lastRefill = now
}

// available returns the level of the bucket in bytes. It may be negative.
func (b *tokenBucket) available() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return int64(b.tokens)
}

// untilNonNegative returns the time until the level is no longer negative. The
// lock must be held.
func (b *tokenBucket) untilNonNegative() time.Duration {
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// wait takes n bytes once the level is not negative. If ctx ends first, or its
// deadline is certain to pass first, wait takes nothing and returns the
// context's error.
func (b *tokenBucket) wait(ctx context.Context, n int64) error {
	for {
		b.mu.Lock()
		b.refill()
		d := b.untilNonNegative()
		if d == 0 {
			b.tokens -= float64(n)
		}
		b.mu.Unlock()
		if d == 0 {
			return nil
		}
		if deadline, ok := ctx.Deadline(); ok && deadline.Sub(b.now()) < d {
			return context.DeadlineExceeded
		}
		timer := time.NewTimer(d)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}
