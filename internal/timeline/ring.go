package timeline

import (
	"cmp"
	"slices"
	"sort"
	"sync"
)

// Event is one entry of a timeline.
type Event struct {
	// Clock is the reading of the host's Clock when the event was added.
	Clock         uint64 `json:"clock"`
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	// Kind says what happened, such as "dispatched" or "worker_held".
	Kind string `json:"kind"`
	// Request, Task, Worker, Epoch and Offset are empty if they do not apply to
	// the event.
	Request string `json:"request,omitempty"`
	Task    string `json:"task,omitempty"`
	Worker  string `json:"worker,omitempty"`
	// Epoch is the epoch of a worker lease.
	Epoch uint64 `json:"epoch,omitempty"`
	// Offset is the offset of a record in the platform's log.
	Offset uint64 `json:"offset,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Filter selects events. An empty field matches every event.
type Filter struct {
	Request string
	Worker  string
}

func (f Filter) match(e Event) bool {
	return (f.Request == "" || f.Request == e.Request) && (f.Worker == "" || f.Worker == e.Worker)
}

// Ring is a ring buffer of the newest events of one host, in the order of their
// clock readings. Its methods may be called concurrently.
type Ring struct {
	clock *Clock

	mu sync.Mutex
	// events is a circular buffer. oldest is the index of its oldest event.
	events  []Event
	oldest  int
	size    int
	dropped uint64
	// lastDroppedClock is the clock reading of the newest event that was dropped.
	lastDroppedClock uint64
}

// NewRing returns a ring that holds up to size events, at least 1, and
// timestamps them with clock.
func NewRing(size int, clock *Clock) *Ring {
	return &Ring{clock: clock, size: max(size, 1)}
}

// Add sets e.Clock and adds e. If the ring is full, it drops the oldest event.
// Add returns the clock reading, which can be sent with a message. The clock is
// read under the ring's lock, so that no event is added with a reading that a
// reader paging with Since has already passed.
func (r *Ring) Add(e Event) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Clock = r.clock.Now()
	if len(r.events) < r.size {
		r.events = append(r.events, e)
		return e.Clock
	}
	r.dropped++
	r.lastDroppedClock = r.events[r.oldest].Clock
	r.events[r.oldest] = e
	r.oldest = (r.oldest + 1) % r.size
	return e.Clock
}

// Stats returns the number of events in the ring and the number of events that
// the ring has dropped since it was created.
func (r *Ring) Stats() (kept int, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.events), r.dropped
}

// Since returns the oldest events that match filter and have a clock reading
// greater than after: at most limit, or all if limit is 0 or less. If dropped is
// not 0, some events after that reading are missing. It is the number of all
// events that the ring has dropped since it was created, and may include events
// up to after.
func (r *Ring) Since(after uint64, limit int, filter Filter) (events []Event, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.lastDroppedClock {
		dropped = r.dropped
	}
	first := sort.Search(len(r.events), func(n int) bool { return r.at(n).Clock > after })
	for n := first; n < len(r.events); n++ {
		e := *r.at(n)
		if !filter.match(e) {
			continue
		}
		events = append(events, e)
		if len(events) == limit {
			break
		}
	}
	return events, dropped
}

// at returns the event at position n, counted from the oldest.
func (r *Ring) at(n int) *Event { return &r.events[(r.oldest+n)%len(r.events)] }

// Merge returns the events of several hosts in causal order: an event that
// happened before another, on the same host or through a message, precedes it.
// Events with equal clock readings are causally independent and are ordered by
// host.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Host, b.Host))
	})
	return merged
}
