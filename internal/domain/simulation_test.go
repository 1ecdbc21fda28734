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

// step is the resolution of the simulated time.
const step = 20 * time.Millisecond

// event is a function that runs on a host at a certain time or, if the host is
// paused then, when it resumes.
type event struct {
	at  time.Time
	run func()
}

// simulatedHost is one simulated entry host. It handles no events while it is paused.
type simulatedHost struct {
	name       string
	membership *Membership
	// up is false after the process was killed.
	up     bool
	paused bool
	events []event
	// lastSentAt is when the last heartbeat to each peer was sent, and awaitingReply
	// is set while it has neither been answered nor failed.
	lastSentAt    map[string]time.Time
	awaitingReply map[string]bool
	records       map[string]bool
	// horizon is the time up to which the host may lack records of requests. It acts
	// as record keeper only for requests that were created after it.
	horizon time.Time
}

// simulation runs the hosts of one failure domain in steps of simulated time. Hosts
// lose their records when they are killed and copy the records of their peers when
// they join.
type simulation struct {
	now   time.Time
	hosts []*simulatedHost
	rand  *rand.Rand
	// ranOn holds the hosts on which each request ran.
	ranOn     map[string][]string
	createdAt map[string]time.Time
}

func newSimulation(hosts int, seed uint64) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		ranOn: make(map[string][]string), createdAt: make(map[string]time.Time),
	}
	for i := range hosts {
		s.hosts = append(s.hosts, &simulatedHost{name: fmt.Sprintf("h%d", i)})
	}
	for _, h := range s.hosts {
		s.start(h)
	}
	return s
}

func (s *simulation) topology(self string) Topology {
	t := Topology{Self: self}
	for _, h := range s.hosts {
		t.Hosts = append(t.Hosts, Host{Name: h.name, Region: "r", FailureDomain: "d"})
	}
	return t
}

func (s *simulation) start(h *simulatedHost) {
	m, err := NewMembership(Options{
		Topology: s.topology(h.name), Incarnation: s.now.UnixNano(), Now: func() time.Time { return s.now },
	})
	if err != nil {
		panic(err)
	}
	*h = simulatedHost{name: h.name, membership: m, up: true, lastSentAt: map[string]time.Time{}, awaitingReply: map[string]bool{}, records: map[string]bool{}}
}

func (s *simulation) kill(h *simulatedHost) { *h = simulatedHost{name: h.name} }

// deliver runs f on h after a random delay, unless h is killed before.
func (s *simulation) deliver(h *simulatedHost, f func()) {
	h.events = append(h.events, event{s.now.Add(time.Duration(s.rand.IntN(3)) * step), f})
}

// sendHeartbeat sends a heartbeat from h to p. A paused receiver handles it when it
// resumes, possibly long after the sender's timeout.
func (s *simulation) sendHeartbeat(h, p *simulatedHost) {
	h.lastSentAt[p.name], h.awaitingReply[p.name] = s.now, true
	sentAt, m, beat, done := s.now, h.membership, h.membership.Heartbeat(), false
	finish := func(f func()) func() {
		return func() {
			if h.membership == m && !done {
				done, h.awaitingReply[p.name] = true, false
				f()
			}
		}
	}
	fail := finish(func() { h.membership.HandleHeartbeatFailure(p.name, sentAt, nil) })
	if !p.up {
		s.deliver(h, fail)
		return
	}
	h.events = append(h.events, event{s.now.Add(200 * time.Millisecond), fail})
	s.deliver(p, func() {
		reply := p.membership.HandleHeartbeat(beat)
		s.deliver(h, finish(func() { h.membership.HandleHeartbeatReply(p.name, sentAt, reply) }))
	})
}

// tryRequest makes h act as record keeper of an ID of which it has no record, if
// its Membership permits that.
func (s *simulation) tryRequest(h *simulatedHost, id string) {
	if h.membership.CheckKeeper(id) != nil || h.records[id] || !h.horizon.Before(s.createdAt[id]) {
		return
	}
	h.records[id] = true
	backups, m := h.membership.Backups(), h.membership
	pendingAcks := len(backups)
	finish := func() {
		if h.membership == m && h.membership.CheckKeeper(id) == nil {
			s.ranOn[id] = append(s.ranOn[id], h.name)
		}
	}
	if pendingAcks == 0 {
		finish()
	}
	for _, p := range s.hosts {
		if slices.Contains(backups, p.name) && p.up {
			s.deliver(p, func() {
				if !p.membership.AcceptsKeeper(id, h.name) {
					return
				}
				p.records[id] = true
				if pendingAcks--; pendingAcks == 0 {
					s.deliver(h, finish)
				}
			})
		}
	}
}

// join copies the records of all peers to h when they have acknowledged its join.
func (s *simulation) join(h *simulatedHost) {
	if h.membership.State() != rpc.HostState_HOST_STATE_JOINING || !h.membership.peersAcknowledgedJoin() {
		return
	}
	h.horizon = s.now
	for _, p := range s.hosts {
		if !slices.Contains(h.membership.Backups(), p.name) {
			continue
		}
		if !p.up || p.paused {
			return
		}
		for id := range p.records {
			h.records[id] = true
		}
		if p.membership.State() == rpc.HostState_HOST_STATE_LIVE && p.horizon.Before(h.horizon) {
			h.horizon = p.horizon
		}
	}
	s.deliver(h, func() { h.membership.SetLive() })
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		for _, h := range s.hosts {
			if !h.up || h.paused {
				continue
			}
			h.membership.Tick()
			due := h.events
			h.events = nil
			for _, e := range due {
				if e.at.After(s.now) {
					h.events = append(h.events, e)
				} else {
					e.run()
				}
			}
			s.join(h)
			for _, p := range s.hosts {
				if p != h && !h.awaitingReply[p.name] && s.now.Sub(h.lastSentAt[p.name]) >= 100*time.Millisecond {
					s.sendHeartbeat(h, p)
				}
			}
			if s.rand.IntN(4) == 0 {
				id := fmt.Sprintf("id%d", len(s.createdAt))
				s.createdAt[id] = s.now
			}
			for k := range 8 {
				if i := len(s.createdAt) - 1 - k*k; i >= 0 {
					s.tryRequest(h, fmt.Sprintf("id%d", i))
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
			h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
			switch {
			case h.up && rapid.IntRange(0, 3).Draw(t, "kind") == 0:
				s.kill(h)
			case !h.up:
				s.start(h)
			default:
				h.paused = !h.paused
			}
			s.run(time.Duration(rapid.IntRange(1, 90).Draw(t, "steps")) * step)
		}
		for _, h := range s.hosts {
			h.paused = false
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
func TestKeeperTakeoverTime(t *testing.T) {
	for name, tc := range map[string]struct {
		fault    func(s *simulation, h *simulatedHost)
		min, max time.Duration
	}{
		"crash":                  {func(s *simulation, h *simulatedHost) { s.kill(h) }, 1000 * time.Millisecond, 1400 * time.Millisecond},
		"pause":                  {func(_ *simulation, h *simulatedHost) { h.paused = true }, 1000 * time.Millisecond, 1700 * time.Millisecond},
		"planned stop":           {func(_ *simulation, h *simulatedHost) { h.membership.Leave() }, 0, 200 * time.Millisecond},
		"restart with same name": {func(s *simulation, h *simulatedHost) { s.kill(h); s.run(40 * time.Millisecond); s.start(h) }, 0, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(3, 1)
			s.run(3 * time.Second)
			gone, rest := s.hosts[0], s.hosts[1:]
			id := ""
			for i := 0; rest[0].membership.Keeper(id) != gone.name; i++ {
				id = fmt.Sprintf("key%d", i)
			}
			tc.fault(s, gone)
			start := s.now
			for !slices.ContainsFunc(rest, func(h *simulatedHost) bool { return h.membership.CheckKeeper(id) == nil }) {
				s.run(step)
				require.Less(t, s.now.Sub(start), 3*time.Second)
			}
			t.Logf("no keeper for %s", s.now.Sub(start))
			require.GreaterOrEqual(t, s.now.Sub(start), tc.min)
			require.LessOrEqual(t, s.now.Sub(start), tc.max)
		})
	}
}
