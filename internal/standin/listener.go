package standin

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// countingListener tracks its open connections, counts them in the journal and
// can close them.
type countingListener struct {
	net.Listener
	journal *Journal

	mu     sync.Mutex
	closed bool
	conns  map[*countedConn]struct{}
}

func newCountingListener(inner net.Listener, journal *Journal) *countingListener {
	return &countingListener{Listener: inner, journal: journal, conns: make(map[*countedConn]struct{})}
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &countedConn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = inner.Close()
		return nil, net.ErrClosed
	}
	l.conns[conn] = struct{}{}
	if l.journal != nil {
		l.journal.addConnections(1)
	}
	return conn, nil
}

// Close implements net.Listener.
func (l *countingListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	return l.Listener.Close()
}

func (l *countingListener) closeConnections() {
	l.mu.Lock()
	conns := make([]net.Conn, 0, len(l.conns))
	for conn := range l.conns {
		conns = append(conns, conn)
	}
	l.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// countedConn is an open connection of a countingListener.
type countedConn struct {
	net.Conn
	listener *countingListener

	// readMu is held while the connection is read, also for cutOff.
	readMu sync.Mutex
	// request is what was read since the last complete reply. readMu guards it.
	request []byte

	mu sync.Mutex
	// wrote is set when the reply to the request has begun.
	wrote    bool
	isCutOff bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	l := c.listener
	l.mu.Lock()
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		if l.journal != nil {
			l.journal.addConnections(-1)
		}
	}
	l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCutOff {
		// cutOff still reads and then closes it.
		return nil
	}
	return c.Conn.Close()
}

// notifyOnClose calls closed once if the peer closes the connection before stop
// is called. Without it, the connection of a caller that has given up would
// count as open until its call ends. Nothing else may read from the connection
// until stop returns.
func (c *countedConn) notifyOnClose(closed func()) (stop func()) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		ended := false
		err := raw.Read(func(fd uintptr) bool {
			n, err := peek(int(fd))
			ended = n == 0 || err != nil
			return err != syscall.EAGAIN
		})
		if err == nil && ended {
			closed()
		}
	}()
	return func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// peek returns the number of bytes that can be read without blocking, at most
// 1, or 0 at the end of the stream. It doesn't consume them.
func peek(fd int) (int, error) {
	for {
		n, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return n, err
		}
	}
}
