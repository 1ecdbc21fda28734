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
	pool       *Pool
	teams      map[string]cell.Team
	now        time.Time
	teamPasses map[string]*teamPass
	shortages  map[string]*quotaShortage
	// bounded is set once the pass reserves no more quota for one of the teams.
	bounded bool
}

// teamPass is one team with a quota in a scheduling pass.
type teamPass struct {
	team cell.Team
	// limit is what this shard may run of the team, and used what it ran when the pass first
	// came to the team.
	limit, used worker.Resources
	// begun tells whether all of that has begun on its workers, nil before it is looked up.
	begun *bool
	// reserved is what steps that are held by the quota could start with. Less urgent
	// steps must not take it while reservations are in force.
	reserved worker.Resources
	// reservations counts these steps, and searches those for which workers with capacity
	// were looked for.
	reservations, searches int
	// idle tells since when the team has used less than half of the limit, and lapsed
	// whether reservations are out of force now.
	idle   idleTime
	lapsed bool
	// underHalf tells since when the shard uses less than half of the whole quota.
	underHalf idleTime
	// pledged is set if the shard has pledged its part to another one, and seeking if work
	// waits for such pledges of others.
	pledged, seeking bool
}

const (
	// maxQuotaReservations is for how many steps of a team a pass reserves quota. The
	// others that the quota holds are more steps than will start soon.
	maxQuotaReservations = 10
	// maxQuotaSearches is for how many steps of a team that are held by its quota a pass
	// looks for workers. Otherwise a pass would take as long as the queue of a team that
	// sends far more than its quota.
	maxQuotaSearches = 40
	// overdraftDelay is how long a team must have used less than half of its quota before it
	// may exceed it while other work of it runs. No work may wait for 3 s in that state.
	overdraftDelay = time.Second
)

// newQuotaPass returns nil if the configuration has no teams. The methods of a nil
// quotaPass limit nothing.
func (p *Pool) newQuotaPass(now time.Time) *quotaPass {
	teams := p.teams()
	if len(teams) == 0 {
		return nil
	}
	return &quotaPass{pool: p, teams: teams, now: now, teamPasses: make(map[string]*teamPass), shortages: make(map[string]*quotaShortage)}
}

// teamPass returns the team of the step, nil if it has no quota.
func (q *quotaPass) teamPass(s *step) *teamPass {
	name := s.job.team
	if q == nil || name == "" {
		return nil
	}
	t, known := q.teamPasses[name]
	if known {
		return t
	}
	if team := q.teams[name]; quota.Limited(team.Quota) {
		quotas := &q.pool.quotas
		t = &teamPass{team: team, limit: quota.Limit(team.Quota, quotas.ledger.Held(name)), used: quotas.used[name]}
		t.idle = quotas.idle[name].note(quota.UnderHalf(team.Quota, t.limit, quotas.used[name]), q.now)
		t.lapsed = t.idle.reservationsLapse(q.now)
		t.underHalf = quotas.underHalf[name].note(quota.UnderHalf(team.Quota, team.Quota, quotas.used[name]), q.now)
		quotas.idle[name], quotas.underHalf[name] = t.idle, t.underHalf
		if t.pledged = quotas.hasPledged(name, q.now); t.pledged {
			t.limit = quota.Limit(team.Quota, quota.Units{})
		}
	}
	q.teamPasses[name] = t
	return t
}

// skips reports whether a pass need not try the step: its quota admits none of its tasks,
// and reservations have been made for enough steps of the team.
func (q *quotaPass) skips(s *step) bool {
	if q == nil || !q.bounded {
		return false
	}
	t := q.teamPass(s)
	return t.bounded() && q.admitted(t, s, 1) == 0 && q.overdraft(t, s, 1) == 0
}

// bounded reports whether the pass reserves no more quota for the team.
func (t *teamPass) bounded() bool {
	return t != nil && (t.reservations >= maxQuotaReservations || t.searches >= maxQuotaSearches)
}

// admit returns the tasks of a step, of those given, that the quota of the step's team
// allows to start now: all or none of a gang. It reserves quota for others that could start
// with it, so that smaller and less urgent steps do not starve them.
func (q *quotaPass) admit(s *step, tasks []*task, capacity *capacityTracker) []*task {
	t := q.teamPass(s)
	if t == nil {
		return tasks
	}
	allowed := q.admitted(t, s, len(tasks))
	if s.spec.Gang && allowed < len(tasks) {
		allowed = 0
	}
	if allowed == len(tasks) {
		return tasks
	}
	if startable := q.startable(t, s, len(tasks), capacity); startable > allowed {
		lack := times(s.quotaNeed(), startable-allowed)
		t.reservations++
		t.reserved = t.reserved.Add(lack)
		q.noteShortage(t.team.Name, s, lack)
		q.pool.lastPass.noteHeld(s, lack.MilliCPU, true)
	} else {
		q.pool.lastPass.noteHeld(s, 0, false)
	}
	q.bounded = q.bounded || t.bounded()
	if allowed == 0 {
		allowed = q.overdraft(t, s, len(tasks))
	}
	return tasks[:allowed]
}

// admitted returns how many of the given tasks of a step fit into the quota beside what runs
// and what is reserved. While reservations are out of force, work may start up to half of
// the limit.
func (q *quotaPass) admitted(t *teamPass, s *step, tasks int) int {
	quotas, need := &q.pool.quotas, s.quotaNeed()
	room := t.limit.Sub(quotas.used[t.team.Name])
	free := room.Sub(t.reserved)
	for _, c := range quotas.claims[t.team.Name] {
		if q.now.Before(c.expires) && c.urgency.before(s.urgency()) {
			free = free.Sub(quota.Amount(t.team.Quota, c.units))
		}
	}
	allowed := min(fitting(need, free), tasks)
	if allowed == tasks || !t.lapsed {
		return allowed
	}
	if s.spec.Gang {
		return min(fitting(need, room), tasks)
	}
	half := worker.Resources{MilliCPU: t.limit.MilliCPU / 2, MemoryMiB: t.limit.MemoryMiB / 2, Accelerators: t.limit.Accelerators / 2}
	return max(allowed, min(fitting(need, room), fitting(need, half.Sub(quotas.used[t.team.Name]))+1, tasks))
}

// startable returns how many of the tasks of a step that its quota holds could start with
// more quota: those that workers have capacity for now, or all of a gang that the workers
// could hold at a time, which reserves workers only once its quota suffices.
func (q *quotaPass) startable(t *teamPass, s *step, tasks int, capacity *capacityTracker) int {
	if t.bounded() {
		return 0
	}
	if s.spec.Gang {
		whole := quota.Limit(t.team.Quota, wholeUnits)
		t.searches++
		if !times(s.quotaNeed(), tasks-1).Fits(whole) || !capacity.couldHold(s, tasks) {
			return 0
		}
		return tasks
	}
	if capacity.full(s) {
		return 0
	}
	t.searches++
	return capacity.countThatFit(s, tasks)
}

// overdraft returns how many of the tasks of a step that its quota holds may start beyond
// the quota: one, or all of a gang. Otherwise accepted work would wait for as long as the
// quota is smaller than one of its tasks, or than what long-running tasks leave for it. The
// shard must hold the whole quota, or all others must have pledged their parts.
func (q *quotaPass) overdraft(t *teamPass, s *step, tasks int) int {
	if !s.spec.Gang {
		tasks = 1
	}
	quotas, need := &q.pool.quotas, s.quotaNeed()
	used, held := quotas.used[t.team.Name], quotas.ledger.Held(t.team.Name)
	lasts := t.underHalf.lasts(overdraftDelay, q.now)
	if t.pledged || used != (worker.Resources{}) && !lasts {
		return 0
	}
	if fitting(need, t.limit.Sub(used)) >= tasks {
		return 0 // it starts once reservations or claims lapse
	}
	others, exclusive := q.pool.othersUse(t.team.Name, q.now)
	if exclusive {
		used, held = used.Add(quota.Amount(t.team.Quota, others)), wholeUnits
	}
	if quota.MayOverdraw(t.team.Quota, held, used, need, tasks) {
		if !q.allBegun(t) {
			return 0
		}
		return tasks
	}
	if lasts && quota.MayOverdraw(t.team.Quota, wholeUnits, used.Add(inUseElsewhere(t.team.Quota, held, need)), need, tasks) {
		q.seek(t, s)
	}
	return 0
}

// inUseElsewhere returns what other shards are expected to use of the resources that a task
// needs: they lend all that they do not use to a shard that lacks it.
func inUseElsewhere(amount worker.Resources, held quota.Units, need worker.Resources) worker.Resources {
	elsewhere := quota.Amount(amount, wholeUnits.Sub(held))
	for _, d := range []struct{ need, elsewhere *int64 }{
		{&need.MilliCPU, &elsewhere.MilliCPU}, {&need.MemoryMiB, &elsewhere.MemoryMiB}, {&need.Accelerators, &elsewhere.Accelerators},
	} {
		if *d.need == 0 {
			*d.elsewhere = 0
		}
	}
	return elsewhere
}

// allBegun reports whether all runs of the team in this shard have begun. One that begins
// after a task beyond the quota would exceed it further: start requests overtake each other.
func (q *quotaPass) allBegun(t *teamPass) bool {
	if q.pool.quotas.used[t.team.Name] != t.used {
		return false // placed in this pass
	}
	if t.begun == nil {
		begun := q.pool.allRunsBegun(t.team.Name)
		t.begun = &begun
	}
	return *t.begun
}

// allRunsBegun reports whether all runs of a team in this shard have begun.
func (p *Pool) allRunsBegun(team string) bool {
	for _, n := range p.nodes {
		for _, r := range n.runs {
			if r.task.step.job.team == team && !r.begun {
				return false
			}
		}
	}
	return true
}

// noteHeld records that a step none of whose tasks was admitted waits for its quota, if
// it does.
func (q *quotaPass) noteHeld(s *step, now time.Time) {
	if q != nil && q.shortages[s.job.team] != nil && s.hasUnplacedTask() {
		s.times.wait(waitQuota, now)
	}
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
	q.noteExclusiveUse()
	q.pool.learnInitialParts(q.teams)
	q.pool.borrowQuotas(q.now)
}
