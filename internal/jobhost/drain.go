package jobhost

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// minDrainTime is the minimum time for which a stopping host continues to serve:
	// the load balancer stops sending connections after two failed checks, 1 s apart.
	minDrainTime = 2600 * time.Millisecond
	// shutdownReserve is the part of the grace period that is reserved for answering
	// the last requests and closing the connections after the drain.
	shutdownReserve = 900 * time.Millisecond
	// handoverReserve is the part of the drain that is left when a stopping host
	// resigns: another host claims a shard within 0.3 s, or 0.9 s if all others are
	// weak, and this host's callers then wait for its first replies.
	handoverReserve = 1200 * time.Millisecond
	// lastHandoverReserve replaces handoverReserve if all other hosts are stopping
	// too. It suffices to store the resignation.
	lastHandoverReserve = 300 * time.Millisecond
	// managementShutdownTimeout bounds the wait for open requests to the management
	// server. It is part of shutdownReserve.
	managementShutdownTimeout = 100 * time.Millisecond
	// drainPollInterval is the time between two checks whether the drain is over.
	drainPollInterval = 50 * time.Millisecond
)

// drain serves callers until their connections are closed or the grace period is
// nearly over. Every request that was read gets an answer: calls that would outlast
// the drain end with it.
//
// The host keeps the shards that it schedules until handoverReserve before the end, or
// longer if no host could take them. In a rolling restart, the other hosts may be
// stopping too, or be stopped soon: resigning at once would leave a shard without a
// scheduler, or change it with each host that stops.
func (h *Host) drain(callers *fasthttp.Server) {
	begin := time.Now()
	h.log.Info("draining", "connections", callers.GetOpenConnectionsCount())
	h.draining.Store(true)
	h.forEachElection(func(s *shardElection) {
		s.elector.Retire()
		s.requestJoin() // tells the scheduler that this host is stopping
	})
	end := max(seconds(h.settings.GraceSeconds)-shutdownReserve, 0)
	resigned := false
	resign := func() {
		if !resigned {
			resigned = true
			h.forEachElection(func(s *shardElection) { s.elector.Resign() })
		}
	}
	for elapsed := time.Duration(0); elapsed < end; elapsed = time.Since(begin) {
		if handoverDue(end-elapsed, len(h.joinedHosts.staying(time.Now()))) {
			resign()
		}
		if elapsed >= minDrainTime && callers.GetOpenConnectionsCount() <= 0 && !h.holdsShard() {
			break
		}
		time.Sleep(drainPollInterval)
	}
	resign() // the process may have been paused when it was due
	h.endCallerCalls()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownReserve/2)
	defer cancel()
	if err := callers.ShutdownWithContext(ctx); err != nil {
		h.log.Info("connections still open at the end of the drain", "connections", callers.GetOpenConnectionsCount(), "requests", h.openRequests.Load(), "error", err.Error())
	}
	for h.holdsShard() && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	h.log.Info("stopped", "took_ms", time.Since(begin).Milliseconds())
}

// handoverDue reports whether a stopping host should resign when remaining is left of
// its drain and successors is the number of hosts that can claim its shards.
func handoverDue(remaining time.Duration, successors int) bool {
	return remaining <= lastHandoverReserve || remaining <= handoverReserve && successors > 0
}

// forEachElection calls do for the election of each shard.
func (h *Host) forEachElection(do func(*shardElection)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.elections {
		do(s)
	}
}

// holdsShard reports whether this host schedules a shard.
func (h *Host) holdsShard() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.elections {
		if s.elector.IsHolder() {
			return true
		}
	}
	return false
}
