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

func id(n int) string { return fmt.Sprintf("%016x", n) }

// Callers must get the answer of the interface at every host, whichever of them
// schedules.
func TestAnswers(t *testing.T) {
	d := newDeployment(t, 3, 3)
	d.submit(id(1), twoSteps)
	d.untilState(id(1), "completed")
	for n := range d.hosts {
		for _, c := range []struct {
			name, method, path, body string
			status                   int
		}{
			{"a copy of a known job", http.MethodPost, queuePath + id(1), twoSteps, http.StatusOK},
			{"an unknown queue", http.MethodPost, "/none/" + id(2), oneTask, http.StatusNotFound},
			{"an ID of another form", http.MethodPost, queuePath + "xyz", oneTask, http.StatusNotFound},
			{"an invalid job", http.MethodPost, queuePath + id(3), `{"steps":[{"count":0}]}`, http.StatusBadRequest},
			{"the state of an unknown job", http.MethodGet, queuePath + id(4), "", http.StatusGone},
			{"cancelling an unknown job", http.MethodDelete, queuePath + id(4), "", http.StatusGone},
			{"cancelling an ended job", http.MethodDelete, queuePath + id(1), "", http.StatusOK},
			{"the count of a queue", http.MethodGet, queuePath, "", http.StatusOK},
			{"the count of an unknown queue", http.MethodGet, "/none/", "", http.StatusNotFound},
		} {
			status, body := d.call(n, c.method, c.path, c.body)
			require.Equal(t, c.status, status, "%s at host %d: %s", c.name, n, body)
		}
	}
	require.Empty(t, d.ledger.Violations())
	for n := range d.hosts {
		_, body := d.request(http.MethodGet, "http://"+d.hosts[n].ReadinessAddress+"/v1/timeline?job="+id(1), "", "")
		for _, kind := range []string{"accepted", "task_started", "task_ended", "ended"} {
			require.Contains(t, body, `"kind":"`+kind+`"`, "host %d shows the events of the host that schedules", n)
		}
	}
}

// A new version of the configuration must be in force everywhere within 2.5 s.
func TestConfigurationChange(t *testing.T) {
	d := newDeployment(t, 2, 3)
	d.publish(5, false)
	begin := time.Now()
	for n := range d.hosts {
		d.until("the queue is gone", func() bool {
			status, _ := d.call(n, http.MethodPost, queuePath+id(1), oneTask)
			return status == http.StatusNotFound
		})
	}
	require.Less(t, time.Since(begin), 2500*time.Millisecond)
	d.publish(3, true)
	d.until("the older version was read", func() bool { return time.Since(begin) > 4*time.Second })
	for n := range d.hosts {
		status, _ := d.call(n, http.MethodPost, queuePath+id(1), oneTask)
		require.Equal(t, http.StatusNotFound, status, "an older version must not come into force")
	}
}

// Whatever happens to the scheduler's process, accepted jobs are done, no task
// runs twice and no worker is over-full.
func TestSchedulerLost(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(d *deployment, n int)
	}{
		{"killed", func(d *deployment, n int) { d.kill(n) }},
		{"killed and restarted", func(d *deployment, n int) {
			d.kill(n)
			d.start(n)
		}},
		{"stopped in a planned way", func(d *deployment, n int) { d.signal(n, syscall.SIGTERM) }},
		{"paused beyond its lease", func(d *deployment, n int) {
			d.signal(n, syscall.SIGSTOP)
			<-time.After(5 * time.Second)
			d.signal(n, syscall.SIGCONT) // the checks come after it has woken
		}},
		{"told to read its settings again", func(d *deployment, n int) { d.signal(n, syscall.SIGHUP) }},
		{"killed with all others", func(d *deployment, _ int) {
			for n := range d.hosts {
				d.kill(n)
			}
			for n := range d.hosts {
				d.start(n)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 4, 3)
			var jobs sync.WaitGroup
			for n := range 30 {
				jobs.Go(func() { d.submit(id(n), twoSteps) })
			}
			d.until("tasks run", func() bool { return d.ledger.Starts(id(0)+".0.0.0")+d.ledger.Starts(id(9)+".0.0.0") > 0 })
			c.lose(d, d.scheduler())
			jobs.Wait()
			for n := range 30 {
				d.untilState(id(n), "completed")
			}
			require.Empty(t, d.ledger.Violations())
		})
	}
}
