package jobs

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/shard"
)

const (
	shardedWorkers, shardedHosts, workersPerShard, shardCount = 6, 4, 2, 3
	shardedJobs                                               = 30
)

func newShardedDeployment(t *testing.T) *deployment {
	d := newDeploymentWithoutHosts(t, shardedWorkers)
	d.workersPerShard = workersPerShard
	d.startHosts(shardedHosts, func(int) string { return d.storeAddress })
	return d
}

// Checks that accepted jobs of a service in several shards complete on any host, no
// task runs twice and no worker exceeds its capacity when schedulers are lost: one of
// them, one that wakes up later, or all hosts at the same moment, twice in a row.
func TestShardedService(t *testing.T) {
	killAndStartAll := func(d *deployment) {
		var all sync.WaitGroup
		for n := range d.hosts {
			all.Go(func() { d.killHost(n) })
		}
		all.Wait()
		for n := range d.hosts {
			d.startHost(n)
		}
	}
	for _, c := range []struct {
		name    string
		disrupt func(d *deployment, scheduler int)
	}{
		{"no fault", func(*deployment, int) {}},
		{"a scheduler is killed", func(d *deployment, n int) { d.killHost(n) }},
		{"a scheduler is paused beyond its lease", func(d *deployment, n int) {
			d.signalHost(n, syscall.SIGSTOP)
			<-time.After(5 * time.Second)
			d.signalHost(n, syscall.SIGCONT)
		}},
		{"a scheduler is stopped in a planned way", func(d *deployment, n int) { d.signalHost(n, syscall.SIGTERM) }},
		{"all are killed twice in a row", func(d *deployment, _ int) {
			killAndStartAll(d)
			<-time.After(1500 * time.Millisecond)
			killAndStartAll(d)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newShardedDeployment(t)
			var submissions sync.WaitGroup
			for n := range shardedJobs {
				submissions.Go(func() { d.submit(jobID(n), twoSteps) })
			}
			d.await("tasks run", func() bool { return d.recorder.Starts(jobID(0)+".0.0.0")+d.recorder.Starts(jobID(9)+".0.0.0") > 0 })
			c.disrupt(d, d.schedulerIndexOf(shard.OfJob(service, jobID(0), shardCount).String()))
			submissions.Wait()
			for n := range shardedJobs {
				d.awaitState(jobID(n), "completed")
				require.GreaterOrEqual(t, d.recorder.Starts(jobID(n)+".0.1.1"), 1)
			}
			require.Empty(t, d.recorder.Violations())
			for _, s := range shard.All(service, shardCount) {
				page, err := d.store.ReadCompacted(context.Background(), "jobs."+s.String(), "")
				require.NoError(t, err)
				require.Greater(t, len(page.Records), 1, "%s has had no job", s)
			}
			status, body := d.callHost(1, http.MethodGet, queuePath, "")
			if status != 0 { // the host may have been killed
				require.Equal(t, http.StatusOK, status, body)
				require.JSONEq(t, `{"pending":0}`, body)
			}
		})
	}
}

// A job must stay one job in the shards: a copy of the request that arrives at another
// host later must find it, and so must a request to cancel it.
func TestShardedJobIsOneJob(t *testing.T) {
	d := newShardedDeployment(t)
	for n := range shardedJobs {
		d.submit(jobID(n), oneTask)
	}
	for n := range shardedJobs {
		d.awaitState(jobID(n), "completed")
		for host := range d.hosts {
			status, body := d.callHost(host, http.MethodPost, queuePath+jobID(n), oneTask)
			require.Equal(t, http.StatusOK, status, body)
			status, body = d.callHost(host, http.MethodDelete, queuePath+jobID(n), "")
			require.Equal(t, http.StatusOK, status, body)
		}
		require.Equal(t, 1, d.recorder.Starts(jobID(n)+".0.0.0"))
	}
	require.Empty(t, d.recorder.Violations())
}

// A long-running job with more tasks than one shard has workers for must run on the
// workers of all shards, keep running when all hosts are killed, and end when it is
// cancelled.
func TestLongRunningJobOverShards(t *testing.T) {
	d := newShardedDeployment(t)
	// Five of the six workers may run the step: the policy denies the first.
	lasting := `{"spec":"p","steps":[{"count":8,"cpu":1000,"mem-mb":100,"long-running":true,"anti-affinity":2}]}`
	d.submit(lastingJob, lasting)
	running := func() int {
		count := 0
		for _, w := range d.workers {
			count += len(w.Running())
		}
		return count
	}
	d.await("all tasks run", func() bool { return running() == 8 })
	for n := range d.hosts {
		d.killHost(n)
	}
	for n := range d.hosts {
		d.startHost(n)
	}
	d.await("the state is known", func() bool {
		status, _ := d.callHost(0, http.MethodGet, queuePath+lastingJob, "")
		return status == http.StatusOK
	})
	d.await("all tasks run", func() bool { return running() == 8 })
	d.await("it is cancelled", func() bool {
		status, _ := d.callHost(1, http.MethodDelete, queuePath+lastingJob, "")
		return status == http.StatusOK
	})
	d.await("nothing runs", func() bool { return running() == 0 })
	require.Empty(t, d.recorder.Violations())
}
