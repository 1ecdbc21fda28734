package entryhost

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// failingListener returns its errors from Accept one by one and then succeeds.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// TestListenerAccept guards against an entry host that terminates when it briefly
// has no file descriptor left, and against one that retries forever after its
// listener was closed.
func TestListenerAccept(t *testing.T) {
	acceptError := func(err error) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	for _, tc := range []struct {
		name     string
		errs     []error
		want     error
		failures uint64
	}{
		{"no file descriptors, then accepted", []error{acceptError(syscall.EMFILE), acceptError(syscall.ENFILE)}, nil, 2},
		{"aborted by the caller", []error{acceptError(syscall.ECONNABORTED)}, nil, 1},
		{"no file descriptors, then closed", []error{acceptError(syscall.EMFILE), net.ErrClosed}, net.ErrClosed, 1},
		{"other error", []error{acceptError(syscall.EINVAL)}, syscall.EINVAL, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var failures atomic.Uint64
			_, err := retryingListener{&failingListener{errs: tc.errs}, &failures}.Accept()
			require.True(t, errors.Is(err, tc.want), "%v", err)
			require.Equal(t, tc.failures, failures.Load())
		})
	}
}
