package demo

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/internal/operator"
)

// Guards against a total of the control traffic that decreases when a host
// restarts during the load and its counters start at 0 again.
func TestSamplerCountsOverRestarts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sentBytes := 5000
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		fmt.Fprintf(ctx, "laburnumpass_control_sent_bytes_total %d\nlaburnumpass_workers_slots 8\nlaburnumpass_workers_slots_used 2\n", sentBytes)
	}}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown() }()
	client, err := operator.New(operator.Options{Addresses: []string{l.Addr().String()}, Token: "token"})
	require.NoError(t, err)
	sampler := &MetricsSampler{client: client, addresses: []string{l.Addr().String()}, lastControlBytes: map[string]float64{}}
	for _, sentBytes = range []int{5000, 6000, 100, 300} {
		require.NoError(t, sampler.sample(t.Context()))
	}
	require.Equal(t, 5000.0+1000+300, sampler.controlBytes)
	require.Equal(t, 0.25, sampler.peakSlotShare)
}
