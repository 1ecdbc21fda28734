package lead

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// hosts are candidates for one service, without a network, in simulated time.
type hosts struct {
	t     *testing.T
	store *storetest.Memory

	mu sync.Mutex
	// leading has the epoch of each host that schedules, and terms its term.
	leading map[string]int64
	terms   map[string]*Term
	// epochs has each epoch that was ever led.
	epochs map[int64]string
}

// host is one process.
type host struct {
	name    string
	elector *Elector
	kill    context.CancelFunc
	done    chan struct{}
	// link breaks this host's calls to the store.
	link *link
}

// link is a host's own view of the store.
type link struct {
	*storetest.Memory
	mu  sync.Mutex
	cut bool
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) broken(ctx context.Context) bool {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	return cut
}

// Append implements store.Store.
func (l *link) Append(ctx context.Context, a store.Append) (int64, error) {
	if l.broken(ctx) {
		return 0, store.ErrOutcomeUnknown
	}
	return l.Memory.Append(ctx, a)
}

// Read implements store.Store.
func (l *link) Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]store.Record, int64, error) {
	if l.broken(ctx) {
		return nil, 0, store.ErrOutcomeUnknown
	}
	return l.Memory.Read(ctx, topic, from, wait)
}

func inHosts(t *testing.T, test func(t *testing.T, h *hosts)) {
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer cell.SetBootClock(func() time.Duration { return time.Since(base) })()
		test(t, &hosts{t: t, store: &storetest.Memory{Latency: 4 * time.Millisecond}, leading: make(map[string]int64), terms: make(map[string]*Term), epochs: make(map[int64]string)})
	})
}

func (h *hosts) start(name string, incarnation int) *host {
	ctx, kill := context.WithCancel(context.Background())
	p := &host{name: name, kill: kill, done: make(chan struct{}), link: &link{Memory: h.store}}
	p.elector = New(Options{
		Store: p.link, Topic: "lead", Self: Holder{Host: name, Incarnation: fmt.Sprintf("%s-%d", name, incarnation)}, Log: testr.New(h.t),
		RunTerm: func(ctx context.Context, term *Term, _ *Holder) {
			h.mu.Lock()
			other, taken := h.epochs[term.Epoch]
			h.epochs[term.Epoch] = name
			h.leading[name], h.terms[name] = term.Epoch, term
			h.mu.Unlock()
			require.False(h.t, taken, "epoch %d is led by %s and by %s", term.Epoch, other, name)
			<-ctx.Done()
			h.mu.Lock()
			delete(h.leading, name)
			h.mu.Unlock()
		},
	})
	go func() {
		defer close(p.done)
		p.elector.Run(ctx)
	}()
	return p
}

// join asks the holder twice a second, as entry hosts do, until the test ends.
func (h *hosts) join(p *host) {
	ask := func() {
		holder, _ := p.elector.Holder()
		if holder == nil || holder.Host == p.name {
			return
		}
		h.mu.Lock()
		epoch, term := h.leading[holder.Host], h.terms[holder.Host]
		h.mu.Unlock()
		if epoch == holder.Epoch {
			p.elector.HolderAnswered(epoch, term.ConfirmationAge())
		} else {
			p.elector.HolderCallFailed(holder.Epoch)
		}
	}
	go func() {
		for {
			select {
			case <-p.done:
				return
			case <-time.After(500 * time.Millisecond):
				ask()
			}
		}
	}()
}

// newest returns the host that leads the highest epoch now.
func (h *hosts) newest() (string, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name, epoch := "", int64(0)
	for n, e := range h.leading {
		if e > epoch {
			name, epoch = n, e
		}
	}
	return name, epoch
}

// untilLed waits for a leader of an epoch above after and returns it with the
// time that it took.
func (h *hosts) untilLed(after int64, limit time.Duration) (string, time.Duration) {
	h.t.Helper()
	begin := time.Now()
	for time.Since(begin) < limit {
		if name, epoch := h.newest(); epoch > after {
			return name, time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(h.t, "no leader", "after epoch %d within %s", after, limit)
	return "", 0
}

func stopAll(hosts ...*host) {
	for _, p := range hosts {
		p.kill()
	}
	time.Sleep(3 * time.Second)
}

// startAll starts hosts, which ask the holder if joins is set.
func (h *hosts) startAll(joins bool, names ...string) []*host {
	var all []*host
	for _, name := range names {
		p := h.start(name, 1)
		if joins {
			h.join(p)
		}
		all = append(all, p)
	}
	return all
}

// eachWay runs a test with hosts that read each renewal, and with hosts that ask
// the holder instead.
func eachWay(t *testing.T, name string, test func(t *testing.T, joins bool)) {
	t.Run(name, func(t *testing.T) { test(t, false) })
	t.Run(name+", hosts ask it", func(t *testing.T) { test(t, true) })
}

// Two hosts must never lead the same epoch, and one must lead soon after any
// loss of the leader.
func TestElection(t *testing.T) {
	for _, c := range []struct {
		name string
		// lose takes the leader away; others take over within limit.
		lose  func(h *hosts, leader *host, others []*host)
		limit time.Duration
	}{
		{"the leader is killed", func(_ *hosts, leader *host, _ []*host) { leader.kill() }, 3 * time.Second},
		{"the leader is killed and others notice", func(_ *hosts, leader *host, others []*host) {
			leader.kill()
			holder, _ := others[0].elector.Holder()
			others[0].elector.HolderStopped(holder.Epoch)
		}, 700 * time.Millisecond},
		{"the leader retires", func(_ *hosts, leader *host, _ []*host) { leader.elector.Retire() }, 700 * time.Millisecond},
		{"the leader is cut off from the store", func(_ *hosts, leader *host, _ []*host) { leader.link.set(true) }, 3 * time.Second},
	} {
		eachWay(t, c.name, func(t *testing.T, joins bool) {
			inHosts(t, func(_ *testing.T, h *hosts) {
				all := h.startAll(joins, "a", "b", "c")
				name, _ := h.untilLed(0, time.Second)
				_, epoch := h.newest()
				time.Sleep(2 * time.Second)
				var leader *host
				var others []*host
				for _, p := range all {
					if p.name == name {
						leader = p
					} else {
						others = append(others, p)
					}
				}
				c.lose(h, leader, others)
				next, _ := h.untilLed(epoch, c.limit)
				require.NotEqual(h.t, name, next)
				leader.link.set(false)
				time.Sleep(2 * time.Second)
				h.mu.Lock()
				require.Len(h.t, h.leading, 1, "the leader before has noticed")
				h.mu.Unlock()
				stopAll(all...)
			})
		})
	}
}

// A leader that goes on must stay the leader: each change costs a takeover.
func TestElectionIsStable(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func() func(call, topic string) storetest.Fault
		lasts time.Duration
	}{
		{"while nothing happens", func() func(string, string) storetest.Fault { return nil }, 0},
		{"when answers to renewals are lost", func() func(string, string) storetest.Fault {
			return func(call, _ string) storetest.Fault {
				if call == "append" {
					return storetest.DropReply
				}
				return storetest.NoFault
			}
		}, 5 * time.Second},
		{"while the store is away for all", func() func(string, string) storetest.Fault {
			return func(string, string) storetest.Fault { return storetest.DropRequest }
		}, 8 * time.Second},
		{"while the store refuses all", func() func(string, string) storetest.Fault {
			return func(string, string) storetest.Fault { return storetest.Refuse }
		}, 8 * time.Second},
	} {
		eachWay(t, c.name, func(t *testing.T, joins bool) {
			inHosts(t, func(t *testing.T, h *hosts) {
				all := h.startAll(joins, "a", "b", "c")
				_, _ = h.untilLed(0, time.Second)
				_, epoch := h.newest()
				h.store.SetFault(c.fault())
				time.Sleep(c.lasts)
				h.store.SetFault(nil)
				time.Sleep(10 * time.Second)
				_, after := h.newest()
				require.Equal(t, epoch, after)
				stopAll(all...)
			})
		})
	}
}

// A process that restarts on the leader's host must not wait for the silence of
// its own predecessor.
func TestRestartOfTheLeader(t *testing.T) {
	inHosts(t, func(_ *testing.T, h *hosts) {
		first := h.start("a", 1)
		h.untilLed(0, time.Second)
		first.kill()
		time.Sleep(100 * time.Millisecond)
		second := h.start("a", 2)
		h.untilLed(1, 500*time.Millisecond)
		stopAll(second)
	})
}

// Dropped history must not hide who leads.
func TestTruncatedHistory(t *testing.T) {
	inHosts(t, func(t *testing.T, h *hosts) {
		all := []*host{h.start("a", 1), h.start("b", 1)}
		h.untilLed(0, time.Second)
		for range 5 {
			h.store.Truncate("lead")
			time.Sleep(time.Second)
		}
		_, epoch := h.newest()
		require.EqualValues(t, 1, epoch)
		stopAll(all...)
	})
}

// A host that the store does not answer must reach a new holder of which others
// tell, and must not fall back to the one before when it reads again.
func TestLearn(t *testing.T) {
	inHosts(t, func(t *testing.T, h *hosts) {
		a, b := h.start("a", 1), h.start("b", 1)
		h.untilLed(0, time.Second)
		time.Sleep(time.Second)
		name, _ := h.newest()
		follower := a
		if name == "a" {
			follower = b
		}
		follower.link.set(true)
		told := Holder{Host: "c", Incarnation: "c-1", Epoch: 7}
		follower.elector.LearnHolder(told)
		follower.elector.LearnHolder(Holder{Host: "d", Incarnation: "d-1", Epoch: 5})
		holder, _ := follower.elector.Holder()
		require.Equal(t, told, *holder)
		follower.link.set(false)
		time.Sleep(time.Second)
		holder, _ = follower.elector.Holder()
		require.Equal(t, told, *holder)
		stopAll(a, b)
	})
}

// Hosts that the holder answers must not read each renewal: the store counts
// the calls of all hosts together.
func TestAnswersReplaceReads(t *testing.T) {
	inHosts(t, func(t *testing.T, h *hosts) {
		all := h.startAll(true, "a", "b", "c")
		h.untilLed(0, time.Second)
		time.Sleep(2 * time.Second)
		reads := 0
		h.store.SetFault(func(call, _ string) storetest.Fault {
			if call == "read" {
				reads++
			}
			return storetest.NoFault
		})
		time.Sleep(10 * time.Second)
		h.store.SetFault(nil)
		require.LessOrEqual(t, reads, 2)
		_, epoch := h.newest()
		require.EqualValues(t, 1, epoch)
		stopAll(all...)
	})
}
