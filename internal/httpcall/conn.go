package httpcall

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// countingConn counts the bytes written since the last reset. Bytes are counted
// before the write, because a write that fails may have sent a part of them.
// Reads end when no byte arrives for longer than limits allow.
type countingConn struct {
	net.Conn
	writtenBytes atomic.Int64
	// limits are those of the current call, and receivedBytes counts its reply. Both
	// are set between calls, and used by the goroutine that makes the call.
	limits        silenceLimits
	receivedBytes int64
}

// silenceLimits bound how long a server may send nothing: until the first byte of its
// reply, and between two parts of it. 0 means no bound.
type silenceLimits struct{ first, later time.Duration }

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writtenBytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	limit := c.limits.first
	if c.receivedBytes > 0 {
		limit = c.limits.later
	}
	if limit > 0 {
		if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.receivedBytes += int64(n)
	return n, err
}

// reset prepares an idle connection for the next call.
func (c *countingConn) reset(limits silenceLimits) {
	c.writtenBytes.Store(0)
	c.limits, c.receivedBytes = limits, 0
	_ = c.SetReadDeadline(time.Time{}) // fails on a closed connection, which the call notices
}

func (c *countingConn) written() int64 { return c.writtenBytes.Load() }

// closedByPeer reports whether the peer closed or reset the connection while it
// was idle. Without this check, the first call on each connection after a
// restart of the server would fail with ErrNoReply.
func (c *countingConn) closedByPeer() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// On an idle connection only the end of the stream can be read.
		closed = err == nil || (err != syscall.EAGAIN && err != syscall.EINTR)
		return true
	})
	return closed || err != nil
}
