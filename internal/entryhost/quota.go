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

// teamUsage is a team's use and demand on this host.
type teamUsage struct {
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

	mu           sync.Mutex
	lentTo       map[string]map[string]*grant // team, peer
	borrowedFrom map[string]map[string]*grant
	demand       map[string]map[string]int // team, peer: queued work
}

type grant struct {
	slots   int
	expires time.Time
}

// newQuotaBroker returns a broker for the host with the given index among the
// sorted names of all entry hosts.
func newQuotaBroker(hosts, index int, now func() time.Time) *quotaBroker {
	return &quotaBroker{
		hosts:        hosts,
		index:        index,
		now:          now,
		lentTo:       make(map[string]map[string]*grant),
		borrowedFrom: make(map[string]map[string]*grant),
		demand:       make(map[string]map[string]int),
	}
}

// baseShare returns this host's own part of a quota. The parts of all hosts add up
// to the quota.
func (b *quotaBroker) baseShare(quota int) int {
	share := quota / b.hosts
	if b.index < quota%b.hosts {
		share++
	}
	return share
}

// localShare returns what a team may run on this host now.
func (b *quotaBroker) localShare(team string, quota int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.localShareLocked(team, quota)
}

func (b *quotaBroker) localShareLocked(team string, quota int) int {
	share := b.baseShare(quota)
	now := b.now()
	for peer, g := range b.lentTo[team] {
		if now.After(g.expires) {
			delete(b.lentTo[team], peer)
			continue
		}
		share -= g.slots
	}
	for peer, g := range b.borrowedFrom[team] {
		if now.After(g.expires) {
			delete(b.borrowedFrom[team], peer)
			continue
		}
		share += g.slots
	}
	return max(0, share)
}

// lentAndBorrowed returns the slots of all teams that are lent to peers and borrowed from
// them.
func (b *quotaBroker) lentAndBorrowed() (lent, borrowed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sumUnexpired(b.lentTo), b.sumUnexpired(b.borrowedFrom)
}

func (b *quotaBroker) sumUnexpired(grants map[string]map[string]*grant) int {
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

// teamDemands returns the demand entries for a heartbeat to peer: own use and
// demand, and the grants to that peer, which it confirms for another grantTTL.
func (b *quotaBroker) teamDemands(peer string, usage map[string]teamUsage, quota func(team string) int) []*rpc.TeamDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []*rpc.TeamDemand
	for team, u := range usage {
		if u.queued > 0 || u.running > b.baseShare(quota(team)) {
			out = append(out, &rpc.TeamDemand{Team: team, Running: uint32(u.running), Queued: uint32(u.queued)})
		}
	}
	for team, peers := range b.demand {
		demanded := peers[peer]
		if demanded == 0 && b.lentTo[team][peer] == nil {
			continue
		}
		slots := b.updateGrant(team, peer, demanded, usage[team], quota(team), now)
		if slots == 0 {
			continue
		}
		out = append(out, &rpc.TeamDemand{Team: team, Granted: uint32(slots)})
	}
	return out
}

// updateGrant returns the grant to peer after the current demand. It only lends what
// this host leaves unused, and a smaller grant frees its slots here only after
// the receiver's right to the larger one has expired.
func (b *quotaBroker) updateGrant(team, peer string, demanded int, usage teamUsage, quota int, now time.Time) int {
	g := b.lentTo[team][peer]
	if g != nil && now.After(g.expires) {
		delete(b.lentTo[team], peer)
		g = nil
	}
	if demanded == 0 {
		return 0
	}
	// Half of the base part is never lent: new work of this host would
	// otherwise wait until the grants have expired.
	spare := b.baseShare(quota) - max(usage.running+usage.queued, (b.baseShare(quota)+1)/2)
	for other, otherGrant := range b.lentTo[team] {
		if other != peer {
			spare -= otherGrant.slots
		}
	}
	// The receiver has a base part of about the same size.
	slots := max(0, min(demanded-b.baseShare(quota), spare))
	if g != nil && slots < g.slots {
		// The larger grant is not confirmed any more and expires.
		return 0
	}
	if slots == 0 {
		return 0
	}
	if b.lentTo[team] == nil {
		b.lentTo[team] = make(map[string]*grant)
	}
	b.lentTo[team][peer] = &grant{slots: slots, expires: now.Add(2 * grantTTL)}
	return slots
}

// observe takes a peer's demand and grants from a heartbeat that was sent at
// sentAt at the earliest, by the local clock.
func (b *quotaBroker) observe(peer string, entries []*rpc.TeamDemand, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for team := range b.demand {
		delete(b.demand[team], peer)
		if len(b.demand[team]) == 0 && len(b.lentTo[team]) == 0 {
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
			if b.borrowedFrom[e.Team] == nil {
				b.borrowedFrom[e.Team] = make(map[string]*grant)
			}
			b.borrowedFrom[e.Team][peer] = &grant{slots: int(e.Granted), expires: sentAt.Add(grantTTL)}
		}
	}
}
