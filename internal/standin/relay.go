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
	// relayChunkBytes and relayChunks bound the bytes in transit in each
	// direction of a connection, 2 MiB.
	relayChunkBytes = 32 << 10
	relayChunks     = 64
)

// LinkRelay relays TCP connections from a loopback port to a target and can
// cut the link. Its methods may be called concurrently.
type LinkRelay struct {
	target   string
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// healed is nil unless the link is cut; closed when it heals.
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
		return nil, errors.Wrap(err, "open the relay's port")
	}
	r := &LinkRelay{target: target, listener: listener, conns: make(map[net.Conn]struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the address that stands for the target.
func (r *LinkRelay) Address() string { return r.listener.Addr().String() }

// Cut stops all bytes in both directions, also those in transit, as a network
// does that drops all packets. Open connections stay open. New ones are
// accepted, as the relay can't delay the handshake, but carry nothing and are
// closed by Heal.
func (r *LinkRelay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healed == nil && r.ctx.Err() == nil {
		r.healed = make(chan struct{})
	}
}

// Heal ends a cut. The bytes that were held arrive, as TCP sends them again.
func (r *LinkRelay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healed != nil {
		close(r.healed)
		r.healed = nil
	}
}

// SetDelay sets the one-way delay of the bytes that arrive from now on.
func (r *LinkRelay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Bytes returns the numbers of bytes that were sent on to the target and to
// the callers.
func (r *LinkRelay) Bytes() (toTarget, toCaller uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.toTarget, r.toCaller
}

// CloseConnections closes the open connections, as a restart of the target
// does. New ones are accepted.
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
	if healed := r.cut(); healed != nil {
		// Close heals the link too, so that this goroutine always ends.
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
		r.copy(caller, target, &r.toCaller)
	}()
	r.copy(target, caller, &r.toTarget)
}

// chunk is data that is due at a time.
type chunk struct {
	data []byte
	due  time.Time
}

// copy relays one direction and then closes both connections.
func (r *LinkRelay) copy(dst, src net.Conn, count *uint64) {
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
		if wait(r.ctx, time.Until(c.due)) != nil {
			break
		}
		r.waitHealed()
		// Counted before the write, so that the count is never behind what the
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
		// Empties the channel so that the reader ends.
	}
}

// cut returns nil, or a channel that is closed when the cut link heals.
func (r *LinkRelay) cut() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healed
}

func (r *LinkRelay) waitHealed() {
	for healed := r.cut(); healed != nil; healed = r.cut() {
		<-healed
	}
}

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
