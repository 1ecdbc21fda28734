package entryhost

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
)

// TestResolveUnseenDispatch guards against a holder that reports a dispatch as not
// run although a former process of the host may have run it, or its outcome may
// have expired. The record keeper would then run the request a second time.
func TestResolveUnseenDispatch(t *testing.T) {
	for _, tc := range []struct {
		name string
		// created and asked are offsets from the start of the process.
		created, asked time.Duration
		want           api.Outcome
	}{
		{"created before the start", -time.Second, time.Second, api.Unknown},
		{"created within the clock skew of the start", time.Second, 4 * time.Second, api.Unknown},
		{"created after the start", 3 * time.Second, 4 * time.Second, api.NotRun},
		{"outcome may have been dropped", 3 * time.Second, dispatchRetention + 2*time.Second, api.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Now()
			now := start
			h := &Host{dispatches: newDispatchTable(func() time.Time { return now })}
			now = start.Add(tc.asked)
			u := uuid.Must(uuid.NewV7())
			// The first 48 bits of a version 7 UUID are its Unix time in milliseconds.
			for i, ms := 5, start.Add(tc.created).UnixMilli(); i >= 0; i, ms = i-1, ms>>8 {
				u[i] = byte(ms)
			}
			for range 2 {
				require.Equal(t, string(tc.want), h.resolveDispatch("fd-a/"+u.String(), 1).Outcome)
			}
		})
	}
}
