package entryhost

import (
	"context"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/domain"
)

// Drain stops this host without interrupting requests: it reports not ready to
// the load balancer, hands over its records and workers, and waits for the
// requests in progress, also those that it runs for peers. It returns when none is
// left and the callers' listener is closed, or the drain time has passed.
func (h *Host) Drain() {
	h.drainOnce.Do(func() {
		defer close(h.drained)
		h.draining.Store(true)
		h.log.Info("draining")
		h.recordEvent("drain_begin", "", "", "")
		ctx, cancel := context.WithTimeout(h.lifetime, time.Duration(h.settings.Limits.DrainSeconds)*time.Second)
		defer cancel()
		h.membership.BeginDrain()
		if !h.awaitSuccessor(ctx, domain.SuccessorUnconfirmed) {
			h.finishQueue(ctx)
		}
		h.handOver(ctx)
		// The listener stays open for the health checks of callers that wait for an
		// answer: without a reply they would give the host up.
		h.refusing.Store(true)
		for h.requestsInProgress.Load()+h.peerCallsInProgress.Load() > 0 {
			if !pause(ctx, schedulerTick) {
				break
			}
		}
		if err := h.callersServer.ShutdownWithContext(ctx); err != nil {
			h.log.Error(err, "calls were still in progress at the end of the drain time")
		}
		h.log.Info("drained", "in_progress", h.requestsInProgress.Load())
	})
	<-h.drained
}

// drainExitDelay is how long a draining host keeps taking requests. It covers the
// load balancer's health check interval.
const drainExitDelay = time.Second

// awaitSuccessor reports whether another host of the failure domain can take over the
// records, the queue and the workers of this host. It waits while the best candidate is
// at least the given one.
func (h *Host) awaitSuccessor(ctx context.Context, candidate domain.Successor) bool {
	for {
		best := h.membership.Successor()
		if best == domain.SuccessorReady {
			return true
		}
		if best < candidate || !pause(ctx, schedulerTick) {
			return false
		}
	}
}

// finishQueue runs the queue to its end, as a host without a successor. If another host
// is joining, it waits until that one has copied the records.
func (h *Host) finishQueue(ctx context.Context) {
	pause(ctx, drainExitDelay)
	h.refusing.Store(true)
	h.drainKeeper(ctx)
	h.awaitSuccessor(ctx, domain.SuccessorJoining)
}

// handOver leaves the failure domain, releases the workers and waits for the runs in
// progress. In the time that it waits at the end, at least two more heartbeats tell
// the peers of the failure domain that this host is leaving, and calls on connections
// that the load balancer still opens are served.
func (h *Host) handOver(ctx context.Context) {
	h.membership.Leave()
	h.runner.stopPlacing(errHandover)
	if err := h.holding.Handover(ctx); err != nil {
		h.log.Error(err, "some worker leases were not released and will expire")
	}
	h.drainKeeper(ctx)
	pause(ctx, drainExitDelay)
}

func (h *Host) drainKeeper(ctx context.Context) {
	if err := h.keeper.Drain(ctx); err != nil {
		h.log.Error(err, "requests were still in progress at the end of the drain time")
	}
}
