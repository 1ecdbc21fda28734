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

// TestLedgerRandom guards against a worker that is loaded beyond its capacity
// and against charges that are never freed, over random orders of gains with
// running tasks, losses, placements, releases, cancellations and reports.
func TestLedgerRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newFixture()
		b.config.quotas["team0"] = contract.Quota{Slots: 5, Weight: 1}
		b.alter("desk", func(p *contract.Profile) {
			p.Queue.GuaranteedPercent = rapid.SampledFrom([]int{0, 25, 75}).Draw(t, "guaranteed")
		})
		b.ConfigurationChanged()
		var live []*Placement
		var waiting []*result
		next := 0
		names := []string{"w0", "w1", "w2", "w3"}
		collect := func() {
			kept := waiting[:0]
			for _, r := range waiting {
				if r.placement != nil {
					live = append(live, r.placement)
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
				// The worker runs what was started there and perhaps one
				// task of another holder.
				b.mu.Lock()
				carried := len(b.detached[name])
				if n := b.nodes[name]; n != nil {
					carried += len(n.tasks)
					for _, id := range slices.Sorted(maps.Keys(n.tasks)) {
						c := n.tasks[id]
						if rapid.Bool().Draw(t, "runs") {
							tasks = append(tasks, worker.Task{ID: c.id, State: worker.TaskRunning, Team: c.team.name, Service: c.service, Resources: c.declared})
						}
					}
				}
				b.mu.Unlock()
				if len(tasks) == 0 && rapid.Bool().Draw(t, "foreign") {
					next++
					tasks = append(tasks, worker.Task{ID: worker.TaskID(fmt.Sprint("foreign", next)), State: worker.TaskRunning, Team: "team3", Service: "desk", Resources: cores(1)})
				}
				acc := int64(0)
				if name == "w3" {
					acc = 8
				}
				b.carried[name] = carried + len(tasks)
				b.gain(name, capacity(32, acc), tasks...)
			},
			"lose":  func(t *rapid.T) { b.Lost(rapid.SampledFrom(names).Draw(t, "worker")) },
			"leave": func(t *rapid.T) { b.Leaving(rapid.SampledFrom(names).Draw(t, "worker")) },
			"place": func(t *rapid.T) {
				j := job()
				if j.Service == "gang" {
					j.Members = rapid.IntRange(1, 6).Draw(t, "members")
				}
				waiting = append(waiting, b.submit(j))
			},
			"try": func(t *rapid.T) {
				if p, ok := b.TryReserve(job(), rapid.IntRange(1, 5).Draw(t, "members")); ok {
					live = append(live, p)
				}
			},
			"cancel": func(t *rapid.T) {
				if len(waiting) > 0 {
					rapid.SampledFrom(waiting).Draw(t, "job").cancel()
				}
			},
			"release": func(t *rapid.T) {
				if len(live) > 0 {
					p := rapid.SampledFrom(live).Draw(t, "placement")
					p.Release(rapid.IntRange(0, len(p.Members)-1).Draw(t, "member"), TaskResult{
						Ran: rapid.Bool().Draw(t, "ran"), Failed: rapid.Bool().Draw(t, "failed"), RunTime: time.Second})
				}
			},
			"ended": func(t *rapid.T) {
				if len(live) > 0 {
					p := rapid.SampledFrom(live).Draw(t, "placement")
					m := rapid.IntRange(0, len(p.Members)-1).Draw(t, "member")
					b.TaskEnded(p.Members[m].Worker, worker.Task{ID: worker.TaskID(fmt.Sprintf("job%d#%d.0", rapid.IntRange(1, next+1).Draw(t, "job"), m)), State: worker.TaskEnded})
				}
			},
			"usage": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "worker")
				u := worker.Usage{Tasks: map[worker.TaskID]worker.Resources{}}
				b.mu.Lock()
				if n := b.nodes[name]; n != nil {
					b.carried[name] = len(n.tasks)
					for _, id := range slices.Sorted(maps.Keys(n.tasks)) {
						u.Tasks[id] = cores(rapid.Int64Range(0, 12).Draw(t, "cores"))
					}
				}
				b.mu.Unlock()
				b.Usage(name, u)
			},
			"time": func(t *rapid.T) {
				b.now = b.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
				b.Tick()
			},
			"configure": func(t *rapid.T) { b.ConfigurationChanged() },
			"": func(t *rapid.T) {
				collect()
				b.check(t)
			},
		})
		for _, r := range waiting {
			r.cancel()
		}
		collect()
		for _, p := range live {
			p.ReleaseAll(TaskResult{})
			p.ReleaseAll(TaskResult{Ran: true, RunTime: time.Second})
		}
		for _, name := range names {
			b.Lost(name)
		}
		b.check(t)
		require.Empty(t, b.Demand())
		require.Empty(t, b.detached, "reservations of lost workers were kept after their release")
		require.Zero(t, b.all)
		require.Zero(t, b.withAcc)
	})
}
