// Package logging provides the structured log of a process, which has one JSON
// object per line, through logr.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// maxLinesPerSecond limits the lines per second, errors excepted, so that a
	// surge of requests does not fill up the log.
	maxLinesPerSecond = 200
	// droppedLinesKey is the attribute with the number of lines that were dropped
	// since the previous written line.
	droppedLinesKey = "left_out"
)

// droppedLines counts the dropped lines of all loggers of the process.
var droppedLines atomic.Uint64

// DroppedLines returns the number of lines that this process has dropped because
// of the rate limit.
func DroppedLines() uint64 { return droppedLines.Load() }

// New returns a logger that writes lines of up to the given verbosity (0 to 2)
// to w, at most 200 per second. The first line written after dropped ones has
// their number as the attribute left_out. Errors are always written.
func New(w io.Writer, verbosity int) logr.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(&rateLimiter{Handler: handler, state: &limiterState{}})
}

// limiterState is shared by all handlers that are derived from one rateLimiter.
type limiterState struct {
	// currentSecond is the Unix time of the second whose lines lineCount counts.
	currentSecond atomic.Int64
	// lineCount counts the lines of currentSecond, including dropped ones but
	// without errors.
	lineCount atomic.Int64
	// unreportedDrops counts the lines dropped since the last written one.
	unreportedDrops atomic.Int64
}

// rateLimiter passes on a limited number of lines per second, as well as all
// errors, and drops the others.
type rateLimiter struct {
	slog.Handler
	state *limiterState
}

// Handle implements slog.Handler.
func (s *rateLimiter) Handle(ctx context.Context, r slog.Record) error {
	second := time.Now().Unix()
	if old := s.state.currentSecond.Load(); old != second && s.state.currentSecond.CompareAndSwap(old, second) {
		s.state.lineCount.Store(0)
	}
	if r.Level < slog.LevelError && s.state.lineCount.Add(1) > maxLinesPerSecond {
		s.state.unreportedDrops.Add(1)
		droppedLines.Add(1)
		return nil
	}
	if n := s.state.unreportedDrops.Swap(0); n > 0 {
		r.AddAttrs(slog.Int64(droppedLinesKey, n))
	}
	return s.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (s *rateLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimiter{Handler: s.Handler.WithAttrs(attrs), state: s.state}
}

// WithGroup implements slog.Handler.
func (s *rateLimiter) WithGroup(name string) slog.Handler {
	return &rateLimiter{Handler: s.Handler.WithGroup(name), state: s.state}
}
