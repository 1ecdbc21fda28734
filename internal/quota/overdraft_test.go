package quota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Guards against starts beyond a quota that other shards, or runs of the same shard, could
// add to.
func TestMayOverdraw(t *testing.T) {
	cpu := func(n int64) worker.Resources { return worker.Resources{MilliCPU: n} }
	all := Units{Whole, Whole, Whole}
	part := Units{Whole - 1, Whole - 1, Whole - 1}
	for _, c := range []struct {
		name              string
		quota, used, need worker.Resources
		held              Units
		count             int
		want              bool
	}{
		{"a task larger than the quota", cpu(6), cpu(0), cpu(8), all, 1, true},
		{"another shard holds a part", cpu(6), cpu(0), cpu(8), part, 1, false},
		{"beside less than half", cpu(6), cpu(2), cpu(5), all, 1, true},
		{"beside half", cpu(6), cpu(3), cpu(5), all, 1, false},
		{"within the part of the shard", cpu(6), cpu(2), cpu(3), part, 1, true},
		{"a gang whose last task exceeds the quota", cpu(6), cpu(0), cpu(4), all, 2, true},
		{"a gang two of whose tasks do", cpu(6), cpu(0), cpu(4), all, 3, false},
		{"a resource without a limit", worker.Resources{MemoryMiB: 9}, cpu(100), cpu(100), part, 1, true},
		{"another resource is exceeded", worker.Resources{MilliCPU: 9, MemoryMiB: 9}, cpu(0), worker.Resources{MilliCPU: 1, MemoryMiB: 10}, all, 1, true},
		{"another resource is in use", worker.Resources{MilliCPU: 9, MemoryMiB: 9}, cpu(5), worker.Resources{MilliCPU: 1, MemoryMiB: 10}, all, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, MayOverdraw(c.quota, c.held, c.used, c.need, c.count))
		})
	}
}
