package pool

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/quota"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

const (
	// borrowInterval is the time between two rounds of requests to other shards. Two
	// rounds and the append of the lender take some 0.3 s, a tenth of the time for
	// which work may wait for a part of a quota that nobody uses.
	borrowInterval = 100 * time.Millisecond
	// emptyLenderPause is how long a shard that has nothing left to lend is not asked again.
	// It is shorter than claimLifetime, so that its claim does not lapse.
	emptyLenderPause = 250 * time.Millisecond
	// claimLifetime is how long a lender keeps what its runs free for a more urgent
	// borrower that has not asked again.
	claimLifetime = 500 * time.Millisecond
	// lendTimeout bounds one request to another shard. The lender stores what it lends,
	// which takes 20 ms and more if the store is slow.
	lendTimeout = 600 * time.Millisecond
	// initialPartsTimeout bounds one attempt to learn the initial parts.
	initialPartsTimeout = 3 * time.Second
)

// QuotaWant is what a borrower lacks of a team's quota.
type QuotaWant struct {
	Team string
	// Units are what is lacking. exclusiveUnits ask the lender to start nothing of the team
	// for pledgeTime, and none end that.
	Units quota.Units
	// Priority and Waiting are those of the most urgent step that waits.
	Priority int
	Waiting  time.Duration
	// Lent is how much the borrower has ever lent to the lender.
	Lent quota.Units
}

// QuotaTotals is a lender's reply about one team.
type QuotaTotals struct {
	Team string
	// Lent is how much the lender has ever lent to the borrower.
	Lent quota.Units
	// Spare is what the lender could still lend. It is negative, lower by what the lender
	// uses, if the lender has pledged to start nothing of the team.
	Spare quota.Units
}

// Lenders calls the schedulers of all other shards, of all services.
type Lenders interface {
	// Shards returns the names of all known shards.
	Shards() []string
	// InitialShards returns the names of the shards among which all quotas were split
	// at first. It is the same list at every call on every host.
	InitialShards(ctx context.Context) ([]string, error)
	// Lend asks a shard for parts of quotas.
	Lend(ctx context.Context, lender, borrower string, wants []QuotaWant) ([]QuotaTotals, error)
}

// learnInitialParts learns which part of all quotas the shard has, once there are teams
// with quotas. The caller must hold p.mu.
func (p *Pool) learnInitialParts(teams map[string]cell.Team) {
	limited := false
	for _, t := range teams {
		limited = limited || quota.Limited(t.Quota)
	}
	if !limited || p.quotas.ledger.Ready() || p.quotas.learning || p.opts.Lenders == nil {
		return
	}
	p.quotas.learning = true
	go func() {
		for p.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(p.ctx, initialPartsTimeout)
			shards, err := p.opts.Lenders.InitialShards(ctx)
			cancel()
			if err == nil {
				p.mu.Lock()
				p.quotas.ledger.SetInitial(shards)
				p.mu.Unlock()
				p.log.Info("initial parts of the quotas known", "shards", len(shards))
				p.requestPass()
				return
			}
			p.log.Info("initial parts of the quotas not known yet", "error", err.Error())
			select {
			case <-p.ctx.Done():
			case <-time.After(loadRetryDelay):
			}
		}
	}()
}

// borrowQuotas asks other shards for what teams lack of their quotas, unless such calls
// are in progress. The caller must hold p.mu.
func (p *Pool) borrowQuotas(now time.Time) {
	if len(p.quotas.shortages)+len(p.quotas.exclusive) == 0 || p.quotas.borrowing || p.opts.Lenders == nil || !p.quotas.ledger.Ready() || now.Before(p.quotas.nextBorrowing) {
		return
	}
	lenders := p.sortedLenders(now)
	if len(lenders) == 0 {
		return
	}
	p.quotas.borrowing, p.quotas.nextBorrowing = true, now.Add(borrowInterval)
	go func() {
		for _, lender := range lenders {
			p.mu.Lock()
			wants := append(p.exclusiveWants(lender, time.Now()), p.quotaWants(lender, time.Now())...)
			p.mu.Unlock()
			if p.ctx.Err() != nil {
				break
			}
			if len(wants) > 0 {
				p.borrowFrom(lender, wants)
			}
		}
		p.mu.Lock()
		p.quotas.borrowing = false
		p.mu.Unlock()
	}()
}

// sortedLenders returns the other shards that may have something to lend, those first
// that have not been without it for the longest time.
func (p *Pool) sortedLenders(now time.Time) []string {
	var lenders []string
	for _, s := range p.opts.Lenders.Shards() {
		if s != p.opts.Shard.String() && !now.Before(p.quotas.emptyUntil[s]) {
			lenders = append(lenders, s)
		}
	}
	slices.SortFunc(lenders, func(a, b string) int {
		return cmp.Or(p.quotas.emptyUntil[a].Compare(p.quotas.emptyUntil[b]), cmp.Compare(a, b))
	})
	return lenders
}

// quotaWants returns what teams lack beyond what the shard holds now.
func (p *Pool) quotaWants(lender string, now time.Time) []QuotaWant {
	var wants []QuotaWant
	teams := p.teams()
	for name, s := range p.quotas.shortages {
		if p.quotas.idle[name].reservationsLapse(now) {
			continue // what waits gets no further for now, and others may
		}
		if e := p.quotas.exclusive[name]; e != nil && now.Before(e.pausedUntil) {
			continue // it has asked for pledges in vain
		}
		required := quota.Required(teams[name].Quota, p.quotas.used[name].Add(s.lack)).Min(wholeUnits)
		units := required.Sub(p.quotas.ledger.Held(name)).Max(quota.Units{})
		if !units.IsZero() {
			wants = append(wants, QuotaWant{
				Team: name, Units: units, Priority: s.urgency.priority, Waiting: now.Sub(s.urgency.readyAt),
				Lent: p.quotas.ledger.Totals(name, lender).Lent,
			})
		}
	}
	return wants
}

// borrowFrom asks one shard and takes what it lends. A reply that is lost does no harm:
// the next one contains the same totals.
func (p *Pool) borrowFrom(lender string, wants []QuotaWant) {
	ctx, cancel := context.WithTimeout(p.ctx, lendTimeout)
	defer cancel()
	sent := time.Now()
	totals, err := p.opts.Lenders.Lend(ctx, lender, p.opts.Shard.String(), wants)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.quotas.emptyUntil[lender] = time.Now().Add(emptyLenderPause)
		p.log.V(1).Info("another shard did not answer a request for quotas", "lender", lender, "error", err.Error())
		return
	}
	var records []store.Record
	hasSpare := false
	for n, t := range totals {
		if n < len(wants) && wants[n].Team == t.Team {
			p.takePledge(lender, wants[n], t, sent)
		}
		hasSpare = hasSpare || !t.Spare.Max(quota.Units{}).IsZero()
		if p.quotas.ledger.Receive(t.Team, lender, t.Lent) {
			records = append(records, p.quotaRecord(t.Team, lender))
		}
	}
	delete(p.quotas.emptyUntil, lender)
	if len(records) == 0 || !hasSpare {
		p.quotas.emptyUntil[lender] = time.Now().Add(emptyLenderPause)
	}
	if len(records) == 0 {
		return
	}
	p.incrementMetric("quota.borrowed")
	p.storeRecords(records, nil)
	p.requestPass()
}

// Lend gives parts of quotas to another shard and returns once that is stored. Its
// errors are ErrNotScheduler, ErrStoreUnavailable, and those of storing a record; after
// the latter the borrower learns from a later call what it got.
func (p *Pool) Lend(ctx context.Context, borrower string, wants []QuotaWant) ([]QuotaTotals, error) {
	now := time.Now()
	done := make(chan error, 1)
	var totals []QuotaTotals
	p.mu.Lock()
	if err := p.checkServing(); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	if p.journal.stalled() {
		p.mu.Unlock()
		return nil, errors.WithStack(ErrStoreUnavailable)
	}
	var records []store.Record
	teams := p.teams()
	for _, w := range wants {
		changed := p.quotas.ledger.Receive(w.Team, borrower, w.Lent)
		pledged := p.pledgeTo(borrower, w, now) && p.allRunsBegun(w.Team)
		lent := quota.Units{}
		if w.Units != exclusiveUnits {
			lent = p.lendTeam(teams[w.Team], borrower, w, now)
		}
		if changed || !lent.IsZero() {
			records = append(records, p.quotaRecord(w.Team, borrower))
		}
		if !lent.IsZero() {
			p.incrementMetric("quota.lent")
			p.log.Info("quota lent", "team", w.Team, "to", borrower, "units", lent, "held", p.quotas.ledger.Held(w.Team))
		}
		spare := p.quotas.ledger.Held(w.Team).Sub(quota.Required(teams[w.Team].Quota, p.quotas.used[w.Team])).Max(quota.Units{})
		if pledged {
			spare = pledgedSpare(teams[w.Team], p.quotas.used[w.Team])
		}
		totals = append(totals, QuotaTotals{Team: w.Team, Lent: p.quotas.ledger.Totals(w.Team, borrower).Lent, Spare: spare})
	}
	if len(records) == 0 {
		p.mu.Unlock()
		return totals, nil
	}
	p.storeRecords(records, func(err error) { done <- err })
	p.mu.Unlock()
	if err := awaitStored(ctx, done); err != nil {
		return nil, err
	}
	return totals, nil
}

// lendTeam lends what the shard does not need of one team's quota. What it cannot lend
// yet is claimed for the borrower if the borrower's work is more urgent. Work of its own
// that waits for more keeps nothing while reservations lapse.
func (p *Pool) lendTeam(team cell.Team, borrower string, w QuotaWant, now time.Time) quota.Units {
	wanted := urgency{w.Priority, now.Add(-w.Waiting)}
	keep := p.quotas.used[team.Name]
	own := p.quotas.shortages[team.Name]
	ownFirst := own != nil && own.urgency.before(wanted) && !p.quotas.idle[team.Name].reservationsLapse(now)
	if ownFirst {
		keep = keep.Add(own.lack)
	}
	lent := p.quotas.ledger.Lend(w.Team, borrower, w.Units, quota.Required(team.Quota, keep))
	missing := w.Units.Sub(lent)
	if p.quotas.claims[w.Team] == nil {
		p.quotas.claims[w.Team] = make(map[string]quotaClaim)
	}
	if missing.IsZero() || ownFirst {
		delete(p.quotas.claims[w.Team], borrower)
	} else {
		p.quotas.claims[w.Team][borrower] = quotaClaim{units: missing, urgency: wanted, expires: now.Add(claimLifetime)}
	}
	return lent
}
