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
	// maxLinesPerSecond limits the lines per second, errors and those of TaskLogger and
	// SummaryLogger excepted, so that a surge of requests does not fill up the log.
	maxLinesPerSecond = 300
	// maxTaskLinesPerSecond limits the lines of TaskLogger.
	maxTaskLinesPerSecond = 100
	// TaskLogger is the name of the logger for lines about single tasks, to be set
	// with logr.Logger.WithName. A scheduler under load would write thousands of them
	// a second, so they have a limit of their own and never displace other lines.
	TaskLogger = "task"
	// maxSummaryLinesPerSecond limits the lines of SummaryLogger. Fewer than 100 jobs
	// end in a second.
	maxSummaryLinesPerSecond = 200
	// SummaryLogger is the name of the logger for the line about each job that has
	// ended. It has a limit of its own, so that other lines never displace these.
	SummaryLogger = "summary"
	// loggerKey is the attribute in which logr passes on the name of a logger.
	loggerKey = "logger"
	// droppedLinesKey is the attribute with the number of lines that were dropped
	// since the previous written line.
	droppedLinesKey = "left_out"
)

// droppedLines and droppedTaskLines count the dropped lines of all loggers of the
// process.
var droppedLines, droppedTaskLines atomic.Uint64

// DroppedLines returns the number of lines that this process has dropped because
// of the rate limits, those of TaskLogger excepted.
func DroppedLines() uint64 { return droppedLines.Load() }

// DroppedTaskLines returns the number of lines of TaskLogger that this process has
// dropped.
func DroppedTaskLines() uint64 { return droppedTaskLines.Load() }

// New returns a logger that writes lines of up to the given verbosity (0 to 2)
// to w, at most 300 per second, 100 of TaskLogger and 200 of SummaryLogger. The first line written after
// dropped ones has their number as the attribute left_out. Errors are always written.
func New(w io.Writer, verbosity int) logr.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(&rateLimiter{Handler: handler, state: &limiterState{
		lines:        lineCounter{limit: maxLinesPerSecond, dropped: &droppedLines},
		taskLines:    lineCounter{limit: maxTaskLinesPerSecond, dropped: &droppedTaskLines},
		summaryLines: lineCounter{limit: maxSummaryLinesPerSecond, dropped: &droppedLines},
	}})
}

// limiterState is shared by all handlers that are derived from one rateLimiter.
type limiterState struct {
	lines, taskLines, summaryLines lineCounter
	// unreportedDrops counts the lines dropped since the last written one.
	unreportedDrops atomic.Int64
}

// lineCounter limits the lines of one second.
type lineCounter struct {
	limit   int64
	dropped *atomic.Uint64
	// currentSecond is the Unix time of the second whose lines count counts.
	currentSecond atomic.Int64
	// count counts the lines of currentSecond, including dropped ones.
	count atomic.Int64
}

// admits counts a line and reports whether it is within the limit.
func (l *lineCounter) admits(now time.Time) bool {
	second := now.Unix()
	if old := l.currentSecond.Load(); old != second && l.currentSecond.CompareAndSwap(old, second) {
		l.count.Store(0)
	}
	if l.count.Add(1) <= l.limit {
		return true
	}
	l.dropped.Add(1)
	return false
}

// rateLimiter passes on a limited number of lines per second, as well as all
// errors, and drops the others.
type rateLimiter struct {
	slog.Handler
	state *limiterState
}

// Handle implements slog.Handler.
func (s *rateLimiter) Handle(ctx context.Context, r slog.Record) error {
	counter := &s.state.lines
	switch loggerName(r) {
	case TaskLogger:
		counter = &s.state.taskLines
	case SummaryLogger:
		counter = &s.state.summaryLines
	}
	if r.Level < slog.LevelError && !counter.admits(time.Now()) {
		s.state.unreportedDrops.Add(1)
		return nil
	}
	if n := s.state.unreportedDrops.Swap(0); n > 0 {
		r.AddAttrs(slog.Int64(droppedLinesKey, n))
	}
	return s.Handler.Handle(ctx, r)
}

// loggerName returns the name of the logger that the line comes from.
func loggerName(r slog.Record) string {
	name := ""
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == loggerKey {
			name = a.Value.String()
		}
		return name == ""
	})
	return name
}

// WithAttrs implements slog.Handler.
func (s *rateLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimiter{Handler: s.Handler.WithAttrs(attrs), state: s.state}
}

// WithGroup implements slog.Handler.
func (s *rateLimiter) WithGroup(name string) slog.Handler {
	return &rateLimiter{Handler: s.Handler.WithGroup(name), state: s.state}
}
