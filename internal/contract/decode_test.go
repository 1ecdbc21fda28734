package contract

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecode guards against log records that crash a reader, and against
// publishes that change when they are encoded and decoded again, which would
// give hosts different digests of the same record.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		env, err := Decode(data)
		if err != nil {
			require.ErrorIs(t, err, ErrUnreadable)
			return
		}
		next, _ := EmptyConfiguration().Apply(1, data)
		require.Equal(t, uint64(1), next.Offset())
		if env.Publish == nil {
			_, _ = DecodeSnapshot(0, data)
			return
		}
		reencoded, err := env.Publish.Encode()
		require.NoError(t, err)
		redecoded, err := Decode(reencoded)
		require.NoError(t, err)
		require.Equal(t, env.Publish.digest(), redecoded.Publish.digest())
	})
}

// TestFromObjects guards against FromObjects returning a configuration that
// differs from the listed one.
func TestFromObjects(t *testing.T) {
	want := configurationOf(t, Sample())
	got, err := FromObjects(want.Offset(), want.List(""))
	require.NoError(t, err)
	require.Equal(t, want.Offset(), got.Offset())
	require.Equal(t, want.List(""), got.List(""))
	records, err := Diff(got, Sample())
	require.NoError(t, err)
	require.Empty(t, records)
	_, err = FromObjects(1, []Object{{Kind: KindQuota, Name: "a", Version: 2, Value: json.RawMessage(`{"slots":1,"weight":1}`)}})
	require.ErrorIs(t, err, ErrUnreadable, "the version is higher than the offset of the listing")
	_, err = FromObjects(1, []Object{{Kind: KindService, Name: "a", Version: 1, Value: json.RawMessage(`{}`)}})
	require.ErrorIs(t, err, ErrUnreadable)
}
