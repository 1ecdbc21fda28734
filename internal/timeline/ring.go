package timeline

import (
	"cmp"
	"slices"
	"sort"
	"sync"
)

// Event is one entry of a timeline.
type Event struct {
	// Clock is a reading of the host's Clock.
	Clock         uint64 `json:"clock"`
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Kind          string `json:"kind"`
	// Request, Task, Worker, Epoch and Offset are empty where the event has
	// none.
	Request string `json:"request,omitempty"`
	Task    string `json:"task,omitempty"`
	Worker  string `json:"worker,omitempty"`
	// Epoch is that of a worker lease.
	Epoch uint64 `json:"epoch,omitempty"`
	// Offset is that of a record in the platform's log.
	Offset uint64 `json:"offset,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Filter selects events. An empty field matches all.
type Filter struct {
	Request string
	Worker  string
}

func (f Filter) match(e Event) bool {
	return (f.Request == "" || f.Request == e.Request) && (f.Worker == "" || f.Worker == e.Worker)
}

// Ring keeps the newest events of one host in the order of their clocks. Its
// methods may be called concurrently.
type Ring struct {
	clock *Clock

	mu sync.Mutex
	// events is a circular buffer that has its oldest event at start once it
	// is full.
	events  []Event
	start   int
	size    int
	dropped uint64
	// lastDropped is the clock of the newest event that was dropped.
	lastDropped uint64
}

// NewRing returns a ring of at most size events, at least 1, that stamps them
// with clock.
func NewRing(size int, clock *Clock) *Ring {
	return &Ring{clock: clock, size: max(size, 1)}
}

// Add stamps e and adds it; it drops the oldest event of a full ring. It
// returns the stamp, which can be sent along with a message. The stamp is
// taken under the ring's lock, so that no event is added behind a reader that
// pages through with Since.
func (r *Ring) Add(e Event) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Clock = r.clock.Now()
	if len(r.events) < r.size {
		r.events = append(r.events, e)
		return e.Clock
	}
	r.dropped++
	r.lastDropped = r.events[r.start].Clock
	r.events[r.start] = e
	r.start = (r.start + 1) % r.size
	return e.Clock
}

// Stats returns the number of kept events, of at most the ring's size, and the
// number of those dropped since its start.
func (r *Ring) Stats() (kept int, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.events), r.dropped
}

// Since returns the oldest events with a clock above after that match filter,
// at most limit, or all if limit is 0 or less. If dropped isn't 0, events
// above after are missing: dropped is the number of all events that the ring
// has dropped since its start, of which some may not be above after.
func (r *Ring) Since(after uint64, limit int, filter Filter) (events []Event, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.lastDropped {
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

// at returns the event with n older ones.
func (r *Ring) at(n int) *Event { return &r.events[(r.start+n)%len(r.events)] }

// Merge returns the events of several hosts in causal order: an event that
// happened before another by message or on the same host comes before it.
// Events with equal clocks, which are independent, are ordered by host.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Host, b.Host))
	})
	return merged
}
