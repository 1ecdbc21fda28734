package jobhost

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// Guards against a call without a reply that makes a host open its connections to all
// other hosts anew.
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

// Guards against calls that grow with the square of the number of hosts: each host that
// the store does not answer asked all others for the scheduler of each shard.
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
