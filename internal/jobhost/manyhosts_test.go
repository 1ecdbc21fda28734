package jobhost

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/pool"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// Guards against one failed call that closes the connections to all other hosts.
func TestFailedCallKeepsConnectionsToOtherHosts(t *testing.T) {
	var opened atomic.Int64
	clients := newPeerClients(func() { opened.Add(1) })
	var addresses []string
	for range 3 {
		server := httptest.NewServer(jobsrpc.NewJobsServer(peerServer{newConfigPeer(t, &storetest.Memory{}).Host}))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	callAll := func() {
		for _, a := range addresses {
			_, err := clients.client(a).Holder(t.Context(), &jobsrpc.HolderRequest{Shard: "desk"})
			require.NoError(t, err)
		}
	}
	callAll()
	require.EqualValues(t, 3, opened.Load())
	clients.closeIdle(addresses[0])
	callAll()
	require.EqualValues(t, 4, opened.Load())
}

// Guards against calls between hosts that grow with the square of their number.
func TestQuestionsForSchedulersAreBounded(t *testing.T) {
	var calls atomic.Int64
	answer := jobsrpc.NewJobsServer(peerServer{newConfigPeer(t, &storetest.Memory{}).Host})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		answer.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	h := newConfigPeer(t, &storetest.Memory{})
	for n := range 300 {
		// One server stands for all hosts.
		h.knownHosts.add([]*jobsrpc.Member{{Host: fmt.Sprintf("host-%d", n), Address: strings.TrimPrefix(server.URL, "http://")}})
	}
	const rounds, shards = 5, 13
	for range rounds {
		for _, s := range shard.All("desk", shards) {
			h.askKnownHosts(t.Context(), &shardElection{shard: s})
		}
	}
	require.Positive(t, calls.Load())
	require.LessOrEqual(t, calls.Load(), int64(100))
}

// Guards against hosts that call a scheduler more often when it does not reply.
func TestFailedJoinsKeepTheRequestedPace(t *testing.T) {
	var calls atomic.Int64
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		select {
		case <-r.Context().Done():
		case <-ended:
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(ended) })
	h := newConfigPeer(t, &storetest.Memory{})
	s := &shardElection{shard: shard.Whole("desk"), joinNow: make(chan struct{}, 1), joinPause: 20 * time.Second}
	s.elector = lead.New(lead.Options{Self: h.self, Log: h.log})
	s.elector.LearnHolder(lead.Holder{Host: "holder", Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: "i", Epoch: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	h.keepJoined(ctx, s)
	// A change of the elector's state may end one pause early.
	require.LessOrEqual(t, calls.Load(), int64(maxUnansweredJoins+1))
}

// Guards against a 404 for an added queue from a scheduler that is behind the caller.
func TestSchedulerBehindTheCallerDeniesNoQueue(t *testing.T) {
	m := &storetest.Memory{}
	storeConfiguration(t, m, teamConfiguration(3, nil))
	h := newConfigPeer(t, m)
	h.follow(t)
	h.store.cut.Store(true)
	h.elections["desk"] = &shardElection{shard: shard.Whole("desk"), pool: new(pool.Pool)}
	for version, code := range map[int64]twirp.ErrorCode{3: twirp.NotFound, 4: twirp.Unavailable} {
		_, err := peerServer{h.Host}.Submit(t.Context(), &jobsrpc.SubmitRequest{Shard: "desk", Queue: "added", Job: []byte(`{}`), ConfigVersion: version})
		var coded twirp.Error
		require.ErrorAs(t, err, &coded)
		require.Equal(t, code, coded.Code(), "version %d", version)
	}
}
