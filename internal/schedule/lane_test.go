package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/contract"
)

// TestEstimateChangesWhileQueued guards against queued jobs that stay classified as long
// or short by the run time that was known when they were queued, although the
// estimate has changed since. There are 16 slots, 4 of them guaranteed to others.
func TestEstimateChangesWhileQueued(t *testing.T) {
	for name, c := range map[string]struct {
		before, after time.Duration // observed run times, 0 if none
		running       [2]int        // running tasks before and after the end of one task
		next          string        // the job that must start then
	}{
		"unknown work is short": {after: 100 * time.Millisecond, running: [2]int{12, 16}, next: "12"},
		"short work is long":    {before: 100 * time.Millisecond, after: time.Minute, running: [2]int{16, 15}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.changeProfile("desk", func(p *contract.Profile) { p.Queue.GuaranteedPercent = 25 })
			f.gain("w0", capacity(32, 0))
			f.gain("w1", capacity(32, 0))
			f.ConfigurationChanged()
			observe := func(d time.Duration) {
				for i := 0; i < 400 && d > 0; i++ {
					f.history.observeRunTime("batch", "team0", d)
				}
			}
			observe(c.before)
			jobs := map[string]*submission{}
			submit := func(prefix string, n int) {
				for i := range n {
					id := fmt.Sprint(prefix, i)
					jobs[id] = f.submit(Job{ID: id, Team: "team0", Service: "batch"})
				}
			}
			submit("", 300)
			require.Equal(t, c.running[0], f.Demand()["team0"].Running)
			observe(c.after)
			f.now = f.now.Add(time.Second)
			submit("young", 20)
			for range 3 {
				f.Tick()
				f.checkInvariants(t)
			}
			jobs["0"].placement.Release(0, TaskResult{Ran: true})
			require.Equal(t, c.running[1], f.Demand()["team0"].Running)
			if c.next != "" {
				require.NotNil(t, jobs[c.next].placement, "the oldest job did not start first")
			}
			for _, r := range jobs {
				r.cancel()
			}
			for _, r := range jobs {
				if r.placement != nil {
					r.placement.ReleaseAll(TaskResult{Ran: true})
				}
			}
			require.Empty(t, f.Demand())
			f.checkInvariants(t)
		})
	}
}

// TestGangEstimateChangesWhileQueued guards against a gang job that is still limited as
// long work once its estimated run time is short: its seven members take 56 of 64
// cores, 16 of which are guaranteed to other work.
func TestGangEstimateChangesWhileQueued(t *testing.T) {
	f := newFixture()
	f.changeProfile("desk", func(p *contract.Profile) { p.Queue.GuaranteedPercent = 25 })
	f.gain("w0", capacity(32, 0))
	f.gain("w1", capacity(32, 0))
	f.ConfigurationChanged()
	job := f.submit(Job{ID: "0", Team: "team0", Service: "gang", Members: 7})
	f.Tick()
	require.Nil(t, job.placement, "the job started although its run time was not known")
	for range minObservations {
		f.history.observeRunTime("gang", "team1", 100*time.Millisecond)
	}
	f.Tick()
	require.NotNil(t, job.placement)
	f.checkInvariants(t)
}

// TestLongWithinGuarantee guards against work of unknown run time that waits
// behind short work of its own profile, which borrows all slots, although the
// guaranteed share of the profile has room for it. It also guards against long
// work beyond that share. Of 16 slots, 4 are guaranteed to the profile and 4 to
// others.
func TestLongWithinGuarantee(t *testing.T) {
	f := newFixture()
	f.changeProfile("desk", func(p *contract.Profile) { p.Queue.GuaranteedPercent = 25 })
	f.changeProfile("batch", func(p *contract.Profile) { p.Queue.GuaranteedPercent = 25 })
	f.config.services["fresh"] = contract.Service{Profile: "batch", Resources: cores(4), RunTimeMS: 50}
	f.gain("w0", capacity(32, 0))
	f.gain("w1", capacity(32, 0))
	f.ConfigurationChanged()
	for range minObservations {
		f.history.observeRunTime("batch", "team0", 100*time.Millisecond)
	}
	var short []*submission
	for i := range 40 {
		short = append(short, f.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "batch"}))
	}
	require.Equal(t, 16, f.Demand()["team0"].Running)
	for i := range 10 {
		f.submit(Job{ID: fmt.Sprint("fresh", i), Team: "team1", Service: "fresh"})
	}
	for i := range 8 {
		short[i].placement.Release(0, TaskResult{Ran: true})
	}
	require.Equal(t, map[string]Demand{"team0": {Running: 12, Queued: 20}, "team1": {Running: 4, Queued: 6}}, f.Demand())
	f.checkInvariants(t)
}
