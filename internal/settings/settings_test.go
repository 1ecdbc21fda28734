package settings

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
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
