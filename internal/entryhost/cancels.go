package entryhost

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// errCancelled ends the wait for a placement of a request that was cancelled.
var errCancelled = errors.New("the request was cancelled")

// cancelTable notes which requests were cancelled while an attempt of them runs
// here. The attempt is then taken out of the queue, and a task that was stopped
// before it began is not placed again.
type cancelTable struct {
	mu      sync.Mutex
	running map[string]*cancellation
}

type cancellation struct {
	attempts int
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

func newCancelTable() *cancelTable {
	return &cancelTable{running: make(map[string]*cancellation)}
}

// begin notes an attempt. The returned context ends when the request is
// cancelled.
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

func (t *cancelTable) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.running[id]
	if c.attempts--; c.attempts == 0 {
		c.cancel(nil)
		delete(t.running, id)
	}
}

// cancel notes that no further task of a request that runs here may start.
func (t *cancelTable) cancel(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.running[id]; c != nil {
		c.cancel(errCancelled)
	}
}

// contextFor returns the context of begin, or one that does not end if no attempt runs
// here.
func (t *cancelTable) contextFor(id string) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.running[id]; c != nil {
		return c.ctx
	}
	return context.Background()
}

func (t *cancelTable) isCancelled(id string) bool { return t.contextFor(id).Err() != nil }
