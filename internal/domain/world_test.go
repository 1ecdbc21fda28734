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

// event is something that reaches a host after a delay, or once it runs again.
type event struct {
	due time.Time
	run func()
}

// node is one entry host of a world. A paused node handles nothing.
type node struct {
	name    string
	m       *Membership
	up      bool
	paused  bool
	queue   []event
	sent    map[string]time.Time
	busy    map[string]bool
	records map[string]bool
	horizon time.Time
}

// world runs the hosts of one failure domain step by step. Hosts lose their
// records when they die and copy those of their peers when they join.
type world struct {
	now   time.Time
	nodes []*node
	rand  *rand.Rand
	ran   map[string][]string
	born  map[string]time.Time
}

func newWorld(hosts int, seed uint64) *world {
	w := &world{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		ran: make(map[string][]string), born: make(map[string]time.Time),
	}
	for i := range hosts {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("h%d", i)})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

func (w *world) topology(self string) Topology {
	t := Topology{Self: self}
	for _, n := range w.nodes {
		t.Hosts = append(t.Hosts, Host{Name: n.name, Region: "r", FailureDomain: "d"})
	}
	return t
}

func (w *world) start(n *node) {
	m, err := NewMembership(Options{
		Topology: w.topology(n.name), Incarnation: w.now.UnixNano(), Now: func() time.Time { return w.now },
	})
	if err != nil {
		panic(err)
	}
	*n = node{name: n.name, m: m, up: true, sent: map[string]time.Time{}, busy: map[string]bool{}, records: map[string]bool{}}
}

func (w *world) kill(n *node) { *n = node{name: n.name} }

// deliver runs f on n after a random delay unless n dies before.
func (w *world) deliver(n *node, f func()) {
	n.queue = append(n.queue, event{w.now.Add(time.Duration(w.rand.IntN(3)) * step), f})
}

// probe sends a beat. A paused receiver handles it when it runs again, long
// after the sender has given up.
func (w *world) probe(n, p *node) {
	n.sent[p.name], n.busy[p.name] = w.now, true
	sentAt, m, beat, done := w.now, n.m, n.m.Heartbeat(), false
	finish := func(f func()) func() {
		return func() {
			if n.m == m && !done {
				done, n.busy[p.name] = true, false
				f()
			}
		}
	}
	fail := finish(func() { n.m.HandleHeartbeatFailure(p.name, sentAt, nil) })
	if !p.up {
		w.deliver(n, fail)
		return
	}
	n.queue = append(n.queue, event{w.now.Add(200 * time.Millisecond), fail})
	w.deliver(p, func() {
		reply := p.m.HandleHeartbeat(beat)
		w.deliver(n, finish(func() { n.m.HandleHeartbeatReply(p.name, sentAt, reply) }))
	})
}

// try lets n act as record keeper of an ID that it has no record of.
func (w *world) try(n *node, id string) {
	if n.m.CheckKeeper(id) != nil || n.records[id] || !n.horizon.Before(w.born[id]) {
		return
	}
	n.records[id] = true
	backups, m := n.m.Backups(), n.m
	left := len(backups)
	finish := func() {
		if n.m == m && n.m.CheckKeeper(id) == nil {
			w.ran[id] = append(w.ran[id], n.name)
		}
	}
	if left == 0 {
		finish()
	}
	for _, p := range w.nodes {
		if slices.Contains(backups, p.name) && p.up {
			w.deliver(p, func() {
				if !p.m.AcceptsKeeper(id, n.name) {
					return
				}
				p.records[id] = true
				if left--; left == 0 {
					w.deliver(n, finish)
				}
			})
		}
	}
}

// join copies the records of all peers once they know that n joins.
func (w *world) join(n *node) {
	if n.m.State() != rpc.HostState_HOST_STATE_JOINING || !n.m.peersKnow() {
		return
	}
	n.horizon = w.now
	for _, p := range w.nodes {
		if !slices.Contains(n.m.Backups(), p.name) {
			continue
		}
		if !p.up || p.paused {
			return
		}
		for id := range p.records {
			n.records[id] = true
		}
		if p.m.State() == rpc.HostState_HOST_STATE_LIVE && p.horizon.Before(n.horizon) {
			n.horizon = p.horizon
		}
	}
	w.deliver(n, func() { n.m.SetLive() })
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for _, n := range w.nodes {
			if !n.up || n.paused {
				continue
			}
			n.m.Tick()
			due := n.queue
			n.queue = nil
			for _, e := range due {
				if e.due.After(w.now) {
					n.queue = append(n.queue, e)
				} else {
					e.run()
				}
			}
			w.join(n)
			for _, p := range w.nodes {
				if p != n && !n.busy[p.name] && w.now.Sub(n.sent[p.name]) >= 100*time.Millisecond {
					w.probe(n, p)
				}
			}
			if w.rand.IntN(4) == 0 {
				id := fmt.Sprintf("id%d", len(w.born))
				w.born[id] = w.now
			}
			for k := range 8 {
				if i := len(w.born) - 1 - k*k; i >= 0 {
					w.try(n, fmt.Sprintf("id%d", i))
				}
			}
		}
	}
}

// Guards against a request that runs twice because two hosts act as its record
// keeper, over random deaths, restarts, pauses and their combinations.
func TestNoRequestRunsTwice(t *testing.T) {
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 4).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"))
		w.run(2 * time.Second)
		for range rapid.IntRange(1, 20).Draw(t, "faults") {
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "host")]
			switch {
			case n.up && rapid.IntRange(0, 3).Draw(t, "kind") == 0:
				w.kill(n)
			case !n.up:
				w.start(n)
			default:
				n.paused = !n.paused
			}
			w.run(time.Duration(rapid.IntRange(1, 90).Draw(t, "steps")) * step)
		}
		for _, n := range w.nodes {
			n.paused = false
		}
		w.run(2 * time.Second)
		for id, hosts := range w.ran {
			if len(hosts) > 1 {
				t.Fatalf("request %s ran on %v", id, hosts)
			}
		}
		ran += len(w.ran)
	})
	require.Greater(t, ran, 1000, "the worlds ran too few requests to show anything")
}

// Guards against takeovers that come too early, too late or never, and
// against a planned stop that interrupts the other hosts.
func TestTimeWithoutKeeper(t *testing.T) {
	for name, tc := range map[string]struct {
		fault    func(w *world, n *node)
		min, max time.Duration
	}{
		"death":                  {func(w *world, n *node) { w.kill(n) }, 1000 * time.Millisecond, 1400 * time.Millisecond},
		"pause":                  {func(_ *world, n *node) { n.paused = true }, 1000 * time.Millisecond, 1700 * time.Millisecond},
		"planned stop":           {func(_ *world, n *node) { n.m.Leave() }, 0, 200 * time.Millisecond},
		"restart with same name": {func(w *world, n *node) { w.kill(n); w.run(40 * time.Millisecond); w.start(n) }, 0, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(3, 1)
			w.run(3 * time.Second)
			gone, rest := w.nodes[0], w.nodes[1:]
			id := ""
			for i := 0; rest[0].m.Keeper(id) != gone.name; i++ {
				id = fmt.Sprintf("key%d", i)
			}
			tc.fault(w, gone)
			start := w.now
			for !slices.ContainsFunc(rest, func(n *node) bool { return n.m.CheckKeeper(id) == nil }) {
				w.run(step)
				require.Less(t, w.now.Sub(start), 3*time.Second)
			}
			t.Logf("no keeper for %s", w.now.Sub(start))
			require.GreaterOrEqual(t, w.now.Sub(start), tc.min)
			require.LessOrEqual(t, w.now.Sub(start), tc.max)
		})
	}
}
