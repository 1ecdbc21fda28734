package entryhost

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/contract"
)

// FuzzCallerBody guards against request bodies that crash an entry host, and
// against accepted values that overflow the fields of the message to the record
// keeper.
func FuzzCallerBody(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var r api.Request
		if decodeStrict(data, &r) != nil || r.Validate() != nil {
			return
		}
		m := toSubmitRequest(&r)
		require.Equal(t, r.DeadlineMS, int(m.DeadlineMs))
		require.Equal(t, r.RunTimeMS, int(m.RunTimeMs))
		require.Equal(t, max(1, r.Members), int(m.Members))
	})
}

// FuzzOperatorBody guards against publish bodies that crash an entry host.
func FuzzOperatorBody(f *testing.F) {
	f.Fuzz(func(_ *testing.T, data []byte) {
		var r contract.Record
		if decodeStrict(data, &r) != nil {
			return
		}
		_ = contract.Empty().Check(r)
	})
}
