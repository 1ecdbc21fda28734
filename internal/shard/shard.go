// Package shard splits the workers and the jobs of a service into shards, each of
// which has a scheduler of its own. To which shard a worker or a job belongs follows
// from its identity and the number of shards alone, so that all hosts agree without
// asking each other.
package shard

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// MaxCount bounds the shards of a service. Each shard needs two topics of the store,
// which has 100.
const MaxCount = 40

// Shard is one part of a service.
type Shard struct {
	Service string
	// Index counts from 0 to Count-1.
	Index, Count int
}

// Whole returns the only shard of a service that is not split.
func Whole(service string) Shard { return Shard{Service: service, Count: 1} }

// All returns the shards of a service.
func All(service string, count int) []Shard {
	shards := make([]Shard, max(count, 1))
	for index := range shards {
		shards[index] = Shard{Service: service, Index: index, Count: len(shards)}
	}
	return shards
}

// CountFor returns the number of shards for a service with that many workers if a
// shard should have at most perShard of them. It is at least 1 and at most MaxCount.
func CountFor(workers, perShard int) int {
	return min(max((workers+perShard-1)/perShard, 1), MaxCount)
}

// String returns the name of the shard, which is unique in the cell. The only shard of
// a service has the service's name.
func (s Shard) String() string {
	if s.Count <= 1 {
		return s.Service
	}
	return fmt.Sprintf("%s.shard-%d", s.Service, s.Index)
}

// OfJob returns the shard to which a job belongs.
func OfJob(service, id string, count int) Shard {
	return Shard{Service: service, Index: int(hash(id) % uint32(max(count, 1))), Count: count}
}

// Owns reports whether a worker belongs to the shard. The workers of a rack belong to
// the same one, since some gangs need a rack.
func (s Shard) Owns(e *cell.WorkerEntry) bool {
	return e.Service == s.Service && (s.Count <= 1 || workerIndex(e)%uint32(s.Count) == uint32(s.Index))
}

// workerIndex returns a number that is the same for all workers of a rack. Racks whose
// names differ in a number at the end get consecutive numbers, so that the shards get
// equally many of them. A worker without a rack counts as a rack of its own.
func workerIndex(e *cell.WorkerEntry) uint32 {
	rack := e.Rack()
	if rack == "" {
		return hash(e.ID)
	}
	prefix := strings.TrimRight(rack, "0123456789")
	number, err := strconv.ParseUint(rack[len(prefix):], 10, 32)
	if err != nil {
		return hash(rack) // no number, or a very long one
	}
	return hash(prefix) + uint32(number)
}

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}
