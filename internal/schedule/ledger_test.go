package schedule

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// TestLedgerRandom guards against a worker that is allocated beyond its capacity
// and against allocations that are never freed. It runs random sequences of gains
// of workers with running tasks, losses, placements, releases, cancellations,
// usage reports, configuration changes and ticks.
func TestLedgerRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		f.config.quotas["team0"] = contract.Quota{Slots: 5, Weight: 1}
		f.changeProfile("desk", func(p *contract.Profile) {
			p.Queue.GuaranteedPercent = rapid.SampledFrom([]int{0, 25, 75}).Draw(t, "guaranteed")
		})
		f.ConfigurationChanged()
		var placements []*Placement
		var waiting []*submission
		next := 0
		names := []string{"w0", "w1", "w2", "w3"}
		collect := func() {
			kept := waiting[:0]
			for _, r := range waiting {
				if r.placement != nil {
					placements = append(placements, r.placement)
				} else if r.err == nil {
					kept = append(kept, r)
				}
			}
			waiting = kept
		}
		service := rapid.SampledFrom([]string{"desk", "batch", "gang"})
		team := rapid.SampledFrom([]string{"team0", "team1", "team2"})
		job := func() Job {
			next++
			return Job{ID: fmt.Sprint("job", next), Team: team.Draw(t, "team"), Service: service.Draw(t, "service"),
				Resources: cores(rapid.SampledFrom([]int64{0, 0, 1, 7, 20, 30}).Draw(t, "size"))}
		}
		t.Repeat(map[string]func(*rapid.T){
			"gain": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "worker")
				var tasks []worker.Task
				// The worker runs some of the tasks that were started there and
				// perhaps one task of another holder.
				f.mu.Lock()
				taskCount := len(f.lostAllocations[name])
				if w := f.workers[name]; w != nil {
					taskCount += len(w.tasks)
					for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
						a := w.tasks[id]
						if rapid.Bool().Draw(t, "runs") {
							tasks = append(tasks, worker.Task{ID: a.id, State: worker.TaskRunning, Team: a.team.name, Service: a.service, Resources: a.declared})
						}
					}
				}
				f.mu.Unlock()
				if len(tasks) == 0 && rapid.Bool().Draw(t, "foreign") {
					next++
					tasks = append(tasks, worker.Task{ID: worker.TaskID(fmt.Sprint("foreign", next)), State: worker.TaskRunning, Team: "team3", Service: "desk", Resources: cores(1)})
				}
				acc := int64(0)
				if name == "w3" {
					acc = 8
				}
				f.overloadLimit[name] = taskCount + len(tasks)
				f.gain(name, capacity(32, acc), tasks...)
			},
			"lose":  func(t *rapid.T) { f.LeaseLost(rapid.SampledFrom(names).Draw(t, "worker")) },
			"leave": func(t *rapid.T) { f.WorkerLeaving(rapid.SampledFrom(names).Draw(t, "worker")) },
			"place": func(t *rapid.T) {
				j := job()
				if j.Service == "gang" {
					j.Members = rapid.IntRange(1, 6).Draw(t, "members")
				}
				waiting = append(waiting, f.submit(j))
			},
			"try": func(t *rapid.T) {
				if p, ok := f.TryReserve(job(), rapid.IntRange(1, 5).Draw(t, "members")); ok {
					placements = append(placements, p)
				}
			},
			"cancel": func(t *rapid.T) {
				if len(waiting) > 0 {
					rapid.SampledFrom(waiting).Draw(t, "job").cancel()
				}
			},
			"release": func(t *rapid.T) {
				if len(placements) > 0 {
					p := rapid.SampledFrom(placements).Draw(t, "placement")
					p.Release(rapid.IntRange(0, len(p.Members)-1).Draw(t, "member"), TaskResult{
						Ran: rapid.Bool().Draw(t, "ran"), Failed: rapid.Bool().Draw(t, "failed"), RunTime: time.Second})
				}
			},
			"ended": func(t *rapid.T) {
				if len(placements) > 0 {
					p := rapid.SampledFrom(placements).Draw(t, "placement")
					m := rapid.IntRange(0, len(p.Members)-1).Draw(t, "member")
					f.TaskEnded(p.Members[m].Worker, worker.Task{ID: worker.TaskID(fmt.Sprintf("job%d#%d.0", rapid.IntRange(1, next+1).Draw(t, "job"), m)), State: worker.TaskEnded})
				}
			},
			"usage": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "worker")
				u := worker.Usage{Tasks: map[worker.TaskID]worker.Resources{}}
				f.mu.Lock()
				if w := f.workers[name]; w != nil {
					f.overloadLimit[name] = len(w.tasks)
					for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
						u.Tasks[id] = cores(rapid.Int64Range(0, 12).Draw(t, "cores"))
					}
				}
				f.mu.Unlock()
				f.UsageMeasured(name, u)
			},
			"time": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
				f.Tick()
			},
			"configure": func(t *rapid.T) { f.ConfigurationChanged() },
			"": func(t *rapid.T) {
				collect()
				f.checkInvariants(t)
			},
		})
		for _, r := range waiting {
			r.cancel()
		}
		collect()
		for _, p := range placements {
			p.ReleaseAll(TaskResult{})
			p.ReleaseAll(TaskResult{Ran: true, RunTime: time.Second})
		}
		for _, name := range names {
			f.LeaseLost(name)
		}
		f.checkInvariants(t)
		require.Empty(t, f.Demand())
		require.Empty(t, f.lostAllocations, "allocations of lost workers remain after their release")
		require.Zero(t, f.allPool)
		require.Zero(t, f.accelPool)
	})
}
