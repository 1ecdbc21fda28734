package lead

import "time"

// The methods in this file update the elector with information about the holder
// that comes from other hosts instead of the store.

// HolderStopped reports that the process that held this epoch has exited, resigned
// or ended its term, so that it can be replaced before renewalTimeout passes.
func (e *Elector) HolderStopped(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder != nil && e.holder.Epoch == epoch && !e.holderStopped {
		e.holderStopped = true
		e.notifyChange()
	}
}

// LearnHolder records a holder of a higher epoch that another host has read. A
// host that cannot reach the store finds the current holder this way. It does not
// make this process claim: it leaves holderStopped, holderSuspected and lastRenewal
// as they are, and a claim needs a successful read of the topic.
func (e *Elector) LearnHolder(h Holder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h.Incarnation == e.opts.Self.Incarnation || e.holder != nil && h.Epoch <= e.holder.Epoch {
		return
	}
	e.opts.Log.Info("holder learned from another host", "topic", e.opts.Topic, "holder", h.Host, "epoch", h.Epoch)
	e.holder = &h
	e.notifyChange()
}

// HolderUnreachable reports that the holder of this epoch does not reply to this
// host, so that it is replaced after suspectedTimeout without a renewal.
func (e *Elector) HolderUnreachable(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder != nil && e.holder.Epoch == epoch && !e.holderSuspected {
		e.holderSuspected = true
		e.notifyChange()
	}
}

// HolderReplied reports that the holder of this epoch has replied to this host
// and that the store confirmed its last renewal confirmedAgo before now. While the
// holder replies and renews, its record is not read from the store. extraPause is how
// much later than usual this host calls the holder again; the reply is valid, and the
// holder is given time to renew, for that much longer.
func (e *Elector) HolderReplied(epoch int64, confirmedAgo, extraPause time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder == nil || e.holder.Epoch != epoch || e.holderStopped {
		return
	}
	now := time.Now()
	if confirmedAgo > suspectedTimeout {
		if !e.lastReply.IsZero() {
			// The store may be unavailable to every host, so the holder gets
			// outageGrace to renew.
			e.lastRenewal = maxTime(e.lastRenewal, now.Add(outageGrace-renewalTimeout))
			e.resumeReading()
		}
		return
	}
	e.lastRenewal, e.lastReply, e.extraPause, e.readPause = maxTime(e.lastRenewal, now.Add(-confirmedAgo)), now, extraPause, extraPause
	e.holderSuspected, e.renewalsSkipped = false, true
}

// HolderCallFailed reports that a call from this host to the holder of this epoch
// failed, so that the holder record must be read from the store again.
func (e *Elector) HolderCallFailed(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder != nil && e.holder.Epoch == epoch && !e.lastReply.IsZero() {
		e.resumeReading()
	}
}

// resumeReading makes follow read the holder record from the store again, although
// the holder has replied recently. The caller must hold e.mu.
func (e *Elector) resumeReading() {
	if e.extraPause > 0 {
		// The last reply may be older than renewalTimeout although the holder is
		// alive, and the renewals since then do not count.
		e.lastRenewal = maxTime(e.lastRenewal, time.Now().Add(outageGrace-renewalTimeout))
	}
	e.lastReply, e.extraPause = time.Time{}, 0
	e.notifyChange()
}
