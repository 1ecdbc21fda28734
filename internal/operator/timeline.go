package operator

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

// MaxPageEvents is the maximum number of events of each entry host in one reply.
const MaxPageEvents = 5000

// TimelineQuery selects events. An empty field matches every event.
type TimelineQuery struct {
	Request string
	Worker  string
	// After selects events with a greater clock reading.
	After uint64
	// Limit is the maximum number of events of each entry host in one reply;
	// MaxPageEvents if it is 0 or less, or exceeds MaxPageEvents.
	Limit int
}

func (q TimelineQuery) values() url.Values {
	v := url.Values{"limit": {strconv.Itoa(q.limit())}, "after": {strconv.FormatUint(q.After, 10)}}
	if q.Request != "" {
		v.Set("request", q.Request)
	}
	if q.Worker != "" {
		v.Set("worker", q.Worker)
	}
	return v
}

func (q TimelineQuery) limit() int {
	if q.Limit <= 0 || q.Limit > MaxPageEvents {
		return MaxPageEvents
	}
	return q.Limit
}

// Timeline returns all events that match the query, in causal order. It reads
// them page by page and requests no further page once it has reached events that
// are later than its own start, so that it ends even if the hosts keep adding
// events.
func (c *Client) Timeline(ctx context.Context, q TimelineQuery) (Timeline, error) {
	all := Timeline{Dropped: make(map[string]uint64)}
	missing := make(map[string]bool)
	began := time.Now()
	for {
		var page Timeline
		if err := c.call(ctx, request{path: "/v1/timeline", query: q.values(), reply: &page}); err != nil {
			return Timeline{}, err
		}
		for _, host := range page.Missing {
			if !missing[host] {
				missing[host] = true
				all.Missing = append(all.Missing, host)
			}
		}
		for host, n := range page.Dropped {
			all.Dropped[host] = max(all.Dropped[host], n)
		}
		through, more := completeThrough(page.Events, q.limit())
		for _, e := range page.Events {
			if e.Clock <= through {
				all.Events = append(all.Events, e)
			}
		}
		if !more || timeline.Time(through).After(began) {
			return all, nil
		}
		q.After = through
	}
}

// completeThrough returns the clock reading up to which a page contains the
// events of every host, and whether there may be later ones. A host with as many
// events in the page as the limit allows may have more after its last one there.
func completeThrough(events []timeline.Event, limit int) (through uint64, more bool) {
	count := make(map[string]int)
	last := make(map[string]uint64)
	for _, e := range events {
		count[e.Host]++
		last[e.Host] = e.Clock
		through = max(through, e.Clock)
	}
	for host, n := range count {
		if n >= limit {
			more = true
			through = min(through, last[host])
		}
	}
	return through, more
}
