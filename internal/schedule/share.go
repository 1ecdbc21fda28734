package schedule

import "time"

// Claims by which a team's turn comes.
const (
	// overall is the weighted dominant share of all that the team uses.
	overall = iota
	// inProfile is the team's weighted number of slots under one profile. It
	// decides within a guaranteed share, so that a team's other work does not
	// hold up what is guaranteed.
	inProfile
)

// share is one team's part of a lane, in order of arrival.
type share struct {
	team       *team
	lane       *lane
	backlog    *backlog
	head, tail *entry
	pos        [2]int // in the lane's heaps, -1 while empty or over quota
}

func (sh *share) claim(by int) float64 {
	if by == inProfile {
		return float64(sh.backlog.running) / sh.team.weight
	}
	return sh.team.key
}

// before orders the shares of one lane.
func (sh *share) before(o *share, by int) bool {
	if a, b := sh.claim(by), o.claim(by); a != b {
		return a < b
	}
	if !sh.head.enqueued.Equal(o.head.enqueued) {
		return sh.head.enqueued.Before(o.head.enqueued)
	}
	return sh.team.name < o.team.name
}

// shareHeap has the share with the least claim first.
type shareHeap struct {
	items []*share
	claim int
}

func (h *shareHeap) Len() int           { return len(h.items) }
func (h *shareHeap) Less(i, j int) bool { return h.items[i].before(h.items[j], h.claim) }
func (h *shareHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].pos[h.claim], h.items[j].pos[h.claim] = i, j
}

// Push implements heap.Interface.
func (h *shareHeap) Push(x any) {
	sh := x.(*share)
	sh.pos[h.claim] = len(h.items)
	h.items = append(h.items, sh)
}

// Pop implements heap.Interface.
func (h *shareHeap) Pop() any {
	last := len(h.items) - 1
	sh := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	sh.pos[h.claim] = -1
	return sh
}

// turn is what a lane offers next.
type turn struct {
	*share
	fulfilled float64 // of the profile's guaranteed share
}

// next returns the share whose turn it is in a lane that is not empty.
func (l *lane) next() turn {
	fulfilled := l.profile.fulfilled()
	if fulfilled < 1 {
		return turn{l.heaps[inProfile].items[0], fulfilled}
	}
	return turn{l.heaps[overall].items[0], fulfilled}
}

// precedes orders the turns of two lanes: profiles below their guaranteed
// share first, then the claim, then the priority raised by the waiting time.
func (a turn) precedes(b turn, now time.Time) bool {
	if a.fulfilled != b.fulfilled {
		return a.fulfilled < b.fulfilled
	}
	same := a.lane.profile == b.lane.profile
	by := overall
	if a.fulfilled < 1 && same {
		by = inProfile
	}
	if x, y := a.claim(by), b.claim(by); x != y {
		return x < y
	}
	// Within a profile the older one is the more urgent one.
	if !same {
		if u, v := a.head.urgency(now), b.head.urgency(now); u != v {
			return u > v
		}
	}
	if !a.head.enqueued.Equal(b.head.enqueued) {
		return a.head.enqueued.Before(b.head.enqueued)
	}
	return a.head.job.ID < b.head.job.ID
}
