// Package logging makes the structured log of a process: one JSON object a
// line, through logr.
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
	// burst is the number of lines a second that are written in full. A surge
	// of requests must not fill the log.
	burst = 200
	// leftOutKey counts the lines that were not written before this one.
	leftOutKey = "left_out"
)

var leftOut atomic.Uint64

// DroppedLines returns the number of lines that this process has not written.
func DroppedLines() uint64 { return leftOut.Load() }

// New returns a logger that writes lines of up to the given verbosity (0 to 2)
// to w, at most 200 a second. The first line after a gap carries the number of
// lines left out. Errors are always written.
func New(w io.Writer, verbosity int) logr.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(&sampler{Handler: handler, state: &sampleState{}})
}

type sampleState struct {
	second  atomic.Int64
	written atomic.Int64
	leftOut atomic.Int64
}

// sampler passes a bounded number of records a second.
type sampler struct {
	slog.Handler
	state *sampleState
}

// Handle implements slog.Handler.
func (s *sampler) Handle(ctx context.Context, r slog.Record) error {
	second := time.Now().Unix()
	if old := s.state.second.Load(); old != second && s.state.second.CompareAndSwap(old, second) {
		s.state.written.Store(0)
	}
	if r.Level < slog.LevelError && s.state.written.Add(1) > burst {
		s.state.leftOut.Add(1)
		leftOut.Add(1)
		return nil
	}
	if n := s.state.leftOut.Swap(0); n > 0 {
		r.AddAttrs(slog.Int64(leftOutKey, n))
	}
	return s.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (s *sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &sampler{Handler: s.Handler.WithAttrs(attrs), state: s.state}
}

// WithGroup implements slog.Handler.
func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{Handler: s.Handler.WithGroup(name), state: s.state}
}
