package operator

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

// MaxPageEvents is the largest number of events that each entry host puts into
// one reply.
const MaxPageEvents = 5000

// TimelineQuery selects events. Empty fields match all.
type TimelineQuery struct {
	Request string
	Worker  string
	// After selects events with a later clock reading.
	After uint64
	// Limit bounds the events of each entry host in one reply; MaxPageEvents if 0.
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

// Timeline returns all events that match the query, in causal order, page by
// page. It asks for no page of events after its own start, so that a busy cell
// can't keep it going.
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
		whole, more := wholeUntil(page.Events, q.limit())
		for _, e := range page.Events {
			if e.Clock <= whole {
				all.Events = append(all.Events, e)
			}
		}
		if !more || timeline.Time(whole).After(began) {
			return all, nil
		}
		q.After = whole
	}
}

// wholeUntil returns the clock reading up to which a page holds the events of
// every host, and whether there may be later ones. A host that filled its part
// of the page may have more events after its last one there.
func wholeUntil(events []timeline.Event, limit int) (whole uint64, more bool) {
	count := make(map[string]int)
	last := make(map[string]uint64)
	for _, e := range events {
		count[e.Host]++
		last[e.Host] = e.Clock
		whole = max(whole, e.Clock)
	}
	for host, n := range count {
		if n >= limit {
			more = true
			whole = min(whole, last[host])
		}
	}
	return whole, more
}
