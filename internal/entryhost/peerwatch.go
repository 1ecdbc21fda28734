package entryhost

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// errPeerDead ends the calls that wait for a peer when it is declared dead.
var errPeerDead = errors.New("the entry host was declared dead")

// peerWatch ends calls to peers that are declared dead. A frozen process keeps
// its connections open, so that without it a call would wait for the caller's
// whole deadline.
type peerWatch struct {
	mu    sync.Mutex
	alive map[string]*peerLife
}

type peerLife struct {
	ctx context.Context
	end context.CancelCauseFunc
}

func newPeerWatch() *peerWatch {
	return &peerWatch{alive: make(map[string]*peerLife)}
}

// update takes in the live hosts of the failure domain.
func (w *peerWatch) update(live []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, life := range w.alive {
		if !slices.Contains(live, name) {
			life.end(errPeerDead)
			delete(w.alive, name)
		}
	}
	for _, name := range live {
		if w.alive[name] == nil {
			ctx, end := context.WithCancelCause(context.Background())
			w.alive[name] = &peerLife{ctx, end}
		}
	}
}

// during returns a context that also ends when peer is declared dead. Peers of
// other failure domains are not watched.
func (w *peerWatch) during(ctx context.Context, peer string) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	life := w.alive[peer]
	w.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	if life == nil {
		return ctx, func() { cancel(nil) }
	}
	detach := context.AfterFunc(life.ctx, func() { cancel(errPeerDead) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}
