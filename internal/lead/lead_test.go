package lead

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// cluster contains the candidates for one service. It runs without a network and
// in simulated time.
type cluster struct {
	t     *testing.T
	store *storetest.Memory

	mu sync.Mutex
	// leadingEpochs contains the epoch of each host that leads now, and terms the
	// last term of each host.
	leadingEpochs map[string]int64
	terms         map[string]*Term
	// leaderByEpoch contains the leader of each past and present epoch.
	leaderByEpoch map[int64]string
}

// host is one process that is a candidate.
type host struct {
	name    string
	elector *Elector
	kill    context.CancelFunc
	done    chan struct{}
	// store can make this host's calls to the store time out.
	store *faultyStore
}

// faultyStore is one host's connection to the shared store. While it is
// disconnected, Append and Read block until their context is done and then fail.
type faultyStore struct {
	*storetest.Memory
	// reads counts the calls of Read.
	reads        atomic.Int64
	mu           sync.Mutex
	disconnected bool
}

func (s *faultyStore) setDisconnected(disconnected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnected = disconnected
}

func (s *faultyStore) blockIfDisconnected(ctx context.Context) bool {
	s.mu.Lock()
	disconnected := s.disconnected
	s.mu.Unlock()
	if disconnected {
		<-ctx.Done()
	}
	return disconnected
}

// Append implements store.Store.
func (s *faultyStore) Append(ctx context.Context, a store.Append) (int64, error) {
	if s.blockIfDisconnected(ctx) {
		return 0, store.ErrOutcomeUnknown
	}
	return s.Memory.Append(ctx, a)
}

// Read implements store.Store.
func (s *faultyStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]store.Record, int64, error) {
	s.reads.Add(1)
	if s.blockIfDisconnected(ctx) {
		return nil, 0, store.ErrOutcomeUnknown
	}
	return s.Memory.Read(ctx, topic, from, wait)
}

func runCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer cell.SetBootClock(func() time.Duration { return time.Since(base) })()
		test(t, &cluster{t: t, store: &storetest.Memory{Latency: 4 * time.Millisecond}, leadingEpochs: make(map[string]int64), terms: make(map[string]*Term), leaderByEpoch: make(map[int64]string)})
	})
}

func (c *cluster) start(name string, incarnation int) *host {
	ctx, kill := context.WithCancel(context.Background())
	p := &host{name: name, kill: kill, done: make(chan struct{}), store: &faultyStore{Memory: c.store}}
	p.elector = New(Options{
		Store: p.store, Topic: "lead", Self: Holder{Host: name, Incarnation: fmt.Sprintf("%s-%d", name, incarnation)}, Log: testr.New(c.t),
		RunTerm: func(ctx context.Context, term *Term, _ *Holder) {
			c.mu.Lock()
			other, led := c.leaderByEpoch[term.Epoch]
			c.leaderByEpoch[term.Epoch] = name
			c.leadingEpochs[name], c.terms[name] = term.Epoch, term
			c.mu.Unlock()
			require.False(c.t, led, "epoch %d is led by %s and by %s", term.Epoch, other, name)
			<-ctx.Done()
			c.mu.Lock()
			delete(c.leadingEpochs, name)
			c.mu.Unlock()
		},
	})
	go func() {
		defer close(p.done)
		p.elector.Run(ctx)
	}()
	return p
}

// pollHolder calls the holder twice a second, as entry hosts do, and extraPause less
// often if that is set, until p stops.
func (c *cluster) pollHolder(p *host, extraPause time.Duration) {
	poll := func() {
		holder, _ := p.elector.Holder()
		if holder == nil || holder.Host == p.name {
			return
		}
		c.mu.Lock()
		epoch, term := c.leadingEpochs[holder.Host], c.terms[holder.Host]
		c.mu.Unlock()
		if epoch == holder.Epoch {
			p.elector.HolderReplied(epoch, term.ConfirmationAge(), extraPause)
		} else {
			p.elector.HolderCallFailed(holder.Epoch)
		}
	}
	go func() {
		for {
			select {
			case <-p.done:
				return
			case <-time.After(500*time.Millisecond + extraPause):
				poll()
			}
		}
	}()
}

// newestLeader returns the host that leads the highest epoch now.
func (c *cluster) newestLeader() (string, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, epoch := "", int64(0)
	for n, e := range c.leadingEpochs {
		if e > epoch {
			name, epoch = n, e
		}
	}
	return name, epoch
}

// waitForLeader waits for a leader of an epoch above after and returns its name
// and the time waited.
func (c *cluster) waitForLeader(after int64, limit time.Duration) (string, time.Duration) {
	c.t.Helper()
	begin := time.Now()
	for time.Since(begin) < limit {
		if name, epoch := c.newestLeader(); epoch > after {
			return name, time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(c.t, "no leader", "no epoch above %d was led within %s", after, limit)
	return "", 0
}

func stopAll(hosts ...*host) {
	for _, p := range hosts {
		p.kill()
	}
	time.Sleep(3 * time.Second)
}

// startAll starts hosts, which call the holder if polls is set.
func (c *cluster) startAll(polls bool, names ...string) []*host {
	var all []*host
	for _, name := range names {
		p := c.start(name, 1)
		if polls {
			c.pollHolder(p, 0)
		}
		all = append(all, p)
	}
	return all
}

// runBothModes runs a test with hosts that read each renewal from the store, and
// with hosts that call the holder instead.
func runBothModes(t *testing.T, name string, test func(t *testing.T, polls bool)) {
	t.Run(name, func(t *testing.T) { test(t, false) })
	t.Run(name+", hosts poll the holder", func(t *testing.T) { test(t, true) })
}

// Guards against two hosts that lead the same epoch, and against a service that
// stays without a leader after the leader is lost.
func TestElection(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lose makes the leader fail; another host must lead within limit.
		lose  func(c *cluster, leader *host, others []*host)
		limit time.Duration
	}{
		{"the leader is killed", func(_ *cluster, leader *host, _ []*host) { leader.kill() }, 3 * time.Second},
		{"the leader is killed and others notice", func(_ *cluster, leader *host, others []*host) {
			leader.kill()
			holder, _ := others[0].elector.Holder()
			others[0].elector.HolderStopped(holder.Epoch)
		}, 700 * time.Millisecond},
		{"the leader resigns", func(_ *cluster, leader *host, _ []*host) { leader.elector.Resign() }, 700 * time.Millisecond},
		{"the leader retires and is killed", func(_ *cluster, leader *host, _ []*host) {
			leader.elector.Retire()
			leader.kill()
		}, 3 * time.Second},
		{"the leader is cut off from the store", func(_ *cluster, leader *host, _ []*host) { leader.store.setDisconnected(true) }, 3 * time.Second},
	} {
		runBothModes(t, tc.name, func(t *testing.T, polls bool) {
			runCluster(t, func(_ *testing.T, c *cluster) {
				all := c.startAll(polls, "a", "b", "c")
				name, _ := c.waitForLeader(0, time.Second)
				_, epoch := c.newestLeader()
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
				tc.lose(c, leader, others)
				next, _ := c.waitForLeader(epoch, tc.limit)
				require.NotEqual(c.t, name, next)
				leader.store.setDisconnected(false)
				time.Sleep(2 * time.Second)
				c.mu.Lock()
				require.Len(c.t, c.leadingEpochs, 1, "the previous leader must notice that it was replaced")
				c.mu.Unlock()
				stopAll(all...)
			})
		})
	}
}

// Guards against the replacement of a leader that is still running, for example
// during a store outage: each change of leader costs a takeover.
func TestElectionIsStable(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func() func(call, topic string) storetest.Fault
		lasts time.Duration
	}{
		{"while nothing happens", func() func(string, string) storetest.Fault { return nil }, 0},
		{"when replies to renewals are lost", func() func(string, string) storetest.Fault {
			return func(call, _ string) storetest.Fault {
				if call == "append" {
					return storetest.DropReply
				}
				return storetest.NoFault
			}
		}, 5 * time.Second},
		{"while the store is unreachable for all hosts", func() func(string, string) storetest.Fault {
			return func(string, string) storetest.Fault { return storetest.DropRequest }
		}, 8 * time.Second},
		{"while the store refuses all", func() func(string, string) storetest.Fault {
			return func(string, string) storetest.Fault { return storetest.Refuse }
		}, 8 * time.Second},
	} {
		runBothModes(t, tc.name, func(t *testing.T, polls bool) {
			runCluster(t, func(t *testing.T, c *cluster) {
				all := c.startAll(polls, "a", "b", "c")
				_, _ = c.waitForLeader(0, time.Second)
				_, epoch := c.newestLeader()
				c.store.SetFault(tc.fault())
				time.Sleep(tc.lasts)
				c.store.SetFault(nil)
				time.Sleep(10 * time.Second)
				_, after := c.newestLeader()
				require.Equal(t, epoch, after)
				stopAll(all...)
			})
		})
	}
}

// A process that restarts on the leader's host must take over at once, without
// waiting for the renewal timeout of its predecessor.
func TestRestartOfTheLeader(t *testing.T) {
	runCluster(t, func(_ *testing.T, c *cluster) {
		first := c.start("a", 1)
		c.waitForLeader(0, time.Second)
		first.kill()
		time.Sleep(100 * time.Millisecond)
		second := c.start("a", 2)
		c.waitForLeader(1, 500*time.Millisecond)
		stopAll(second)
	})
}

// Guards against a change of leader when the store drops the topic's history and
// reads fail with TruncatedError.
func TestTruncatedHistory(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		all := []*host{c.start("a", 1), c.start("b", 1)}
		c.waitForLeader(0, time.Second)
		for range 5 {
			c.store.Truncate("lead")
			time.Sleep(time.Second)
		}
		_, epoch := c.newestLeader()
		require.EqualValues(t, 1, epoch)
		stopAll(all...)
	})
}

// A host that cannot reach the store must adopt a new holder that other hosts
// report, and must not return to the previous one when it reads old records again.
func TestLearnHolder(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a, b := c.start("a", 1), c.start("b", 1)
		c.waitForLeader(0, time.Second)
		time.Sleep(time.Second)
		name, _ := c.newestLeader()
		follower := a
		if name == "a" {
			follower = b
		}
		follower.store.setDisconnected(true)
		learned := Holder{Host: "c", Incarnation: "c-1", Epoch: 7}
		follower.elector.LearnHolder(learned)
		follower.elector.LearnHolder(Holder{Host: "d", Incarnation: "d-1", Epoch: 5})
		holder, _ := follower.elector.Holder()
		require.Equal(t, learned, *holder)
		follower.store.setDisconnected(false)
		time.Sleep(time.Second)
		holder, _ = follower.elector.Holder()
		require.Equal(t, learned, *holder)
		stopAll(a, b)
	})
}

// Guards against hosts that read each renewal although the holder replies to them:
// the store counts the calls of all hosts together.
func TestPollingReplacesReads(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		all := c.startAll(true, "a", "b", "c")
		c.waitForLeader(0, time.Second)
		time.Sleep(2 * time.Second)
		reads := 0
		c.store.SetFault(func(call, _ string) storetest.Fault {
			if call == "read" {
				reads++
			}
			return storetest.NoFault
		})
		time.Sleep(10 * time.Second)
		c.store.SetFault(nil)
		require.LessOrEqual(t, reads, 2)
		_, epoch := c.newestLeader()
		require.EqualValues(t, 1, epoch)
		stopAll(all...)
	})
}

// Guards against the replacement of a live holder by a host that calls it only every
// few seconds: its knowledge of the renewals is older than the renewal timeout when a
// call fails.
func TestSeldomPollingKeepsTheHolder(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		leader := c.start("a", 1)
		c.waitForLeader(0, time.Second)
		follower := c.start("b", 1)
		c.pollHolder(follower, 4*time.Second)
		for range 20 {
			time.Sleep(3700 * time.Millisecond)
			follower.elector.HolderCallFailed(1)
		}
		_, epoch := c.newestLeader()
		require.EqualValues(t, 1, epoch)
		leader.kill()
		<-leader.done
		c.waitForLeader(1, 8*time.Second)
		stopAll(follower)
	})
}
