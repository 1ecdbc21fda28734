package schedule

import "time"

// Orders of the team queues of a lane. The queue with the lowest key is first.
const (
	// byDominantShare orders by the weighted dominant share of everything that
	// the team uses.
	byDominantShare = iota
	// byProfileSlots orders by the number of running slots of the team under the
	// profile, relative to its weight. It is used within a guaranteed share, so
	// that other work of a team does not delay its guaranteed work.
	byProfileSlots
)

// teamQueue holds the queued jobs of one team in a lane, in order of arrival.
type teamQueue struct {
	team       *team
	lane       *lane
	backlog    *backlog
	head, tail *queueEntry
	heapPos    [2]int // in the heaps of the lane, -1 while empty or while the team is at its quota
}

func (q *teamQueue) orderKey(by int) float64 {
	if by == byProfileSlots {
		return float64(q.backlog.running) / q.team.weight
	}
	return q.team.dominantShare
}

// before reports whether q comes before other, a queue of the same lane, in the
// order that by selects: byDominantShare or byProfileSlots. Neither queue may be
// empty.
func (q *teamQueue) before(other *teamQueue, by int) bool {
	if a, b := q.orderKey(by), other.orderKey(by); a != b {
		return a < b
	}
	if !q.head.enqueued.Equal(other.head.enqueued) {
		return q.head.enqueued.Before(other.head.enqueued)
	}
	return q.team.name < other.team.name
}

// teamQueueHeap is a heap with the lowest key first.
type teamQueueHeap struct {
	items []*teamQueue
	order int // byDominantShare or byProfileSlots
}

func (h *teamQueueHeap) Len() int           { return len(h.items) }
func (h *teamQueueHeap) Less(i, j int) bool { return h.items[i].before(h.items[j], h.order) }
func (h *teamQueueHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapPos[h.order], h.items[j].heapPos[h.order] = i, j
}

// Push implements heap.Interface.
func (h *teamQueueHeap) Push(x any) {
	q := x.(*teamQueue)
	q.heapPos[h.order] = len(h.items)
	h.items = append(h.items, q)
}

// Pop implements heap.Interface.
func (h *teamQueueHeap) Pop() any {
	last := len(h.items) - 1
	q := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	q.heapPos[h.order] = -1
	return q
}

// laneCandidate is the team queue whose head is the next job of its lane.
type laneCandidate struct {
	*teamQueue
	guaranteeUse float64 // see profile.guaranteeUse
}

// peek returns the candidate of a lane without removing it. It panics if the lane
// has no ready jobs.
func (l *lane) peek() laneCandidate {
	guaranteeUse := l.profile.guaranteeUse()
	if guaranteeUse < 1 {
		return laneCandidate{l.heaps[byProfileSlots].items[0], guaranteeUse}
	}
	return laneCandidate{l.heaps[byDominantShare].items[0], guaranteeUse}
}

// precedes reports whether a comes before b, the candidate of another lane.
// Profiles below their guaranteed share come first, the one that uses the smallest
// fraction of it before the others. Then the order is by the key of the team
// queue, then by effective priority, then by age.
func (a laneCandidate) precedes(b laneCandidate, now time.Time) bool {
	if a.guaranteeUse != b.guaranteeUse {
		return a.guaranteeUse < b.guaranteeUse
	}
	same := a.lane.profile == b.lane.profile
	by := byDominantShare
	if a.guaranteeUse < 1 && same {
		by = byProfileSlots
	}
	if x, y := a.orderKey(by), b.orderKey(by); x != y {
		return x < y
	}
	// Within one profile the older job comes first, with and without ageing.
	if !same {
		if u, v := a.head.effectivePriority(now), b.head.effectivePriority(now); u != v {
			return u > v
		}
	}
	if !a.head.enqueued.Equal(b.head.enqueued) {
		return a.head.enqueued.Before(b.head.enqueued)
	}
	return a.head.job.ID < b.head.job.ID
}
