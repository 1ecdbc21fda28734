package domain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// TestSuccessor guards against a host that leaves its queue to a peer which leaves its own
// to this host.
func TestSuccessor(t *testing.T) {
	for name, run := range map[string]func(t *testing.T, h *harness){
		"a live peer must have replied since the drain began": func(t *testing.T, h *harness) {
			h.advance(50 * time.Millisecond)
			h.BeginDrain()
			require.Equal(t, SuccessorUnconfirmed, h.Successor())
			h.peerReply(false)
			require.Equal(t, SuccessorReady, h.Successor())
		},
		"a draining peer is none, even if it says so in its reply": func(t *testing.T, h *harness) {
			h.BeginDrain()
			h.HandleHeartbeatReply("b", h.now, &rpc.Beat{Host: "b", Incarnation: 1, State: live, Draining: true})
			require.Equal(t, SuccessorNone, h.Successor())
		},
		"a delayed heartbeat does not take a planned stop back": func(t *testing.T, h *harness) {
			h.HandleHeartbeat(&rpc.Beat{Host: "b", Incarnation: 1, State: live, Clock: 20})
			h.HandleHeartbeat(&rpc.Beat{Host: "b", Incarnation: 1, State: live, Clock: 10, Draining: true})
			h.HandleHeartbeat(&rpc.Beat{Host: "b", Incarnation: 1, State: live, Clock: 30})
			h.BeginDrain()
			h.peerReply(false)
			require.Equal(t, SuccessorNone, h.Successor())
		},
		"the next process of a draining peer may become one": func(t *testing.T, h *harness) {
			h.HandleHeartbeat(&rpc.Beat{Host: "b", Incarnation: 1, State: live, Draining: true})
			h.BeginDrain()
			h.peerHeartbeat(2, joining)
			require.Equal(t, SuccessorJoining, h.Successor())
			h.peerHeartbeat(2, live)
			h.peerReply(false)
			require.Equal(t, SuccessorReady, h.Successor())
		},
		"a dead peer is none": func(t *testing.T, h *harness) {
			h.BeginDrain()
			h.failHeartbeats("b", 1100*time.Millisecond)
			require.Equal(t, SuccessorNone, h.Successor())
		},
		"its own heartbeats and replies tell of the stop": func(t *testing.T, h *harness) {
			require.False(t, h.Heartbeat().Draining)
			h.BeginDrain()
			require.True(t, h.Heartbeat().Draining)
			require.True(t, h.peerHeartbeat(1, live).Draining)
		},
	} {
		t.Run(name, func(t *testing.T) { run(t, newHarness(t)) })
	}
}
