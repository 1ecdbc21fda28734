package entryhost

import (
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// grantTTL is how long a received part of a quota may be used without being
// confirmed by another heartbeat. The giver waits twice as long before it uses
// a withdrawn grant again, so that the sum of all parts never exceeds the
// quota while clocks run at about the same rate.
const grantTTL = 3 * time.Second

// teamUse is a team's use and demand on this host.
type teamUse struct {
	running int
	queued  int
}

// quotaBroker divides each team's quota between entry hosts. Each host starts
// from an equal base part and lends what it does not use to hosts with queued
// work, by the heartbeats that are sent anyway.
type quotaBroker struct {
	hosts int
	index int
	now   func() time.Time

	mu       sync.Mutex
	given    map[string]map[string]*grant // team, peer
	received map[string]map[string]*grant
	demand   map[string]map[string]int // team, peer: queued work
}

type grant struct {
	slots   int
	expires time.Time
}

// newQuotaBroker returns a broker for the host with the given index among the
// sorted names of all entry hosts.
func newQuotaBroker(hosts, index int, now func() time.Time) *quotaBroker {
	return &quotaBroker{
		hosts:    hosts,
		index:    index,
		now:      now,
		given:    make(map[string]map[string]*grant),
		received: make(map[string]map[string]*grant),
		demand:   make(map[string]map[string]int),
	}
}

// base returns this host's own part of a quota. The parts of all hosts add up
// to the quota.
func (b *quotaBroker) base(quota int) int {
	part := quota / b.hosts
	if b.index < quota%b.hosts {
		part++
	}
	return part
}

// part returns what a team may run on this host now.
func (b *quotaBroker) part(team string, quota int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.partLocked(team, quota)
}

func (b *quotaBroker) partLocked(team string, quota int) int {
	part := b.base(quota)
	now := b.now()
	for peer, g := range b.given[team] {
		if now.After(g.expires) {
			delete(b.given[team], peer)
			continue
		}
		part -= g.slots
	}
	for peer, g := range b.received[team] {
		if now.After(g.expires) {
			delete(b.received[team], peer)
			continue
		}
		part += g.slots
	}
	return max(0, part)
}

// lent returns the slots of all teams that are lent to peers and borrowed from
// them.
func (b *quotaBroker) lent() (given, received int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum(b.given), b.sum(b.received)
}

func (b *quotaBroker) sum(grants map[string]map[string]*grant) int {
	slots := 0
	for _, peers := range grants {
		for _, g := range peers {
			if !b.now().After(g.expires) {
				slots += g.slots
			}
		}
	}
	return slots
}

// offer returns the demand entries for a heartbeat to peer: own use and
// demand, and the grants to that peer, which it confirms for another grantTTL.
func (b *quotaBroker) offer(peer string, use map[string]teamUse, quota func(team string) int) []*rpc.TeamDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []*rpc.TeamDemand
	for team, u := range use {
		if u.queued > 0 || u.running > b.base(quota(team)) {
			out = append(out, &rpc.TeamDemand{Team: team, Running: uint32(u.running), Queued: uint32(u.queued)})
		}
	}
	for team, peers := range b.demand {
		wanted := peers[peer]
		if wanted == 0 && b.given[team][peer] == nil {
			continue
		}
		slots := b.lend(team, peer, wanted, use[team], quota(team), now)
		if slots == 0 {
			continue
		}
		out = append(out, &rpc.TeamDemand{Team: team, Granted: uint32(slots)})
	}
	return out
}

// lend returns the grant to peer after the current demand. It only lends what
// this host leaves unused, and a smaller grant frees its slots here only after
// the receiver's right to the larger one has expired.
func (b *quotaBroker) lend(team, peer string, wanted int, use teamUse, quota int, now time.Time) int {
	g := b.given[team][peer]
	if g != nil && now.After(g.expires) {
		delete(b.given[team], peer)
		g = nil
	}
	if wanted == 0 {
		return 0
	}
	// Half of the base part is never lent: new work of this host would
	// otherwise wait until the grants have expired.
	spare := b.base(quota) - max(use.running+use.queued, (b.base(quota)+1)/2)
	for other, o := range b.given[team] {
		if other != peer {
			spare -= o.slots
		}
	}
	// The receiver has a base part of about the same size.
	slots := max(0, min(wanted-b.base(quota), spare))
	if g != nil && slots < g.slots {
		// The larger grant is not confirmed any more and expires.
		return 0
	}
	if slots == 0 {
		return 0
	}
	if b.given[team] == nil {
		b.given[team] = make(map[string]*grant)
	}
	b.given[team][peer] = &grant{slots: slots, expires: now.Add(2 * grantTTL)}
	return slots
}

// observe takes a peer's demand and grants from a heartbeat that was sent at
// sentAt at the earliest, by the local clock.
func (b *quotaBroker) observe(peer string, entries []*rpc.TeamDemand, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for team := range b.demand {
		delete(b.demand[team], peer)
		if len(b.demand[team]) == 0 && len(b.given[team]) == 0 {
			delete(b.demand, team)
		}
	}
	for _, e := range entries {
		if e.Queued > 0 || e.Running > 0 {
			if b.demand[e.Team] == nil {
				b.demand[e.Team] = make(map[string]int)
			}
			b.demand[e.Team][peer] = int(e.Queued) + int(e.Running)
		}
		if e.Granted > 0 {
			if b.received[e.Team] == nil {
				b.received[e.Team] = make(map[string]*grant)
			}
			b.received[e.Team][peer] = &grant{slots: int(e.Granted), expires: sentAt.Add(grantTTL)}
		}
	}
}
