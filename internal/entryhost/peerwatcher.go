package entryhost

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// errPeerDead is the cause with which calls to a peer that is declared dead end.
var errPeerDead = errors.New("the entry host was declared dead")

// peerWatcher cancels calls to peers that are declared dead. A hung process keeps
// its connections open, so a call would otherwise wait until the caller's
// deadline.
type peerWatcher struct {
	mu       sync.Mutex
	contexts map[string]*peerContext
}

// peerContext is a context that lasts while a peer is live or leaving.
type peerContext struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newPeerWatcher() *peerWatcher {
	return &peerWatcher{contexts: make(map[string]*peerContext)}
}

// setServingHosts sets the live and the leaving hosts of the failure domain. It
// cancels the calls to all others. A leaving host still answers the calls in
// progress, and may be the only one that gets the answer of a task.
func (w *peerWatcher) setServingHosts(serving []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, peer := range w.contexts {
		if !slices.Contains(serving, name) {
			peer.cancel(errPeerDead)
			delete(w.contexts, name)
		}
	}
	for _, name := range serving {
		if w.contexts[name] == nil {
			ctx, cancel := context.WithCancelCause(context.Background())
			w.contexts[name] = &peerContext{ctx, cancel}
		}
	}
}

// contextWhileServing returns a context that also ends when peer is declared dead. For
// peers of other failure domains, which are not watched, it only ends with ctx.
func (w *peerWatcher) contextWhileServing(ctx context.Context, peer string) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	watched := w.contexts[peer]
	w.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	if watched == nil {
		return ctx, func() { cancel(nil) }
	}
	unregister := context.AfterFunc(watched.ctx, func() { cancel(errPeerDead) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}
