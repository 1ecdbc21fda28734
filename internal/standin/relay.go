package standin

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// relayChunkBytes and relayChunks limit the bytes in transit in each
	// direction of a connection to 2 MiB.
	relayChunkBytes = 32 << 10
	relayChunks     = 64
)

// LinkRelay is a TCP proxy from a loopback port to a target. It can simulate a
// network partition (Cut and Heal) and a delay, and counts the bytes. Its
// methods may be called concurrently.
type LinkRelay struct {
	target   string
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// healed is nil unless the link is cut; it is closed when the link heals.
	healed   chan struct{}
	delay    time.Duration
	conns    map[net.Conn]struct{}
	toTarget uint64
	toCaller uint64
	wg       sync.WaitGroup
}

// NewLinkRelay starts a relay to target, an IP address and port. It returns an
// error if no loopback port can be opened.
func NewLinkRelay(target string) (*LinkRelay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on a loopback port for the relay")
	}
	r := &LinkRelay{target: target, listener: listener, conns: make(map[net.Conn]struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the address to connect to in place of the target's.
func (r *LinkRelay) Address() string { return r.listener.Addr().String() }

// Cut holds back all bytes in both directions, including those in transit, like
// a network that drops all packets. Open connections stay open. New ones are
// accepted, because the relay can't delay the TCP handshake, but they carry no
// data and are closed by Heal.
func (r *LinkRelay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healed == nil && r.ctx.Err() == nil {
		r.healed = make(chan struct{})
	}
}

// Heal ends a cut. The bytes that were held back are delivered, as TCP would
// retransmit them.
func (r *LinkRelay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healed != nil {
		close(r.healed)
		r.healed = nil
	}
}

// SetDelay sets the one-way delay for bytes that arrive from now on.
func (r *LinkRelay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Bytes returns the numbers of bytes forwarded to the target and to the callers.
func (r *LinkRelay) Bytes() (toTarget, toCaller uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.toTarget, r.toCaller
}

// CloseConnections closes the open connections, as a restart of the target
// would. New ones are still accepted.
func (r *LinkRelay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// Close closes the port and all connections, and waits until the relay's
// goroutines have ended.
func (r *LinkRelay) Close() error {
	r.cancel()
	err := r.listener.Close()
	r.CloseConnections()
	r.Heal()
	r.wg.Wait()
	return errors.WithStack(err)
}

func (r *LinkRelay) accept() {
	defer r.wg.Done()
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go r.serve(conn)
	}
}

// serve relays one connection.
func (r *LinkRelay) serve(caller net.Conn) {
	defer r.wg.Done()
	if !r.track(caller) {
		return
	}
	defer r.untrack(caller)
	if healed := r.healedChannel(); healed != nil {
		// Close also heals the link, so this goroutine always ends.
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			<-healed
			_ = caller.Close()
		}()
		_, _ = io.Copy(io.Discard, caller)
		return
	}
	target, err := net.DialTimeout("tcp", r.target, 5*time.Second)
	if err != nil || !r.track(target) {
		return
	}
	defer r.untrack(target)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.relayDirection(caller, target, &r.toCaller)
	}()
	r.relayDirection(target, caller, &r.toTarget)
}

// chunk is data to be forwarded at the time due.
type chunk struct {
	data []byte
	due  time.Time
}

// relayDirection forwards the bytes from src to dst, adds them to count, and
// closes both connections at the end.
func (r *LinkRelay) relayDirection(dst, src net.Conn, count *uint64) {
	chunks := make(chan chunk, relayChunks)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer close(chunks)
		for {
			buf := make([]byte, relayChunkBytes)
			n, err := src.Read(buf)
			if n > 0 {
				r.mu.Lock()
				delay := r.delay
				r.mu.Unlock()
				chunks <- chunk{buf[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if sleep(r.ctx, time.Until(c.due)) != nil {
			break
		}
		r.waitHealed()
		// Count before the write, so that the count is never lower than what the
		// receiver has seen.
		r.mu.Lock()
		*count += uint64(len(c.data))
		r.mu.Unlock()
		if _, err := dst.Write(c.data); err != nil {
			break
		}
	}
	r.waitHealed()
	_ = dst.Close()
	_ = src.Close()
	for range chunks {
		// Drain the channel so that the reading goroutine ends.
	}
}

// healedChannel returns nil, or, if the link is cut, a channel that is closed
// when it heals.
func (r *LinkRelay) healedChannel() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healed
}

func (r *LinkRelay) waitHealed() {
	for healed := r.healedChannel(); healed != nil; healed = r.healedChannel() {
		<-healed
	}
}

// track adds an open connection. It closes the connection and returns false if
// the relay is closed.
func (r *LinkRelay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		_ = conn.Close()
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *LinkRelay) untrack(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}
