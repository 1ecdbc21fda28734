package entryhost

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// The pauses after a failed accept. They bound the time in which a freed file
// descriptor is not used, and the processor time of a listener without any.
const (
	acceptBackoffMin = 5 * time.Millisecond
	acceptBackoffMax = 500 * time.Millisecond
)

// retryingListener goes on when the system has no file descriptor or memory for a
// connection, as in a surge of callers. fasthttp takes any such error for the
// end of the listener, which ended the entry host.
type retryingListener struct {
	net.Listener
	// failures counts accepts that failed for lack of resources.
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

// isRetriableAcceptError tells whether an accept may succeed later: without a free
// file descriptor, buffer or memory, or when the caller was gone before.
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
