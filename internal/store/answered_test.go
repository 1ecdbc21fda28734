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

// A host must take a store that refuses or stays silent for away, and one that
// names a broken condition for there.
func TestAnswered(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault storetest.Fault
		at    int64
		there bool
	}{
		{"answers", storetest.NoFault, 0, true},
		{"names a broken condition", storetest.NoFault, 7, true},
		{"refuses", storetest.Refuse, 0, false},
		{"is silent", storetest.DropRequest, 0, false},
		{"loses the answer", storetest.DropReply, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &storetest.Memory{}
				s := &store.ReplyTracker{Store: m}
				require.Greater(t, s.SinceLastReply(), time.Hour)
				_, err := s.ReadCompacted(t.Context(), "t", "")
				require.NoError(t, err)
				time.Sleep(time.Minute)
				m.SetFault(func(string, string) storetest.Fault { return c.fault })
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, _ = s.Append(ctx, store.Append{Topic: "t", Records: []store.Record{{Key: "k", Value: []byte("1")}}, ExpectedEnd: &c.at})
				require.Equal(t, c.there, s.SinceLastReply() < time.Minute)
			})
		})
	}
}
