package entryhost

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// errPeerDead ends the calls that wait for a peer when it is declared dead.
var errPeerDead = errors.New("the entry host was declared dead")

// peerWatcher ends calls to peers that are declared dead. A frozen process keeps
// its connections open, so that without it a call would wait for the caller's
// whole deadline.
type peerWatcher struct {
	mu       sync.Mutex
	contexts map[string]*peerContext
}

type peerContext struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newPeerWatcher() *peerWatcher {
	return &peerWatcher{contexts: make(map[string]*peerContext)}
}

// setLiveHosts takes in the live hosts of the failure domain.
func (w *peerWatcher) setLiveHosts(live []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, peer := range w.contexts {
		if !slices.Contains(live, name) {
			peer.cancel(errPeerDead)
			delete(w.contexts, name)
		}
	}
	for _, name := range live {
		if w.contexts[name] == nil {
			ctx, cancel := context.WithCancelCause(context.Background())
			w.contexts[name] = &peerContext{ctx, cancel}
		}
	}
}

// contextWhileLive returns a context that also ends when peer is declared dead. Peers of
// other failure domains are not watched.
func (w *peerWatcher) contextWhileLive(ctx context.Context, peer string) (context.Context, context.CancelFunc) {
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
