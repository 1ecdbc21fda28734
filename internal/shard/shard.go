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
// shard should have about perShard of them. It is at least 1 and at most MaxCount.
func CountFor(workers, perShard int) int {
	return min(max((workers+perShard/2)/perShard, 1), MaxCount)
}

// Portion is the part of a job's tasks that one shard runs: of each step, the tasks
// whose index is Offset modulo Count. The zero value is the whole job.
type Portion struct {
	Offset int `json:"offset"`
	Count  int `json:"count"`
}

// Whole reports whether the portion is the whole job.
func (p Portion) Whole() bool { return p.Count <= 1 }

// Includes reports whether a task with that index belongs to the portion.
func (p Portion) Includes(index int) bool { return p.Whole() || index%p.Count == p.Offset }

// Position returns the position of a task that belongs to the portion among those of
// its step that do.
func (p Portion) Position(index int) int {
	if p.Whole() {
		return index
	}
	return index / p.Count
}

// PortionOf returns the portion that a shard runs of a job that belongs to the shard
// home and is spread over all. The first task of each step stays at home.
func (s Shard) PortionOf(home int) Portion {
	return Portion{Offset: (s.Index - home + s.Count) % max(s.Count, 1), Count: s.Count}
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
