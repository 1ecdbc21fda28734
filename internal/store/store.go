// Package store defines a client interface for the platform's log store. Topics
// contain records with consecutive offsets. An append can depend on the current
// end of the topic, or on an epoch that fences earlier writers. In a compacted
// topic each record has a key, and the newest record of each key is never dropped.
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
	ErrNotApplied = errors.New("the store did not execute the call")
	// ErrRejected means that the append had no effect and never will have one, however
	// often it is repeated, because it is invalid or too large.
	ErrRejected = errors.New("the store rejects the append")
	// ErrOutcomeUnknown means that the call may have taken effect or may still take
	// effect later.
	ErrOutcomeUnknown = errors.New("no valid reply from the store")
	// ErrFenced means that a writer of the same producer with a higher epoch has
	// appended.
	ErrFenced = errors.New("append fenced by a writer with a higher epoch")
)

// ConditionError means that the partition did not end at Append.ExpectedEnd. End
// is the offset at which it ends.
type ConditionError struct{ End int64 }

// Error implements error.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("append condition failed: the partition ends at offset %d", e.End)
}

// SequenceError means that the append's sequence number is not the next one of its
// epoch, which is Expected.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("append out of sequence: the store expects sequence number %d", e.Expected)
}

// TruncatedError means that the store has dropped records that a read asked for.
// First is the lowest offset that is still kept.
type TruncatedError struct{ First int64 }

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("the store no longer keeps records before offset %d", e.First)
}

// Record is a record of a compacted topic.
type Record struct {
	Key string
	// Value is empty in a record that removes the key.
	Value []byte
	// Offset is set by reads and ignored by appends.
	Offset int64
}

// Append describes an append to a compacted topic.
type Append struct {
	Topic   string
	Records []Record
	// ExpectedEnd, if not nil, is the offset at which the partition must end before
	// the append.
	ExpectedEnd *int64
	// Producer, if not empty, names a logical writer. Only its instance with the
	// highest Epoch may append, and Sequence must increase by one with each append.
	Producer string
	Epoch    int64
	Sequence int64
}

// Page is one page of the result of ReadCompacted.
type Page struct {
	Records []Record
	// Next is the key after which the next page begins, empty on the last page.
	Next string
	// End is the offset after the newest record of the topic.
	End int64
}

// ReadSilence is how long the store may send nothing during a read, in addition to the
// wait for a record: replies may take 240 ms while it is slow. It does not end a reply
// that arrives in parts over a busy link.
const ReadSilence = 500 * time.Millisecond

// Store is a client of the platform's store. It assumes that each topic has a
// single partition. Reads end with ErrOutcomeUnknown after ReadSilence, so that the
// deadline of their context may leave a long reply its time.
type Store interface {
	// Append appends all records or none and returns the offset after the last one.
	// Its errors wrap ErrNotApplied, ErrRejected, ErrOutcomeUnknown, ErrFenced,
	// *ConditionError or *SequenceError.
	Append(ctx context.Context, a Append) (end int64, err error)
	// Read returns records from offset from on, and the offset after the last one
	// returned. It waits up to wait for a first record. Its errors wrap
	// ErrNotApplied, ErrOutcomeUnknown or *TruncatedError.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, int64, error)
	// ReadCompacted returns one page with the newest record of each key, in the
	// order of the keys, beginning with the first key greater than after. The pages
	// of a topic are not a consistent snapshot. It returns the same errors as Read.
	ReadCompacted(ctx context.Context, topic, after string) (Page, error)
}

// ReadAllCompacted returns the newest record of each key of a topic, and an offset
// from which Read returns all records that the result may lack.
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
