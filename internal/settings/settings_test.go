package settings

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/request"
)

// FuzzParse guards against settings files that crash Parse, and against accepted
// settings that fail Validate or change when they are encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.Empty(t, s.Validate())
		_, ok := s.Self()
		require.True(t, ok)
		again, err := json.Marshal(s)
		require.NoError(t, err)
		second, err := Parse(again)
		require.NoError(t, err)
		require.Equal(t, s, second)
	})
}

// TestRetention guards against settings that pass Validate although the record
// keeper then refuses to start with them, because a request could run twice.
func TestRetention(t *testing.T) {
	s := Default()
	s.Limits.RecordRetentionSeconds = int((request.DefaultMaxRequestAge + request.DefaultMaxClockSkew) / time.Second)
	require.NotContains(t, s.Validate().Error(), "record_retention_seconds")
	s.Limits.RecordRetentionSeconds--
	require.Contains(t, s.Validate().Error(), "record_retention_seconds")
}
