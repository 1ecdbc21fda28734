package settings

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/request"
)

// FuzzParse guards against settings files that crash an entry host, and against
// accepted settings that fail their own check or change when they are written
// and read again.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.Empty(t, s.Check())
		_, ok := s.Self()
		require.True(t, ok)
		again, err := json.Marshal(s)
		require.NoError(t, err)
		second, err := Parse(again)
		require.NoError(t, err)
		require.Equal(t, s, second)
	})
}

// TestRetention guards against settings that pass the check and with which the
// record keeper then refuses to start, because a request could run twice.
func TestRetention(t *testing.T) {
	s := Default()
	s.Limits.RecordRetentionSeconds = int((request.DefaultMaxRequestAge + request.DefaultMaxClockSkew) / time.Second)
	require.NotContains(t, s.Check().Error(), "record_retention_seconds")
	s.Limits.RecordRetentionSeconds--
	require.Contains(t, s.Check().Error(), "record_retention_seconds")
}
