package entryhost

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// errCancelled is the cause with which the placement of a cancelled request ends.
var errCancelled = errors.New("the request was cancelled")

// cancelTable records which requests were cancelled while this host runs an attempt
// of them. The attempt is then removed from the queue, and a task that was stopped
// before it started is not placed again.
type cancelTable struct {
	mu      sync.Mutex
	running map[string]*cancellation
}

// cancellation is the cancellation state of a request with attempts on this host.
type cancellation struct {
	attempts int
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

func newCancelTable() *cancelTable {
	return &cancelTable{running: make(map[string]*cancellation)}
}

// begin registers an attempt of a request. The returned context ends when the
// request is cancelled.
func (t *cancelTable) begin(id string) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.running[id]
	if c == nil {
		c = &cancellation{}
		c.ctx, c.cancel = context.WithCancelCause(context.Background())
		t.running[id] = c
	}
	c.attempts++
	return c.ctx
}

// end removes an attempt that begin registered. The state of the request is dropped
// with its last attempt.
func (t *cancelTable) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.running[id]
	if c.attempts--; c.attempts == 0 {
		c.cancel(nil)
		delete(t.running, id)
	}
}

// cancel marks a request as cancelled, so that no further task of it starts. It has
// no effect unless an attempt of the request is registered.
func (t *cancelTable) cancel(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.running[id]; c != nil {
		c.cancel(errCancelled)
	}
}

// contextFor returns the context that begin returned for a request, or one that
// never ends if no attempt of it is registered.
func (t *cancelTable) contextFor(id string) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.running[id]; c != nil {
		return c.ctx
	}
	return context.Background()
}

func (t *cancelTable) isCancelled(id string) bool { return t.contextFor(id).Err() != nil }
