package schedule

import "time"

// Claims by which a team's turn comes.
const (
	// overall is the weighted dominant share of all that the team uses.
	byDominantShare = iota
	// inProfile is the team's weighted number of slots under one profile. It
	// decides within a guaranteed share, so that a team's other work does not
	// hold up what is guaranteed.
	byProfileSlots
)

// share is one team's part of a lane, in order of arrival.
type teamQueue struct {
	team       *team
	lane       *lane
	backlog    *backlog
	head, tail *queueEntry
	heapPos    [2]int // in the lane's heaps, -1 while empty or over quota
}

func (q *teamQueue) orderKey(by int) float64 {
	if by == byProfileSlots {
		return float64(q.backlog.running) / q.team.weight
	}
	return q.team.dominantShare
}

// before orders the shares of one lane.
func (q *teamQueue) before(other *teamQueue, by int) bool {
	if a, b := q.orderKey(by), other.orderKey(by); a != b {
		return a < b
	}
	if !q.head.enqueued.Equal(other.head.enqueued) {
		return q.head.enqueued.Before(other.head.enqueued)
	}
	return q.team.name < other.team.name
}

// shareHeap has the share with the least claim first.
type teamQueueHeap struct {
	items []*teamQueue
	order int
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

// turn is what a lane offers next.
type laneCandidate struct {
	*teamQueue
	guaranteeUse float64 // of the profile's guaranteed share
}

// next returns the share whose turn it is in a lane that is not empty.
func (l *lane) next() laneCandidate {
	guaranteeUse := l.profile.guaranteeUse()
	if guaranteeUse < 1 {
		return laneCandidate{l.heaps[byProfileSlots].items[0], guaranteeUse}
	}
	return laneCandidate{l.heaps[byDominantShare].items[0], guaranteeUse}
}

// precedes orders the turns of two lanes: profiles below their guaranteed
// share first, then the claim, then the priority raised by the waiting time.
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
	// Within a profile the older one is the more urgent one.
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
