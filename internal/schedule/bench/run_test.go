package bench

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkRun prints all figures; it is run once with -benchtime 1x.
func BenchmarkRun(b *testing.B) {
	for range b.N {
		require.NoError(b, Run(os.Stdout, 1))
	}
}

// TestPrinterFormat guards the line format that the figures are read by.
func TestPrinterFormat(t *testing.T) {
	var out bytes.Buffer
	p := &printer{w: &out}
	p.figure("a.b", 1.5, "ms")
	require.Equal(t, "figure a.b 1.5 ms", strings.TrimSpace(out.String()))
}
