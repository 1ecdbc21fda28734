package standin

import (
	"net"
	"sync"
)

// countingListener counts the open connections and can close them.
type countingListener struct {
	net.Listener
	journal *Journal

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
}

func newCountingListener(inner net.Listener, journal *Journal) *countingListener {
	return &countingListener{Listener: inner, journal: journal, conns: make(map[net.Conn]struct{})}
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
	return c.Conn.Close()
}
