package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// A store that refuses calls or does not reply must count as unreachable. A store
// that rejects an append because its condition does not hold must count as
// reachable.
func TestReplyTracker(t *testing.T) {
	for _, tc := range []struct {
		name        string
		fault       storetest.Fault
		expectedEnd int64
		reachable   bool
	}{
		{"replies", storetest.NoFault, 0, true},
		{"rejects the append condition", storetest.NoFault, 7, true},
		{"refuses", storetest.Refuse, 0, false},
		{"drops the request", storetest.DropRequest, 0, false},
		{"drops the reply", storetest.DropReply, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := &storetest.Memory{}
				tracker := &store.ReplyTracker{Store: memory}
				require.Greater(t, tracker.SinceLastReply(), time.Hour)
				_, err := tracker.ReadCompacted(t.Context(), "t", "")
				require.NoError(t, err)
				time.Sleep(time.Minute)
				memory.SetFault(func(string, string) storetest.Fault { return tc.fault })
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, _ = tracker.Append(ctx, store.Append{Topic: "t", Records: []store.Record{{Key: "k", Value: []byte("1")}}, ExpectedEnd: &tc.expectedEnd})
				require.Equal(t, tc.reachable, tracker.SinceLastReply() < time.Minute)
			})
		})
	}
}
