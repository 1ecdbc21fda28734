package entryhost

import (
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// grantTTL is how long a host may use a borrowed share of a quota without another
// heartbeat that confirms the grant. The lender waits twice as long before it
// uses the slots of a withdrawn grant again, so that the sum of all shares never
// exceeds the quota as long as clocks run at about the same rate.
const grantTTL = 3 * time.Second

// teamUsage is the running and queued work of a team on this host.
type teamUsage struct {
	running int
	queued  int
}

// quotaBroker divides each team's quota among the entry hosts. Each host starts
// with an equal base share and lends what it does not use to hosts with queued
// work. Demand and grants travel in the heartbeats that are sent anyway.
type quotaBroker struct {
	hosts int
	index int
	now   func() time.Time

	mu           sync.Mutex
	lentTo       map[string]map[string]*grant // by team and peer
	borrowedFrom map[string]map[string]*grant
	demand       map[string]map[string]int // running and queued work of peers, by team and peer
}

// grant is a number of slots that one host lends to another until it expires.
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

// baseShare returns this host's share of a quota before lending. The base shares of
// all hosts add up to the quota.
func (b *quotaBroker) baseShare(quota int) int {
	share := quota / b.hosts
	if b.index < quota%b.hosts {
		share++
	}
	return share
}

// localShare returns the number of slots that a team may use on this host now.
func (b *quotaBroker) localShare(team string, quota int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.localShareLocked(team, quota)
}

// localShareLocked is localShare for callers that hold b.mu. It drops expired
// grants.
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

// lentAndBorrowed returns the number of slots of all teams that are lent to peers
// and the number that are borrowed from them.
func (b *quotaBroker) lentAndBorrowed() (lent, borrowed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sumUnexpired(b.lentTo), b.sumUnexpired(b.borrowedFrom)
}

// sumUnexpired returns the number of slots in the grants that have not expired.
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

// teamDemands returns the entries for a heartbeat to peer: the running and queued
// work of each team that has work queued or uses more than its base share, and the
// grants to that peer, which the heartbeat confirms for another grantTTL.
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

// updateGrant updates the grant to peer according to its demand and returns the
// number of slots to confirm. It lends only what this host leaves unused. A grant
// is not reduced before it has expired: it is no longer confirmed, and the borrower
// may use its slots until then.
func (b *quotaBroker) updateGrant(team, peer string, demanded int, usage teamUsage, quota int, now time.Time) int {
	g := b.lentTo[team][peer]
	if g != nil && now.After(g.expires) {
		delete(b.lentTo[team], peer)
		g = nil
	}
	if demanded == 0 {
		return 0
	}
	// Half of the base share is never lent, because new work on this host would
	// otherwise wait until the grants have expired.
	spare := b.baseShare(quota) - max(usage.running+usage.queued, (b.baseShare(quota)+1)/2)
	for other, otherGrant := range b.lentTo[team] {
		if other != peer {
			spare -= otherGrant.slots
		}
	}
	// The borrower's base share is about as large as this host's.
	slots := max(0, min(demanded-b.baseShare(quota), spare))
	if g != nil && slots < g.slots {
		// The larger grant is no longer confirmed and expires.
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

// observe stores a peer's demand and grants from a heartbeat that was received at
// receivedAt, by the local clock.
func (b *quotaBroker) observe(peer string, entries []*rpc.TeamDemand, receivedAt time.Time) {
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
			b.borrowedFrom[e.Team][peer] = &grant{slots: int(e.Granted), expires: receivedAt.Add(grantTTL)}
		}
	}
}
