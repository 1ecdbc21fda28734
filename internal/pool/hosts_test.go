package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

const (
	testHolderTopic = "holder"
	// generatedHosts is the number of entry hosts of one scenario.
	generatedHosts = 4
	// renewalInterval and renewalTimeout are those of the election.
	renewalInterval, renewalTimeout = 600 * time.Millisecond, time.Second
	// reportInterval is the time between two reports of a host to the scheduler.
	reportInterval = 500 * time.Millisecond
)

// hostProcess is a process of an entry host. The processes of a host never run at the same
// time.
type hostProcess struct {
	self      lead.Holder
	startedAt time.Duration
	// former is set for a version that neither keeps nor reads the records of silent
	// workers and settled processes, names no predecessors and makes no reports.
	former bool
	// term is that in which the process schedules, nil if there is none, and link its
	// connections.
	term *lead.Term
	link *schedulerLink
	// end ends the scheduler as if the process were killed.
	end func()
	// endedEpoch and endedAt are of its last term that has ended.
	endedEpoch int64
	endedAt    time.Duration
	// claimedEpoch is that of its last claim, and witnessedEpoch and witnessedAt of the last
	// holder that it has confirmed.
	claimedEpoch, witnessedEpoch int64
	witnessedAt                  time.Duration
}

// testHosts are the entry hosts of a testCluster. Their processes claim the service with the
// records of the election and report to the scheduler.
type testHosts struct {
	tc *testCluster

	mu        sync.Mutex
	rng       *rand.Rand
	processes [generatedHosts]*hostProcess
	// record is the newest holder record, recordedAt the reading of the boot clock when
	// other hosts read it, and holder the process that has claimed last.
	record     lead.Holder
	recordedAt time.Duration
	holder     *hostProcess
	// restartDelay draws when the next process of a host starts, negative for never.
	restartDelay func() time.Duration
	// undisturbed makes all reports arrive at once.
	undisturbed bool
	// mixed makes some processes be of a former version.
	mixed bool
	note  func(format string, args ...any)
}

// newTestHosts replaces the scheduler of the cluster, which has not scheduled yet.
func newTestHosts(tc *testCluster, rng *rand.Rand, note func(format string, args ...any)) *testHosts {
	h := &testHosts{tc: tc, rng: rng, note: note, record: lead.Holder{Host: "first", Address: "first", Epoch: tc.epoch, Resigned: true, LeaseRecordsSince: 1, ProcessRecordsSince: 1}}
	h.restartDelay = h.drawRestartDelay
	for n := range h.processes {
		h.start(n)
		name := fmt.Sprint("host-", n)
		h.record.Witnesses = append(h.record.Witnesses, lead.WitnessName(name, name))
	}
	tc.stop()
	h.claim()
	go func() {
		for tc.lifetime.Err() == nil {
			h.report()
			time.Sleep(reportInterval)
		}
	}()
	return h
}

// draw returns a number below n.
func (h *testHosts) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rng.IntN(n)
}

// drawRestartDelay returns 0.3 to 3 s most of the time, and at times more than the time of
// two changes. Some processes have no successor.
func (h *testHosts) drawRestartDelay() time.Duration {
	switch kind := h.draw(6); kind {
	case 0:
		return -1
	case 1:
		return time.Duration(4000+h.draw(8000)) * time.Millisecond
	default:
		return time.Duration(300+h.draw(2700)) * time.Millisecond
	}
}

// start starts a process on a host that has none.
func (h *testHosts) start(host int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.processes[host] != nil {
		return
	}
	name, now := fmt.Sprint("host-", host), cell.BootTime()
	h.processes[host] = &hostProcess{self: lead.Holder{Host: name, Address: name, Incarnation: fmt.Sprint(name, "-", now)}, startedAt: now, former: h.mixed && h.rng.IntN(2) == 0}
}

// kill ends a process. The next one on its host starts after restartDelay.
func (h *testHosts) kill(p *hostProcess) {
	h.mu.Lock()
	link, end := p.link, p.end
	h.mu.Unlock()
	if link != nil {
		link.resume()
	}
	if end != nil {
		end()
	}
	time.Sleep(time.Millisecond) // its last calls have been carried out
	for n, other := range h.processes {
		if other == p {
			h.mu.Lock()
			h.processes[n] = nil
			h.mu.Unlock()
			delay := h.restartDelay()
			h.note("the process of %s ends, the next one starts after %s", p.self.Host, delay)
			if delay >= 0 {
				time.AfterFunc(delay, func() { h.start(n) })
			}
		}
	}
}

// candidate returns a process that does not schedule, at times the first one of its host
// after another one was killed.
func (h *testHosts) candidate() *hostProcess {
	for tries := 0; ; tries++ {
		n := h.draw(generatedHosts)
		h.mu.Lock()
		p, holder := h.processes[n], h.holder
		schedules := p != nil && p.term != nil
		h.mu.Unlock()
		switch {
		case p == nil && h.draw(4) == 0:
			h.start(n)
		case p != nil && !schedules:
			return p
		case p != nil && p != holder && tries > 20*generatedHosts:
			h.kill(p) // all processes schedule
		}
	}
}

// claim lets another process take over.
func (h *testHosts) claim() {
	p := h.candidate()
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	now, previous := cell.BootTime(), h.storedRecord()
	if h.holder != nil && h.holder.term != nil {
		// A claim needs that the last renewal was read, so nothing confirms the term now.
		h.holder.link.set(func() { h.holder.link.superseded = true })
	}
	if p.former {
		previous.Former, previous.Witnesses = nil, nil
	} else if p.witnessedEpoch == previous.Epoch {
		previous.WitnessedAt = p.witnessedAt
	}
	p.claimedEpoch = previous.Epoch + 1
	own := lead.ClaimAfter(previous, p.self, p.startedAt, now)
	term := lead.BeginTerm(previous, own, p.startedAt, now, cancel)
	if p.former {
		own.Former, own.LeaseRecordsSince, term.LeaseRecordsSince = nil, 0, 0
		own.ProcessRecordsSince, term.ProcessRecordsSince = 0, own.Epoch
		own.Witnesses = nil
	}
	h.record, h.recordedAt, h.holder, p.term = own, now, p, term
	h.mu.Unlock()
	h.note("%s claims epoch %d, of a former version: %v", p.self.Incarnation, own.Epoch, p.former)
	h.tc.epoch, h.tc.formerForNext = own.Epoch, p.former
	h.tc.launchScheduler(ctx, term, cancel, func(link *schedulerLink) { h.keepRenewed(ctx, link, term, own) })
	link, done := h.tc.link, h.tc.done
	if !p.former {
		go h.askWitnesses(ctx, link, term)
	}
	h.mu.Lock()
	p.link, p.end = link, func() { cancel(); <-done }
	h.mu.Unlock()
	go func() {
		<-done
		link.awaitResume()
		h.mu.Lock()
		defer h.mu.Unlock()
		p.term, p.endedEpoch, p.endedAt = nil, own.Epoch, cell.BootTime()
	}()
}

// storedRecord returns the newest record as another process reads it.
func (h *testHosts) storedRecord() *lead.Holder {
	value, err := json.Marshal(h.record)
	require.NoError(h.tc.t, err)
	read := new(lead.Holder)
	require.NoError(h.tc.t, json.Unmarshal(value, read))
	read.SentBy = h.recordedAt
	return read
}

// keepRenewed renews the record of a term until another process has claimed. The scheduler
// may learn of that late or never.
func (h *testHosts) keepRenewed(ctx context.Context, link *schedulerLink, term *lead.Term, own lead.Holder) {
	s := link.connectStore(h.tc.store)
	for ; ctx.Err() == nil; time.Sleep(renewalInterval) {
		sent := cell.BootTime()
		renewal := term.Renewal(own, sent)
		if own.LeaseRecordsSince == 0 {
			renewal.Former = nil // of a former version
		}
		callCtx, cancel := context.WithTimeout(ctx, renewalTimeout)
		_, err := s.Append(callCtx, store.Append{Topic: testHolderTopic, Records: []store.Record{{Key: "holder"}}})
		cancel()
		h.mu.Lock()
		superseded := h.record.Epoch != own.Epoch
		if err == nil && !superseded && ctx.Err() == nil {
			h.record, h.recordedAt = renewal, cell.BootTime()
			term.Confirm(sent)
		}
		h.mu.Unlock()
		if superseded && err == nil {
			break
		}
	}
	if ctx.Err() == nil && h.draw(2) == 0 {
		time.Sleep(time.Duration(h.draw(3000)) * time.Millisecond)
		if !link.awaitResume() && ctx.Err() == nil {
			h.note("the scheduler of epoch %d ends its term", own.Epoch)
			term.End()
		}
	}
}

// askWitnesses asks the witnesses of a term while its renewals are overdue.
func (h *testHosts) askWitnesses(ctx context.Context, link *schedulerLink, term *lead.Term) {
	for ; ctx.Err() == nil; time.Sleep(300 * time.Millisecond) {
		if term.ConfirmationAge() < lead.AskWitnessesAfter || link.paused() {
			continue
		}
		asked := cell.BootTime()
		for _, name := range term.Witnesses() {
			h.mu.Lock()
			there, back := time.Duration(0), time.Duration(0)
			if !h.undisturbed {
				there, back = time.Duration(h.rng.IntN(190))*time.Millisecond, time.Duration(h.rng.IntN(190))*time.Millisecond
			}
			h.mu.Unlock()
			time.AfterFunc(there, func() {
				if h.confirms(name, term.Epoch) {
					time.AfterFunc(back, func() { term.NoteWitness(name, asked) })
				}
			})
		}
	}
}

// confirms lets the host with that name reply to a witness call. A host that has not claimed
// may not know of a later holder.
func (h *testHosts) confirms(name string, epoch int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.processes {
		if p == nil || p.former || lead.WitnessName(p.self.Host, p.self.Address) != name {
			continue
		}
		now := cell.BootTime()
		if p.claimedEpoch > epoch || now-p.startedAt < lead.MaxConfirmationAge || p.link != nil && p.link.paused() || h.rng.IntN(8) == 0 {
			return false
		}
		p.witnessedEpoch, p.witnessedAt = epoch, now
		return true
	}
	return false
}

// report lets each process report to the newest scheduler. Some reports name an earlier
// epoch, are lost, or arrive late, even after the process has ended.
func (h *testHosts) report() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := cell.BootTime()
	for _, p := range h.processes {
		if p == nil || p.former || p.link != nil && p.link.paused() || !h.undisturbed && h.rng.IntN(8) == 0 {
			continue
		}
		report := lead.HostReport{Host: p.self.Host, Address: p.self.Address, Incarnation: p.self.Incarnation, KnownEpoch: h.record.Epoch, Uptime: now - p.startedAt}
		if p.endedEpoch > 0 {
			report.EndedEpoch, report.EndedAgo = p.endedEpoch, now-p.endedAt
		}
		if !h.undisturbed && h.rng.IntN(8) == 0 {
			report.KnownEpoch--
		}
		delay := time.Duration(0)
		if !h.undisturbed && h.rng.IntN(3) == 0 {
			delay = time.Duration(h.rng.IntN(10000)) * time.Millisecond
		}
		time.AfterFunc(delay, func() { h.deliver(report) })
	}
}

// deliver gives a report to the newest scheduler.
func (h *testHosts) deliver(report lead.HostReport) {
	h.mu.Lock()
	former := h.holder.former
	h.mu.Unlock()
	if !former {
		h.tc.currentPool().NoteHost(report)
	}
}
