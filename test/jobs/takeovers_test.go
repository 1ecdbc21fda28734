package jobs

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
)

const (
	// furtherRunTimeout is how long after the end of its worker a task of a long-running
	// job may be without a further run, by the users' rules: 6 s and 3 s that are calm.
	furtherRunTimeout = 9 * time.Second
	// takeoverInterval is the time between two ends of the scheduling process, and
	// restartDelay how long after its end the next process of the host is started.
	takeoverInterval = 4500 * time.Millisecond
	restartDelay     = 500 * time.Millisecond
)

// replaceSchedulers kills the process that schedules every takeoverInterval and starts the
// next one on its host, until done is closed. It returns how many it has killed.
func (d *deployment) replaceSchedulers(done <-chan struct{}) (killed int) {
	for {
		scheduler := d.schedulerIndex()
		d.killHost(scheduler)
		killed++
		<-time.After(restartDelay)
		d.startHost(scheduler)
		select {
		case <-done:
			return killed
		case <-time.After(takeoverInterval - restartDelay):
		}
	}
}

// Guards against a task that lies for as long as the scheduling process ends every few
// seconds, because each successor waits anew for the lease of the dead worker.
func TestDeadWorkerWhileSchedulersAreReplaced(t *testing.T) {
	for name, age := range map[string]time.Duration{"young tasks": 0, "older tasks": 6 * time.Second} {
		t.Run(name, func(t *testing.T) { endWorkerWhileSchedulersAreReplaced(t, age) })
	}
}

// endWorkerWhileSchedulersAreReplaced begins to replace schedulers when the tasks have run for
// age, and ends a worker of theirs.
func endWorkerWhileSchedulersAreReplaced(t *testing.T, age time.Duration) {
	d := newDeployment(t, 6, 3)
	d.submit(lastingJob, `{"spec":"p","steps":[{"count":4,"cpu":1000,"mem-mb":100,"long-running":true,"anti-affinity":1}]}`)
	all := []string{lastingJob + ".0.0.0", lastingJob + ".0.0.1", lastingJob + ".0.0.2", lastingJob + ".0.0.3"}
	d.await("all tasks run", func() bool { return slices.Equal(d.tasksAtWork(), all) })
	<-time.After(age)

	done, ended, killed := make(chan struct{}), make(chan struct{}), 0
	go func() {
		defer close(ended)
		killed = d.replaceSchedulers(done)
	}()
	defer func() {
		close(done)
		<-ended
		t.Logf("%d schedulers were killed", killed)
		require.Empty(t, d.recorder.Violations())
		require.Zero(t, d.recorder.Overlaps())
	}()
	<-time.After(takeoverInterval - 1500*time.Millisecond) // late in the term of a successor
	dead := slices.IndexFunc(d.workers, func(w *celltest.Worker) bool { return len(w.Running()) > 0 })
	require.GreaterOrEqual(t, dead, 0, "no worker has kept its lease")
	lost := d.workers[dead].Running()[0]
	starts := d.recorder.Starts(lost)
	diedAt := time.Now()
	d.workers[dead].SetRefusing(true)
	d.workers[dead].Restart()
	require.Eventually(t, func() bool { return d.recorder.Starts(lost) > starts }, furtherRunTimeout, pollInterval, "%s has no further run", lost)
	t.Logf("%s had a further run after %s", strings.TrimPrefix(lost, lastingJob), time.Since(diedAt))
}
