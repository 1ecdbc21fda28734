package jobhost

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// candidateShard is the shard that the candidates of these tests schedule.
var candidateShard = shard.Whole("desk")

// machine serves the calls of other hosts at one address, for one process after the other.
type machine struct {
	t             *testing.T
	name, address string
	memory        *storetest.Memory
	process       atomic.Pointer[candidate]
}

// candidate is a process of an entry host that takes part in the election.
type candidate struct {
	*Host
	store    *candidateStore
	bootedAt time.Duration
	kill     func()
}

// candidateStore is a store that one process can be cut off from, appends included.
type candidateStore struct{ cutStore }

// Append implements store.Store.
func (s *candidateStore) Append(ctx context.Context, a store.Append) (int64, error) {
	if s.cut.Load() {
		return 0, errors.WithStack(store.ErrNotApplied)
	}
	return s.Store.Append(ctx, a)
}

func newMachine(t *testing.T, m *storetest.Memory, name string) *machine {
	b := &machine{t: t, name: name, memory: m}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := b.process.Load(); c != nil {
			jobsrpc.NewJobsServer(peerServer{c.Host}).ServeHTTP(w, r)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	b.address = strings.TrimPrefix(server.URL, "http://")
	return b
}

// boot starts a process. kill ends it without a resignation.
func (b *machine) boot() *candidate { return b.bootBefore(0) }

// bootBefore starts a process that claims to have started that long ago.
func (b *machine) bootBefore(age time.Duration) *candidate {
	settings := validSettings()
	settings.Host = b.name
	c := &candidate{store: &candidateStore{cutStore{Store: b.memory}}, bootedAt: cell.BootTime()}
	c.Host = New(&settings, logr.Discard())
	c.self.Address = b.address
	c.Host.bootedAt -= age
	c.Host.store = &store.ReplyTracker{Store: c.store}
	c.config = newConfigFollower(c.Host.store, c.log)
	ctx, cancel := context.WithCancel(context.Background())
	c.background, ctx = errgroup.WithContext(ctx)
	c.ensureElection(ctx, candidateShard)
	b.process.Store(c)
	c.kill = func() {
		b.process.Store(nil)
		cancel()
		require.NoError(b.t, c.background.Wait())
	}
	return c
}

// storedHolder returns the holder record in the store.
func storedHolder(t *testing.T, m *storetest.Memory) lead.Holder {
	page, err := m.ReadCompacted(t.Context(), topicLeadPrefix+candidateShard.String(), "")
	require.NoError(t, err)
	var h lead.Holder
	if len(page.Records) > 0 {
		require.NoError(t, json.Unmarshal(page.Records[0].Value, &h))
	}
	return h
}

// awaitHolder waits until a machine schedules in the epoch.
func awaitHolder(t *testing.T, b *machine, epoch int64) {
	require.Eventually(t, func() bool {
		h := storedHolder(t, b.memory)
		c := b.process.Load()
		return h.Epoch == epoch && h.Host == b.name && c.schedulerOf(candidateShard.String()) != nil
	}, 20*time.Second, 10*time.Millisecond)
}

// stoppedAgo returns the time since the end of the only former holder by the record.
func stoppedAgo(t *testing.T, m *storetest.Memory) (age time.Duration, known bool) {
	former := storedHolder(t, m).Former
	require.Len(t, former, 1)
	if former[0].StoppedAgoMS == nil {
		return 0, false
	}
	return time.Duration(*former[0].StoppedAgoMS) * time.Millisecond, true
}

func awaitStopped(t *testing.T, m *storetest.Memory) (age time.Duration) {
	require.Eventually(t, func() (known bool) { age, known = stoppedAgo(t, m); return known }, 20*time.Second, 10*time.Millisecond)
	return age
}

// Guards against a successor that waits for a process whose machine runs another one, or takes
// it for stopped earlier than that one has started.
func TestRestartedProcessIsReported(t *testing.T) {
	t.Parallel()
	m := &storetest.Memory{}
	a, b := newMachine(t, m, "a"), newMachine(t, m, "b")
	first := a.boot()
	awaitHolder(t, a, 1)
	first.kill()
	successor := b.boot()
	defer successor.kill()
	awaitHolder(t, b, 2)
	_, known := stoppedAgo(t, m)
	require.False(t, known)
	next := a.boot()
	defer next.kill()
	age := awaitStopped(t, m)
	require.LessOrEqual(t, age, cell.BootTime()-next.bootedAt)
	require.Equal(t, first.self.Incarnation, storedHolder(t, m).Former[0].Incarnation)
}

// Guards against a process that takes the one before it on its machine for stopped earlier
// than it has started itself.
func TestRestartedHolderCountsFromItsStart(t *testing.T) {
	t.Parallel()
	m := &storetest.Memory{}
	a := newMachine(t, m, "a")
	first := a.boot()
	awaitHolder(t, a, 1)
	first.kill()
	next := a.boot()
	defer next.kill()
	awaitHolder(t, a, 2)
	require.LessOrEqual(t, awaitStopped(t, m), cell.BootTime()-next.bootedAt)
}

// Guards against a successor that waits for a process that has ended its term, or takes the
// term for ended earlier than it has.
func TestEndOfTermIsReported(t *testing.T) {
	t.Parallel()
	m := &storetest.Memory{}
	a, b := newMachine(t, m, "a"), newMachine(t, m, "b")
	first := a.boot()
	defer first.kill()
	awaitHolder(t, a, 1)
	cutAt := cell.BootTime()
	first.store.cut.Store(true)
	successor := b.boot()
	defer successor.kill()
	awaitHolder(t, b, 2)
	first.store.cut.Store(false)
	age := awaitStopped(t, m)
	require.Nil(t, first.schedulerOf(candidateShard.String()))
	require.LessOrEqual(t, age, cell.BootTime()-cutAt, "the process scheduled until then")
}

// Guards against evidence from a call that was meant for a predecessor: the process that sent
// it may have ended before the holder that it is taken to replace had begun.
func TestJoinForAnEarlierEpochIsNoEvidence(t *testing.T) {
	t.Parallel()
	m := &storetest.Memory{}
	a, b := newMachine(t, m, "a"), newMachine(t, m, "b")
	first := a.boot()
	awaitHolder(t, a, 1)
	first.kill()
	successor := b.boot()
	defer successor.kill()
	awaitHolder(t, b, 2)
	join := func(epoch int64) {
		_, err := successor.peerClients.client(b.address).Join(t.Context(), &jobsrpc.JoinRequest{
			Shard: candidateShard.String(), Host: a.name, Address: a.address, Incarnation: "earlier", UptimeMs: 1000, EndedEpoch: 1, EndedMs: 1000, Epoch: epoch,
		})
		require.NoError(t, err)
	}
	join(0) // an earlier version
	join(1)
	renewed := storedHolder(t, m).Former[0].ConfirmedAgoMS
	require.Eventually(t, func() bool { return storedHolder(t, m).Former[0].ConfirmedAgoMS > renewed }, 20*time.Second, 10*time.Millisecond)
	_, known := stoppedAgo(t, m)
	require.False(t, known)
	join(2)
	awaitStopped(t, m)
}

// blockingStore holds back appends to the topics of jobs, also beyond their deadlines.
type blockingStore struct {
	store.Store
	released chan struct{}
}

// Append implements store.Store.
func (s blockingStore) Append(ctx context.Context, a store.Append) (int64, error) {
	if strings.HasPrefix(a.Topic, topicJobsPrefix) {
		<-s.released
	}
	return s.Store.Append(ctx, a)
}

// Guards against a host that reports the end of a term while its scheduler still runs, or of
// one that it has not served.
func TestEndOfTermIsReportedOnceTheSchedulerHasStopped(t *testing.T) {
	t.Parallel()
	b := newMachine(t, &storetest.Memory{}, "a")
	c := b.boot()
	c.kill()
	blocked := blockingStore{c.store, make(chan struct{})}
	c.Host.store = &store.ReplyTracker{Store: blocked}
	s := c.election(candidateShard.String())
	s.endedEpoch = 0 // boot may have become the holder
	request := c.joinRequest(s, 9)
	require.Zero(t, request.EndedEpoch)
	require.Zero(t, request.EndedMs)
	require.EqualValues(t, 9, request.Epoch)
	require.Equal(t, c.self.Incarnation, request.Incarnation)
	require.LessOrEqual(t, request.UptimeMs, (cell.BootTime() - c.bootedAt).Milliseconds())

	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.runTerm(ctx, s, lead.NewTerm(7, cancel))
	}()
	require.Eventually(t, func() bool { return c.schedulerOf(candidateShard.String()) != nil }, 20*time.Second, time.Millisecond)
	require.Zero(t, c.joinRequest(s, 9).EndedEpoch)
	cancel()
	select {
	case <-ended:
		require.Fail(t, "the term ended while an append was under way")
	case <-time.After(300 * time.Millisecond):
	}
	require.Zero(t, c.joinRequest(s, 9).EndedEpoch)
	released := cell.BootTime()
	close(blocked.released)
	<-ended
	request = c.joinRequest(s, 9)
	require.EqualValues(t, 7, request.EndedEpoch)
	require.LessOrEqual(t, request.EndedMs, (cell.BootTime() - released).Milliseconds())
}
