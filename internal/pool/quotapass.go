package pool

import (
	"maps"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/quota"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// quotaPass keeps the placements of one scheduling pass within the quotas.
type quotaPass struct {
	pool  *Pool
	teams map[string]cell.Team
	now   time.Time
	// reserved is what steps that are held by their quota will need, by team. Less
	// urgent steps must not take it.
	reserved  map[string]worker.Resources
	shortages map[string]*quotaShortage
	// heldSteps counts the steps that are held by their quota, by team.
	heldSteps map[string]int
}

// maxHeldSteps is how many steps of a team may be held by its quota before a pass skips
// the rest, which are less urgent. Otherwise a pass would take as long as the queue of a
// team that sends far more than its quota.
const maxHeldSteps = 10

// skips reports whether a pass need not try the step, since enough steps of its team are
// held by the quota.
func (q *quotaPass) skips(s *step) bool { return q != nil && q.heldSteps[s.job.team] >= maxHeldSteps }

// newQuotaPass returns nil if the configuration has no teams. The methods of a nil
// quotaPass limit nothing.
func (p *Pool) newQuotaPass(now time.Time) *quotaPass {
	teams := p.teams()
	if len(teams) == 0 {
		return nil
	}
	return &quotaPass{pool: p, teams: teams, now: now, reserved: make(map[string]worker.Resources), shortages: make(map[string]*quotaShortage), heldSteps: make(map[string]int)}
}

// admit returns the tasks of a step, of those given, that the quota of the step's team
// allows to start now: all or none of a gang. It reserves room in the quota for the
// others, so that smaller and less urgent steps do not starve them.
func (q *quotaPass) admit(s *step, tasks []*task, capacity *capacityTracker) []*task {
	if q == nil || s.job.team == "" {
		return tasks
	}
	team := q.teams[s.job.team]
	if !quota.Limited(team.Quota) {
		return tasks
	}
	need := s.quotaNeed()
	allowed := min(fitting(need, q.room(team, s)), len(tasks))
	if s.spec.Gang && allowed < len(tasks) {
		allowed = 0
	}
	held := len(tasks) - allowed
	if held == 0 {
		return tasks
	}
	q.heldSteps[team.Name]++
	q.reserved[team.Name] = q.reserved[team.Name].Add(times(need, held))
	q.pool.lastPass.noteHeld(s, times(need, held).MilliCPU, !capacity.full(s))
	if !s.spec.Gang {
		// More quota is of use only for tasks that workers have capacity for. A gang
		// reserves workers only once its quota suffices.
		held = min(held, capacity.countThatFit(s, len(tasks))-allowed)
	}
	if held > 0 {
		q.noteShortage(team.Name, s, times(need, held))
	}
	if allowed == 0 {
		allowed = q.overdraft(team, s, len(tasks))
	}
	return tasks[:allowed]
}

// overdraftDelay is how long a team must have used less than half of its quota before it
// may exceed it while other work of it runs. No work may wait for 3 s in that state.
const overdraftDelay = time.Second

// overdraft returns how many of the tasks of a step that its quota holds may start beyond
// the quota: one, or all of a gang. Otherwise accepted work would wait for as long as the
// quota is smaller than one of its tasks, or than what long-running tasks leave for it.
func (q *quotaPass) overdraft(team cell.Team, s *step, tasks int) int {
	if !s.spec.Gang {
		tasks = 1
	}
	quotas := &q.pool.quotas
	used := quotas.used[team.Name]
	idle := quotas.idle[team.Name].note(quota.UnderHalf(team.Quota, used), q.now)
	quotas.idle[team.Name] = idle
	if used != (worker.Resources{}) && !idle.lasts(overdraftDelay, q.now) {
		return 0
	}
	if !quota.MayOverdraw(team.Quota, quotas.ledger.Held(team.Name), used, s.quotaNeed(), tasks) {
		return 0
	}
	return tasks
}

// noteHeld records that a step none of whose tasks was admitted waits for its quota, if
// it does.
func (q *quotaPass) noteHeld(s *step, now time.Time) {
	if q != nil && q.shortages[s.job.team] != nil && s.hasUnplacedTask() {
		s.times.wait(waitQuota, now)
	}
}

// room returns what steps as urgent as s may still take of the quota of their team.
func (q *quotaPass) room(team cell.Team, s *step) worker.Resources {
	quotas := &q.pool.quotas
	held := quotas.ledger.Held(team.Name)
	for _, c := range quotas.claims[team.Name] {
		if q.now.Before(c.expires) && c.urgency.before(s.urgency()) {
			held = held.Sub(c.units)
		}
	}
	return quota.Limit(team.Quota, held).Sub(quotas.used[team.Name]).Sub(q.reserved[team.Name])
}

func (q *quotaPass) noteShortage(team string, s *step, lack worker.Resources) {
	known := q.shortages[team]
	if known == nil {
		known = &quotaShortage{urgency: s.urgency(), since: q.now}
		if before := q.pool.quotas.shortages[team]; before != nil {
			known.since = before.since
		}
		q.shortages[team] = known
	}
	known.lack = known.lack.Add(lack)
	if s.urgency().before(known.urgency) {
		known.urgency = s.urgency()
	}
}

// finish notes which teams are held by their quotas and borrows for them.
func (q *quotaPass) finish() {
	if q == nil {
		return
	}
	quotas := &q.pool.quotas
	for team, s := range q.shortages {
		if quotas.shortages[team] == nil {
			q.pool.log.Info("team held by its quota", "team", team, "used", quotas.used[team], "limit", quota.Limit(q.teams[team].Quota, quotas.ledger.Held(team)), "lack", s.lack)
			q.pool.incrementMetric("quota.holds")
		}
	}
	for team, s := range quotas.shortages {
		if q.shortages[team] == nil {
			q.pool.log.Info("team no longer held by its quota", "team", team, "held_ms", q.now.Sub(s.since).Milliseconds())
			q.pool.observe("quota.hold", q.now.Sub(s.since))
		}
	}
	for team, claims := range quotas.claims {
		maps.DeleteFunc(claims, func(_ string, c quotaClaim) bool { return !q.now.Before(c.expires) })
		if len(claims) == 0 {
			delete(quotas.claims, team)
		}
	}
	quotas.shortages = q.shortages
	q.pool.learnInitialParts(q.teams)
	q.pool.borrowQuotas(q.now)
}
