package e2e

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/demo"
)

// TestWholePath guards against lost, duplicate, swapped and truncated answers and
// against overloaded workers when requests pass through separate processes.
func TestWholePath(t *testing.T) {
	c := newCluster(t, nil, 3, 2, 2)
	workloads := demo.OrderDesk(1)
	results, err := demo.Run(t.Context(), c.client(), workloads, 1)
	require.NoError(t, err)
	report := demo.Summarize(results, workloads, c.platform.Journals())
	require.Empty(t, report.Wrong)
	require.Empty(t, report.Violations)
}
