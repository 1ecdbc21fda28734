package entryhost

import "context"

// registerGauges makes the state of the host's parts visible as metrics.
func (h *Host) registerGauges() {
	t := h.telemetry
	t.gauge("requests.in_progress", h.inProgress.Load)
	t.gauge("records.kept", func() int64 { return h.keeper.Stats().Records })
	t.gauge("records.running", func() int64 { return h.keeper.Stats().Running })
	t.gauge("records.body_bytes", func() int64 { return h.keeper.Stats().BodyBytes })
	t.gauge("records.duplicates", func() int64 { return int64(h.keeper.Stats().Duplicates) })
	t.gauge("records.before_horizon", func() int64 { return int64(h.keeper.Stats().BeforeHorizon) })
	t.gauge("records.reserve_failed", func() int64 { return int64(h.keeper.Stats().ReserveFailed) })
	t.gauge("configuration.offset", func() int64 { return int64(h.config.Applied()) })
	t.gauge("workers.held", h.heldWorkers)
	t.gauge("queue.length", h.queueLength)
	t.gauge("control.sent_bytes", func() int64 { return int64(h.links.Stats().Heartbeat.SentBytes) })
	t.gauge("control.received_bytes", func() int64 { return int64(h.links.Stats().Heartbeat.ReceivedBytes) })
	t.gauge("control.messages", func() int64 { return int64(h.links.Stats().Heartbeat.SentMessages) })
	t.gauge("peers.sent_bytes", func() int64 { return int64(h.links.Stats().Other.SentBytes) })
	t.gauge("peers.received_bytes", func() int64 { return int64(h.links.Stats().Other.ReceivedBytes) })
	t.gauge("accept.failures", func() int64 { return int64(h.acceptFailures.Load()) })
	t.gauge("ready", func() int64 {
		if h.notReady() == "" {
			return 1
		}
		return 0
	})
}

// ControlBytes returns the heartbeat traffic of this host since its start, sent
// and received, in bytes with an estimate for headers.
func (h *Host) ControlBytes() int64 {
	c := h.links.Stats().Heartbeat
	return c.SentBytes + c.ReceivedBytes + h.served.Load()
}

// PeerBytes returns the bytes of this host's own calls to peers since its start,
// heartbeats excepted, with an estimate for headers.
func (h *Host) PeerBytes() int64 {
	c := h.links.Stats().Other
	return c.SentBytes + c.ReceivedBytes
}

func (h *Host) heldWorkers() int64 {
	held := int64(0)
	for _, w := range h.holding.Workers() {
		if w.Held {
			held++
		}
	}
	return held
}

func (h *Host) queueLength() int64 {
	queued := int64(0)
	for _, l := range h.refresh() {
		queued += int64(l.Queued)
	}
	return queued
}

// actOnOverruns carries out the profiles' actions against tasks that outgrew
// their declared size.
func (h *Host) actOnOverruns() {
	for _, a := range h.scheduler.Overruns() {
		ctx, cancel := context.WithTimeout(h.life, statusCall)
		if err := h.holding.Act(ctx, a.Worker, a.Task, a.Kind, a.Limit); err != nil {
			h.log.V(1).Info("action against an outgrown task failed", "task", a.Task, "action", a.Kind, "error", err.Error())
		}
		cancel()
		h.telemetry.count("tasks.overrun." + string(a.Kind))
		h.event("overrun_"+string(a.Kind), "", string(a.Task), a.Worker)
	}
}
