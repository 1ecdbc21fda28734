package pool

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/quota"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// namedLenders are shards of which none answers.
type namedLenders []string

func (n namedLenders) Shards() []string { return n }

func (n namedLenders) InitialShards(context.Context) ([]string, error) { return n, nil }

func (n namedLenders) Lend(context.Context, string, string, []QuotaWant) ([]QuotaTotals, error) {
	return nil, errors.New("not reachable")
}

// pledgePool returns a scheduler of the shard desk that holds the whole quota of the team, a
// pass of it, and a waiting step.
func pledgePool(need int64) (*Pool, *step) {
	p := overloadedPool(2, 0)
	p.opts.Lenders = namedLenders{"a", "desk", "z"}
	teams := map[string]cell.Team{quotaTeam: {Name: quotaTeam, Weight: 1, Quota: worker.Resources{MilliCPU: 2000}}}
	p.opts.Teams = func() map[string]cell.Team { return teams }
	p.quotas.ledger.SetInitial([]string{"desk"})
	s := newJob("j", cell.Queue{}, quotaTeam, &api.Job{Steps: []api.Step{{Count: 1, MilliCPU: need}}}, time.Now()).occurrence(0).steps[0]
	return p, s
}

func exclusiveWant(priority int, waiting time.Duration) QuotaWant {
	return QuotaWant{Team: quotaTeam, Units: exclusiveUnits, Priority: priority, Waiting: waiting}
}

// Guards against work of a team, a copy or a task beyond the quota that starts in a shard that
// has pledged its part.
func TestPledgedShardStartsNothing(t *testing.T) {
	for _, need := range []int64{1000, 3000} {
		p, s := pledgePool(need)
		now := time.Now()
		admitted := func(at time.Time) int {
			return len(p.newQuotaPass(at).admit(s, s.tasks, p.newCapacityTracker(at)))
		}
		require.Equal(t, 1, admitted(now))
		require.True(t, p.pledgeTo("z", exclusiveWant(0, 0), now))
		require.Zero(t, admitted(now))
		require.Zero(t, admitted(now.Add(pledgeTime-time.Millisecond)))
		require.False(t, p.quotaAllowsCopy(s))
		require.Equal(t, 1, admitted(now.Add(pledgeTime)))
		require.False(t, p.pledgeTo("z", QuotaWant{Team: quotaTeam}, now), "the pledge is no longer needed")
		require.Equal(t, 1, admitted(now))
	}
}

// Guards against two shards that have the pledge of a third at a time, and against two that
// both give way, or neither.
func TestPledgeToOneShard(t *testing.T) {
	now := time.Now()
	p, _ := pledgePool(1000)
	require.True(t, p.pledgeTo("a", exclusiveWant(0, 0), now))
	require.False(t, p.pledgeTo("z", exclusiveWant(-1, time.Hour), now), "it is pledged to another shard")
	require.True(t, p.pledgeTo("a", exclusiveWant(0, 0), now), "again to the same one")
	require.True(t, p.pledgeTo("z", exclusiveWant(0, 0), now.Add(pledgeTime)))
	for _, c := range []struct {
		name, borrower string
		own            exclusiveUse
		want           QuotaWant
		pledged        bool
	}{
		{"the other one has waited longer", "z", exclusiveUse{seeking: true, urgency: urgency{1, now.Add(-time.Second)}}, exclusiveWant(1, 2*time.Second), true},
		{"it has waited less", "a", exclusiveUse{seeking: true, urgency: urgency{1, now.Add(-time.Second)}}, exclusiveWant(1, 0), false},
		{"it is more urgent", "z", exclusiveUse{seeking: true, urgency: urgency{1, now.Add(-time.Hour)}}, exclusiveWant(0, 0), true},
		{"as long, the name decides", "a", exclusiveUse{seeking: true, urgency: urgency{1, now.Add(-time.Second)}}, exclusiveWant(1, time.Second), true},
		{"as long, the other name", "z", exclusiveUse{seeking: true, urgency: urgency{1, now.Add(-time.Second)}}, exclusiveWant(1, time.Second), false},
		{"this shard runs more than its part", "a", exclusiveUse{overdrawn: true}, exclusiveWant(0, time.Hour), false},
		{"its work no longer waits", "z", exclusiveUse{urgency: urgency{0, now.Add(-time.Hour)}}, exclusiveWant(1, 0), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := pledgePool(1000)
			p.quotas.exclusive[quotaTeam] = &c.own
			require.Equal(t, c.pledged, p.pledgeTo(c.borrower, c.want, now))
		})
	}
}

// Guards against a start beyond the quota without the pledges of all other shards, with one
// that is about to end, or beside more than half of the quota elsewhere.
func TestOverdraftNeedsAllPledges(t *testing.T) {
	now := time.Now()
	lasting := quota.Required(worker.Resources{MilliCPU: 2000}, worker.Resources{MilliCPU: 900})
	for _, c := range []struct {
		name    string
		pledges map[string]pledge
		want    int
	}{
		{"none", nil, 0},
		{"one is missing", map[string]pledge{"a": {until: now.Add(pledgeTime)}}, 0},
		{"all", map[string]pledge{"a": {until: now.Add(pledgeTime)}, "z": {until: now.Add(pledgeTime), used: lasting}}, 1},
		{"one ends soon", map[string]pledge{"a": {until: now.Add(pledgeTime)}, "z": {until: now.Add(pledgeMargin - time.Millisecond)}}, 0},
		{"half is in use elsewhere", map[string]pledge{"a": {until: now.Add(pledgeTime), used: lasting}, "z": {until: now.Add(pledgeTime), used: lasting}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, s := pledgePool(3000)
			p.quotas.ledger.Lend(quotaTeam, "a", lasting, quota.Units{})
			p.quotas.exclusive[quotaTeam] = &exclusiveUse{seeking: true, pledges: c.pledges}
			q := p.newQuotaPass(now)
			require.Equal(t, c.want, q.overdraft(q.teamPass(s), s, 1))
		})
	}
}

// Guards against a run that begins after a task beyond the quota, since its start request was
// sent in the same pass or is still under way.
func TestOverdraftWaitsForStarts(t *testing.T) {
	p, large := pledgePool(3000)
	small := newJob("small", cell.Queue{}, quotaTeam, &api.Job{Steps: []api.Step{{Count: 2, MilliCPU: 100}}}, time.Now()).occurrence(0).steps[0]
	n := p.node("w000")
	n.teams = p.quotas.used
	now := time.Now()
	for range 2 * int(overdraftDelay/idleMemory) {
		p.newQuotaPass(now).teamPass(large)
		now = now.Add(idleMemory)
	}
	overdraft := func(q *quotaPass) int { return q.overdraft(q.teamPass(large), large, 1) }
	first := n.addRun(small.tasks[0], 1, runStartSent)
	require.Zero(t, overdraft(p.newQuotaPass(now)), "a start request is under way")
	first.begun = true
	require.Equal(t, 1, overdraft(p.newQuotaPass(now)))
	q := p.newQuotaPass(now)
	q.teamPass(large)
	n.addRun(small.tasks[1], 1, runPlanned).begun = true
	require.Zero(t, overdraft(q), "placed in this pass")
}

// Guards against a shard that keeps all others from starting work of a team whose quota is in
// use: it may only expect pledges to help if the parts that it could not borrow are less than
// half.
func TestPledgesAreAskedOnlyUnderHalfOfTheQuota(t *testing.T) {
	team := worker.Resources{MilliCPU: 2000, Accelerators: 4}
	for _, c := range []struct {
		name      string
		elsewhere worker.Resources
		need      api.Step
		seeks     bool
	}{
		{"less than half is in use elsewhere", worker.Resources{MilliCPU: 900}, api.Step{MilliCPU: 1500}, true},
		{"more than half is", worker.Resources{MilliCPU: 1100}, api.Step{MilliCPU: 1500}, false},
		{"more than half of what the task does not need is", worker.Resources{MilliCPU: 900, Accelerators: 3}, api.Step{MilliCPU: 1500}, true},
		{"more than half of the accelerators is", worker.Resources{Accelerators: 3}, api.Step{MilliCPU: 100, Accelerators: 2}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := pledgePool(1000)
			p.opts.Teams = func() map[string]cell.Team {
				return map[string]cell.Team{quotaTeam: {Name: quotaTeam, Weight: 1, Quota: team}}
			}
			c.need.Count = 1
			s := newJob("j", cell.Queue{}, quotaTeam, &api.Job{Steps: []api.Step{c.need}}, time.Now()).occurrence(0).steps[0]
			p.quotas.ledger.Lend(quotaTeam, "a", quota.Required(team, c.elsewhere), quota.Units{})
			now := time.Now()
			for range 3 {
				q := p.newQuotaPass(now)
				require.Zero(t, q.overdraft(q.teamPass(s), s, 1))
				now = now.Add(overdraftDelay)
			}
			e := p.quotas.exclusive[quotaTeam]
			require.Equal(t, c.seeks, e != nil && e.seeking)
		})
	}
}

// Guards against pledges that are given back while the shard runs more than its part, because
// it had asked for them in vain shortly before.
func TestShardThatRunsMoreThanItsPartAsksInPauses(t *testing.T) {
	now := time.Now()
	require.False(t, (&exclusiveUse{seeking: true, pausedUntil: now.Add(seekPause)}).asks(now))
	require.True(t, (&exclusiveUse{overdrawn: true, pausedUntil: now.Add(seekPause)}).asks(now))
	require.True(t, (&exclusiveUse{seeking: true, pausedUntil: now}).asks(now))
	require.False(t, (&exclusiveUse{overdrawn: true, pledgedTo: "a", pledgedUntil: now.Add(pledgeTime)}).asks(now))
}

// Guards against a pledge of a shard one of whose runs has not begun, which could exceed the
// quota later, and against a request for a pledge that takes what others could use.
func TestReplyToRequestForPledge(t *testing.T) {
	inShardedSimulation(t, func(t *testing.T, c *shardedCluster) {
		c.setQuota(6)
		p := c.pool(0)
		p.mu.Lock()
		p.quotas.ledger.SetInitial(c.Shards())
		held := p.quotas.ledger.Held(quotaTeam)
		s := newJob("j", cell.Queue{}, quotaTeam, &api.Job{Steps: []api.Step{quotaStep(1)}}, time.Now()).occurrence(0).steps[0]
		var r *run
		for _, n := range p.nodes {
			r = n.addRun(s.tasks[0], 1, runStartSent)
			break
		}
		p.mu.Unlock()
		ask := func() QuotaTotals {
			totals, err := p.Lend(t.Context(), "other", []QuotaWant{exclusiveWant(0, 0)})
			require.NoError(t, err)
			require.Len(t, totals, 1)
			require.Zero(t, totals[0].Lent)
			return totals[0]
		}
		require.GreaterOrEqual(t, ask().Spare[0], int64(0), "a run has not begun")
		p.mu.Lock()
		r.begun = true
		p.mu.Unlock()
		require.Equal(t, -1-quota.Required(worker.Resources{MilliCPU: 6000}, worker.Resources{MilliCPU: 1000})[0], ask().Spare[0])
		p.mu.Lock()
		defer p.mu.Unlock()
		require.Equal(t, held, p.quotas.ledger.Held(quotaTeam))
		r.node.removeRun(r)
	})
}
