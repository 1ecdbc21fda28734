package schedule

import (
	"math"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// maxLearned bounds the table of learned sizes. 570 teams with seven
	// services each fit.
	maxLearned = 4096
	// learnedBuckets covers 2^20 in steps of a quarter octave.
	learnedBuckets = 84
	// learnedDecay is the weight that each new observation takes from the
	// older ones: about the last hundred count.
	learnedDecay = 0.99
	// enough is the number of observations from which an estimate is used.
	enough = 8
	// sizeQuantile and timeQuantile are the quantiles to plan with: high
	// ones, since a task that outgrows its plan costs more than idle capacity.
	sizeQuantile = 0.95
	timeQuantile = 0.9
)

// quantile is an exponentially weighted histogram over logarithmic buckets.
type quantile struct {
	weights [learnedBuckets]float32
	total   float32
	scale   float32 // weight of the next observation
	count   int32
	value   float64 // cached estimate
	dirty   bool
}

func bucketOf(v float64) int {
	if v < 1 {
		return 0
	}
	return min(1+int(4*math.Log2(v)), learnedBuckets-1)
}

func (q *quantile) observe(v float64) {
	if q.scale == 0 {
		q.scale = 1
	}
	q.weights[bucketOf(v)] += q.scale
	q.total += q.scale
	q.scale /= learnedDecay
	if q.scale > 1e6 {
		for i := range q.weights {
			q.weights[i] /= q.scale
		}
		q.total /= q.scale
		q.scale = 1
	}
	q.count = min(q.count+1, math.MaxInt32-1)
	q.dirty = true
}

// at returns the upper bound of the bucket that holds quantile p.
func (q *quantile) at(p float64) (float64, bool) {
	if q.count < enough {
		return 0, false
	}
	if q.dirty {
		q.dirty = false
		rest := q.total * float32(1-p)
		i := learnedBuckets - 1
		for ; i > 0; i-- {
			if rest -= q.weights[i]; rest < 0 {
				break
			}
		}
		q.value = math.Exp2(float64(i) / 4)
	}
	return q.value, true
}

// learnedKey names what is learned together.
type learnedKey struct{ service, team string }

// record is what is known of one service and team.
type record struct {
	key      learnedKey
	milliCPU quantile
	memory   quantile
	run      quantile // milliseconds
	used     uint64   // order of the last use
	pos      int
	failures failures
}

// learned is a bounded table of sizes, run times and failures. When it is
// full, the older of two random records makes room.
type learned struct {
	records map[learnedKey]*record
	list    []*record
	turn    uint64
}

func newLearned() *learned { return &learned{records: map[learnedKey]*record{}} }

func (l *learned) record(service, team string) *record {
	l.turn++
	key := learnedKey{service, team}
	r := l.records[key]
	if r == nil {
		r = &record{key: key, pos: len(l.list)}
		if len(l.list) >= maxLearned {
			// A multiplicative hash of the turn picks without a generator.
			a := l.list[l.turn*0x9e3779b97f4a7c15%uint64(len(l.list))]
			b := l.list[(l.turn*0xbf58476d1ce4e5b9+1)%uint64(len(l.list))]
			if b.used < a.used {
				a = b
			}
			delete(l.records, a.key)
			r.pos = a.pos
			l.list[a.pos] = r
		} else {
			l.list = append(l.list, r)
		}
		l.records[key] = r
	}
	r.used = l.turn
	return r
}

// size learns from a measurement of a running task.
func (l *learned) size(service, team string, used worker.Resources) {
	r := l.record(service, team)
	r.milliCPU.observe(float64(used.MilliCPU))
	r.memory.observe(float64(used.MemoryMiB))
}

// ran learns from the run time of a task that ended without an error.
func (l *learned) ran(service, team string, d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	l.record(service, team).run.observe(ms)
	l.record(service, "").run.observe(ms)
}

// resources returns the learned size of a task.
func (l *learned) resources(service, team string) (worker.Resources, bool) {
	r := l.records[learnedKey{service, team}]
	if r == nil {
		return worker.Resources{}, false
	}
	cpu, ok := r.milliCPU.at(sizeQuantile)
	if !ok {
		return worker.Resources{}, false
	}
	memory, _ := r.memory.at(sizeQuantile)
	return worker.Resources{MilliCPU: int64(cpu), MemoryMiB: int64(memory)}, true
}

// runTime returns the learned run time of a task.
func (l *learned) runTime(service, team string) (time.Duration, bool) {
	r := l.records[learnedKey{service, team}]
	if r == nil {
		return 0, false
	}
	ms, ok := r.run.at(timeQuantile)
	return time.Duration(ms * float64(time.Millisecond)), ok
}
