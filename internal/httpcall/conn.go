package httpcall

import (
	"net"
	"sync/atomic"
	"syscall"
)

// countingConn counts the bytes written since the last reset. Bytes are counted
// before the write, because a write that fails may have sent a part of them.
type countingConn struct {
	net.Conn
	writtenBytes atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writtenBytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (c *countingConn) reset() { c.writtenBytes.Store(0) }

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
