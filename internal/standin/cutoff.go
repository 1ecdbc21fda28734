package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/worker"
	"github.com/laburnumpass/laburnumpass/internal/worker/httpworker"
)

// cutOffReadTime is how long a connection is read after it was cut off. It exceeds the
// 5 s after which clients close an idle connection.
const cutOffReadTime = 10 * time.Second

// cutOffConnections cuts all connections off, as a crash of the process does, and passes
// the requests without a complete reply to cutOff.
func (l *countingListener) cutOffConnections(cutOff func(request []byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		delete(l.conns, conn)
		if l.journal != nil {
			l.journal.addConnections(-1)
		}
		conn.cutOff(cutOff)
	}
}

// cutOff ends a connection without losing replies that were written before. No further
// reply is written. What the peer has sent, or sends before it learns of the end, is
// still read, to learn which call was cut off.
func (c *countedConn) cutOff(report func(request []byte)) {
	past := time.Unix(1, 0)
	_ = c.SetWriteDeadline(past)
	c.mu.Lock()
	c.isCutOff = true
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(past)
	go func() {
		c.readMu.Lock()
		defer c.readMu.Unlock()
		request := append(c.request, c.readRest()...)
		_ = c.Conn.Close()
		if len(request) > 0 {
			report(request)
		}
	}()
}

// readRest reads until the peer closes the connection, for at most cutOffReadTime.
func (c *countedConn) readRest() []byte {
	var out []byte
	buf := make([]byte, 4096)
	for end := time.Now().Add(cutOffReadTime); ; {
		_ = c.SetReadDeadline(end)
		n, err := c.Conn.Read(buf)
		out = append(out, buf[:n]...)
		// The handler of the call in progress sets deadlines too; see notifyOnClose.
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || time.Now().After(end)) {
			return out
		}
	}
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.mu.Lock()
	if c.wrote {
		// The server reads again only when the reply is written.
		c.request, c.wrote = nil, false
	}
	cut := c.isCutOff
	c.mu.Unlock()
	if cut {
		return 0, errors.WithStack(net.ErrClosed)
	}
	n, err := c.Conn.Read(b)
	c.request = append(c.request, b[:n]...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCutOff {
		return 0, errors.WithStack(net.ErrClosed)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCutOff {
		return 0, errors.WithStack(net.ErrClosed)
	}
	c.wrote = true
	return c.Conn.Write(b)
}

// recordCutOff records the start call in a request that was cut off. Other calls and
// requests that were not sent whole are ignored.
func (w *Worker) recordCutOff(at time.Time, request []byte) {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(request)))
	if err != nil || req.URL.Path != httpworker.PathStart {
		return
	}
	defer req.Body.Close()
	var start worker.StartRequest
	if json.NewDecoder(req.Body).Decode(&start) == nil {
		w.journal.add(Event{Kind: EventCutOff, Time: at, Epoch: start.Epoch, Task: start.Task, Resources: start.Resources})
	}
}
