package shard

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

func TestCountFor(t *testing.T) {
	for _, c := range []struct{ workers, perShard, want int }{
		{0, 230, 1}, {48, 230, 1}, {308, 230, 1}, {350, 230, 2}, {792, 230, 3}, {5100, 230, 22}, {100_000, 230, MaxCount},
	} {
		require.Equal(t, c.want, CountFor(c.workers, c.perShard), "%d workers", c.workers)
	}
}

// Each worker must have exactly one owner, also if its entry is odd: with two, both
// would start tasks there, and with none it would be idle.
func TestEachWorkerHasOneOwner(t *testing.T) {
	for _, labels := range [][]string{nil, {"a"}, {"a", ""}, {"a", "r1-3"}, {"a", "rack"}, {"a", "99999999999999999999"}, {"a", "r-0"}} {
		for _, count := range []int{1, 2, 7, MaxCount} {
			owners := 0
			for _, s := range All("desk", count) {
				if s.Owns(&cell.WorkerEntry{ID: "w", Service: "desk", Labels: labels}) {
					owners++
				}
				require.False(t, s.Owns(&cell.WorkerEntry{ID: "w", Service: "other", Labels: labels}))
			}
			require.Equal(t, 1, owners, "%d shards, labels %v", count, labels)
		}
	}
}

// The shards of a large service must have about the same number of workers, whole
// racks each.
func TestWorkersAreSpreadEvenly(t *testing.T) {
	const zones, racks, perRack, count = 6, 17, 8, 6
	workers := make([]int, count)
	for zone := range zones {
		for rack := range racks {
			owner := -1
			for n := range perRack {
				e := &cell.WorkerEntry{ID: fmt.Sprint(zone, rack, n), Service: "desk", Labels: []string{"a", fmt.Sprintf("r%d-%d", zone, rack)}}
				for _, s := range All("desk", count) {
					if s.Owns(e) {
						require.True(t, owner < 0 || owner == s.Index, "a rack belongs to one shard")
						owner = s.Index
					}
				}
			}
			workers[owner] += perRack
		}
	}
	for index, w := range workers {
		require.InEpsilon(t, zones*racks*perRack/count, w, 0.2, "shard %d", index)
	}
}

// Random IDs must be spread over all shards, and a job must belong to the same shard
// on each host.
func TestJobsAreSpreadEvenly(t *testing.T) {
	const jobs, count = 12_000, 6
	rng := rand.New(rand.NewPCG(1, 1))
	perShard := make(map[Shard]int)
	for range jobs {
		id := fmt.Sprintf("%016x", rng.Uint64())
		perShard[OfJob("desk", id, count)]++
		require.Equal(t, OfJob("desk", id, count), OfJob("desk", id, count))
	}
	require.Len(t, perShard, count)
	for s, n := range perShard {
		require.InEpsilon(t, jobs/count, n, 0.1, s.String())
	}
}

// Each task of a job that is spread must belong to exactly one portion, and the first
// one to the shard that answers for the job.
func TestPortions(t *testing.T) {
	const count, tasks = 3, 20
	for home := range count {
		positions := make(map[Shard]int)
		for index := range tasks {
			owners := 0
			for _, s := range All("desk", count) {
				p := s.PortionOf(home)
				if !p.Includes(index) {
					continue
				}
				owners++
				require.Equal(t, positions[s], p.Position(index))
				positions[s]++
				require.True(t, index > 0 || s.Index == home)
			}
			require.Equal(t, 1, owners)
		}
	}
	require.True(t, Whole("desk").PortionOf(0).Includes(7))
	require.True(t, Portion{}.Whole())
}

// The names of topics follow from the name of a shard: a service that is not split
// must keep those that it had before there were shards.
func TestNames(t *testing.T) {
	require.Equal(t, "desk", Whole("desk").String())
	require.Equal(t, "desk", OfJob("desk", "5c0e7a21d94b36f8", 1).String())
	names := make(map[string]bool)
	for _, s := range All("desk", MaxCount) {
		names[s.String()] = true
	}
	require.Len(t, names, MaxCount)
}
