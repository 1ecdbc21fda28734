package jobs

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/jobhost"
)

// platformMaxLease is the longest lease that workers of the platform grant.
const platformMaxLease = 10 * time.Second

// Guards against long-running tasks that lie for longer than furtherRunTimeout after their worker has ended, because of their age, or of schedulers that end and come back or stay away.
func TestDeadWorkerBesideChangesOfScheduler(t *testing.T) {
	const young, old, away = time.Second, 12 * time.Second, 0
	for _, c := range []struct {
		name string
		// age is that of the tasks when their worker ends, and after how much later the
		// scheduler does.
		age, after time.Duration
		// back is when the next process of its host is there, 0 for never, and changes the
		// number of schedulers that end, takeoverInterval apart.
		back    time.Duration
		changes int
	}{
		{"young tasks, one scheduler comes back", young, 0, restartDelay, 1},
		{"young tasks, one comes back late", young, 0, 3 * time.Second, 1},
		{"young tasks, one stays away", young, 0, away, 1},
		{"young tasks, many come back", young, 2 * time.Second, restartDelay, 4},
		{"young tasks, two stay away", young, 2 * time.Second, away, 2},
		{"old tasks, one scheduler comes back", old, 0, restartDelay, 1},
		{"old tasks, one stays away", old, 0, away, 1},
		{"old tasks, many come back", old, 2 * time.Second, restartDelay, 4},
		{"old tasks, two stay away", old, 2 * time.Second, away, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeploymentWithoutHosts(t, 7)
			for _, w := range d.workers {
				w.MaxLease = platformMaxLease
			}
			d.adjust = func(_ int, s *jobhost.Settings) { s.MaxLeaseMS = int(platformMaxLease.Milliseconds()) }
			d.startHosts(5, func(int) string { return d.storeAddress })
			d.submit(lastingJob, `{"spec":"p","steps":[{"count":4,"cpu":1000,"mem-mb":100,"long-running":true,"anti-affinity":1}]}`)
			d.await("all tasks run", func() bool { return len(d.tasksAtWork()) == 4 })
			<-time.After(c.age)

			dead := d.workers[slices.IndexFunc(d.workers, func(w *celltest.Worker) bool { return len(w.Running()) > 0 })]
			lost := dead.Running()[0]
			starts := d.recorder.Starts(lost)
			dead.SetRefusing(true)
			dead.Restart()
			ended := time.Now()

			var changes sync.WaitGroup
			defer changes.Wait()
			changes.Go(func() {
				<-time.After(c.after)
				for n := range c.changes {
					if n > 0 {
						<-time.After(takeoverInterval)
					}
					scheduler := d.schedulerIndex()
					d.killHost(scheduler)
					if c.back > 0 {
						changes.Go(func() {
							<-time.After(c.back)
							d.startHost(scheduler)
						})
					}
				}
			})
			require.Eventually(t, func() bool { return d.recorder.Starts(lost) > starts }, furtherRunTimeout, pollInterval, "%s has no further run", lost)
			t.Logf("a further run began %s after the end of the worker", time.Since(ended).Round(time.Millisecond))
			require.Empty(t, d.recorder.Violations())
			require.Zero(t, d.recorder.Overlaps())
		})
	}
}

// tasksAtWork returns the tasks that run on any worker, sorted.
func (d *deployment) tasksAtWork() []string {
	var running []string
	for _, w := range d.workers {
		running = append(running, w.Running()...)
	}
	slices.Sort(running)
	return running
}
