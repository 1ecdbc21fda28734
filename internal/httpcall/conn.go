package httpcall

import (
	"net"
	"sync/atomic"
	"syscall"
)

// countingConn counts the bytes that a call has written. A failed write may
// have sent a part, so the bytes are counted before they are written.
type countingConn struct {
	net.Conn
	bytes atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (c *countingConn) reset() { c.bytes.Store(0) }

func (c *countingConn) written() int64 { return c.bytes.Load() }

// closedByPeer reports whether the peer has closed or broken the connection
// while it was idle. Without this check the first call on each connection
// after a restart of the server would end with ErrNoReply.
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
		// An idle connection has nothing to read but its end.
		closed = err == nil || (err != syscall.EAGAIN && err != syscall.EINTR)
		return true
	})
	return closed || err != nil
}
