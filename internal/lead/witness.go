package lead

import (
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// A holder extends leases for SoleExtensionAge after its last confirmed renewal, and for
// longer, while the store is away, only if each of its witnesses has just told it that it
// knows no later holder. The witnesses are the hosts that the holder record names. So a
// witness that takes over knows how long its predecessor may have extended leases: for
// SoleExtensionAge after the witness last said so. Other hosts count on MaxConfirmationAge.

const (
	// SoleExtensionAge is how long after its last confirmed renewal, or after the replies of
	// all witnesses, a holder may extend leases.
	SoleExtensionAge = 1300 * time.Millisecond
	// AskWitnessesAfter is the age of the last confirmed renewal from which on a holder asks
	// its witnesses. It exceeds the time from one renewal to the reply to the next one while
	// a call to the store takes 0.24 s.
	AskWitnessesAfter = 1100 * time.Millisecond
	// firstWitnessesPeriod is how long after its claim a holder also names the hosts that
	// its predecessor has named, most of which have yet to join it.
	firstWitnessesPeriod = 3 * time.Second
	// maxWitnesses bounds the size of holder records, which every host reads, and the calls in
	// an outage of the store.
	maxWitnesses = 16
)

// WitnessName returns how a holder record names a host.
func WitnessName(host, address string) string { return host + "@" + address }

// witnessState is what a term knows about its witnesses.
type witnessState struct {
	// named are those in the last record that was certainly appended, and proposed those in
	// the records that were sent since; nil if there is none.
	named, proposed []string
	// pending is set while Holder.WitnessesPending is in the last record that was certainly
	// appended, and proposedPending if it is in those that were sent since.
	pending, proposedPending bool
	// confirmedAt is when the last question was sent that a witness has confirmed.
	confirmedAt map[string]time.Duration
}

// proposeWitnesses sets the witnesses in own, the next record. They are live unless an earlier
// record may have named others.
func (t *Term) proposeWitnesses(own *Holder, live []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &t.witnesses
	if w.proposed == nil {
		w.proposed = append([]string{}, live...)
		w.proposedPending = w.pending && cell.BootTime()-t.ClaimedAt < firstWitnessesPeriod
	}
	own.Witnesses, own.WitnessesPending = w.proposed, w.proposedPending
}

// confirmProposed notes that a record with the proposed witnesses was appended.
func (w *witnessState) confirmProposed() {
	if w.proposed != nil {
		w.named, w.proposed, w.pending = w.proposed, nil, w.proposedPending
	}
}

// Witnesses returns the hosts whose replies replace a renewal.
func (t *Term) Witnesses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allWitnesses()
}

// allWitnesses implements Witnesses. The caller must hold t.mu.
func (t *Term) allWitnesses() []string {
	all := slices.Concat(t.witnesses.named, t.witnesses.proposed)
	slices.Sort(all)
	return slices.Compact(all)
}

// NoteWitness records that a witness has confirmed, in the reply to a question that was sent
// when the boot clock read askedAt, that it knows no later holder.
func (t *Term) NoteWitness(name string, askedAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.witnesses.confirmedAt == nil {
		t.witnesses.confirmedAt = make(map[string]time.Duration)
	}
	t.witnesses.confirmedAt[name] = max(t.witnesses.confirmedAt[name], askedAt)
}

// MayExtendLeases reports whether the holder may extend leases of workers now.
func (t *Term) MayExtendLeases() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := cell.BootTime()
	switch age := now - t.confirmedAt; {
	case age <= SoleExtensionAge:
		return true
	case age >= MaxConfirmationAge, t.witnesses.pending:
		return false
	}
	for _, name := range t.allWitnesses() {
		if at, confirmed := t.witnesses.confirmedAt[name]; !confirmed || now-at > SoleExtensionAge {
			return false
		}
	}
	return true
}

// needs reports whether the holder extends leases for longer than SoleExtensionAge only with
// the reply of the host of other, or not at all.
func (h *Holder) needs(other Holder) bool {
	return h.WitnessesPending || slices.Contains(h.Witnesses, WitnessName(other.Host, other.Address))
}

// firstWitnesses returns the witnesses in the record with which self claims after previous.
func firstWitnesses(previous *Holder, self Holder) []string {
	if previous == nil {
		return nil
	}
	names := append(slices.Clone(previous.Witnesses), WitnessName(previous.Host, previous.Address))
	return selectWitnesses(names, self)
}

// selectWitnesses returns the first maxWitnesses of the names, sorted, without that of self.
func selectWitnesses(names []string, self Holder) []string {
	var selected []string
	for _, name := range names {
		if len(selected) < maxWitnesses && name != WitnessName(self.Host, self.Address) && !slices.Contains(selected, name) {
			selected = append(selected, name)
		}
	}
	slices.Sort(selected)
	return selected
}

// liveWitnesses returns the witnesses for a renewal of own, which claimed with first.
func (e *Elector) liveWitnesses(term *Term, own Holder, first []string) []string {
	if e.opts.Witnesses == nil {
		return nil
	}
	names := e.opts.Witnesses()
	if cell.BootTime()-term.ClaimedAt < firstWitnessesPeriod {
		names = append(names, first...)
	}
	return selectWitnesses(names, own)
}

// Confirms reports whether this process knows no later holder than that of the epoch. If so,
// it counts on that holder to extend leases for SoleExtensionAge from now on.
func (e *Elector) Confirms(epoch int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := cell.BootTime()
	switch {
	case e.holder == nil || e.holder.Epoch != epoch || e.holder.Resigned || e.holder.Incarnation == e.opts.Self.Incarnation:
		return false
	case e.claimedEpoch > epoch:
		return false // its claim may have been appended, or still be
	case e.opts.StartedAt == 0 || now-e.opts.StartedAt < MaxConfirmationAge:
		return false // so may the claim of an earlier process of this host
	}
	e.witnessedEpoch, e.witnessedAt = epoch, now
	return true
}

// beginClaim makes this process confirm no holder before the one that it is about to claim
// after, and returns the record of previous with what this process has told it.
func (e *Elector) beginClaim(previous *Holder) *Holder {
	e.mu.Lock()
	defer e.mu.Unlock()
	if previous == nil {
		return nil
	}
	known := *previous
	if e.witnessedEpoch == previous.Epoch {
		known.WitnessedAt = e.witnessedAt
	}
	e.claimedEpoch = previous.Epoch + 1
	return &known
}

// withdrawClaim is called when the claim of beginClaim was certainly not appended.
func (e *Elector) withdrawClaim() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claimedEpoch = 0
}
