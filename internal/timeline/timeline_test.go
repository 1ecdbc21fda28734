package timeline_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

// Guards against readings that decrease or repeat when the wall clock is set
// back or a message comes from a clock that is ahead.
func TestClockIsMonotonic(t *testing.T) {
	wall := time.UnixMilli(1000)
	c := timeline.NewClock(func() time.Time { return wall })
	require.Equal(t, uint64(1000)<<16, c.Now())
	wall = time.UnixMilli(900)
	require.Equal(t, uint64(1000)<<16+1, c.Now())
	require.Equal(t, uint64(2000)<<16+6, c.Observe(uint64(2000)<<16+5))
	require.Equal(t, uint64(2000)<<16+7, c.Observe(uint64(1500)<<16))
	wall = time.UnixMilli(3000)
	require.Equal(t, wall, timeline.Time(c.Now()))
}

// Guards against lost or repeated events when a reader pages through a ring that
// overflows, and against dropped events that are not reported.
func TestRingPages(t *testing.T) {
	ring := timeline.NewRing(4, timeline.NewClock(nil))
	var readings []uint64
	for _, kind := range []string{"a", "b", "c", "d", "e", "f"} {
		readings = append(readings, ring.Add(timeline.Event{Kind: kind, Request: "r" + kind, Worker: "w"}))
	}
	for _, test := range []struct {
		name    string
		after   uint64
		limit   int
		filter  timeline.Filter
		kinds   string
		dropped uint64
	}{
		{"all", 0, 0, timeline.Filter{}, "cdef", 2},
		{"limit", 0, 3, timeline.Filter{}, "cde", 2},
		{"next page", readings[4], 3, timeline.Filter{}, "f", 0},
		{"after the last dropped", readings[1], 0, timeline.Filter{}, "cdef", 0},
		{"after the end", readings[5], 0, timeline.Filter{}, "", 0},
		{"request", 0, 1, timeline.Filter{Request: "re"}, "e", 2},
		{"worker", readings[3], 0, timeline.Filter{Worker: "w"}, "ef", 0},
		{"no match", 0, 0, timeline.Filter{Request: "re", Worker: "v"}, "", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			events, dropped := ring.Since(test.after, test.limit, test.filter)
			kinds := ""
			for _, e := range events {
				kinds += e.Kind
			}
			require.Equal(t, test.kinds, kinds)
			require.Equal(t, test.dropped, dropped)
		})
	}
}

// Guards against an effect that is listed before its cause because the wall
// clock of the effect's host is behind.
func TestMergeIsCausal(t *testing.T) {
	fast := timeline.NewClock(func() time.Time { return time.UnixMilli(5000) })
	slow := timeline.NewClock(func() time.Time { return time.UnixMilli(1000) })
	a, b := timeline.NewRing(8, fast), timeline.NewRing(8, slow)
	b.Add(timeline.Event{Host: "b", Kind: "1"})
	slow.Observe(a.Add(timeline.Event{Host: "a", Kind: "2"}))
	fast.Observe(b.Add(timeline.Event{Host: "b", Kind: "3"}))
	a.Add(timeline.Event{Host: "a", Kind: "4"})
	fromA, _ := a.Since(0, 0, timeline.Filter{})
	fromB, _ := b.Since(0, 0, timeline.Filter{})
	kinds := ""
	for _, e := range timeline.Merge(fromA, fromB) {
		kinds += e.Kind
	}
	require.Equal(t, "1234", kinds)
}
