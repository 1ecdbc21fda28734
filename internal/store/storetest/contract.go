package storetest

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/store"
)

// TestStore tests the properties of a store.Store on which the schedulers rely.
// connect returns a client of an empty store, and the Memory behind it, whose
// faults and history the test controls.
func TestStore(t *testing.T, connect func(t *testing.T) (store.Store, *Memory)) {
	for _, c := range contractCases {
		t.Run(c.name, func(t *testing.T) {
			s, memory := connect(t)
			c.check(t, s, memory)
		})
	}
}

func keyAppend(key, value string) store.Append {
	return store.Append{Topic: "t", Records: []store.Record{{Key: key, Value: []byte(value)}}}
}

func withExpectedEnd(a store.Append, offset int64) store.Append { a.ExpectedEnd = &offset; return a }

func withProducer(a store.Append, epoch, sequence int64) store.Append {
	a.Producer, a.Epoch, a.Sequence = "p", epoch, sequence
	return a
}

func mustAppend(t *testing.T, s store.Store, a store.Append) int64 {
	t.Helper()
	end, err := s.Append(t.Context(), a)
	require.NoError(t, err)
	return end
}

// faultTimeout limits a call to which an injected fault prevents a reply.
const faultTimeout = 100 * time.Millisecond

var contractCases = []struct {
	name  string
	check func(t *testing.T, s store.Store, m *Memory)
}{
	{"the second append under one condition is refused", func(t *testing.T, s store.Store, _ *Memory) {
		require.EqualValues(t, 1, mustAppend(t, s, withExpectedEnd(keyAppend("a", "1"), 0)))
		_, err := s.Append(t.Context(), withExpectedEnd(keyAppend("a", "2"), 0))
		var condition *store.ConditionError
		require.ErrorAs(t, err, &condition)
		require.EqualValues(t, 1, condition.End)
	}},
	{"a lower epoch is fenced", func(t *testing.T, s store.Store, _ *Memory) {
		mustAppend(t, s, withProducer(keyAppend("a", "1"), 1, 0))
		mustAppend(t, s, withProducer(keyAppend("a", "2"), 2, 0))
		_, err := s.Append(t.Context(), withProducer(keyAppend("a", "3"), 1, 1))
		require.ErrorIs(t, err, store.ErrFenced)
	}},
	{"a repeated sequence number appends once", func(t *testing.T, s store.Store, _ *Memory) {
		mustAppend(t, s, withProducer(keyAppend("a", "1"), 1, 0))
		first := mustAppend(t, s, withProducer(keyAppend("a", "2"), 1, 1))
		require.Equal(t, first, mustAppend(t, s, withProducer(keyAppend("a", "2"), 1, 1)))
	}},
	{"a gap in the sequence is refused with the next number", func(t *testing.T, s store.Store, _ *Memory) {
		mustAppend(t, s, withProducer(keyAppend("a", "1"), 1, 0))
		_, err := s.Append(t.Context(), withProducer(keyAppend("a", "2"), 1, 5))
		var wrong *store.SequenceError
		require.ErrorAs(t, err, &wrong)
		require.EqualValues(t, 1, wrong.Expected)
	}},
	{"a read waits for a record", func(t *testing.T, s store.Store, m *Memory) {
		go func() {
			_, _ = m.Append(context.Background(), keyAppend("a", "1"))
		}()
		records, end, err := s.Read(t.Context(), "t", 0, 5*time.Second)
		require.NoError(t, err)
		require.EqualValues(t, 1, end)
		require.Equal(t, []store.Record{{Key: "a", Value: []byte("1")}}, records)
	}},
	{"a read of truncated records fails with TruncatedError", func(t *testing.T, s store.Store, m *Memory) {
		mustAppend(t, s, keyAppend("a", "1"))
		m.Truncate("t")
		_, _, err := s.Read(t.Context(), "t", 0, 0)
		var truncated *store.TruncatedError
		require.ErrorAs(t, err, &truncated)
		require.EqualValues(t, 1, truncated.First)
	}},
	{"all keys are read over several pages, without removed ones", func(t *testing.T, s store.Store, m *Memory) {
		for n := range 3 * pageSize {
			mustAppend(t, s, keyAppend(fmt.Sprintf("k%03d", n), "v"))
		}
		mustAppend(t, s, keyAppend("k001", ""))
		m.Truncate("t")
		records, from, err := store.ReadAllCompacted(t.Context(), s, "t")
		require.NoError(t, err)
		require.Len(t, records, 3*pageSize-1)
		require.EqualValues(t, 3*pageSize+1, from)
	}},
	{"an unknown topic is empty", func(t *testing.T, s store.Store, _ *Memory) {
		records, from, err := store.ReadAllCompacted(t.Context(), s, "none")
		require.NoError(t, err)
		require.Empty(t, records)
		require.Zero(t, from)
	}},
	{"a refused append returns ErrNotApplied", func(t *testing.T, s store.Store, m *Memory) {
		m.SetFault(func(string, string) Fault { return Refuse })
		_, err := s.Append(t.Context(), keyAppend("a", "1"))
		require.ErrorIs(t, err, store.ErrNotApplied)
	}},
	{"an append that is too large returns ErrRejected and does not use up its sequence number", func(t *testing.T, s store.Store, m *Memory) {
		mustAppend(t, s, withProducer(keyAppend("a", "1"), 1, 0))
		m.SetLimits(1000, 0)
		_, err := s.Append(t.Context(), withProducer(keyAppend("a", strings.Repeat("x", 1000)), 1, 1))
		require.ErrorIs(t, err, store.ErrRejected)
		require.EqualValues(t, 2, mustAppend(t, s, withProducer(keyAppend("a", "2"), 1, 1)))
	}},
	{"an append with a key that is too long returns ErrRejected", func(t *testing.T, s store.Store, _ *Memory) {
		_, err := s.Append(t.Context(), keyAppend(strings.Repeat("k", 256), "1"))
		require.ErrorIs(t, err, store.ErrRejected)
	}},
	{"an append without a reply returns ErrOutcomeUnknown", func(t *testing.T, s store.Store, m *Memory) {
		m.SetFault(func(string, string) Fault { return DropReply })
		ctx, cancel := context.WithTimeout(t.Context(), faultTimeout)
		defer cancel()
		_, err := s.Append(ctx, keyAppend("a", "1"))
		require.ErrorIs(t, err, store.ErrOutcomeUnknown)
		m.SetFault(nil)
		records, _, err := s.Read(t.Context(), "t", 0, 0)
		require.NoError(t, err)
		require.Len(t, records, 1, "the append must have been executed")
	}},
}
