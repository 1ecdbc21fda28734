package entryhost

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/configuration"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/holding"
	"github.com/laburnumpass/laburnumpass/internal/link"
	"github.com/laburnumpass/laburnumpass/internal/logging"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/schedule"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// outcomes are the outcomes that a caller may get, with their reasons.
var outcomes = map[api.Outcome][]api.Reason{
	api.Answered: {""},
	api.NotRun: {api.ReasonInvalid, api.ReasonNeverFits, api.ReasonQueueFull, api.ReasonDeadline, api.ReasonQuota,
		api.ReasonCancelled, api.ReasonNotReady, api.ReasonWorkerFailed},
	api.Unknown: {api.ReasonHomeUnreachable, api.ReasonBeforeHorizon, api.ReasonNoReply, api.ReasonPending, api.ReasonNotReady},
}

// registerMetrics makes the state of the host's parts visible as metrics.
// docs/metrics.md lists them.
func (h *Host) registerMetrics() {
	h.registerRequests()
	h.registerRecords()
	h.registerScheduler()
	h.registerWorkers()
	h.registerPeers()
	h.registerPlatform()
	h.registerListeners()
}

func (h *Host) registerRequests() {
	t := h.telemetry
	for outcome, reasons := range outcomes {
		for _, reason := range reasons {
			t.declare("", outcomeMetric(string(outcome), string(reason)))
		}
	}
	t.declare("requests.refused.", string(api.ReasonInvalid), string(api.ReasonNotReady))
	t.declare("requests.", "forwarded", "forward_refused")
	t.declare("gangs.", "retries", "reservations_expired")
	t.gauge("requests.in_progress", h.inProgress.Load)
	t.gauge("requests.in_progress_limit", func() int64 { return int64(h.settings.Limits.RequestsInProgress) })
	t.gauge("requests.detached", func() int64 { return int64(h.detached.length()) })
	t.gauge("gangs.reservations", func() int64 { return int64(h.reservations.length()) })
	t.gauge("dispatches.kept", func() int64 { return int64(h.dispatches.length()) })
	t.gauge("ready", func() int64 { return oneIf(h.notReady() == "") })
	t.gauge("draining", func() int64 { return oneIf(h.draining.Load()) })
	t.gauge("timeline.events", func() int64 { kept, _ := h.ring.Stats(); return int64(kept) })
	t.gauge("timeline.events_limit", func() int64 { return int64(h.settings.Limits.TimelineEvents) })
	t.total("timeline.dropped", func() uint64 { _, dropped := h.ring.Stats(); return dropped })
	t.total("log.left_out", logging.DroppedLines)
}

func (h *Host) registerRecords() {
	for name, read := range map[string]func(request.Stats) int64{
		"kept":              func(s request.Stats) int64 { return s.Records },
		"running":           func(s request.Stats) int64 { return s.Running },
		"body_bytes":        func(s request.Stats) int64 { return s.BodyBytes },
		"unconfirmed":       func(s request.Stats) int64 { return s.UnconfirmedMessages },
		"replication_queue": func(s request.Stats) int64 { return s.ReplicationQueue },
	} {
		h.telemetry.gauge("records."+name, func() int64 { return read(h.keeper.Stats()) })
	}
	for name, read := range map[string]func(request.Stats) uint64{
		"submits":        func(s request.Stats) uint64 { return s.Submits },
		"duplicates":     func(s request.Stats) uint64 { return s.Duplicates },
		"retries":        func(s request.Stats) uint64 { return s.Retries },
		"cancelled":      func(s request.Stats) uint64 { return s.Cancelled },
		"refused":        func(s request.Stats) uint64 { return s.RefusedRecords },
		"reserve_failed": func(s request.Stats) uint64 { return s.FailedReservations },
		"before_horizon": func(s request.Stats) uint64 { return s.BeforeHorizon },
		"late":           func(s request.Stats) uint64 { return s.LateCopies },
		"damaged":        func(s request.Stats) uint64 { return s.DamagedAnswers },
		"resolutions":    func(s request.Stats) uint64 { return s.Resolutions },
		"expired":        func(s request.Stats) uint64 { return s.Expired },
		"bodies_dropped": func(s request.Stats) uint64 { return s.BodiesDropped },
	} {
		h.telemetry.total("records."+name, func() uint64 { return read(h.keeper.Stats()) })
	}
	h.telemetry.gauge("records.kept_limit", func() int64 { return request.DefaultMaxRecords })
	h.telemetry.gauge("records.body_bytes_limit", func() int64 { return int64(h.settings.Limits.AnswerCacheMiB) << 20 })
	h.telemetry.seconds("records.complete_for", func() time.Duration { return time.Since(h.keeper.Horizon()) })
	h.telemetry.gauge("keeper_lease.valid", func() int64 { return oneIf(h.membership.LeaseValid()) })
}

func (h *Host) registerScheduler() {
	t := h.telemetry
	t.gauge("queue.length", h.queueLength)
	t.each("services.queued", "service", func() map[string]float64 {
		return perService(h.scheduler.Load(), func(l schedule.ServiceLoad) float64 { return float64(l.Queued) })
	})
	t.each("services.free_slots", "service", func() map[string]float64 {
		return perService(h.scheduler.Load(), func(l schedule.ServiceLoad) float64 { return float64(l.FreeSlots) })
	})
	t.each("services.estimated_wait.seconds", "service", func() map[string]float64 {
		return perService(h.scheduler.Load(), func(l schedule.ServiceLoad) float64 { return l.EstimatedWait.Seconds() })
	})
	for name, read := range map[string]func(schedule.ProfileStats) int{
		"queued":           func(p schedule.ProfileStats) int { return p.Queued },
		"queue_limit":      func(p schedule.ProfileStats) int { return p.Limit },
		"slots_used":       func(p schedule.ProfileStats) int { return p.Running },
		"slots_guaranteed": func(p schedule.ProfileStats) int { return p.Guaranteed },
		"lanes":            func(p schedule.ProfileStats) int { return p.Lanes },
	} {
		t.each("profiles."+name, "profile", func() map[string]float64 { return perName(h.scheduler.Stats().Profiles, read) })
	}
	for name, read := range map[string]func(schedule.TeamStats) int{
		"slots_used":   func(s schedule.TeamStats) int { return s.Running },
		"slots_queued": func(s schedule.TeamStats) int { return s.Queued },
		"slots_limit":  func(s schedule.TeamStats) int { return s.Limit },
	} {
		t.each("teams."+name, "team", func() map[string]float64 { return perName(h.scheduler.Stats().Teams, read) })
	}
	t.gauge("quotas.slots_lent", func() int64 { given, _ := h.quotas.lent(); return int64(given) })
	t.gauge("quotas.slots_borrowed", func() int64 { _, received := h.quotas.lent(); return int64(received) })
	t.gauge("sizes.learned", func() int64 { return int64(h.scheduler.Stats().HistoryRecords) })
}

func (h *Host) registerWorkers() {
	t := h.telemetry
	t.gauge("workers.slots", func() int64 { return int64(h.scheduler.Stats().Slots) })
	t.gauge("workers.slots_used", func() int64 { return int64(h.scheduler.Stats().SlotsUsed) })
	t.gauge("workers.set_aside", func() int64 { return int64(h.scheduler.Stats().Quarantined) })
	for name, counts := range map[string]func(holding.WorkerState) bool{
		"known":    func(holding.WorkerState) bool { return true },
		"held":     func(w holding.WorkerState) bool { return w.Held },
		"missing":  func(w holding.WorkerState) bool { return !w.Held && h.ownerOf(w.Info.Name) == h.self.Name },
		"settling": func(w holding.WorkerState) bool { return w.Settling },
		"leaving":  func(w holding.WorkerState) bool { return w.Leaving },
	} {
		t.gauge("workers."+name, func() int64 { return h.countWorkers(counts) })
	}
	t.declare("workers.", "leases_gained", "leases_lost")
	t.declare("tasks.", "failed", "start_reply_lost")
	for _, state := range []worker.TaskState{worker.TaskEnded, worker.TaskFenced, worker.TaskStopped, worker.TaskUnknown} {
		t.declare("tasks.", string(state))
	}
	for _, action := range []contract.OverrunAction{contract.OverrunThrottle, contract.OverrunCheckpoint, contract.OverrunStop} {
		t.declare("tasks.overrun.", string(action))
	}
	for _, r := range startRefusals {
		t.declare("tasks.start_refused.", r.name)
	}
}

func (h *Host) registerPeers() {
	t := h.telemetry
	t.gauge("membership.live", func() int64 { return int64(len(h.membership.LiveHosts())) })
	t.gauge("membership.hosts", func() int64 { return int64(len(h.topology.HostsIn(h.self.FailureDomain))) })
	t.declare("membership.", "rejoins")
	t.gauge("peers.calls", h.peerCalls.Load)
	t.gauge("peers.far_bytes_per_second_limit", func() int64 { return h.links.Stats().CrossRegionBytesPerSecond })
	t.gauge("peers.far_budget_bytes", func() int64 { return h.links.Stats().CrossRegionBudgetBytes })
	for name, read := range map[string]func(link.Stats) int64{
		"control.sent_bytes":     func(s link.Stats) int64 { return s.Heartbeat.SentBytes },
		"control.received_bytes": func(s link.Stats) int64 { return s.Heartbeat.ReceivedBytes },
		"control.messages":       func(s link.Stats) int64 { return s.Heartbeat.SentMessages },
		"peers.sent_bytes":       func(s link.Stats) int64 { return s.Other.SentBytes },
		"peers.received_bytes":   func(s link.Stats) int64 { return s.Other.ReceivedBytes },
	} {
		t.total(name, func() uint64 { return uint64(read(h.links.Stats())) })
	}
	t.total("control.served_bytes", func() uint64 { return uint64(h.served.Load()) })
}

func (h *Host) registerPlatform() {
	t := h.telemetry
	t.gauge("configuration.offset", func() int64 { return int64(h.config.AppliedOffset()) })
	t.seconds("configuration.log_failing", h.config.LogFailingFor)
	t.gauge("publish.unsettled", func() int64 { return int64(h.publisher.Unsettled()) })
	for _, status := range []configuration.Status{configuration.StatusAccepted, configuration.StatusLostRace,
		configuration.StatusInvalid, configuration.StatusUnavailable, configuration.StatusUnknown} {
		t.declare("publish.", string(status))
	}
	t.declare("host_list.", "errors")
	t.seconds("host_list.age", func() time.Duration { return time.Since(time.Unix(0, h.listRead.Load())) })
}

func (h *Host) registerListeners() {
	t := h.telemetry
	for _, l := range []struct {
		name   string
		server *fasthttp.Server
	}{{"callers", h.callers}, {"operators", h.operators}} {
		t.gauge(l.name+".connections", func() int64 { return int64(l.server.GetCurrentConcurrency()) })
		t.gauge(l.name+".connections_limit", func() int64 { return int64(l.server.Concurrency) })
		t.total(l.name+".connections_refused", func() uint64 { return uint64(l.server.GetRejectedConnectionsCount()) })
		t.declare(l.name+".", "connection_errors")
	}
	t.total("accept_failures", h.acceptFailures.Load)
	t.declare("callers.", "unreadable")
	t.declare("operators.", "unauthorized")
}

func (h *Host) countWorkers(counts func(holding.WorkerState) bool) int64 {
	n := int64(0)
	for _, w := range h.holding.Workers() {
		if counts(w) {
			n++
		}
	}
	return n
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

func (h *Host) queueLength() int64 {
	queued := int64(0)
	for _, l := range h.refresh() {
		queued += int64(l.Queued)
	}
	return queued
}

func perService(loads []schedule.ServiceLoad, read func(schedule.ServiceLoad) float64) map[string]float64 {
	out := make(map[string]float64, len(loads))
	for _, l := range loads {
		out[l.Service] = read(l)
	}
	return out
}

func perName[T any](stats map[string]T, read func(T) int) map[string]float64 {
	out := make(map[string]float64, len(stats))
	for name, s := range stats {
		out[name] = float64(read(s))
	}
	return out
}

func oneIf(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}
