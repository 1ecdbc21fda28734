package lead

import "time"

// The methods of this file take in what a process learns of the holder from
// other hosts instead of from the store.

// HolderStopped says that the holder's process of this epoch has ended or has
// resigned, so that silence need not be waited for.
func (e *Elector) HolderStopped(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder != nil && e.holder.Epoch == epoch && !e.hasty {
		e.hasty = true
		e.wake()
	}
}

// LearnHolder takes in a holder of a higher epoch that another host has read. It lets
// a host that the store does not answer reach the holder; it never makes this
// process claim.
func (e *Elector) LearnHolder(h Holder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h.Incarnation == e.opts.Self.Incarnation || e.holder != nil && h.Epoch <= e.holder.Epoch {
		return
	}
	e.opts.Log.Info("holder learned from another host", "topic", e.opts.Topic, "holder", h.Host, "epoch", h.Epoch)
	e.holder = &h
	e.wake()
}

// HolderUnreachable says that the holder of this epoch does not answer this host, so
// that less silence in the store is needed to replace it.
func (e *Elector) HolderUnreachable(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder != nil && e.holder.Epoch == epoch && !e.suspect {
		e.suspect = true
		e.wake()
	}
}

// HolderAnswered says that the holder of this epoch has answered this host, and
// that its last renewal was made confirmedAgo. While the holder answers and
// renews, its record need not be read.
func (e *Elector) HolderAnswered(epoch int64, confirmedAgo time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder == nil || e.holder.Epoch != epoch || e.hasty {
		return
	}
	now := time.Now()
	if confirmedAgo > suspectSilence {
		if !e.answeredAt.IsZero() {
			// The store may be away for all: the holder gets the time to renew.
			e.renewedAt = maxTime(e.renewedAt, now.Add(outageGrace-silence))
			e.readAgain()
		}
		return
	}
	e.renewedAt, e.answeredAt = maxTime(e.renewedAt, now.Add(-confirmedAgo)), now
	e.suspect, e.unread = false, true
}

// HolderCallFailed says that the holder of this epoch has not answered a call of
// this host, so that its record has to be read.
func (e *Elector) HolderCallFailed(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder != nil && e.holder.Epoch == epoch && !e.answeredAt.IsZero() {
		e.readAgain()
	}
}

// readAgain ends the time in which the record is not read. It needs e.mu.
func (e *Elector) readAgain() {
	e.answeredAt = time.Time{}
	e.wake()
}
