package jobhost

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// Guards against leases that lapse in an outage of the store, and against a holder that extends them although a host that may take over does not reply.
func TestLeasesInAStoreOutage(t *testing.T) {
	for name, replies := range map[string]bool{"all hosts reply": true, "one host does not": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newOutageCluster(t)
			cluster.awaitWitnesses()
			if !replies {
				cluster.others[1].process.Store(nil)
			}
			for _, c := range cluster.processes {
				c.store.cut.Store(true)
			}
			epoch := storedHolder(t, cluster.memory).Epoch
			p := cluster.processes[0].schedulerOf(candidateShard.String())
			require.Eventually(t, func() bool { return p.ConfirmationAge() > 2*lead.SoleExtensionAge }, 20*time.Second, 10*time.Millisecond)
			require.Never(t, func() bool { return p.MayExtendLeases() != replies }, 2*time.Second, 20*time.Millisecond)
			require.Equal(t, replies, p.MayExtendLeases(), "%s after the last renewal", p.ConfirmationAge())
			require.Equal(t, epoch, storedHolder(t, cluster.memory).Epoch)
		})
	}
}

// Guards against a successor that waits for an absent predecessor for longer than it may act.
func TestWitnessThatTakesOverKnowsThePredecessorsLimit(t *testing.T) {
	t.Parallel()
	cluster := newOutageCluster(t)
	cluster.awaitWitnesses()
	cluster.processes[0].kill()
	require.Eventually(t, func() bool { return storedHolder(t, cluster.memory).Epoch == 2 }, 20*time.Second, 10*time.Millisecond)
	former := storedHolder(t, cluster.memory).Former
	require.Len(t, former, 1)
	require.True(t, former[0].Limited)
	require.Nil(t, former[0].StoppedAgoMS)
}

// Guards against a reply that counts from when it has arrived: the witness may claim at once after it has sent it.
func TestReplyOfAWitnessCountsFromTheQuestion(t *testing.T) {
	t.Parallel()
	const delay = 300 * time.Millisecond
	cluster := newOutageCluster(t)
	b := cluster.others[0]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		jobsrpc.NewJobsServer(peerServer{b.process.Load().Host}).ServeHTTP(slowWriter{w, delay}, r)
	}))
	defer server.Close()
	require.Eventually(t, func() bool {
		return b.process.Load().election(candidateShard.String()).elector.Confirms(1)
	}, 20*time.Second, 10*time.Millisecond)

	now := cell.BootTime()
	own := lead.Holder{Host: "a", Address: "a", Epoch: 1, Witnesses: []string{lead.WitnessName("b", strings.TrimPrefix(server.URL, "http://"))}}
	term := lead.BeginTerm(nil, own, 0, now-2*lead.SoleExtensionAge, func() {})
	require.False(t, term.MayExtendLeases())
	asked := time.Now()
	require.NoError(t, cluster.processes[0].askEachWitness(t.Context(), candidateShard.String(), term))
	require.True(t, term.MayExtendLeases())
	require.GreaterOrEqual(t, time.Since(asked), delay)
	require.Eventually(t, func() bool { return !term.MayExtendLeases() }, 20*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(asked), lead.SoleExtensionAge+delay/2)
}

// slowWriter delays a reply.
type slowWriter struct {
	http.ResponseWriter
	delay time.Duration
}

func (w slowWriter) WriteHeader(status int) {
	<-time.After(w.delay)
	w.ResponseWriter.WriteHeader(status)
}

// outageCluster has a host that schedules and two others that have been running for long.
type outageCluster struct {
	t         *testing.T
	memory    *storetest.Memory
	others    []*machine
	processes []*candidate
}

func newOutageCluster(t *testing.T) *outageCluster {
	cluster := &outageCluster{t: t, memory: &storetest.Memory{}}
	holder := newMachine(t, cluster.memory, "a")
	cluster.boot(holder)
	awaitHolder(t, holder, 1)
	for _, name := range []string{"b", "c"} {
		b := newMachine(t, cluster.memory, name)
		cluster.others = append(cluster.others, b)
		cluster.boot(b)
	}
	return cluster
}

func (c *outageCluster) boot(b *machine) {
	p := b.bootBefore(lead.MaxConfirmationAge)
	c.processes = append(c.processes, p)
	kill := p.kill
	var once sync.Once
	p.kill = func() { once.Do(kill) }
	c.t.Cleanup(p.kill)
}

// awaitWitnesses waits until the record names both other hosts and no others are awaited.
func (c *outageCluster) awaitWitnesses() {
	require.Eventually(c.t, func() bool {
		h := storedHolder(c.t, c.memory)
		return len(h.Witnesses) == 2 && !h.WitnessesPending
	}, 20*time.Second, 10*time.Millisecond)
	// The holder knows that this record was appended when it sends the next one.
	termMS := storedHolder(c.t, c.memory).TermMS
	require.Eventually(c.t, func() bool { return storedHolder(c.t, c.memory).TermMS > termMS }, 20*time.Second, 10*time.Millisecond)
}
