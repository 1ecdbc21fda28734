// Package store describes the platform's log store: topics of numbered
// records, appended under a condition or under an epoch that fences earlier
// writers. In a compacted topic each record has a key, and the newest record of
// each key is kept for good.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store.
var (
	// ErrNotApplied means that the call certainly had no effect.
	ErrNotApplied = errors.New("the store did nothing")
	// ErrOutcomeUnknown means that the call may have had its effect, or may have it
	// later.
	ErrOutcomeUnknown = errors.New("the store did not answer")
	// ErrFenced means that a writer with a higher epoch has appended.
	ErrFenced = errors.New("fenced by a higher epoch")
)

// ConditionError means that the partition did not end at the expected offset.
type ConditionError struct{ End int64 }

// Error implements error.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("the partition ends at offset %d", e.End)
}

// SequenceError means that the append is not the next one of its epoch.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence number %d", e.Expected)
}

// TruncatedError means that the wanted records are no longer kept.
type TruncatedError struct{ First int64 }

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("records before offset %d are gone", e.First)
}

// Record is a record of a compacted topic.
type Record struct {
	Key string
	// Value is empty for a record that removes the key.
	Value []byte
	// Offset is set in records that were read.
	Offset int64
}

// Append describes an append to a compacted topic.
type Append struct {
	Topic   string
	Records []Record
	// At, if not nil, is the offset at which the partition must end.
	ExpectedEnd *int64
	// Producer, if not empty, names a writer of which only the highest Epoch
	// may append, with a Sequence that rises by one.
	Producer string
	Epoch    int64
	Sequence int64
}

// Page is a reply to ReadCompacted.
type Page struct {
	Records []Record
	// Next is the key after which the next page begins; empty at the end.
	Next string
	// End is the offset behind the newest record.
	End int64
}

// Store is the platform's store. All topics have a single partition here.
type Store interface {
	// Append adds all records or none and returns the offset behind them. It
	// returns ErrNotApplied, ErrOutcomeUnknown, ErrFenced, *ConditionError or
	// *SequenceError, wrapped.
	Append(ctx context.Context, a Append) (end int64, err error)
	// Read returns the records from an offset on and the offset behind the
	// last one returned. It waits up to wait for a first record. It returns
	// ErrNotApplied, ErrOutcomeUnknown or *TruncatedError, wrapped.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, int64, error)
	// ReadCompacted returns the newest record of each key, from the first key after
	// the given one. Pages are not a snapshot. Errors are like Read's.
	ReadCompacted(ctx context.Context, topic, after string) (Page, error)
}

// ReadAllCompacted returns the newest record of each key of a topic, and an offset from
// which Read returns all later ones.
func ReadAllCompacted(ctx context.Context, s Store, topic string) (records []Record, from int64, err error) {
	after, from := "", int64(-1)
	for {
		page, err := s.ReadCompacted(ctx, topic, after)
		if err != nil {
			return nil, 0, err
		}
		if from < 0 {
			from = page.End
		}
		records = append(records, page.Records...)
		if page.Next == "" {
			return records, from, nil
		}
		after = page.Next
	}
}
