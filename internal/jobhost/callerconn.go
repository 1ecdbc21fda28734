package jobhost

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// discardTimeout and maxDiscardedBytes bound what a host reads of a request that it
	// has answered without reading all of it.
	discardTimeout    = 500 * time.Millisecond
	maxDiscardedBytes = 1 << 20
)

// callerListener accepts the connections of callers.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &callerConn{TCPConn: tcp}, nil
	}
	return c, err
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	// unreadInput is set if the last request was answered before all of it was read.
	unreadInput atomic.Bool
}

// Close implements net.Conn. Closing a connection with unread bytes resets it, and the
// caller may then not see the reply, so they are read first.
func (c *callerConn) Close() error {
	if c.unreadInput.Load() && c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxDiscardedBytes) // ends with an error in most cases
	}
	return c.TCPConn.Close()
}

// newCallerServer returns the server for the requests of callers.
func (h *Host) newCallerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: h.serveCaller, ErrorHandler: serveUnreadable, ReadBufferSize: callerReadBuffer, MaxRequestBodySize: maxBodyBytes, IdleTimeout: callerIdleTimeout,
		CloseOnShutdown: true, NoDefaultServerHeader: true, Logger: discardLogger{}, SecureErrorLogMessage: true, // headers contain API keys
	}
}

// serveUnreadable replies to a request that cannot be read.
func serveUnreadable(c *fasthttp.RequestCtx, err error) {
	if conn, ok := c.Conn().(*callerConn); ok {
		conn.unreadInput.Store(true)
	}
	var header *fasthttp.ErrSmallBuffer
	var network *net.OpError
	switch {
	case errors.As(err, &header):
		c.Error("Too big request header", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &network) && network.Timeout():
		c.Error("Request timeout", fasthttp.StatusRequestTimeout)
	default:
		c.Error("Error when parsing request", fasthttp.StatusBadRequest)
	}
}
