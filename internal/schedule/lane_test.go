package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/contract"
)

// TestLearnedWhileQueued guards against jobs that are held to the limits of
// long work, or not, by what was known of their run time when they were queued:
// 16 slots, of which 4 are guaranteed to other work.
func TestLearnedWhileQueued(t *testing.T) {
	for name, c := range map[string]struct {
		before, after time.Duration // learned run times, 0 if none
		running       [2]int        // before and after an end of one task
		next          string        // the job that starts then
	}{
		"unknown work is short": {after: 100 * time.Millisecond, running: [2]int{12, 16}, next: "12"},
		"short work is long":    {before: 100 * time.Millisecond, after: time.Minute, running: [2]int{16, 15}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.alter("desk", func(p *contract.Profile) { p.Queue.GuaranteedPercent = 25 })
			b.gain("w0", capacity(32, 0))
			b.gain("w1", capacity(32, 0))
			b.ConfigurationChanged()
			learn := func(d time.Duration) {
				for i := 0; i < 400 && d > 0; i++ {
					b.learned.ran("batch", "team0", d)
				}
			}
			learn(c.before)
			jobs := map[string]*result{}
			submit := func(prefix string, n int) {
				for i := range n {
					id := fmt.Sprint(prefix, i)
					jobs[id] = b.submit(Job{ID: id, Team: "team0", Service: "batch"})
				}
			}
			submit("", 300)
			require.Equal(t, c.running[0], b.Demand()["team0"].Running)
			learn(c.after)
			b.now = b.now.Add(time.Second)
			submit("young", 20)
			for range 3 {
				b.Tick()
				b.check(t)
			}
			jobs["0"].placement.Release(0, TaskResult{Ran: true})
			require.Equal(t, c.running[1], b.Demand()["team0"].Running)
			if c.next != "" {
				require.NotNil(t, jobs[c.next].placement, "the oldest job starts first")
			}
			for _, r := range jobs {
				r.cancel()
			}
			for _, r := range jobs {
				if r.placement != nil {
					r.placement.ReleaseAll(TaskResult{Ran: true})
				}
			}
			require.Empty(t, b.Demand())
			b.check(t)
		})
	}
}

// TestGangLearnedWhileQueued guards against an all-at-once job that is held to
// the limits of long work after its run time was learned: seven of its members
// take 56 of 64 cores, of which 16 are guaranteed to other work.
func TestGangLearnedWhileQueued(t *testing.T) {
	b := newFixture()
	b.alter("desk", func(p *contract.Profile) { p.Queue.GuaranteedPercent = 25 })
	b.gain("w0", capacity(32, 0))
	b.gain("w1", capacity(32, 0))
	b.ConfigurationChanged()
	job := b.submit(Job{ID: "0", Team: "team0", Service: "gang", Members: 7})
	b.Tick()
	require.Nil(t, job.placement, "its run time is not known")
	for range enough {
		b.learned.ran("gang", "team1", 100*time.Millisecond)
	}
	b.Tick()
	require.NotNil(t, job.placement)
	b.check(t)
}

// TestLongWithinGuarantee guards against work of unknown run time that waits
// behind the short work of its own profile, which borrows all slots, although
// the guaranteed share of the profile would take it; and against long work
// beyond that share: 16 slots, 4 guaranteed to the profile and 4 to others.
func TestLongWithinGuarantee(t *testing.T) {
	b := newFixture()
	b.alter("desk", func(p *contract.Profile) { p.Queue.GuaranteedPercent = 25 })
	b.alter("batch", func(p *contract.Profile) { p.Queue.GuaranteedPercent = 25 })
	b.config.services["fresh"] = contract.Service{Profile: "batch", Resources: cores(4), RunTimeMS: 50}
	b.gain("w0", capacity(32, 0))
	b.gain("w1", capacity(32, 0))
	b.ConfigurationChanged()
	for range enough {
		b.learned.ran("batch", "team0", 100*time.Millisecond)
	}
	var short []*result
	for i := range 40 {
		short = append(short, b.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "batch"}))
	}
	require.Equal(t, 16, b.Demand()["team0"].Running)
	for i := range 10 {
		b.submit(Job{ID: fmt.Sprint("fresh", i), Team: "team1", Service: "fresh"})
	}
	for i := range 8 {
		short[i].placement.Release(0, TaskResult{Ran: true})
	}
	require.Equal(t, map[string]Demand{"team0": {Running: 12, Queued: 20}, "team1": {Running: 4, Queued: 6}}, b.Demand())
	b.check(t)
}
