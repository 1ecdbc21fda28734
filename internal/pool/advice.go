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
func IsLongAdviceCall(expected time.Duration) bool { return expected > shortCall }

const (
	// ticketMargin is how long before its end a ticket is no longer used: the
	// placement is stored and the order travels meanwhile.
	ticketMargin = 120 * time.Millisecond
	// adviceSlack is added to the time that a call should take.
	adviceSlack = 1200 * time.Millisecond
	// adviceRetry is the pause after a failed call.
	adviceRetry = 300 * time.Millisecond
	// advisorPause is how long a host is not asked after a failed call.
	advisorPause = 1500 * time.Millisecond
	// maxNamed is how many workers a call may name.
	maxNamed = 100
	// minNamed is the least number of workers named, if there are as many: so many
	// cost less than a quarter of a call, and a third of them is approved.
	minNamed = 14
	// approvalWeight is the weight of the newest answer in the learned share of
	// workers that a queue's policy approves, and approvalFirst its first value.
	approvalWeight, approvalFirst = 0.1, 0.45
	// namedSurplus is how much more room is named than should suffice: some is
	// taken before the answer.
	namedSurplus = 1.6
	// heldCall is the duration of a call up to which the room it asks about is
	// kept from less urgent work. Calls for gangs take over a second: the room
	// that they would keep idle is a fifth of the accelerators at 85% load, and
	// others end soon enough within the time for which the tickets are valid.
	heldCall = 400 * time.Millisecond
	// shortCall is the duration up to which a call counts as short: a target of
	// 300 ms bears a few of them.
	shortCall = 60 * time.Millisecond
	// shortPart is the part of the hosts, one in so many, that only makes short
	// calls.
	shortPart = 3
	// shortQueue is how many short calls a host may have in turn.
	shortQueue = 3
	// busyPause is how long a host is not asked that makes a long call for
	// another service.
	busyPause = 100 * time.Millisecond
)

// advice is what the policy service has said of a step.
type advice struct {
	tickets map[string]ticket
	// approved and denied do not change during a worker's life.
	approved map[string]bool
	asking   bool
	// held are the workers on which room is kept during the call that is made.
	held    []*node
	retryAt time.Time
}

type ticket struct {
	text  string
	until time.Time
}

// advisor is an entry host that calls the policy service for this scheduler.
// The service handles one call at a time for each host.
type advisor struct {
	calls       int
	pausedUntil time.Time
}

// permitted tells whether the step may be started on n now.
func (s *step) permitted(n *node, now time.Time) (ticket, bool) {
	if s.job.queue.Advice == nil {
		return ticket{}, true
	}
	t, ok := s.advice.tickets[n.entry.ID]
	return t, ok && now.Before(t.until)
}

// expired tells whether the ticket cannot be used any more.
func (t ticket) expired(now time.Time) bool {
	return t.text != "" && now.After(t.until.Add(ticketMargin))
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
	reserved := len(hosts) / shortPart
	limit := 1
	if expected <= shortCall {
		limit = shortQueue
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
		if a.calls < least && now.After(a.pausedUntil) {
			best, least = host, a.calls
		}
	}
	return best
}

// seekAdvice asks for tickets for the step if it could use some in the room
// that more urgent steps leave. eager asks for the first time although there is
// no room yet, so that room can be made where the step is allowed to run.
func (p *Pool) seekAdvice(s *step, remaining int, room *claims, eager bool, now time.Time) {
	a := &s.advice
	if a.asking {
		room.claim(s, a.held, remaining)
		return
	}
	if now.Before(a.retryAt) {
		return
	}
	names := p.nameWorkers(s, remaining, room, eager && len(a.approved) == 0, now)
	if len(names) == 0 {
		return
	}
	q := s.job.queue.Advice
	expected := q.Decide + time.Duration(len(names))*q.PerWorker
	var held []*node
	if expected <= heldCall {
		held = names
		room.claim(s, held, remaining)
	}
	host := p.pickAdvisor(expected, now)
	if host == "" {
		return
	}
	a.asking, a.held = true, held
	p.advisors[host].calls++
	ids := make([]string, len(names))
	for i, n := range names {
		ids[i] = n.entry.ID
	}
	go p.ask(s, host, ids, expected)
}

// nameWorkers returns the workers about which to ask, none if the answer could
// not be used now. Approvals do not change, so the first call names many
// workers at once and later ones only approved workers that have room.
func (p *Pool) nameWorkers(s *step, remaining int, room *claims, eager bool, now time.Time) []*node {
	if !eager && room.fullSoon(s) {
		return nil
	}
	var named, later []*node
	tasks, known := 0, 0
	for _, n := range room.nodes {
		if s.deniedOn(n) || !p.suits(s, n) {
			continue
		}
		fits := room.fitSoon(s, n)
		tasks += fits
		if _, valid := s.permitted(n, now); valid {
			continue
		}
		approved := s.advice.approved[n.entry.ID]
		switch {
		case approved && fits > 0:
			known++
			named = append(named, n)
		case !approved && fits > 0:
			named = append(named, n)
		case !approved:
			later = append(later, n)
		}
	}
	needed := 1
	if s.spec.Gang {
		needed = remaining
	}
	if tasks < needed && !eager || len(named)+len(later) == 0 || len(named) == 0 && !eager {
		return nil
	}
	p.sortByPreference(s, named)
	if known < len(named) || eager {
		// Others cost little beside the call, and are known from then on.
		p.sortByPreference(s, later)
		named = append(named, later...)
	}
	return named[:p.enough(s, named, remaining, room)]
}

// enough returns how many of the workers, best first, have to be named so that
// the approved ones should have room for the step's remaining tasks. Each one
// more makes the call longer, and in a large pool most are not needed.
func (p *Pool) enough(s *step, named []*node, remaining int, room *claims) int {
	share := p.approvalShare(s.job.queue.Name)
	expected, wanted := 0.0, namedSurplus*float64(remaining)
	for i, n := range named {
		if i >= minNamed && expected >= wanted || i == maxNamed {
			return i
		}
		odds := share
		if s.advice.approved[n.entry.ID] {
			odds = 1
		}
		expected += odds * float64(room.fitSoon(s, n))
	}
	return len(named)
}

// roomFor returns how many tasks of the step fit into what is free of n.
func (p *Pool) roomFor(s *step, n *node, free worker.Resources) int {
	need := s.need()
	room := s.spec.Count
	for _, d := range [][2]int64{{need.MilliCPU, free.MilliCPU}, {need.MemoryMiB, free.MemoryMiB}, {need.Accelerators, free.Accelerators}} {
		if d[0] > 0 {
			room = min(room, int(d[1]/d[0]))
		}
	}
	if s.spec.Filler && s.spec.MilliCPU > 0 {
		room = min(room, int((free.MilliCPU-n.fillers)/s.spec.MilliCPU))
	}
	if s.spec.MaxPerWorker > 0 {
		room = min(room, s.spec.MaxPerWorker-n.perStep[s])
	}
	return max(room, 0)
}

func (p *Pool) approvalShare(queue string) float64 {
	if share, ok := p.approvals[queue]; ok {
		return share
	}
	return approvalFirst
}

// ask makes one call through a host and takes in the answer.
func (p *Pool) ask(s *step, host string, names []string, expected time.Duration) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, expected+adviceSlack)
	approvals, valid, err := p.opts.Advise(ctx, host, s.name(), names, expected)
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	adv := p.advisors[host]
	adv.calls--
	s.advice.asking, s.advice.held = false, nil
	p.wake()
	if errors.Is(err, ErrAdvisorBusy) {
		adv.pausedUntil = now.Add(busyPause)
		return
	}
	if err != nil {
		if p.ctx.Err() == nil {
			p.log.Info("advice failed", "job", s.job.id, "step", s.name(), "host", host, "workers", len(names), "error", err.Error())
		}
		p.count("advice.failed")
		s.advice.retryAt = now.Add(adviceRetry)
		adv.pausedUntil = now.Add(advisorPause)
		return
	}
	p.count("advice.answered")
	if valid == 0 {
		valid = s.job.queue.Advice.Valid
	}
	p.takeAdvice(s, names, approvals, now.Add(valid-ticketMargin))
	p.log.Info("advice", "job", s.job.id, "step", s.name(), "host", host, "workers", len(names), "approved", len(approvals), "took_ms", now.Sub(begin).Milliseconds())
}

func (p *Pool) takeAdvice(s *step, names []string, approvals []cell.Approval, until time.Time) {
	a := &s.advice
	if a.tickets == nil {
		a.tickets, a.approved = make(map[string]ticket), make(map[string]bool)
	}
	fresh := 0
	for _, name := range names {
		if _, known := a.approved[name]; !known {
			fresh++
			a.approved[name] = false
		}
	}
	approvedFresh := 0
	for _, approval := range approvals {
		if !slices.Contains(names, approval.Worker) {
			continue
		}
		if !a.approved[approval.Worker] {
			approvedFresh++
		}
		a.approved[approval.Worker] = true
		a.tickets[approval.Worker] = ticket{approval.Ticket, until}
	}
	if fresh > 0 {
		queue := s.job.queue.Name
		share := p.approvalShare(queue)
		share += approvalWeight * (float64(approvedFresh)/float64(fresh) - share)
		p.approvals[queue] = math.Max(share, 0.1)
	}
}
