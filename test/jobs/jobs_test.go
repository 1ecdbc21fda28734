package jobs

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	oneTask  = `{"spec":"p","steps":[{"count":1,"cpu":1000,"mem-mb":100}]}`
	twoSteps = `{"spec":"p","steps":[{"count":3,"cpu":1000,"mem-mb":100},{"count":2,"cpu":1000,"mem-mb":100,"depends-on":[0]}]}`
)

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// Callers must get the specified status from every host, whichever host is the
// scheduler.
func TestAnswers(t *testing.T) {
	d := newDeployment(t, 3, 3)
	d.submit(jobID(1), twoSteps)
	d.awaitState(jobID(1), "completed")
	for n := range d.hosts {
		for _, c := range []struct {
			name, method, path, body string
			status                   int
		}{
			{"a copy of a known job", http.MethodPost, queuePath + jobID(1), twoSteps, http.StatusOK},
			{"an unknown queue", http.MethodPost, "/none/" + jobID(2), oneTask, http.StatusNotFound},
			{"an ID of another form", http.MethodPost, queuePath + "xyz", oneTask, http.StatusNotFound},
			{"an invalid job", http.MethodPost, queuePath + jobID(3), `{"steps":[{"count":0}]}`, http.StatusBadRequest},
			{"the state of an unknown job", http.MethodGet, queuePath + jobID(4), "", http.StatusGone},
			{"cancelling an unknown job", http.MethodDelete, queuePath + jobID(4), "", http.StatusGone},
			{"cancelling an ended job", http.MethodDelete, queuePath + jobID(1), "", http.StatusOK},
			{"the count of a queue", http.MethodGet, queuePath, "", http.StatusOK},
			{"the count of an unknown queue", http.MethodGet, "/none/", "", http.StatusNotFound},
		} {
			status, body := d.callHost(n, c.method, c.path, c.body)
			require.Equal(t, c.status, status, "%s at host %d: %s", c.name, n, body)
		}
	}
	require.Empty(t, d.recorder.Violations())
	for n := range d.hosts {
		_, body := d.request(http.MethodGet, "http://"+d.hosts[n].ReadinessAddress+"/v1/timeline?job="+jobID(1), "", "")
		for _, kind := range []string{"accepted", "task_started", "task_ended", "ended"} {
			require.Contains(t, body, `"kind":"`+kind+`"`, "host %d must show the events of the scheduling host", n)
		}
	}
}

// A new version of the configuration must be in effect on every host within
// 2.5 s, and an older version that is written later must be ignored.
func TestConfigurationChange(t *testing.T) {
	d := newDeployment(t, 2, 3)
	d.publishConfiguration(5, false)
	begin := time.Now()
	for n := range d.hosts {
		d.await("the queue is gone", func() bool {
			status, _ := d.callHost(n, http.MethodPost, queuePath+jobID(1), oneTask)
			return status == http.StatusNotFound
		})
	}
	require.Less(t, time.Since(begin), 2500*time.Millisecond)
	d.publishConfiguration(3, true)
	d.await("the older version was read", func() bool { return time.Since(begin) > 4*time.Second })
	for n := range d.hosts {
		status, _ := d.callHost(n, http.MethodPost, queuePath+jobID(1), oneTask)
		require.Equal(t, http.StatusNotFound, status, "an older version must not take effect")
	}
}

// Checks that accepted jobs complete, no task runs twice and no worker exceeds
// its capacity when the scheduler's process is killed, restarted, paused or told
// to reload its settings.
func TestSchedulerLost(t *testing.T) {
	for _, c := range []struct {
		name    string
		disrupt func(d *deployment, n int)
	}{
		{"killed", func(d *deployment, n int) { d.killHost(n) }},
		{"killed and restarted", func(d *deployment, n int) {
			d.killHost(n)
			d.startHost(n)
		}},
		{"stopped in a planned way", func(d *deployment, n int) { d.signalHost(n, syscall.SIGTERM) }},
		{"paused beyond its lease", func(d *deployment, n int) {
			d.signalHost(n, syscall.SIGSTOP)
			<-time.After(5 * time.Second)
			d.signalHost(n, syscall.SIGCONT) // the checks below run after the process has resumed
		}},
		{"told to read its settings again", func(d *deployment, n int) { d.signalHost(n, syscall.SIGHUP) }},
		{"killed with all others", func(d *deployment, _ int) {
			for n := range d.hosts {
				d.killHost(n)
			}
			for n := range d.hosts {
				d.startHost(n)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 4, 3)
			var submissions sync.WaitGroup
			for n := range 30 {
				submissions.Go(func() { d.submit(jobID(n), twoSteps) })
			}
			d.await("tasks run", func() bool { return d.recorder.Starts(jobID(0)+".0.0.0")+d.recorder.Starts(jobID(9)+".0.0.0") > 0 })
			c.disrupt(d, d.schedulerIndex())
			submissions.Wait()
			for n := range 30 {
				d.awaitState(jobID(n), "completed")
			}
			require.Empty(t, d.recorder.Violations())
		})
	}
}
