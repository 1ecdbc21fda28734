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
	// drainPollInterval is the time between two checks whether the drain is over.
	drainPollInterval = 50 * time.Millisecond
)

// drain resigns from all services and serves callers until their connections are
// closed or the grace period is nearly over. Every request that was read gets an
// answer: calls that would outlast the drain end with it.
func (h *Host) drain(callers *fasthttp.Server) {
	begin := time.Now()
	h.log.Info("draining", "connections", callers.GetOpenConnectionsCount())
	h.draining.Store(true)
	h.mu.Lock()
	for _, s := range h.elections {
		s.elector.Retire()
	}
	h.mu.Unlock()
	end := max(seconds(h.settings.GraceSeconds)-shutdownReserve, 0)
	for time.Since(begin) < end && (time.Since(begin) < minDrainTime || callers.GetOpenConnectionsCount() > 0) {
		time.Sleep(drainPollInterval)
	}
	h.endCallerCalls()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownReserve/2)
	defer cancel()
	if err := callers.ShutdownWithContext(ctx); err != nil {
		h.log.Info("connections still open at the end of the drain", "connections", callers.GetOpenConnectionsCount(), "requests", h.openRequests.Load(), "error", err.Error())
	}
	h.log.Info("stopped", "took_ms", time.Since(begin).Milliseconds())
}
