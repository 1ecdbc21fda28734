package entryhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// TestResolveOwnDispatch guards against a record keeper that asks all workers about a
// request which it runs itself for its predecessor, and reports it as not run or unknown.
func TestResolveOwnDispatch(t *testing.T) {
	h := newTestHost(t)
	id, err := api.NewID(h.self.FailureDomain)
	require.NoError(t, err)
	d, _ := h.dispatches.begin(dispatchKey{id, 1})
	rec := &rpc.Record{Id: id, Attempt: 1, Holder: h.self.Name, UpdatedUnixMs: time.Now().UnixMilli()}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	res := h.resolver.Resolve(ctx, rec)
	require.Equal(t, unknown(api.ReasonPending), res)
	h.dispatches.finish(d, toReply(id, answeredBody("w", []byte("answer"), false)))
	require.Equal(t, "answer", string(h.resolver.Resolve(t.Context(), rec).Body))
}
