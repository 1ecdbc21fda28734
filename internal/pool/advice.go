package pool

import (
	"cmp"
	"context"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// ErrPolicyCallBusy means that the host already makes a long call to the policy
// service for another service. The policy service was not asked.
var ErrPolicyCallBusy = errors.New("the host already makes a long call to the policy service for another service")

// IsLongPolicyCall reports whether a call with the expected duration is long. A
// host makes only one long call at a time.
func IsLongPolicyCall(expected time.Duration) bool { return expected > maxShortCall }

const (
	// ticketMargin is how long before its end a ticket is no longer used for
	// new placements. The placement must be stored and the start request
	// delivered in that time.
	ticketMargin = 120 * time.Millisecond
	// adviceTimeoutSlack is added to the expected duration of a call to get its
	// timeout.
	adviceTimeoutSlack = 1200 * time.Millisecond
	// adviceRetryDelay is how long a step does not ask again after a failed
	// call.
	adviceRetryDelay = 300 * time.Millisecond
	// advisorFailurePause is how long a host makes no calls after a failed one.
	advisorFailurePause = 1500 * time.Millisecond
	// maxWorkersPerCall is the largest number of workers that one call may
	// name.
	maxWorkersPerCall = 100
	// minWorkersPerCall is the smallest number of workers to name if there are
	// as many candidates. Naming them takes less than a quarter of a call. It
	// assumes that a third of them is approved.
	minWorkersPerCall = 14
	// approvalShareWeight is the weight of the newest reply in the moving
	// average of the share of workers that a queue's policy approves.
	// initialApprovalShare is the value before the first reply. It is higher
	// than the third that minWorkersPerCall assumes; the replies correct it.
	approvalShareWeight, initialApprovalShare = 0.1, 0.45
	// askedCapacityFactor is how much more expected capacity to ask about than
	// the tasks need, because other steps take some of it before the reply
	// arrives.
	askedCapacityFactor = 1.6
	// maxReservingCall is the longest call during which the capacity it asks
	// about is reserved. Calls for gangs take over a second and would keep a
	// fifth of the accelerators idle at 85% load; for them, enough capacity is
	// released by other tasks while the tickets are valid.
	maxReservingCall = 400 * time.Millisecond
	// maxShortCall is the longest call that counts as short. A queue with a
	// TargetLatency of 300 ms allows a few calls of this length.
	maxShortCall = 60 * time.Millisecond
	// shortCallHostDivisor sets the share of hosts that make only short calls:
	// one in this many.
	shortCallHostDivisor = 3
	// maxLongCallShare is the part of the hosts for long calls that one queue may keep
	// busy. Otherwise the long calls of an urgent queue leave none to the others.
	maxLongCallShare = 0.7
	// maxShortCallsPerHost is how many calls, long ones included, may be in
	// flight through one host once a short call has been added.
	maxShortCallsPerHost = 3
	// advisorListAge is how long the list of hosts to ask is used.
	advisorListAge = 200 * time.Millisecond
	// busyAdvisorPause is how long a host is not asked after it reported a long
	// call for another service.
	busyAdvisorPause = 100 * time.Millisecond
)

// advice holds what the policy service has replied about a step. A call to the
// service, also called a call for advice, names workers. The service decides
// for each of them whether the step may run there: it approves or denies the
// worker. The decision holds for the lifetime of the worker. Each reply that
// approves a worker contains a ticket, which permits starts there for a limited
// time and which the worker checks.
type advice struct {
	tickets map[string]ticket
	// approved holds the decision for each worker asked about.
	approved map[string]bool
	inFlight bool
	// reservedNodes are the workers whose capacity is reserved during the call
	// in flight.
	reservedNodes []*node
	retryAt       time.Time
	// validUntil is the latest end of a ticket, as in ticket.placeUntil.
	validUntil time.Time
}

// ticket is the policy service's permission to start a step on one worker.
type ticket struct {
	text string
	// placeUntil is the end of the ticket, counted from when the reply arrived,
	// less ticketMargin.
	placeUntil time.Time
}

// advisor is an entry host that calls the policy service for this scheduler.
// The policy service handles one call at a time for each host.
type advisor struct {
	callsInFlight int
	pausedUntil   time.Time
}

// validTicket returns the ticket for the step on n and reports whether the step
// may be placed there now.
func (s *step) validTicket(n *node, now time.Time) (ticket, bool) {
	if s.job.queue.Policy == nil {
		return ticket{}, true
	}
	t, ok := s.advice.tickets[n.entry.ID]
	return t, ok && now.Before(t.placeUntil)
}

// expired reports whether the ticket has ended, so that a placement made with
// it can no longer be started. The ticket of a step without a policy never ends.
func (t ticket) expired(now time.Time) bool {
	return t.text != "" && now.After(t.placeUntil.Add(ticketMargin))
}

// deniedOn reports whether the policy forbids the step on n.
func (s *step) deniedOn(n *node) bool {
	approved, known := s.advice.approved[n.entry.ID]
	return known && !approved
}

// advisorHosts are the hosts that may call the policy service, in the order in which
// this scheduler prefers them.
type advisorHosts struct {
	listedAt time.Time
	// all contains the hosts for short calls, and long those for long ones.
	all, long []string
}

// listAdvisors returns the hosts to ask. Some hosts make only short calls, so that
// urgent work with short calls does not wait behind long ones. The schedulers of all
// shards split the hosts in the same way, and each prefers other ones.
func (p *Pool) listAdvisors(now time.Time) advisorHosts {
	if now.Sub(p.advisorHosts.listedAt) < advisorListAge {
		return p.advisorHosts
	}
	all := p.opts.Hosts()
	slices.Sort(all)
	long := slices.Clone(all[len(all)/shortCallHostDivisor:])
	for _, hosts := range [][]string{all, long} {
		slices.SortFunc(hosts, func(a, b string) int {
			return cmp.Or(cmp.Compare(p.preference(a), p.preference(b)), cmp.Compare(a, b))
		})
	}
	p.advisorHosts = advisorHosts{now, all, long}
	return p.advisorHosts
}

// preference returns a number that differs between shards for the same host.
func (p *Pool) preference(host string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host + "/" + p.opts.Shard.String()))
	return h.Sum32()
}

// pickAdvisor returns the host that should make a call for the step with the expected
// duration, or "" if all are busy or the step's queue makes its share of long calls.
func (p *Pool) pickAdvisor(s *step, expected time.Duration, now time.Time) string {
	listed := p.listAdvisors(now)
	limit, hosts := 1, listed.long
	if expected <= maxShortCall {
		limit, hosts = maxShortCallsPerHost, listed.all
	} else if float64(p.longCalls[s.job.queue.Name]) >= maxLongCallShare*float64(len(hosts)) {
		return ""
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

// requestAdvice asks for tickets for the step if it could use them within the
// capacity left over by more urgent steps. If eager is set, the first call is
// made even without free capacity, so that capacity can be reserved or freed on
// workers where the step is allowed to run.
func (p *Pool) requestAdvice(s *step, remaining int, capacity *capacityTracker, eager bool, now time.Time) {
	a := &s.advice
	if a.inFlight {
		if !capacity.lapsed {
			capacity.reserve(s, a.reservedNodes, remaining)
		}
		return
	}
	policy := s.job.queue.Policy
	shortest := policy.DecisionTime + minWorkersPerCall*policy.TimePerWorker
	if now.Before(a.retryAt) || p.pickAdvisor(s, shortest, now) == "" {
		return
	}
	candidates := p.workersToAsk(s, remaining, capacity, eager && len(a.approved) == 0, now)
	if len(candidates) == 0 {
		return
	}
	expected := policy.DecisionTime + time.Duration(len(candidates))*policy.TimePerWorker
	var reserved []*node
	if expected <= maxReservingCall {
		reserved = candidates
		capacity.reserve(s, reserved, remaining)
	}
	host := p.pickAdvisor(s, expected, now)
	if host == "" {
		return
	}
	a.inFlight, a.reservedNodes = true, reserved
	p.advisors[host].callsInFlight++
	if expected > maxShortCall {
		p.longCalls[s.job.queue.Name]++
	}
	ids := make([]string, len(candidates))
	for i, n := range candidates {
		ids[i] = n.entry.ID
	}
	go p.callAdvisor(s, host, ids, expected)
}

// workersToAsk returns the workers to ask about, or nil if the reply could not
// be used now. Denied workers, whose decision does not change, and workers with
// a valid ticket are left out. Workers with free capacity come first, approved
// or without a decision. If one of them has no decision or eager is set, workers
// without free capacity and without a decision follow.
func (p *Pool) workersToAsk(s *step, remaining int, capacity *capacityTracker, eager bool, now time.Time) []*node {
	if !eager && capacity.fullAfterStops(s) {
		return nil
	}
	var candidates, withoutCapacity []*node
	fittingTasks, approvedCount := 0, 0
	for _, n := range capacity.nodes {
		if s.deniedOn(n) || !p.eligible(s, n) {
			continue
		}
		fits := capacity.tasksThatFitAfterStops(s, n)
		fittingTasks += fits
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
	if fittingTasks < needed && !eager || len(candidates)+len(withoutCapacity) == 0 || len(candidates) == 0 && !eager {
		return nil
	}
	p.sortByScore(s, candidates)
	if approvedCount < len(candidates) || eager {
		// Naming them too adds little to the duration of the call, and their
		// decisions are known from then on.
		p.sortByScore(s, withoutCapacity)
		candidates = append(candidates, withoutCapacity...)
	}
	return candidates[:p.workersNeeded(s, candidates, remaining, capacity)]
}

// workersNeeded returns how many of the candidates, best first, have to be
// named so that the approved ones can be expected to have capacity for the
// step's remaining tasks. Each further name makes the call longer, and in a
// large pool most are not needed.
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

// tasksThatFit returns how many more tasks of the step fit on n, given its free
// resources.
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

// approvalShare returns the share of workers that a queue's policy is expected to
// approve.
func (p *Pool) approvalShare(queue string) float64 {
	if share, ok := p.approvalShares[queue]; ok {
		return share
	}
	return initialApprovalShare
}

// callAdvisor makes one call through a host and applies the reply.
func (p *Pool) callAdvisor(s *step, host string, workerIDs []string, expected time.Duration) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, expected+adviceTimeoutSlack)
	approvals, lifetime, err := p.opts.RequestApprovals(ctx, host, s.name(), workerIDs, expected)
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	a := p.advisors[host]
	a.callsInFlight--
	if expected > maxShortCall {
		p.longCalls[s.job.queue.Name]--
	}
	s.advice.inFlight, s.advice.reservedNodes = false, nil
	p.requestPass()
	if errors.Is(err, ErrPolicyCallBusy) {
		a.pausedUntil = now.Add(busyAdvisorPause)
		return
	}
	if err != nil {
		if p.ctx.Err() == nil {
			p.log.Info("advice call failed", "job", s.job.id, "step", s.name(), "host", host, "workers", len(workerIDs), "error", err.Error())
		}
		p.incrementMetric("advice.failed")
		s.advice.retryAt = now.Add(adviceRetryDelay)
		a.pausedUntil = now.Add(advisorFailurePause)
		return
	}
	p.incrementMetric("advice.answered")
	if lifetime == 0 {
		lifetime = s.job.queue.Policy.TicketLifetime
	}
	p.applyApprovals(s, workerIDs, approvals, now.Add(lifetime-ticketMargin))
	p.taskLog.Info("advice", "job", s.job.id, "step", s.name(), "host", host, "workers", len(workerIDs), "approved", len(approvals), "took_ms", now.Sub(begin).Milliseconds())
}

// applyApprovals stores the tickets and decisions from a reply and updates the
// approval share of the queue. A worker that is named and not approved is
// denied.
func (p *Pool) applyApprovals(s *step, workerIDs []string, approvals []cell.Approval, placeUntil time.Time) {
	a := &s.advice
	if a.tickets == nil {
		a.tickets, a.approved = make(map[string]ticket), make(map[string]bool)
	}
	newDecisions := 0
	for _, id := range workerIDs {
		if _, known := a.approved[id]; !known {
			newDecisions++
			a.approved[id] = false
		}
	}
	newApprovals := 0
	for _, approval := range approvals {
		if !slices.Contains(workerIDs, approval.Worker) {
			continue
		}
		if !a.approved[approval.Worker] {
			newApprovals++
		}
		a.approved[approval.Worker] = true
		a.tickets[approval.Worker] = ticket{approval.Ticket, placeUntil}
		if placeUntil.After(a.validUntil) {
			a.validUntil = placeUntil
		}
	}
	if newDecisions > 0 {
		queue := s.job.queue.Name
		share := p.approvalShare(queue)
		share += approvalShareWeight * (float64(newApprovals)/float64(newDecisions) - share)
		p.approvalShares[queue] = math.Max(share, 0.1)
	}
}
