package demo

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/internal/operator"
)

// Guards against negative control traffic when a host restarts during the load,
// because its counters then start at 0 again.
func TestWatchCountsOverRestarts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sent := 5000
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		fmt.Fprintf(ctx, "laburnumpass_control_sent_bytes_total %d\nlaburnumpass_workers_slots 8\nlaburnumpass_workers_slots_used 2\n", sent)
	}}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Shutdown() }()
	client, err := operator.New(operator.Options{Addresses: []string{l.Addr().String()}, Token: "token"})
	require.NoError(t, err)
	w := &MetricsSampler{client: client, addresses: []string{l.Addr().String()}, lastControlBytes: map[string]float64{}}
	for _, sent = range []int{5000, 6000, 100, 300} {
		require.NoError(t, w.sample(t.Context()))
	}
	require.Equal(t, 5000.0+1000+300, w.controlBytes)
	require.Equal(t, 0.25, w.peakSlotShare)
}
