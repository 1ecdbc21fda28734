package pool

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// ErrAdvisorBusy means that a host makes a long call for another service; the
// policy service was not asked.
var ErrAdvisorBusy = errors.New("the host makes another long call")

// IsLongAdviceCall tells whether a call that takes expected is one of which a host
// makes a single one at a time.
func IsLongAdviceCall(expected time.Duration) bool { return expected > maxShortCall }

const (
	// ticketMargin is how long before its end a ticket is no longer used: the
	// placement is stored and the order travels meanwhile.
	ticketMargin = 120 * time.Millisecond
	// adviceTimeoutSlack is added to the time that a call should take.
	adviceTimeoutSlack = 1200 * time.Millisecond
	// adviceRetryDelay is the pause after a failed call.
	adviceRetryDelay = 300 * time.Millisecond
	// advisorFailurePause is how long a host is not asked after a failed call.
	advisorFailurePause = 1500 * time.Millisecond
	// maxWorkersPerCall is how many workers a call may name.
	maxWorkersPerCall = 100
	// minWorkersPerCall is the least number of workers named, if there are as many: so many
	// cost less than a quarter of a call, and a third of them is approved.
	minWorkersPerCall = 14
	// approvalShareWeight is the weight of the newest answer in the learned share of
	// workers that a queue's policy approves, and approvalFirst its first value.
	approvalShareWeight, initialApprovalShare = 0.1, 0.45
	// askedCapacityFactor is how much more room is named than should suffice: some is
	// taken before the answer.
	askedCapacityFactor = 1.6
	// maxReservingCall is the duration of a call up to which the room it asks about is
	// kept from less urgent work. Calls for gangs take over a second: the room
	// that they would keep idle is a fifth of the accelerators at 85% load, and
	// others end soon enough within the time for which the tickets are valid.
	maxReservingCall = 400 * time.Millisecond
	// maxShortCall is the duration up to which a call counts as short: a target of
	// 300 ms bears a few of them.
	maxShortCall = 60 * time.Millisecond
	// shortCallHostDivisor is the part of the hosts, one in so many, that only makes short
	// calls.
	shortCallHostDivisor = 3
	// maxShortCallsPerHost is how many short calls a host may have in turn.
	maxShortCallsPerHost = 3
	// busyAdvisorPause is how long a host is not asked that makes a long call for
	// another service.
	busyAdvisorPause = 100 * time.Millisecond
)

// advice is what the policy service has said of a step.
type advice struct {
	tickets map[string]ticket
	// approved and denied do not change during a worker's life.
	approved map[string]bool
	inFlight bool
	// reservedNodes are the workers on which room is kept during the call that is made.
	reservedNodes []*node
	retryAt       time.Time
}

type ticket struct {
	text       string
	validUntil time.Time
}

// advisor is an entry host that calls the policy service for this scheduler.
// The service handles one call at a time for each host.
type advisor struct {
	callsInFlight int
	pausedUntil   time.Time
}

// validTicket tells whether the step may be started on n now.
func (s *step) validTicket(n *node, now time.Time) (ticket, bool) {
	if s.job.queue.Advice == nil {
		return ticket{}, true
	}
	t, ok := s.advice.tickets[n.entry.ID]
	return t, ok && now.Before(t.validUntil)
}

// expired tells whether the ticket cannot be used any more.
func (t ticket) expired(now time.Time) bool {
	return t.text != "" && now.After(t.validUntil.Add(ticketMargin))
}

// deniedOn tells whether the policy does not allow the step on n.
func (s *step) deniedOn(n *node) bool {
	approved, known := s.advice.approved[n.entry.ID]
	return known && !approved
}

// pickAdvisor returns the host that should make a call that takes expected,
// empty if all are busy. A part of the hosts only makes short calls, so that
// urgent work with short calls does not wait behind long ones. The schedulers of
// all services split the hosts in the same way.
func (p *Pool) pickAdvisor(expected time.Duration, now time.Time) string {
	hosts := p.opts.Hosts()
	slices.Sort(hosts)
	reserved := len(hosts) / shortCallHostDivisor
	limit := 1
	if expected <= maxShortCall {
		limit = maxShortCallsPerHost
	} else {
		hosts = hosts[reserved:]
	}
	best, least := "", limit
	for _, host := range hosts {
		a := p.advisors[host]
		if a == nil {
			a = &advisor{}
			p.advisors[host] = a
		}
		if a.callsInFlight < least && now.After(a.pausedUntil) {
			best, least = host, a.callsInFlight
		}
	}
	return best
}

// requestAdvice asks for tickets for the step if it could use some in the room
// that more urgent steps leave. eager asks for the first time although there is
// no room yet, so that room can be made where the step is allowed to run.
func (p *Pool) requestAdvice(s *step, remaining int, capacity *capacityTracker, eager bool, now time.Time) {
	a := &s.advice
	if a.inFlight {
		capacity.reserve(s, a.reservedNodes, remaining)
		return
	}
	if now.Before(a.retryAt) {
		return
	}
	candidates := p.workersToAsk(s, remaining, capacity, eager && len(a.approved) == 0, now)
	if len(candidates) == 0 {
		return
	}
	q := s.job.queue.Advice
	expected := q.Decide + time.Duration(len(candidates))*q.PerWorker
	var reserved []*node
	if expected <= maxReservingCall {
		reserved = candidates
		capacity.reserve(s, reserved, remaining)
	}
	host := p.pickAdvisor(expected, now)
	if host == "" {
		return
	}
	a.inFlight, a.reservedNodes = true, reserved
	p.advisors[host].callsInFlight++
	ids := make([]string, len(candidates))
	for i, n := range candidates {
		ids[i] = n.entry.ID
	}
	go p.callAdvisor(s, host, ids, expected)
}

// workersToAsk returns the workers about which to ask, none if the answer could
// not be used now. Approvals do not change, so the first call names many
// workers at once and later ones only approved workers that have room.
func (p *Pool) workersToAsk(s *step, remaining int, capacity *capacityTracker, eager bool, now time.Time) []*node {
	if !eager && capacity.fullAfterStops(s) {
		return nil
	}
	var candidates, withoutCapacity []*node
	fitting, approvedCount := 0, 0
	for _, n := range capacity.nodes {
		if s.deniedOn(n) || !p.eligible(s, n) {
			continue
		}
		fits := capacity.tasksThatFitAfterStops(s, n)
		fitting += fits
		if _, valid := s.validTicket(n, now); valid {
			continue
		}
		approved := s.advice.approved[n.entry.ID]
		switch {
		case approved && fits > 0:
			approvedCount++
			candidates = append(candidates, n)
		case !approved && fits > 0:
			candidates = append(candidates, n)
		case !approved:
			withoutCapacity = append(withoutCapacity, n)
		}
	}
	needed := 1
	if s.spec.Gang {
		needed = remaining
	}
	if fitting < needed && !eager || len(candidates)+len(withoutCapacity) == 0 || len(candidates) == 0 && !eager {
		return nil
	}
	p.sortByScore(s, candidates)
	if approvedCount < len(candidates) || eager {
		// Others cost little beside the call, and are known from then on.
		p.sortByScore(s, withoutCapacity)
		candidates = append(candidates, withoutCapacity...)
	}
	return candidates[:p.workersNeeded(s, candidates, remaining, capacity)]
}

// workersNeeded returns how many of the workers, best first, have to be named so that
// the approved ones should have room for the step's remaining tasks. Each one
// more makes the call longer, and in a large pool most are not needed.
func (p *Pool) workersNeeded(s *step, candidates []*node, remaining int, capacity *capacityTracker) int {
	share := p.approvalShare(s.job.queue.Name)
	expected, target := 0.0, askedCapacityFactor*float64(remaining)
	for i, n := range candidates {
		if i >= minWorkersPerCall && expected >= target || i == maxWorkersPerCall {
			return i
		}
		probability := share
		if s.advice.approved[n.entry.ID] {
			probability = 1
		}
		expected += probability * float64(capacity.tasksThatFitAfterStops(s, n))
	}
	return len(candidates)
}

// tasksThatFit returns how many tasks of the step fit into what is free of n.
func (p *Pool) tasksThatFit(s *step, n *node, free worker.Resources) int {
	need := s.need()
	count := s.spec.Count
	for _, d := range [][2]int64{{need.MilliCPU, free.MilliCPU}, {need.MemoryMiB, free.MemoryMiB}, {need.Accelerators, free.Accelerators}} {
		if d[0] > 0 {
			count = min(count, int(d[1]/d[0]))
		}
	}
	if s.spec.Filler && s.spec.MilliCPU > 0 {
		count = min(count, int((free.MilliCPU-n.fillerMilliCPU)/s.spec.MilliCPU))
	}
	if s.spec.MaxPerWorker > 0 {
		count = min(count, s.spec.MaxPerWorker-n.runsPerStep[s])
	}
	return max(count, 0)
}

func (p *Pool) approvalShare(queue string) float64 {
	if share, ok := p.approvalShares[queue]; ok {
		return share
	}
	return initialApprovalShare
}

// callAdvisor makes one call through a host and takes in the answer.
func (p *Pool) callAdvisor(s *step, host string, names []string, expected time.Duration) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, expected+adviceTimeoutSlack)
	approvals, valid, err := p.opts.Advise(ctx, host, s.name(), names, expected)
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	a := p.advisors[host]
	a.callsInFlight--
	s.advice.inFlight, s.advice.reservedNodes = false, nil
	p.requestPass()
	if errors.Is(err, ErrAdvisorBusy) {
		a.pausedUntil = now.Add(busyAdvisorPause)
		return
	}
	if err != nil {
		if p.ctx.Err() == nil {
			p.log.Info("advice failed", "job", s.job.id, "step", s.name(), "host", host, "workers", len(names), "error", err.Error())
		}
		p.incrementMetric("advice.failed")
		s.advice.retryAt = now.Add(adviceRetryDelay)
		a.pausedUntil = now.Add(advisorFailurePause)
		return
	}
	p.incrementMetric("advice.answered")
	if valid == 0 {
		valid = s.job.queue.Advice.Valid
	}
	p.applyApprovals(s, names, approvals, now.Add(valid-ticketMargin))
	p.log.Info("advice", "job", s.job.id, "step", s.name(), "host", host, "workers", len(names), "approved", len(approvals), "took_ms", now.Sub(begin).Milliseconds())
}

func (p *Pool) applyApprovals(s *step, names []string, approvals []cell.Approval, until time.Time) {
	a := &s.advice
	if a.tickets == nil {
		a.tickets, a.approved = make(map[string]ticket), make(map[string]bool)
	}
	newAnswers := 0
	for _, name := range names {
		if _, known := a.approved[name]; !known {
			newAnswers++
			a.approved[name] = false
		}
	}
	newApprovals := 0
	for _, approval := range approvals {
		if !slices.Contains(names, approval.Worker) {
			continue
		}
		if !a.approved[approval.Worker] {
			newApprovals++
		}
		a.approved[approval.Worker] = true
		a.tickets[approval.Worker] = ticket{approval.Ticket, until}
	}
	if newAnswers > 0 {
		queue := s.job.queue.Name
		share := p.approvalShare(queue)
		share += approvalShareWeight * (float64(newApprovals)/float64(newAnswers) - share)
		p.approvalShares[queue] = math.Max(share, 0.1)
	}
}
