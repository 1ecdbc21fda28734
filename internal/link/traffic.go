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

// ErrTooLarge means that a message between entry hosts exceeds its bound. A
// request that is too large was not sent.
var ErrTooLarge = errors.New("message between entry hosts is too large")

// MessageOverhead is an estimate in bytes of what a message adds to its body:
// about 25 of HTTP/2 frames and compressed headers, and 52 of TCP and IP.
const MessageOverhead = 80

// TrafficCounts is traffic of one purpose, in messages and in bytes with an estimate
// for headers. A call is one message in each direction.
type TrafficCounts struct {
	SentMessages, SentBytes         int64
	ReceivedMessages, ReceivedBytes int64
}

// Stats is the traffic with all peers by purpose.
type Stats struct {
	Heartbeat, Other TrafficCounts
	// CrossRegionBytesPerSecond bounds the traffic with other regions. CrossRegionBudgetBytes is
	// what is left of it, at most one second's worth; below zero calls other
	// than heartbeats wait.
	CrossRegionBytesPerSecond, CrossRegionBudgetBytes int64
}

type counters struct {
	sentMessages, sentBytes         atomic.Int64
	receivedMessages, receivedBytes atomic.Int64
}

func (c *counters) read() TrafficCounts {
	return TrafficCounts{c.sentMessages.Load(), c.sentBytes.Load(), c.receivedMessages.Load(), c.receivedBytes.Load()}
}

type traffic struct {
	heartbeat, other counters
}

func (s *Set) newHTTPClient(conns int, timeout time.Duration, c *counters, limit *bucket, urgent bool) *http.Client {
	t := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: s.opts.DialTimeout}).DialContext,
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: 8 << 10,
		DisableCompression:     true,
		Protocols:              Protocols(),
	}
	s.idle = append(s.idle, t)
	return &http.Client{
		Transport: &meter{
			next: t, counters: c, limit: limit, urgent: urgent,
			timeout: timeout, maxBytes: s.opts.MaxMessageBytes,
		},
	}
}

// Protocols returns the protocols between entry hosts: HTTP/2 without TLS. Many
// calls wait for a task at one time, which over HTTP/1.1 would take a
// connection each, and a heartbeat's repeated headers shrink to a few bytes.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// meter counts and bounds the messages of one client.
type meter struct {
	next     http.RoundTripper
	counters *counters
	// limit is nil inside the region.
	limit *bucket
	// urgent messages take from the bucket without waiting.
	urgent bool
	// timeout applies to requests whose context has no deadline.
	timeout  time.Duration
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (m *meter) RoundTrip(req *http.Request) (*http.Response, error) {
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
	m.received(MessageOverhead)
	resp.Body = &meteredBody{ReadCloser: resp.Body, meter: m, left: m.maxBytes, cancel: cancel}
	return resp, nil
}

func (m *meter) send(req *http.Request) (*http.Response, error) {
	size := max(req.ContentLength, 0) + MessageOverhead
	if m.limit != nil {
		if m.urgent {
			m.limit.take(size)
		} else if err := m.limit.wait(req.Context(), size); err != nil {
			return nil, err
		}
	}
	m.counters.sentMessages.Add(1)
	m.counters.sentBytes.Add(size)
	return m.next.RoundTrip(req)
}

func (m *meter) received(n int64) {
	m.counters.receivedBytes.Add(n)
	if m.limit != nil {
		m.limit.take(n)
	}
}

// meteredBody counts a reply's body and fails beyond its bound.
type meteredBody struct {
	io.ReadCloser
	meter  *meter
	left   int64
	cancel func()
}

// Close implements io.Closer.
func (b *meteredBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.meter.received(int64(n))
	if b.left -= int64(n); b.left < 0 {
		return n, ErrTooLarge
	}
	return n, err
}

// bucket is a token bucket in bytes. It holds at most one second's worth.
type bucket struct {
	rate float64
	now  func() time.Time

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

func newBucket(bytesPerSecond int64, now func() time.Time) *bucket {
	return &bucket{rate: float64(bytesPerSecond), now: now, tokens: float64(bytesPerSecond), filled: now()}
}

// take takes n bytes, also if the bucket goes below zero, and returns the time
// until it is back at zero.
func (b *bucket) take(n int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	b.tokens -= float64(n)
	return b.delay()
}

func (b *bucket) fill() {
	now := b.now()
	b.tokens = min(b.tokens+now.Sub(b.filled).Seconds()*b.rate, b.rate)
	b.filled = now
}

// left returns the bytes in the bucket.
func (b *bucket) left() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	return int64(b.tokens)
}

func (b *bucket) delay() time.Duration {
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// wait takes n bytes once the bucket is not below zero. It returns the
// context's error, having taken nothing, if ctx ends first or is certain to.
func (b *bucket) wait(ctx context.Context, n int64) error {
	for {
		b.mu.Lock()
		b.fill()
		d := b.delay()
		if d == 0 {
			b.tokens -= float64(n)
		}
		b.mu.Unlock()
		if d == 0 {
			return nil
		}
		if end, ok := ctx.Deadline(); ok && end.Sub(b.now()) < d {
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
