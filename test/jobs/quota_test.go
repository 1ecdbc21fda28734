package jobs

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/platform"
)

// quotaTasks is how many tasks the team of the test may run in all shards. A shard has
// capacity for eight, and a third of the quota at first.
const quotaTasks = 7

// publishQuota writes a version of the configuration in which the team with redKey may
// run that many tasks.
func (d *deployment) publishQuota(version, tasks int) {
	r := d.configuration(version, true)
	var config map[string]any
	require.NoError(d.t, json.Unmarshal(r.Value, &config))
	config["tenants"] = []map[string]any{{"name": "red", "api-keys": []string{redKey}, "weight": 100, "max-count": map[string]int{"cpu": 1000 * tasks}}}
	value, err := json.Marshal(config)
	require.NoError(d.t, err)
	d.appendRecord(platform.TopicOperator, store.Record{Key: r.Key, Value: value})
}

func (d *deployment) runningTasks() int {
	count := 0
	for _, w := range d.workers {
		count += len(w.Running())
	}
	return count
}

// Guards against a quota that several schedulers exceed together, or of which they cannot
// use more than their own part, when a scheduler that holds a part is killed or paused
// beyond its lease, or all hosts are killed while the quota is fully used.
func TestQuotaOverShards(t *testing.T) {
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
		{"all hosts are killed", func(d *deployment, _ int) {
			d.killAll()
			for n := range d.hosts {
				d.startHost(n)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeploymentWithoutHosts(t, shardedWorkers)
			d.workersPerShard = workersPerShard
			d.publishQuota(firstTeamsVersion, quotaTasks)
			d.startHosts(shardedHosts, func(int) string { return d.storeAddress })
			var most atomic.Int64
			stop, watching := make(chan struct{}), sync.WaitGroup{}
			watching.Go(func() {
				for {
					most.Store(max(most.Load(), int64(d.runningTasks())))
					select {
					case <-stop:
						return
					case <-time.After(2 * time.Millisecond):
					}
				}
			})
			// All jobs are in one shard, so the others have to lend it their parts.
			var ids []string
			for n := 0; len(ids) < 12; n++ {
				if shard.OfJob(service, jobID(n), shardCount).Index == 0 {
					ids = append(ids, jobID(n))
				}
			}
			for _, id := range ids {
				d.await("the job is accepted", func() bool { return d.callWithKey(0, "POST", queuePath+id, twoSteps, "Bearer "+redKey).status == 200 })
			}
			d.await("the whole quota is used", func() bool { return d.runningTasks() == quotaTasks })
			var list api.QuotaList
			status, body := d.request(http.MethodGet, "http://"+d.hosts[1].ReadinessAddress+api.PathQuotas, "", "")
			require.Equal(t, http.StatusOK, status, body)
			require.NoError(t, json.Unmarshal([]byte(body), &list))
			require.Len(t, list.Teams, shardCount)
			require.NotContains(t, body, secretPart)
			c.disrupt(d, d.schedulerIndexOf(shard.All(service, shardCount)[1].String()))
			for _, id := range ids {
				d.await("the job is completed", func() bool {
					for n := range d.hosts {
						if strings.Contains(d.callWithKey(n, "GET", queuePath+id, "", "Bearer "+redKey).body, "completed") {
							return true
						}
					}
					return false
				})
			}
			close(stop)
			watching.Wait()
			require.EqualValues(t, quotaTasks, most.Load(), "most tasks of the team that ran at one time")
			require.Empty(t, d.recorder.Violations())
		})
	}
}

// Guards against a reply about a quota that its receiver rejects: a task that does not fit
// beside a long-running one of another shard needs the pledges of all of them.
func TestTaskBeyondQuotaOverShards(t *testing.T) {
	t.Parallel()
	d := newDeploymentWithoutHosts(t, shardedWorkers)
	d.workersPerShard = workersPerShard
	d.publishQuota(firstTeamsVersion, 3)
	d.startHosts(shardedHosts, func(int) string { return d.storeAddress })
	submit := func(id, spec string) {
		d.await("the job is accepted", func() bool { return d.callWithKey(0, "POST", queuePath+id, spec, "Bearer "+redKey).status == 200 })
	}
	submit(lastingJob, `{"spec":"p","steps":[{"count":1,"cpu":1000,"mem-mb":100,"long-running":true}]}`)
	d.await("the long-running task runs", func() bool { return d.runningTasks() == 1 })
	var ids [shardCount]string
	for n, left := 0, shardCount; left > 0; n++ {
		if index := shard.OfJob(service, jobID(n), shardCount).Index; ids[index] == "" {
			ids[index] = jobID(n)
			left--
		}
	}
	for _, id := range ids {
		submit(id, `{"spec":"p","steps":[{"count":1,"cpu":3000,"mem-mb":100}]}`)
	}
	for _, id := range ids {
		d.await("the large job is completed", func() bool {
			return strings.Contains(d.callWithKey(0, "GET", queuePath+id, "", "Bearer "+redKey).body, "completed")
		})
	}
	require.Empty(t, d.recorder.Violations())
}
