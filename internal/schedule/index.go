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
	// levels bounds the buckets by free processors: two an octave up to 2^31
	// thousandths of a core.
	levels = 64
)

// vector is free capacity: thousandths of a core, MiB, accelerators, slots.
type vector [4]int32

// closedVector fits nothing.
var closedVector = vector{-1, -1, -1, -1}

func clamp(v int64) int32 { return int32(min(max(v, -1), math.MaxInt32)) }

func vectorOf(a amount) vector {
	return vector{clamp(a.MilliCPU), clamp(a.MemoryMiB), clamp(a.Accelerators), clamp(int64(a.slots))}
}

func (v *vector) covers(need *vector) bool {
	return v[0] >= need[0] && v[1] >= need[1] && v[2] >= need[2] && v[3] >= need[3]
}

// index finds workers of one kind by free capacity. Buckets by free
// processors serve the sampling; a tree of maxima finds every worker that
// fits, at a cost that the free capacity bounds and not the number of workers
// unless the free processors and the free memory are on different workers.
type index struct {
	tree    [][]vector // tree[0] are the leaves
	leaves  []*node
	vacant  []int
	buckets [levels][]*node
	count   int // workers in buckets
}

func newIndex() *index { return &index{tree: [][]vector{nil}} }

// levelOf returns the bucket of an amount of free processors.
func levelOf(milliCPU int64) int {
	if milliCPU < 2 {
		return int(max(milliCPU, 0))
	}
	octave := bits.Len64(uint64(milliCPU)) - 1
	half := int(milliCPU>>(octave-1)) & 1
	return min(octave*2+half, levels-1)
}

func (x *index) insert(n *node) {
	if k := len(x.vacant); k > 0 {
		n.pos = x.vacant[k-1]
		x.vacant = x.vacant[:k-1]
		x.leaves[n.pos] = n
	} else {
		n.pos = len(x.leaves)
		x.leaves = append(x.leaves, n)
		x.grow()
	}
	x.update(n)
}

// grow adds the tree nodes for a new leaf.
func (x *index) grow() {
	size := len(x.leaves)
	for depth := 0; ; depth++ {
		if depth == len(x.tree) {
			// The new level starts from the maxima of the one below.
			x.tree = append(x.tree, []vector{maxOf(x.tree[depth-1])})
		}
		for len(x.tree[depth]) < size {
			x.tree[depth] = append(x.tree[depth], closedVector)
		}
		if size <= 1 {
			return
		}
		size = (size + fanOut - 1) / fanOut
	}
}

func maxOf(children []vector) vector {
	m := closedVector
	for i := range children {
		c := &children[i]
		m[0], m[1], m[2], m[3] = max(m[0], c[0]), max(m[1], c[1]), max(m[2], c[2]), max(m[3], c[3])
	}
	return m
}

func (x *index) remove(n *node) {
	x.set(n.pos, closedVector)
	x.rebucket(n, -1)
	x.leaves[n.pos] = nil
	x.vacant = append(x.vacant, n.pos)
}

// update follows a change of n's free capacity or state.
func (x *index) update(n *node) {
	if x == nil {
		return
	}
	v, level := closedVector, -1
	if slots := n.offered(); slots > 0 {
		free := n.free()
		free.slots = slots
		v, level = vectorOf(free), levelOf(free.MilliCPU)
	}
	x.set(n.pos, v)
	x.rebucket(n, level)
}

// offered returns the slots that new work may take.
func (n *node) offered() int {
	if n.leaving || n.state.aside && !n.state.probing {
		return 0
	}
	slots := n.capacity.Slots - n.charged.slots
	if n.state.aside {
		return min(slots, 1)
	}
	return max(slots, 0)
}

func (x *index) set(pos int, v vector) {
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

func (x *index) rebucket(n *node, level int) {
	if n.level == level {
		return
	}
	if n.level >= 0 {
		b := x.buckets[n.level]
		last := b[len(b)-1]
		b[n.slot], last.slot = last, n.slot
		b[len(b)-1] = nil
		x.buckets[n.level] = b[:len(b)-1]
		x.count--
	}
	n.level = level
	if level >= 0 {
		n.slot = len(x.buckets[level])
		x.buckets[level] = append(x.buckets[level], n)
		x.count++
	}
}

// search calls visit for workers that fit need until visit returns false. It
// starts at a random child on each level, so that equal workers are found
// equally often.
func (x *index) search(need worker.Resources, rng *rand.Rand, visit func(*node) bool) {
	if len(x.leaves) == 0 {
		return
	}
	want := vectorOf(amount{need, 1})
	x.descend(len(x.tree)-1, 0, &want, rng.IntN(fanOut), visit)
}

func (x *index) descend(depth, pos int, want *vector, turn int, visit func(*node) bool) bool {
	if !x.tree[depth][pos].covers(want) {
		return true
	}
	if depth == 0 {
		return visit(x.leaves[pos])
	}
	first := pos * fanOut
	count := min(fanOut, len(x.tree[depth-1])-first)
	for i := range count {
		if !x.descend(depth-1, first+(i+turn)%count, want, turn, visit) {
			return false
		}
	}
	return true
}
