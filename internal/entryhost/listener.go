package entryhost

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Delays after a failed accept. The maximum bounds the time for which a freed file
// descriptor stays unused; both limit the CPU time of a listener that gets none.
const (
	acceptBackoffMin = 5 * time.Millisecond
	acceptBackoffMax = 500 * time.Millisecond
)

// retryingListener retries an accept that failed because the system has no file
// descriptor or memory for a connection, as in a surge of callers. fasthttp stops
// serving on any such error, which ended the entry host.
type retryingListener struct {
	net.Listener
	// failures counts the accepts that failed and were retried.
	failures *atomic.Uint64
}

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	backoff := acceptBackoffMin
	for {
		conn, err := l.Listener.Accept()
		if !isRetriableAcceptError(err) {
			return conn, err
		}
		l.failures.Add(1)
		time.Sleep(backoff)
		backoff = min(2*backoff, acceptBackoffMax)
	}
}

// isRetriableAcceptError reports whether an accept may succeed later: there was no
// free file descriptor, buffer or memory, or the caller closed the connection
// first.
func isRetriableAcceptError(err error) bool {
	for _, code := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED,
	} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}
