package pool

import "time"

// renewalOverdueAfter and stallThreshold add up to the age of the last confirmed
// renewal of the term above which StoreUnresponsive reports true, so that the
// host checks whether it alone cannot reach the store. Renewals are 0.6 s apart.
const renewalOverdueAfter = 1100 * time.Millisecond

// StoreUnresponsive reports whether an append or the renewal of the term has
// been waiting for the store for a while.
func (p *Pool) StoreUnresponsive() bool {
	return p.journal.stalledFor(stallThreshold*3/2) || p.term.ConfirmationAge() > renewalOverdueAfter+stallThreshold
}

// ConfirmationAge returns the time since the last confirmed renewal of the term.
func (p *Pool) ConfirmationAge() time.Duration { return p.term.ConfirmationAge() }

// MayExtendLeases reports whether the scheduler may extend leases of workers now.
func (p *Pool) MayExtendLeases() bool { return p.term.MayExtendLeases() }

// Epoch returns the epoch of the term.
func (p *Pool) Epoch() int64 { return p.term.Epoch }

// EndTerm ends the term because another host can schedule better. Nothing is
// written to the store: the holder record stays without lead.Holder.Resigned.
func (p *Pool) EndTerm(reason string) {
	p.log.Info("gives the service up", "reason", reason, "confirmed_ago", p.term.ConfirmationAge().String())
	p.term.End()
}
