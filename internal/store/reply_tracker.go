package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ReplyTracker wraps a Store and records when the store last replied to a call
// with more than a refusal: calls that fail with ErrNotApplied or
// ErrOutcomeUnknown do not count. Its methods may be called concurrently.
type ReplyTracker struct {
	Store
	// OnFailure, if not nil, is called after each call that was refused or not answered.
	OnFailure func()
	// lastReply is nil before the first reply.
	lastReply atomic.Pointer[time.Time]
}

// SinceLastReply returns the time since the last reply. Before the first reply it
// returns the time since the zero time, which is longer than any timeout.
func (s *ReplyTracker) SinceLastReply() time.Duration {
	last := s.lastReply.Load()
	if last == nil {
		last = new(time.Time)
	}
	return time.Since(*last)
}

func (s *ReplyTracker) recordReply(err error) {
	if errors.Is(err, ErrNotApplied) || errors.Is(err, ErrOutcomeUnknown) {
		if s.OnFailure != nil {
			s.OnFailure()
		}
		return
	}
	now := time.Now()
	s.lastReply.Store(&now)
}

// Append implements Store.
func (s *ReplyTracker) Append(ctx context.Context, a Append) (int64, error) {
	end, err := s.Store.Append(ctx, a)
	s.recordReply(err)
	return end, err
}

// Read implements Store.
func (s *ReplyTracker) Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, int64, error) {
	records, end, err := s.Store.Read(ctx, topic, from, wait)
	s.recordReply(err)
	return records, end, err
}

// ReadCompacted implements Store.
func (s *ReplyTracker) ReadCompacted(ctx context.Context, topic, after string) (Page, error) {
	page, err := s.Store.ReadCompacted(ctx, topic, after)
	s.recordReply(err)
	return page, err
}
