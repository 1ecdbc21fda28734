package quota

import (
	"slices"
)

// Totals are the units of one team that two shards have ever lent each other, as one of
// them knows it. They only grow.
type Totals struct {
	// Lent is what this shard has lent to the other one. It is exact.
	Lent Units `json:"lent"`
	// Received is what this shard knows to have got from the other one. It is at most
	// what the other one has lent.
	Received Units `json:"received"`
}

// Ledger contains the parts of all teams' quotas that one shard holds. It is not safe
// for concurrent use.
type Ledger struct {
	shard string
	// initial is the part of each team's quota with which the shard began. It is known
	// once the list of the first shards is.
	initial      Units
	initialKnown bool
	// totals are indexed by team and by the other shard.
	totals map[string]map[string]Totals
	// received is what the shard has received in all less what it has lent, by team. A
	// pass needs it for each step of a team.
	received map[string]Units
}

// NewLedger returns the ledger of a shard, which holds nothing until SetInitial.
func NewLedger(shard string) *Ledger {
	return &Ledger{shard: shard, totals: make(map[string]map[string]Totals), received: make(map[string]Units)}
}

// SetInitial sets the shards among which all quotas were split at first. It must be the
// same list for all shards at all times.
func (l *Ledger) SetInitial(shards []string) {
	l.initialKnown = true
	at := slices.Index(shards, l.shard)
	if at < 0 {
		return // a shard that was added later begins with nothing
	}
	part := int64(Whole / len(shards))
	if at < Whole%len(shards) {
		part++
	}
	l.initial = Units{part, part, part}
}

// Ready reports whether the shard's initial part is known. Until then it holds nothing.
func (l *Ledger) Ready() bool { return l.initialKnown }

// Held returns the units of a team's quota that the shard holds.
func (l *Ledger) Held(team string) Units {
	if !l.initialKnown {
		return Units{}
	}
	return l.initial.Add(l.received[team])
}

// Totals returns what the shard and another one have lent each other.
func (l *Ledger) Totals(team, other string) Totals { return l.totals[team][other] }

// Restore sets totals that the shard has stored.
func (l *Ledger) Restore(team, other string, t Totals) {
	known := l.totals[team][other]
	l.set(team, other, Totals{Lent: known.Lent.Max(t.Lent), Received: known.Received.Max(t.Received)})
}

// Lend lends at most the wanted units of a team to another shard and keeps the units to
// keep. It returns what it lends. The caller must store the new totals before it tells
// the borrower.
func (l *Ledger) Lend(team, borrower string, wanted, keep Units) Units {
	lent := wanted.Min(l.Held(team).Sub(keep)).Max(Units{})
	if borrower == l.shard || lent.IsZero() {
		return Units{}
	}
	t := l.totals[team][borrower]
	t.Lent = t.Lent.Add(lent)
	l.set(team, borrower, t)
	return lent
}

// Receive notes how much another shard has lent to this one in total, and reports
// whether that was new. The caller must have this from a message of that shard, which
// may be old.
func (l *Ledger) Receive(team, lender string, total Units) bool {
	t := l.totals[team][lender]
	received := t.Received.Max(total)
	if lender == l.shard || received == t.Received {
		return false
	}
	t.Received = received
	l.set(team, lender, t)
	return true
}

func (l *Ledger) set(team, other string, t Totals) {
	if l.totals[team] == nil {
		l.totals[team] = make(map[string]Totals)
	}
	before := l.totals[team][other]
	l.received[team] = l.received[team].Add(t.Received.Sub(before.Received)).Sub(t.Lent.Sub(before.Lent))
	l.totals[team][other] = t
}
