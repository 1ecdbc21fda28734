package lead

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// NotStopped is the StoppedAt of a predecessor that may still run.
const NotStopped time.Duration = math.MaxInt64

// formerRetention is how long after its last possible action a predecessor stays in the
// holder record. It exceeds the longest lease that workers grant.
const formerRetention = time.Minute

// Predecessor is a holder of an earlier epoch. Its process may be paused or cut off from
// the store and go on. Times are readings of the boot clock.
type Predecessor struct {
	Host, Address, Incarnation string
	Epoch                      int64
	// ConfirmedAt is the latest time at which it may have been confirmed as the holder.
	ConfirmedAt time.Duration
	// StoppedAt is a time at which it certainly scheduled no more, or NotStopped.
	StoppedAt time.Duration
	// Limited is set if it may extend leases for SoleExtensionAge after ConfirmedAt only.
	Limited bool
}

// ActsUntil returns until when the predecessor may take actions that need a confirmation of
// at most maxAge.
func (p Predecessor) ActsUntil(maxAge time.Duration) time.Duration {
	if p.Limited {
		maxAge = min(maxAge, SoleExtensionAge)
	}
	return min(p.ConfirmedAt+maxAge, p.StoppedAt)
}

// FormerHolder is a predecessor in a holder record. Ages are in milliseconds and count from
// when the record was sent, so a reader takes the predecessor for no older than it is.
type FormerHolder struct {
	Host           string `json:"host,omitempty"`
	Address        string `json:"address,omitempty"`
	Incarnation    string `json:"incarnation,omitempty"`
	Epoch          int64  `json:"epoch,omitempty"`
	ConfirmedAgoMS int64  `json:"confirmed_ago_ms"`
	// StoppedAgoMS is nil if the holder may still run.
	StoppedAgoMS *int64 `json:"stopped_ago_ms,omitempty"`
	Limited      bool   `json:"limited,omitempty"`
}

// setFormer sets the fields of the record that tell of predecessors, as of now.
func (h *Holder) setFormer(predecessors []Predecessor, now time.Duration) {
	h.Former, h.EarlierBoundMS = nil, 0
	for _, p := range predecessors {
		if now-p.ActsUntil(MaxConfirmationAge) > formerRetention {
			continue
		}
		f := FormerHolder{Host: p.Host, Address: p.Address, Incarnation: p.Incarnation, Epoch: p.Epoch, ConfirmedAgoMS: (now - p.ConfirmedAt).Milliseconds(), Limited: p.Limited}
		if p.StoppedAt != NotStopped {
			ago := (now - p.StoppedAt).Milliseconds()
			f.StoppedAgoMS = &ago
		}
		h.Former = append(h.Former, f)
		bound := p.ActsUntil(MaxConfirmationAge) - now
		h.EarlierBoundMS = max(h.EarlierBoundMS, (bound + time.Millisecond - 1).Milliseconds())
	}
}

// readAge returns the age with that figure in a record. A figure that no holder writes tells
// nothing.
func readAge(ms int64) (age time.Duration, known bool) {
	if ms < 0 || ms > (formerRetention+MaxConfirmationAge).Milliseconds() {
		return 0, false
	}
	return milliseconds(ms), true
}

// predecessorsOf returns the predecessors of next, which claimed at claimedAt after previous
// and whose process started at startedAt. previous is nil before the first epoch.
func predecessorsOf(previous *Holder, next Holder, claimedAt, startedAt time.Duration) []Predecessor {
	if previous == nil {
		return nil
	}
	var predecessors []Predecessor
	sentBy := previous.sentBefore(claimedAt)
	for _, f := range previous.Former {
		age, _ := readAge(f.ConfirmedAgoMS)
		p := Predecessor{Host: f.Host, Address: f.Address, Incarnation: f.Incarnation, Epoch: f.Epoch, ConfirmedAt: sentBy - age, StoppedAt: NotStopped, Limited: f.Limited}
		if f.StoppedAgoMS != nil {
			if age, known := readAge(*f.StoppedAgoMS); known {
				p.StoppedAt = sentBy - age
			}
		}
		predecessors = append(predecessors, p)
	}
	if len(previous.Former) == 0 && previous.EarlierBoundMS > 0 {
		// A record of a version that does not name its predecessors.
		bound := milliseconds(min(previous.EarlierBoundMS, MaxConfirmationAge.Milliseconds()))
		predecessors = append(predecessors, Predecessor{ConfirmedAt: sentBy + bound - MaxConfirmationAge, StoppedAt: NotStopped})
	}
	// The claim needs that nothing was appended since the last renewal was read.
	last := Predecessor{Host: previous.Host, Address: previous.Address, Incarnation: previous.Incarnation, Epoch: previous.Epoch, ConfirmedAt: sentBy, StoppedAt: NotStopped}
	if previous.Resigned {
		last.StoppedAt = sentBy
	}
	if startedAt > 0 && previous.needs(next) {
		// An earlier process of this host may have confirmed the holder until it ended.
		last.Limited, last.ConfirmedAt = true, max(sentBy, previous.WitnessedAt, startedAt)
	}
	predecessors = append(predecessors, last)
	for n := range predecessors {
		p := &predecessors[n]
		switch {
		case p.Epoch == 0 || p.Host != next.Host || p.Address != next.Address:
		case p.Incarnation == next.Incarnation, p.Incarnation == "":
			p.StoppedAt = min(p.StoppedAt, claimedAt) // maybe a term of this process that has ended
		case startedAt > 0:
			p.StoppedAt = min(p.StoppedAt, startedAt)
		default:
			p.StoppedAt = min(p.StoppedAt, claimedAt)
		}
	}
	return lastOfEachMachine(predecessors)
}

// lastOfEachMachine leaves out all but the last predecessor on each machine. It began after
// the others had ended, so they cannot act for longer. Holders that end before their first
// renewals, whose times therefore do not grow old, would lengthen the record for good.
func lastOfEachMachine(predecessors []Predecessor) []Predecessor {
	type machine struct{ host, address string }
	last := make(map[machine]int)
	for n, p := range predecessors {
		last[machine{p.Host, p.Address}] = n
	}
	var kept []Predecessor
	for n, p := range predecessors {
		if p.Epoch == 0 || last[machine{p.Host, p.Address}] == n {
			kept = append(kept, p)
		}
	}
	return kept
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// ClaimAfter returns the record with which self, whose process started at startedAt, claims
// the epoch after previous, nil for the first epoch.
func ClaimAfter(previous *Holder, self Holder, startedAt, now time.Duration) Holder {
	next := self
	next.Epoch, next.Resigned, next.SinceUnixMS, next.TermMS = 1, false, time.Now().UnixMilli(), 0
	next.LeaseRecordsSince, next.ProcessRecordsSince = 1, 1
	if previous != nil {
		next.Epoch = previous.Epoch + 1
		next.LeaseRecordsSince = seriesStart(previous.LeaseRecordsSince, next.Epoch)
		next.ProcessRecordsSince = seriesStart(previous.ProcessRecordsSince, next.Epoch)
	}
	next.Witnesses = firstWitnesses(previous, self)
	next.WitnessesPending = previous == nil || len(previous.Witnesses) == 0
	next.setFormer(predecessorsOf(previous, next, now, startedAt), now)
	return next
}

// seriesStart returns the first epoch of a series of holders that keep certain records. since
// is that of the holder before epoch, 0 if it does not keep them.
func seriesStart(since, epoch int64) int64 {
	if since == 0 {
		return epoch
	}
	return since
}

// BeginTerm returns the term of own, whose process started at startedAt and claimed at
// claimedAt. previous is the holder of the epoch before, nil for the first epoch.
func BeginTerm(previous *Holder, own Holder, startedAt, claimedAt time.Duration, cancel context.CancelFunc) *Term {
	term := &Term{Epoch: own.Epoch, ProcessRecordsSince: own.ProcessRecordsSince, ClaimedAt: claimedAt, confirmedAt: claimedAt, predecessors: predecessorsOf(previous, own, claimedAt, startedAt), cancel: cancel}
	term.witnesses.named, term.witnesses.pending = own.Witnesses, own.WitnessesPending
	if previous != nil {
		term.LeaseRecordsSince, term.PreviousEpoch = previous.LeaseRecordsSince, previous.Epoch
		term.PreviousClaimedBy = previous.sentBefore(claimedAt) - milliseconds(max(previous.TermMS, 0))
	}
	return term
}

// sentBefore returns a reading of the boot clock by which the record had been sent, for a
// process that claimed after it at claimedAt.
func (h *Holder) sentBefore(claimedAt time.Duration) time.Duration {
	if h.SentBy == 0 {
		return claimedAt
	}
	return min(h.SentBy, claimedAt)
}

// Renewal returns own, the record of the term, with what is known of predecessors now.
func (t *Term) Renewal(own Holder, now time.Duration) Holder {
	own.setFormer(t.Predecessors(), now)
	own.TermMS = (now - t.ClaimedAt).Milliseconds()
	return own
}

// HostReport is what a process of an entry host says about itself.
type HostReport struct {
	Host, Address, Incarnation string
	// KnownEpoch is the epoch of the holder that the process knew when it sent the report.
	KnownEpoch int64
	// Uptime is how long the process had been running.
	Uptime time.Duration
	// EndedEpoch is the last epoch of which the process was the holder and whose term has
	// ended, EndedAgo before the report; 0 if there is none.
	EndedEpoch int64
	EndedAgo   time.Duration
}

// NoteHost takes a report as evidence that predecessors have stopped, and returns those of
// which that was not known. Only a process that knows of this term counts: it was running
// after the claim, and so after all predecessors had begun.
func (t *Term) NoteHost(r HostReport) (stopped []Predecessor) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.KnownEpoch < t.Epoch {
		return nil
	}
	now := cell.BootTime()
	for n := range t.predecessors {
		p := &t.predecessors[n]
		if p.StoppedAt <= now || p.Epoch == 0 || p.Host != r.Host || p.Address != r.Address {
			continue
		}
		switch {
		case p.Incarnation == "" || r.Incarnation == "":
			continue // whether the processes differ is not known
		case p.Incarnation != r.Incarnation:
			p.StoppedAt = now - r.Uptime
		case r.EndedEpoch >= p.Epoch:
			p.StoppedAt = now - r.EndedAgo
		default:
			continue
		}
		stopped = append(stopped, *p)
	}
	return stopped
}

// Predecessors returns the holders of earlier epochs that may have scheduled not long ago.
func (t *Term) Predecessors() []Predecessor {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.predecessors)
}
