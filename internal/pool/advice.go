package pool

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

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
	// minNamed is the least number of workers named, if there are as many: one
	// more costs little beside the call.
	minNamed = 4
	// approvalWeight is the weight of the newest answer in the learned share of
	// workers that a queue's policy approves, and approvalFirst its first value.
	approvalWeight, approvalFirst = 0.1, 0.45
	// namedSurplus is how many more workers are named than should suffice.
	namedSurplus = 1.3
)

// advice is what the policy service has said of a step.
type advice struct {
	tickets map[string]ticket
	// approved and denied do not change during a worker's life.
	approved map[string]bool
	asking   bool
	retryAt  time.Time
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
func (s *step) permitted(n *node, now time.Time) (string, bool) {
	if s.job.queue.Advice == nil {
		return "", true
	}
	t, ok := s.advice.tickets[n.entry.ID]
	return t.text, ok && now.Before(t.until)
}

// deniedOn tells whether the policy does not allow the step on n.
func (s *step) deniedOn(n *node) bool {
	approved, known := s.advice.approved[n.entry.ID]
	return known && !approved
}

// pickAdvisor returns the host with the fewest calls, empty if all are busy.
func (p *Pool) pickAdvisor(now time.Time) string {
	best, least := "", 1
	for _, host := range p.opts.Hosts() {
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

// seekAdvice asks for tickets for the step if it could use some. It returns
// false if no host is free to ask.
func (p *Pool) seekAdvice(s *step, remaining int, now time.Time) bool {
	a := &s.advice
	if a.asking || now.Before(a.retryAt) {
		return true
	}
	names := p.nameWorkers(s, remaining, now)
	if len(names) == 0 {
		return true
	}
	host := p.pickAdvisor(now)
	if host == "" {
		return false
	}
	a.asking = true
	p.advisors[host].calls++
	go p.ask(s, host, names)
	return true
}

// nameWorkers returns the workers about which to ask: those with room for the
// step, best first, as many as should yield room for its remaining tasks.
func (p *Pool) nameWorkers(s *step, remaining int, now time.Time) []string {
	var candidates []*node
	for _, n := range p.nodes {
		if _, ok := s.permitted(n, now); ok || s.deniedOn(n) || !n.usable(now) || !p.suits(s, n) {
			continue
		}
		if p.fits(s, n, s.need()) {
			candidates = append(candidates, n)
		}
	}
	p.sortByPreference(s, candidates)
	share := p.approvalShare(s.job.queue.Name)
	wanted, names := float64(remaining), []string(nil)
	for _, n := range candidates {
		if len(names) == maxNamed || wanted <= 0 && len(names) >= minNamed {
			break
		}
		names = append(names, n.entry.ID)
		odds := share
		if s.advice.approved[n.entry.ID] {
			odds = 1
		}
		wanted -= odds * float64(p.roomFor(s, n)) / namedSurplus
	}
	return names
}

// roomFor returns how many tasks of the step fit on n.
func (p *Pool) roomFor(s *step, n *node) int {
	need, free := s.need(), n.free()
	room := s.spec.Count
	for _, d := range [][2]int64{{need.MilliCPU, free.MilliCPU}, {need.MemoryMiB, free.MemoryMiB}, {need.Accelerators, free.Accelerators}} {
		if d[0] > 0 {
			room = min(room, int(d[1]/d[0]))
		}
	}
	if s.spec.MaxPerWorker > 0 {
		room = min(room, s.spec.MaxPerWorker-n.perStep(s))
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
func (p *Pool) ask(s *step, host string, names []string) {
	begin := time.Now()
	expected := s.job.queue.Advice.Decide + time.Duration(len(names))*s.job.queue.Advice.PerWorker
	ctx, cancel := context.WithTimeout(p.ctx, expected+adviceSlack)
	approvals, valid, err := p.opts.Advise(ctx, host, s.name(), names)
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	adv := p.advisors[host]
	adv.calls--
	s.advice.asking = false
	p.wake()
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
