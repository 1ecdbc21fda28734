package schedule

import (
	"math"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// maxHistoryRecords bounds the number of records. 570 teams with seven
	// services each fit.
	maxHistoryRecords = 4096
	// histogramBuckets covers values up to 2^20 in steps of a quarter octave.
	histogramBuckets = 84
	// histogramDecay is the factor by which each new observation reduces the
	// weight of the older ones: effectively the last hundred or so count.
	histogramDecay = 0.99
	// minObservations is the number of observations from which an estimate is
	// used.
	minObservations = 8
	// sizeQuantile and runTimeQuantile are the quantiles used for planning. They
	// are high because a task that exceeds its estimate costs more than idle
	// capacity.
	sizeQuantile    = 0.95
	runTimeQuantile = 0.9
)

// decayingHistogram is an exponentially weighted histogram with logarithmic
// buckets.
type decayingHistogram struct {
	weights [histogramBuckets]float32
	total   float32
	scale   float32 // weight of the next observation
	count   int32
	cached  float64 // last result of quantile
	dirty   bool
}

func bucketOf(v float64) int {
	if v < 1 {
		return 0
	}
	return min(1+int(4*math.Log2(v)), histogramBuckets-1)
}

func (h *decayingHistogram) observe(v float64) {
	if h.scale == 0 {
		h.scale = 1
	}
	h.weights[bucketOf(v)] += h.scale
	h.total += h.scale
	h.scale /= histogramDecay
	if h.scale > 1e6 {
		for i := range h.weights {
			h.weights[i] /= h.scale
		}
		h.total /= h.scale
		h.scale = 1
	}
	h.count = min(h.count+1, math.MaxInt32-1)
	h.dirty = true
}

// quantile returns the upper bound of the bucket that contains quantile p, or
// false if there are too few observations. All calls on one histogram must use
// the same p, since the result is cached.
func (h *decayingHistogram) quantile(p float64) (float64, bool) {
	if h.count < minObservations {
		return 0, false
	}
	if h.dirty {
		h.dirty = false
		remaining := h.total * float32(1-p)
		i := histogramBuckets - 1
		for ; i > 0; i-- {
			if remaining -= h.weights[i]; remaining < 0 {
				break
			}
		}
		h.cached = math.Exp2(float64(i) / 4)
	}
	return h.cached, true
}

// workloadKey identifies tasks with a common history.
type workloadKey struct{ service, team string }

// workloadHistory holds the observed sizes, run times and outcomes of the tasks of
// one service and team.
type workloadHistory struct {
	key      workloadKey
	milliCPU decayingHistogram
	memory   decayingHistogram
	runTime  decayingHistogram // milliseconds
	lastUsed uint64            // value of history.uses at the last use
	pos      int               // position in history.list
	outcomes outcomeHistory
}

// history is a bounded table of workload histories. When it is full, the less
// recently used of two randomly chosen records is evicted.
type history struct {
	records map[workloadKey]*workloadHistory
	list    []*workloadHistory
	uses    uint64
}

func newHistory() *history { return &history{records: map[workloadKey]*workloadHistory{}} }

func (h *history) forWorkload(service, team string) *workloadHistory {
	h.uses++
	key := workloadKey{service, team}
	r := h.records[key]
	if r == nil {
		r = &workloadHistory{key: key, pos: len(h.list)}
		if len(h.list) >= maxHistoryRecords {
			// A multiplicative hash of uses replaces a random generator.
			a := h.list[h.uses*0x9e3779b97f4a7c15%uint64(len(h.list))]
			b := h.list[(h.uses*0xbf58476d1ce4e5b9+1)%uint64(len(h.list))]
			if b.lastUsed < a.lastUsed {
				a = b
			}
			delete(h.records, a.key)
			r.pos = a.pos
			h.list[a.pos] = r
		} else {
			h.list = append(h.list, r)
		}
		h.records[key] = r
	}
	r.lastUsed = h.uses
	return r
}

// observeSize records a measurement of a running task.
func (h *history) observeSize(service, team string, used worker.Resources) {
	r := h.forWorkload(service, team)
	r.milliCPU.observe(float64(used.MilliCPU))
	r.memory.observe(float64(used.MemoryMiB))
}

// observeRunTime records the run time of a task that ended without an error, for
// its team and for the service as a whole.
func (h *history) observeRunTime(service, team string, d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	h.forWorkload(service, team).runTime.observe(ms)
	h.forWorkload(service, "").runTime.observe(ms)
}

// estimateSize returns the estimated size of a task, or false if there are too few
// observations.
func (h *history) estimateSize(service, team string) (worker.Resources, bool) {
	r := h.records[workloadKey{service, team}]
	if r == nil {
		return worker.Resources{}, false
	}
	cpu, ok := r.milliCPU.quantile(sizeQuantile)
	if !ok {
		return worker.Resources{}, false
	}
	memory, _ := r.memory.quantile(sizeQuantile)
	return worker.Resources{MilliCPU: int64(cpu), MemoryMiB: int64(memory)}, true
}

// estimateRunTime returns the estimated run time of a task, or false if there are
// too few observations.
func (h *history) estimateRunTime(service, team string) (time.Duration, bool) {
	r := h.records[workloadKey{service, team}]
	if r == nil {
		return 0, false
	}
	ms, ok := r.runTime.quantile(runTimeQuantile)
	return time.Duration(ms * float64(time.Millisecond)), ok
}
