package contract

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecode guards against log records that crash a reader, and against
// publishes that change when they are encoded and decoded again, which would
// make hosts disagree about their digests.
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
		again, err := env.Publish.Encode()
		require.NoError(t, err)
		second, err := Decode(again)
		require.NoError(t, err)
		require.Equal(t, env.Publish.digest(), second.Publish.digest())
	})
}

// TestFromObjects guards against a comparison with another configuration than
// the one that was listed.
func TestFromObjects(t *testing.T) {
	want := published(t, Sample())
	got, err := FromObjects(want.Offset(), want.List(""))
	require.NoError(t, err)
	require.Equal(t, want.Offset(), got.Offset())
	require.Equal(t, want.List(""), got.List(""))
	records, err := Diff(got, Sample())
	require.NoError(t, err)
	require.Empty(t, records)
	_, err = FromObjects(1, []Object{{Kind: KindQuota, Name: "a", Version: 2, Value: json.RawMessage(`{"slots":1,"weight":1}`)}})
	require.ErrorIs(t, err, ErrUnreadable, "a version after the listing")
	_, err = FromObjects(1, []Object{{Kind: KindService, Name: "a", Version: 1, Value: json.RawMessage(`{}`)}})
	require.ErrorIs(t, err, ErrUnreadable)
}
