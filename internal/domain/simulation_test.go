package domain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

const step = 20 * time.Millisecond

// event is a function that runs on a host at a certain time or, if the host is
// paused then, when it resumes.
type event struct {
	at  time.Time
	run func()
}

// node is one simulated entry host. A paused node handles no events.
type node struct {
	name       string
	membership *Membership
	// up is false after the process was killed.
	up        bool
	paused    bool
	events    []event
	lastProbe map[string]time.Time
	probing   map[string]bool
	records   map[string]bool
	// horizon is the time up to which the host may lack records of requests. It acts
	// as record keeper only for requests that were created after it.
	horizon time.Time
}

// simulation runs the hosts of one failure domain in steps of simulated time. Hosts
// lose their records when they are killed and copy the records of their peers when
// they join.
type simulation struct {
	now       time.Time
	nodes     []*node
	rand      *rand.Rand
	ranOn     map[string][]string
	createdAt map[string]time.Time
}

func newSimulation(hosts int, seed uint64) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		ranOn: make(map[string][]string), createdAt: make(map[string]time.Time),
	}
	for i := range hosts {
		s.nodes = append(s.nodes, &node{name: fmt.Sprintf("h%d", i)})
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func (s *simulation) topology(self string) Topology {
	t := Topology{Self: self}
	for _, n := range s.nodes {
		t.Hosts = append(t.Hosts, Host{Name: n.name, Region: "r", FailureDomain: "d"})
	}
	return t
}

func (s *simulation) start(n *node) {
	m, err := NewMembership(Options{
		Topology: s.topology(n.name), Incarnation: s.now.UnixNano(), Now: func() time.Time { return s.now },
	})
	if err != nil {
		panic(err)
	}
	*n = node{name: n.name, membership: m, up: true, lastProbe: map[string]time.Time{}, probing: map[string]bool{}, records: map[string]bool{}}
}

func (s *simulation) kill(n *node) { *n = node{name: n.name} }

// deliver runs f on n after a random delay, unless n is killed before.
func (s *simulation) deliver(n *node, f func()) {
	n.events = append(n.events, event{s.now.Add(time.Duration(s.rand.IntN(3)) * step), f})
}

// probe sends a heartbeat from n to p. A paused receiver handles it when it
// resumes, possibly long after the sender's timeout.
func (s *simulation) probe(n, p *node) {
	n.lastProbe[p.name], n.probing[p.name] = s.now, true
	sentAt, m, beat, done := s.now, n.membership, n.membership.Heartbeat(), false
	finish := func(f func()) func() {
		return func() {
			if n.membership == m && !done {
				done, n.probing[p.name] = true, false
				f()
			}
		}
	}
	fail := finish(func() { n.membership.HandleHeartbeatFailure(p.name, sentAt, nil) })
	if !p.up {
		s.deliver(n, fail)
		return
	}
	n.events = append(n.events, event{s.now.Add(200 * time.Millisecond), fail})
	s.deliver(p, func() {
		reply := p.membership.HandleHeartbeat(beat)
		s.deliver(n, finish(func() { n.membership.HandleHeartbeatReply(p.name, sentAt, reply) }))
	})
}

// tryRequest makes n act as record keeper of an ID of which it has no record, if
// its Membership permits that.
func (s *simulation) tryRequest(n *node, id string) {
	if n.membership.CheckKeeper(id) != nil || n.records[id] || !n.horizon.Before(s.createdAt[id]) {
		return
	}
	n.records[id] = true
	backups, m := n.membership.Backups(), n.membership
	pendingAcks := len(backups)
	finish := func() {
		if n.membership == m && n.membership.CheckKeeper(id) == nil {
			s.ranOn[id] = append(s.ranOn[id], n.name)
		}
	}
	if pendingAcks == 0 {
		finish()
	}
	for _, p := range s.nodes {
		if slices.Contains(backups, p.name) && p.up {
			s.deliver(p, func() {
				if !p.membership.AcceptsKeeper(id, n.name) {
					return
				}
				p.records[id] = true
				if pendingAcks--; pendingAcks == 0 {
					s.deliver(n, finish)
				}
			})
		}
	}
}

// join copies the records of all peers to n when they have acknowledged its join.
func (s *simulation) join(n *node) {
	if n.membership.State() != rpc.HostState_HOST_STATE_JOINING || !n.membership.peersAcknowledgedJoin() {
		return
	}
	n.horizon = s.now
	for _, p := range s.nodes {
		if !slices.Contains(n.membership.Backups(), p.name) {
			continue
		}
		if !p.up || p.paused {
			return
		}
		for id := range p.records {
			n.records[id] = true
		}
		if p.membership.State() == rpc.HostState_HOST_STATE_LIVE && p.horizon.Before(n.horizon) {
			n.horizon = p.horizon
		}
	}
	s.deliver(n, func() { n.membership.SetLive() })
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		for _, n := range s.nodes {
			if !n.up || n.paused {
				continue
			}
			n.membership.Tick()
			due := n.events
			n.events = nil
			for _, e := range due {
				if e.at.After(s.now) {
					n.events = append(n.events, e)
				} else {
					e.run()
				}
			}
			s.join(n)
			for _, p := range s.nodes {
				if p != n && !n.probing[p.name] && s.now.Sub(n.lastProbe[p.name]) >= 100*time.Millisecond {
					s.probe(n, p)
				}
			}
			if s.rand.IntN(4) == 0 {
				id := fmt.Sprintf("id%d", len(s.createdAt))
				s.createdAt[id] = s.now
			}
			for k := range 8 {
				if i := len(s.createdAt) - 1 - k*k; i >= 0 {
					s.tryRequest(n, fmt.Sprintf("id%d", i))
				}
			}
		}
	}
}

// Guards against a request that runs twice because two hosts act as its record
// keeper, under random crashes, restarts, pauses and combinations of them.
func TestNoRequestRunsTwice(t *testing.T) {
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(2, 4).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"))
		s.run(2 * time.Second)
		for range rapid.IntRange(1, 20).Draw(t, "faults") {
			n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "host")]
			switch {
			case n.up && rapid.IntRange(0, 3).Draw(t, "kind") == 0:
				s.kill(n)
			case !n.up:
				s.start(n)
			default:
				n.paused = !n.paused
			}
			s.run(time.Duration(rapid.IntRange(1, 90).Draw(t, "steps")) * step)
		}
		for _, n := range s.nodes {
			n.paused = false
		}
		s.run(2 * time.Second)
		for id, hosts := range s.ranOn {
			if len(hosts) > 1 {
				t.Fatalf("request %s ran on %v", id, hosts)
			}
		}
		ran += len(s.ranOn)
	})
	require.Greater(t, ran, 1000, "the simulations ran too few requests to be conclusive")
}

// Guards against a takeover that happens too early, too late or never, and against
// a planned stop that interrupts the other hosts.
func TestTimeWithoutKeeper(t *testing.T) {
	for name, tc := range map[string]struct {
		fault    func(s *simulation, n *node)
		min, max time.Duration
	}{
		"death":                  {func(s *simulation, n *node) { s.kill(n) }, 1000 * time.Millisecond, 1400 * time.Millisecond},
		"pause":                  {func(_ *simulation, n *node) { n.paused = true }, 1000 * time.Millisecond, 1700 * time.Millisecond},
		"planned stop":           {func(_ *simulation, n *node) { n.membership.Leave() }, 0, 200 * time.Millisecond},
		"restart with same name": {func(s *simulation, n *node) { s.kill(n); s.run(40 * time.Millisecond); s.start(n) }, 0, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(3, 1)
			s.run(3 * time.Second)
			gone, rest := s.nodes[0], s.nodes[1:]
			id := ""
			for i := 0; rest[0].membership.Keeper(id) != gone.name; i++ {
				id = fmt.Sprintf("key%d", i)
			}
			tc.fault(s, gone)
			start := s.now
			for !slices.ContainsFunc(rest, func(n *node) bool { return n.membership.CheckKeeper(id) == nil }) {
				s.run(step)
				require.Less(t, s.now.Sub(start), 3*time.Second)
			}
			t.Logf("no keeper for %s", s.now.Sub(start))
			require.GreaterOrEqual(t, s.now.Sub(start), tc.min)
			require.LessOrEqual(t, s.now.Sub(start), tc.max)
		})
	}
}
