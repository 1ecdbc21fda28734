package schedule

import (
	"math"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// maxLearned bounds the table of learned sizes. 570 teams with seven
	// services each fit.
	maxHistoryRecords = 4096
	// learnedBuckets covers 2^20 in steps of a quarter octave.
	histogramBuckets = 84
	// learnedDecay is the weight that each new observation takes from the
	// older ones: about the last hundred count.
	histogramDecay = 0.99
	// enough is the number of observations from which an estimate is used.
	minObservations = 8
	// sizeQuantile and timeQuantile are the quantiles to plan with: high
	// ones, since a task that outgrows its plan costs more than idle capacity.
	sizeQuantile    = 0.95
	runTimeQuantile = 0.9
)

// quantile is an exponentially weighted histogram over logarithmic buckets.
type decayingHistogram struct {
	weights [histogramBuckets]float32
	total   float32
	scale   float32 // weight of the next observation
	count   int32
	cached  float64 // cached estimate
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

// at returns the upper bound of the bucket that holds quantile p.
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

// learnedKey names what is learned together.
type workloadKey struct{ service, team string }

// record is what is known of one service and team.
type workloadHistory struct {
	key      workloadKey
	milliCPU decayingHistogram
	memory   decayingHistogram
	runTime  decayingHistogram // milliseconds
	lastUsed uint64            // order of the last use
	pos      int
	outcomes outcomeHistory
}

// learned is a bounded table of sizes, run times and failures. When it is
// full, the older of two random records makes room.
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
			// A multiplicative hash of the turn picks without a generator.
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

// size learns from a measurement of a running task.
func (h *history) observeSize(service, team string, used worker.Resources) {
	r := h.forWorkload(service, team)
	r.milliCPU.observe(float64(used.MilliCPU))
	r.memory.observe(float64(used.MemoryMiB))
}

// ran learns from the run time of a task that ended without an error.
func (h *history) observeRunTime(service, team string, d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	h.forWorkload(service, team).runTime.observe(ms)
	h.forWorkload(service, "").runTime.observe(ms)
}

// resources returns the learned size of a task.
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

// runTime returns the learned run time of a task.
func (h *history) estimateRunTime(service, team string) (time.Duration, bool) {
	r := h.records[workloadKey{service, team}]
	if r == nil {
		return 0, false
	}
	ms, ok := r.runTime.quantile(runTimeQuantile)
	return time.Duration(ms * float64(time.Millisecond)), ok
}
