package schedule

import (
	"math"
	"math/bits"
	"math/rand/v2"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// fanOut is the number of children of a node of the search tree. Eight
	// vectors of 16 bytes fill two cache lines.
	fanOut = 8
	// cpuBuckets is the number of buckets by free processors: two per octave up
	// to 2^31 thousandths of a core.
	cpuBuckets = 64
)

// vector is an amount of capacity: thousandths of a core, MiB of memory,
// accelerators and slots.
type vector [4]int32

// noCapacity covers no demand.
var noCapacity = vector{-1, -1, -1, -1}

func clampInt32(v int64) int32 { return int32(min(max(v, -1), math.MaxInt32)) }

func vectorOf(a amount) vector {
	return vector{clampInt32(a.MilliCPU), clampInt32(a.MemoryMiB), clampInt32(a.Accelerators), clampInt32(int64(a.slots))}
}

func (v *vector) covers(need *vector) bool {
	return v[0] >= need[0] && v[1] >= need[1] && v[2] >= need[2] && v[3] >= need[3]
}

// index finds workers of one kind (with or without accelerators) by free capacity.
// The buckets by free processors are for sampling. The tree, whose nodes hold the
// maxima of their children, finds every worker that fits. The cost of a search
// depends on the free capacity; it depends on the number of workers only if the
// free processors and the free memory are on different workers, since the maxima
// of a node may then cover a demand that none of its workers covers.
type index struct {
	tree       [][]vector // tree[0] holds the free capacity of leaves
	leaves     []*heldWorker
	freeLeaves []int // unused positions in leaves
	buckets    [cpuBuckets][]*heldWorker
	count      int // number of workers in buckets
}

func newIndex() *index { return &index{tree: [][]vector{nil}} }

// cpuBucket returns the bucket of an amount of free processors.
func cpuBucket(milliCPU int64) int {
	if milliCPU < 2 {
		return int(max(milliCPU, 0))
	}
	octave := bits.Len64(uint64(milliCPU)) - 1
	half := int(milliCPU>>(octave-1)) & 1
	return min(octave*2+half, cpuBuckets-1)
}

func (x *index) insert(w *heldWorker) {
	if k := len(x.freeLeaves); k > 0 {
		w.leaf = x.freeLeaves[k-1]
		x.freeLeaves = x.freeLeaves[:k-1]
		x.leaves[w.leaf] = w
	} else {
		w.leaf = len(x.leaves)
		x.leaves = append(x.leaves, w)
		x.grow()
	}
	x.update(w)
}

// grow adds the tree nodes for a new leaf.
func (x *index) grow() {
	size := len(x.leaves)
	for depth := 0; ; depth++ {
		if depth == len(x.tree) {
			// The root of the new level holds the maxima of the level below.
			x.tree = append(x.tree, []vector{maxOf(x.tree[depth-1])})
		}
		for len(x.tree[depth]) < size {
			x.tree[depth] = append(x.tree[depth], noCapacity)
		}
		if size <= 1 {
			return
		}
		size = (size + fanOut - 1) / fanOut
	}
}

func maxOf(children []vector) vector {
	m := noCapacity
	for i := range children {
		c := &children[i]
		m[0], m[1], m[2], m[3] = max(m[0], c[0]), max(m[1], c[1]), max(m[2], c[2]), max(m[3], c[3])
	}
	return m
}

func (x *index) remove(w *heldWorker) {
	x.setLeaf(w.leaf, noCapacity)
	x.rebucket(w, -1)
	x.leaves[w.leaf] = nil
	x.freeLeaves = append(x.freeLeaves, w.leaf)
}

// update updates the index after a change of the free capacity or the state of w.
// A nil index is ignored.
func (x *index) update(w *heldWorker) {
	if x == nil {
		return
	}
	v, bucket := noCapacity, -1
	if slots := w.offeredSlots(); slots > 0 {
		free := w.free()
		free.slots = slots
		v, bucket = vectorOf(free), cpuBucket(free.MilliCPU)
	}
	x.setLeaf(w.leaf, v)
	x.rebucket(w, bucket)
}

// offeredSlots returns the number of slots that new work may use.
func (w *heldWorker) offeredSlots() int {
	if w.leaving || w.health.quarantined && !w.health.probeOffered {
		return 0
	}
	slots := w.capacity.Slots - w.allocated.slots
	if w.health.quarantined {
		return min(slots, 1)
	}
	return max(slots, 0)
}

// setLeaf sets the free capacity of a leaf and updates the maxima above it.
func (x *index) setLeaf(pos int, v vector) {
	x.tree[0][pos] = v
	for depth := 1; depth < len(x.tree); depth++ {
		pos /= fanOut
		children := x.tree[depth-1]
		m := maxOf(children[pos*fanOut : min(pos*fanOut+fanOut, len(children))])
		if x.tree[depth][pos] == m {
			return
		}
		x.tree[depth][pos] = m
	}
}

// rebucket moves w to another bucket, or out of all buckets if bucket is -1.
func (x *index) rebucket(w *heldWorker, bucket int) {
	if w.bucket == bucket {
		return
	}
	if w.bucket >= 0 {
		b := x.buckets[w.bucket]
		last := b[len(b)-1]
		b[w.bucketPos], last.bucketPos = last, w.bucketPos
		b[len(b)-1] = nil
		x.buckets[w.bucket] = b[:len(b)-1]
		x.count--
	}
	w.bucket = bucket
	if bucket >= 0 {
		w.bucketPos = len(x.buckets[bucket])
		x.buckets[bucket] = append(x.buckets[bucket], w)
		x.count++
	}
}

// search calls visit for workers that have room for need until visit returns
// false. On each level it starts at a child at a random offset, so that equal
// workers are found equally often.
func (x *index) search(need worker.Resources, rng *rand.Rand, visit func(*heldWorker) bool) {
	if len(x.leaves) == 0 {
		return
	}
	want := vectorOf(amount{need, 1})
	x.descend(len(x.tree)-1, 0, &want, rng.IntN(fanOut), visit)
}

// descend calls visit for the workers below one node of the tree that have room
// for want, and returns false once visit has returned false. depth is 0 for the
// leaves.
func (x *index) descend(depth, pos int, want *vector, rotation int, visit func(*heldWorker) bool) bool {
	if !x.tree[depth][pos].covers(want) {
		return true
	}
	if depth == 0 {
		return visit(x.leaves[pos])
	}
	first := pos * fanOut
	count := min(fanOut, len(x.tree[depth-1])-first)
	for i := range count {
		if !x.descend(depth-1, first+(i+rotation)%count, want, rotation, visit) {
			return false
		}
	}
	return true
}
