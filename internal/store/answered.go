package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ReplyTracker is a Store that notes when it last answered a call with more than a
// refusal. Its methods may be called concurrently.
type ReplyTracker struct {
	Store
	lastAt atomic.Pointer[time.Time]
}

// SinceLastReply returns the time since the last answer; it is large before the first.
func (s *ReplyTracker) SinceLastReply() time.Duration {
	at := s.lastAt.Load()
	if at == nil {
		at = new(time.Time)
	}
	return time.Since(*at)
}

func (s *ReplyTracker) note(err error) {
	if errors.Is(err, ErrNotApplied) || errors.Is(err, ErrOutcomeUnknown) {
		return
	}
	now := time.Now()
	s.lastAt.Store(&now)
}

// Append implements Store.
func (s *ReplyTracker) Append(ctx context.Context, a Append) (int64, error) {
	end, err := s.Store.Append(ctx, a)
	s.note(err)
	return end, err
}

// Read implements Store.
func (s *ReplyTracker) Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, int64, error) {
	records, end, err := s.Store.Read(ctx, topic, from, wait)
	s.note(err)
	return records, end, err
}

// ReadCompacted implements Store.
func (s *ReplyTracker) ReadCompacted(ctx context.Context, topic, after string) (Page, error) {
	page, err := s.Store.ReadCompacted(ctx, topic, after)
	s.note(err)
	return page, err
}
