package lead

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// lateStore does not reply to appends while late is set, and executes the first of them when
// the second one has been sent.
type lateStore struct {
	*storetest.Memory
	mu   sync.Mutex
	late bool
	held []store.Append
	// heldAt is when the first append that was held back was sent.
	heldAt time.Duration
}

// Append implements store.Store.
func (s *lateStore) Append(ctx context.Context, a store.Append) (int64, error) {
	s.mu.Lock()
	late := s.late
	if late {
		s.held = append(s.held, a)
		switch len(s.held) {
		case 1:
			s.heldAt = cell.BootTime()
		case 2:
			s.late = false
		}
	}
	held := s.held
	s.mu.Unlock()
	if !late {
		return s.Memory.Append(ctx, a)
	}
	<-ctx.Done()
	if len(held) == 2 {
		_, _ = s.Memory.Append(context.Background(), held[0])
	}
	return 0, store.ErrOutcomeUnknown
}

// Guards against a term that counts as confirmed at a renewal of which an earlier one was
// executed in its place.
func TestLateRenewalConfirmsFromItsSending(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		s := &lateStore{Memory: c.store}
		terms := make(chan *Term, 1)
		ctx, kill := context.WithCancel(context.Background())
		e := New(Options{Store: s, Topic: "lead", Self: process("a", "1"), Log: testr.New(t), RunTerm: func(ctx context.Context, term *Term, _ *Holder) {
			terms <- term
			<-ctx.Done()
		}})
		go e.Run(ctx)
		term := <-terms
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		s.late = true
		s.mu.Unlock()
		var confirmed []time.Duration
		for begin := time.Now(); time.Since(begin) < 3*time.Second; time.Sleep(10 * time.Millisecond) {
			s.mu.Lock()
			if s.heldAt > 0 {
				confirmed = append(confirmed, cell.BootTime()-term.ConfirmationAge())
			}
			s.mu.Unlock()
		}
		require.Contains(t, confirmed, s.heldAt, "the first renewal was executed")
		kill()
		time.Sleep(3 * time.Second)
	})
}
