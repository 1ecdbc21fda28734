package pool

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/quota"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// testTeams is the configuration of teams on a testCluster, whose only shard holds all
// quotas. It implements Lenders.
type testTeams struct {
	mu     sync.Mutex
	teams  map[string]cell.Team
	ofJob  map[string]string
	queues map[string]cell.Queue
}

func newTestTeams() *testTeams {
	return &testTeams{teams: make(map[string]cell.Team), ofJob: make(map[string]string), queues: make(map[string]cell.Queue)}
}

// current returns the teams by name.
func (t *testTeams) current() map[string]cell.Team {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.teams)
}

func (t *testTeams) setQuota(name string, amount worker.Resources) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.teams[name] = cell.Team{Name: name, Weight: 1, Quota: amount}
}

// assign sets the team and the queue of a job that is submitted later.
func (t *testTeams) assign(job, team string, queue cell.Queue) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ofJob[job], t.queues[job] = team, queue
}

// of returns the team and the queue of a job, the given ones if none are assigned.
func (t *testTeams) of(job, team string, queue cell.Queue) (string, cell.Queue) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if assigned, ok := t.queues[job]; ok {
		return t.ofJob[job], assigned
	}
	return team, queue
}

// Shards implements Lenders.
func (t *testTeams) Shards() []string { return []string{shard.Whole(testService).String()} }

// InitialShards implements Lenders.
func (t *testTeams) InitialShards(context.Context) ([]string, error) { return t.Shards(), nil }

// Lend implements Lenders.
func (t *testTeams) Lend(context.Context, string, string, []QuotaWant) ([]QuotaTotals, error) {
	return nil, errors.New("there is no other shard")
}

// generatedTeams draws the quotas of teams, and jobs the team and the urgency of each job.
type generatedTeams struct {
	drawer
	jobs drawer
}

var generatedTeamNames = []string{"team-a", "team-b"}

// newGeneratedTeams returns nil for half of the seeds.
func newGeneratedTeams(seed uint64) *generatedTeams {
	draw := rand.New(rand.NewPCG(seed, 12))
	if draw.IntN(2) == 0 || slices.Contains(failedSeeds, seed) {
		return nil
	}
	return &generatedTeams{drawer{draw}, drawer{rand.New(rand.NewPCG(seed, 13))}}
}

// amount draws a quota, from less than a task to more than the cell.
func (g *generatedTeams) amount() worker.Resources {
	var r worker.Resources
	if g.IntN(8) > 0 {
		r.MilliCPU = []int64{1, 400, 1000, 2000, 4000, 8000, 12_000, 24_000}[g.IntN(8)]
	}
	if g.IntN(4) == 0 {
		r.MemoryMiB = int64(200 * (1 + g.IntN(20)))
	}
	if g.IntN(8) == 0 {
		r.Accelerators = int64(1 + g.IntN(4))
	}
	return r
}

// setQuotas puts new quotas in force, those of large enough to accept jobs if large is set.
func (s *scenario) setQuotas(large bool) {
	for _, name := range generatedTeamNames {
		amount := s.teams.amount()
		if large {
			amount = worker.Resources{MilliCPU: 12_000 + 2000*s.teams.Int64N(4)}
		}
		s.note("%s has the quota %v", name, amount)
		s.tc.teams.setQuota(name, amount)
		s.oracle.setQuota(name, amount)
	}
}

// assignTeam draws the team and the urgency of a job.
func (s *scenario) assignTeam(id string) {
	queue := s.tc.queue
	if s.teams.jobs.IntN(2) == 0 {
		queue.Name, queue.Priority = "batch", 2
	}
	team := generatedTeamNames[s.teams.jobs.IntN(len(generatedTeamNames))]
	s.tc.teams.assign(id, team, queue)
	s.oracle.setTeam(id, team)
}

// changeQuotas changes quotas at random times until the end of the scenario, and leaves ones
// in force that may be far below what the jobs need.
func (s *scenario) changeQuotas(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(s.teams.between(time.Second, 12*time.Second))
		s.setQuotas(s.teams.IntN(3) == 0)
	}
	s.setQuotas(false)
}

// quotaGrace is how long a former quota may be in force.
const quotaGrace = 2500 * time.Millisecond

// quotaOvershoot is the part by which a team may exceed its quota, beside one task.
const quotaOvershoot = 0.1

// teamQuota is the quota of a team as its operator has set it, and former ones with the end
// of the time for which they may be in force.
type teamQuota struct {
	amount worker.Resources
	former []formerQuota
}

type formerQuota struct {
	amount worker.Resources
	until  time.Time
}

func (o *oracle) setQuota(team string, amount worker.Resources) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, known := o.quotas[team]
	if known {
		q.former = append(q.former, formerQuota{q.amount, time.Now().Add(quotaGrace)})
	}
	q.amount = amount
	o.quotas[team] = q
}

func (o *oracle) setTeam(job, team string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.teams[job] = team
}

// used returns what a team runs.
func (o *oracle) used(team string) (sum worker.Resources) {
	for on, count := range o.running {
		name, err := parseTask(on.step + ".0")
		if err != nil || count <= 0 || o.teams[name.Job] != team {
			continue
		}
		s := &step{spec: &o.jobs[name.Job].spec.Steps[name.Step]}
		sum = sum.Add(times(s.quotaNeed(), count))
	}
	return sum
}

// checkQuota requires that a start that is counted already keeps the quota of its team: one
// task may exceed what may be in force.
func (o *oracle) checkQuota(job string, spec *api.Step, task string) {
	team := o.teams[job]
	q, ok := o.quotas[team]
	if !ok {
		return
	}
	limit := quota.Limit(q.amount, quota.Units{quota.Whole, quota.Whole, quota.Whole})
	for _, f := range q.former {
		if time.Now().Before(f.until) {
			limit = limit.Max(quota.Limit(f.amount, quota.Units{quota.Whole, quota.Whole, quota.Whole}))
		}
	}
	need := (&step{spec: spec}).quotaNeed()
	before := o.used(team).Sub(need)
	for _, d := range [][3]int64{{need.MilliCPU, before.MilliCPU, limit.MilliCPU}, {need.MemoryMiB, before.MemoryMiB, limit.MemoryMiB}, {need.Accelerators, before.Accelerators, limit.Accelerators}} {
		if d[0] > 0 && float64(d[1]) > float64(d[2])*(1+quotaOvershoot) {
			o.violate("QUOTA", "%s was started while %s ran %v of at most %v", task, team, before, limit)
			return
		}
	}
}
