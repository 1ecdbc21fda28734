package pool

import (
	"math"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/quota"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// A shard may exceed a quota alone. If others use a part of the quota that they cannot lend,
// it asks all of them to start nothing of the team for a while. A shard that does so for
// another one has pledged its part. A shard that runs more than its part, since it has
// exceeded the quota or the quota was lowered, asks for the same, also after a change of its
// scheduler.

const (
	// pledgeTime is how long a pledge lasts. It covers a change of the scheduler that asked.
	pledgeTime = 6 * time.Second
	// pledgeMargin is how long before its end a pledge no longer counts for a start.
	pledgeMargin = time.Second
	// maxSeekTime is for how long a shard asks for pledges without success, and seekPause
	// how long it does not ask after that. Others start nothing meanwhile.
	maxSeekTime, seekPause = 1800 * time.Millisecond, 1500 * time.Millisecond
)

// exclusiveUnits in a QuotaWant ask for a pledge. No part is as large.
var exclusiveUnits = quota.Units{2 * quota.Whole, 2 * quota.Whole, 2 * quota.Whole}

var wholeUnits = quota.Units{quota.Whole, quota.Whole, quota.Whole}

// exclusiveUse is what a shard knows about exclusive use of one team's quota.
type exclusiveUse struct {
	// seeking is set while work waits that could start with pledges of all other shards,
	// since seekingSince, and overdrawn while the shard runs more than its part.
	seeking, overdrawn bool
	urgency            urgency
	seekingSince       time.Time
	pausedUntil        time.Time
	// pledges are those of other shards, by shard.
	pledges map[string]pledge
	// pledgedTo is the shard to which this one has pledged its part until pledgedUntil.
	pledgedTo    string
	pledgedUntil time.Time
}

// pledge is what another shard has replied.
type pledge struct {
	until time.Time
	// used is the amount of the quota that the other shard uses, in units.
	used quota.Units
}

func (t *teamQuotas) exclusiveUse(team string) *exclusiveUse {
	e := t.exclusive[team]
	if e == nil {
		e = &exclusiveUse{pledges: make(map[string]pledge)}
		t.exclusive[team] = e
	}
	return e
}

// hasPledged reports whether the shard may start nothing of the team.
func (t *teamQuotas) hasPledged(team string, now time.Time) bool {
	e := t.exclusive[team]
	return e != nil && now.Before(e.pledgedUntil)
}

// asks reports whether the shard wants pledges of others.
func (e *exclusiveUse) asks(now time.Time) bool {
	return (e.overdrawn || e.seeking && !now.Before(e.pausedUntil)) && !now.Before(e.pledgedUntil)
}

// othersUse returns what all other shards use of the quota, in units, and false if one of
// them has not pledged to start nothing.
func (p *Pool) othersUse(team string, now time.Time) (sum quota.Units, pledged bool) {
	e := p.quotas.exclusive[team]
	if e == nil || p.opts.Lenders == nil {
		return sum, false
	}
	for _, s := range p.opts.Lenders.Shards() {
		if s == p.opts.Shard.String() {
			continue
		}
		known, ok := e.pledges[s]
		if !ok || now.Add(pledgeMargin).After(known.until) {
			return sum, false
		}
		sum = sum.Add(known.used)
	}
	return sum, true
}

// seek records that a step could start if all other shards pledged their parts.
func (q *quotaPass) seek(t *teamPass, s *step) {
	e := q.pool.quotas.exclusiveUse(t.team.Name)
	if !e.seeking || s.urgency().before(e.urgency) {
		e.urgency = s.urgency()
	}
	if e.seekingSince.IsZero() && !q.now.Before(e.pausedUntil) {
		e.seekingSince = q.now
		q.pool.log.Info("other shards are asked to start nothing of a team", "team", t.team.Name, "step", s.name(), "used", q.pool.quotas.used[t.team.Name])
	}
	e.seeking = true
	t.seeking = true
}

// noteExclusiveUse ends attempts to get pledges that nothing waits for or that take too
// long, and records which teams run more than the shard's part.
func (q *quotaPass) noteExclusiveUse() {
	quotas := &q.pool.quotas
	for name, used := range quotas.used {
		team := q.teams[name]
		if quota.Limited(team.Quota) && quotas.ledger.Ready() && !used.Fits(quota.Limit(team.Quota, quotas.ledger.Held(name))) {
			quotas.exclusiveUse(name).overdrawn = true
		}
	}
	for name, e := range quotas.exclusive {
		team := q.teams[name]
		e.overdrawn = e.overdrawn && !quotas.used[name].Fits(quota.Limit(team.Quota, quotas.ledger.Held(name)))
		if t := q.teamPasses[name]; t == nil || !t.seeking {
			e.seeking, e.seekingSince = false, time.Time{}
		}
		if !e.seekingSince.IsZero() && q.now.Sub(e.seekingSince) > maxSeekTime {
			e.seekingSince, e.pausedUntil = time.Time{}, q.now.Add(seekPause)
		}
		if !e.asks(q.now) && len(e.pledges) == 0 && !q.now.Before(e.pledgedUntil) && !q.now.Before(e.pausedUntil) {
			delete(quotas.exclusive, name)
		}
	}
}

// exclusiveWants returns what to tell another shard about exclusive use: that this shard
// asks for a pledge, or that it no longer needs one. A shard that runs more than its part
// also asks for what it lacks, unless quotaWants does.
func (p *Pool) exclusiveWants(lender string, now time.Time) []QuotaWant {
	var wants []QuotaWant
	for team, e := range p.quotas.exclusive {
		w := QuotaWant{Team: team, Priority: e.urgency.priority, Waiting: now.Sub(e.urgency.readyAt), Lent: p.quotas.ledger.Totals(team, lender).Lent}
		if e.overdrawn {
			w.Priority, w.Waiting = math.MinInt32, 0
		}
		_, pledged := e.pledges[lender]
		switch {
		case e.asks(now):
			w.Units = exclusiveUnits
		case !pledged:
			continue
		}
		wants = append(wants, w)
		if e.overdrawn && p.quotas.shortages[team] == nil {
			w.Units = quota.Required(p.teams()[team].Quota, p.quotas.used[team]).Min(wholeUnits).Sub(p.quotas.ledger.Held(team)).Max(quota.Units{})
			if !w.Units.IsZero() {
				wants = append(wants, w)
			}
		}
	}
	return wants
}

// takePledge records the reply of another shard to an exclusive want, or to its end.
func (p *Pool) takePledge(lender string, w QuotaWant, t QuotaTotals, sent time.Time) {
	e := p.quotas.exclusive[w.Team]
	if e == nil || w.Units != exclusiveUnits && !w.Units.IsZero() {
		return
	}
	delete(e.pledges, lender)
	if w.Units == exclusiveUnits && t.Spare[0] < 0 {
		e.pledges[lender] = pledge{sent.Add(pledgeTime), quota.Units{}.Sub(t.Spare).Sub(quota.Units{1, 1, 1})}
	}
}

// pledgeTo pledges the shard's part of a quota to another shard or takes the pledge back, as
// that one asks, and reports whether it is pledged. It is not if this shard needs exclusive
// use more urgently.
func (p *Pool) pledgeTo(borrower string, w QuotaWant, now time.Time) bool {
	if w.Units != exclusiveUnits {
		if e := p.quotas.exclusive[w.Team]; e != nil && w.Units.IsZero() && e.pledgedTo == borrower {
			p.log.Info("quota no longer pledged", "team", w.Team, "to", borrower)
			e.pledgedTo, e.pledgedUntil = "", time.Time{}
			p.requestPass()
		}
		return false
	}
	e := p.quotas.exclusiveUse(w.Team)
	if e.pledgedTo != borrower && now.Before(e.pledgedUntil) {
		return false
	}
	wanted, own := urgency{w.Priority, now.Add(-w.Waiting)}, e.urgency
	if e.overdrawn {
		own = urgency{math.MinInt32, now}
	}
	if (e.seeking || e.overdrawn) && (own.before(wanted) || !wanted.before(own) && p.opts.Shard.String() < borrower) {
		return false
	}
	if !now.Before(e.pledgedUntil) {
		p.log.Info("quota pledged", "team", w.Team, "to", borrower, "used", p.quotas.used[w.Team])
	}
	e.pledgedTo, e.pledgedUntil = borrower, now.Add(pledgeTime)
	return true
}

// pledgedSpare is the reply of a shard that has pledged its part: negative, and lower by what
// it uses.
func pledgedSpare(team cell.Team, used worker.Resources) quota.Units {
	return quota.Units{-1, -1, -1}.Sub(quota.Required(team.Quota, used))
}
