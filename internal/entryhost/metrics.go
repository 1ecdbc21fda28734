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

// outcomeReasons lists the outcomes that a caller can get, each with its reasons.
var outcomeReasons = map[api.Outcome][]api.Reason{
	api.Answered: {""},
	api.NotRun: {api.ReasonInvalid, api.ReasonNeverFits, api.ReasonQueueFull, api.ReasonDeadline, api.ReasonQuota,
		api.ReasonCancelled, api.ReasonNotReady, api.ReasonWorkerFailed},
	api.Unknown: {api.ReasonHomeUnreachable, api.ReasonBeforeHorizon, api.ReasonNoReply, api.ReasonPending, api.ReasonNotReady},
}

// registerMetrics registers the metrics of all components of the host, which
// docs/metrics.md lists.
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
	for outcome, reasons := range outcomeReasons {
		for _, reason := range reasons {
			t.declareCounters("", outcomeMetric(string(outcome), string(reason)))
		}
	}
	t.declareCounters("requests.refused.", string(api.ReasonInvalid), string(api.ReasonNotReady))
	t.declareCounters("requests.", "forwarded", "forward_refused")
	t.declareCounters("gangs.", "retries", "reservations_expired")
	t.gauge("requests.in_progress", h.requestsInProgress.Load)
	t.gauge("requests.in_progress_limit", func() int64 { return int64(h.settings.Limits.RequestsInProgress) })
	t.gauge("requests.detached", func() int64 { return int64(h.detached.length()) })
	t.gauge("gangs.reservations", func() int64 { return int64(h.reservations.length()) })
	t.gauge("dispatches.kept", func() int64 { return int64(h.dispatches.length()) })
	t.gauge("ready", func() int64 { return boolToInt(h.notReadyReason() == "") })
	t.gauge("draining", func() int64 { return boolToInt(h.draining.Load()) })
	t.gauge("timeline.events", func() int64 { kept, _ := h.timeline.Stats(); return int64(kept) })
	t.gauge("timeline.events_limit", func() int64 { return int64(h.settings.Limits.TimelineEvents) })
	t.counterFunc("timeline.dropped", func() uint64 { _, dropped := h.timeline.Stats(); return dropped })
	t.counterFunc("log.left_out", func() uint64 { return logging.DroppedLines() + logging.DroppedTaskLines() })
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
		h.telemetry.counterFunc("records."+name, func() uint64 { return read(h.keeper.Stats()) })
	}
	h.telemetry.gauge("records.kept_limit", func() int64 { return request.DefaultMaxRecords })
	h.telemetry.gauge("records.body_bytes_limit", func() int64 { return int64(h.settings.Limits.AnswerCacheMiB) << 20 })
	h.telemetry.durationGauge("records.complete_for", func() time.Duration { return time.Since(h.keeper.Horizon()) })
	h.telemetry.gauge("keeper_lease.valid", func() int64 { return boolToInt(h.membership.LeaseValid()) })
}

func (h *Host) registerScheduler() {
	t := h.telemetry
	t.gauge("queue.length", h.queueLength)
	t.gaugePerLabel("services.queued", "service", func() map[string]float64 {
		return perService(h.scheduler.Load(), func(l schedule.ServiceLoad) float64 { return float64(l.Queued) })
	})
	t.gaugePerLabel("services.free_slots", "service", func() map[string]float64 {
		return perService(h.scheduler.Load(), func(l schedule.ServiceLoad) float64 { return float64(l.FreeSlots) })
	})
	t.gaugePerLabel("services.estimated_wait.seconds", "service", func() map[string]float64 {
		return perService(h.scheduler.Load(), func(l schedule.ServiceLoad) float64 { return l.EstimatedWait.Seconds() })
	})
	for name, read := range map[string]func(schedule.ProfileStats) int{
		"queued":           func(p schedule.ProfileStats) int { return p.Queued },
		"queue_limit":      func(p schedule.ProfileStats) int { return p.Limit },
		"slots_used":       func(p schedule.ProfileStats) int { return p.Running },
		"slots_guaranteed": func(p schedule.ProfileStats) int { return p.Guaranteed },
		"lanes":            func(p schedule.ProfileStats) int { return p.Lanes },
	} {
		t.gaugePerLabel("profiles."+name, "profile", func() map[string]float64 { return perName(h.scheduler.Stats().Profiles, read) })
	}
	for name, read := range map[string]func(schedule.TeamStats) int{
		"slots_used":   func(s schedule.TeamStats) int { return s.Running },
		"slots_queued": func(s schedule.TeamStats) int { return s.Queued },
		"slots_limit":  func(s schedule.TeamStats) int { return s.Limit },
	} {
		t.gaugePerLabel("teams."+name, "team", func() map[string]float64 { return perName(h.scheduler.Stats().Teams, read) })
	}
	t.gauge("quotas.slots_lent", func() int64 { lent, _ := h.quotas.lentAndBorrowed(); return int64(lent) })
	t.gauge("quotas.slots_borrowed", func() int64 { _, borrowed := h.quotas.lentAndBorrowed(); return int64(borrowed) })
	t.gauge("sizes.learned", func() int64 { return int64(h.scheduler.Stats().HistoryRecords) })
}

func (h *Host) registerWorkers() {
	t := h.telemetry
	t.gauge("workers.slots", func() int64 { return int64(h.scheduler.Stats().Slots) })
	t.gauge("workers.slots_used", func() int64 { return int64(h.scheduler.Stats().SlotsUsed) })
	t.gauge("workers.set_aside", func() int64 { return int64(h.scheduler.Stats().Quarantined) })
	for name, matches := range map[string]func(holding.WorkerState) bool{
		"known":    func(holding.WorkerState) bool { return true },
		"held":     func(w holding.WorkerState) bool { return w.Held },
		"missing":  func(w holding.WorkerState) bool { return !w.Held && h.ownerOf(w.Info.Name) == h.self.Name },
		"settling": func(w holding.WorkerState) bool { return w.Settling },
		"leaving":  func(w holding.WorkerState) bool { return w.Leaving },
	} {
		t.gauge("workers."+name, func() int64 { return h.countWorkers(matches) })
	}
	t.declareCounters("workers.", "leases_gained", "leases_lost")
	t.declareCounters("tasks.", "failed", "start_reply_lost")
	for _, state := range []worker.TaskState{worker.TaskEnded, worker.TaskFenced, worker.TaskStopped, worker.TaskUnknown} {
		t.declareCounters("tasks.", string(state))
	}
	for _, action := range []contract.OverrunAction{contract.OverrunThrottle, contract.OverrunCheckpoint, contract.OverrunStop} {
		t.declareCounters("tasks.overrun.", string(action))
	}
	for _, r := range startRefusals {
		t.declareCounters("tasks.start_refused.", r.name)
	}
}

func (h *Host) registerPeers() {
	t := h.telemetry
	t.gauge("membership.live", func() int64 { return int64(len(h.membership.LiveHosts())) })
	t.gauge("membership.hosts", func() int64 { return int64(len(h.topology.HostsIn(h.self.FailureDomain))) })
	t.declareCounters("membership.", "rejoins")
	t.gauge("peers.calls", h.peerCallsInProgress.Load)
	t.gauge("peers.far_bytes_per_second_limit", func() int64 { return h.links.Stats().CrossRegionBytesPerSecond })
	t.gauge("peers.far_budget_bytes", func() int64 { return h.links.Stats().CrossRegionBudgetBytes })
	for name, read := range map[string]func(link.Stats) int64{
		"control.sent_bytes":     func(s link.Stats) int64 { return s.Heartbeat.SentBytes },
		"control.received_bytes": func(s link.Stats) int64 { return s.Heartbeat.ReceivedBytes },
		"control.messages":       func(s link.Stats) int64 { return s.Heartbeat.SentMessages },
		"peers.sent_bytes":       func(s link.Stats) int64 { return s.Other.SentBytes },
		"peers.received_bytes":   func(s link.Stats) int64 { return s.Other.ReceivedBytes },
	} {
		t.counterFunc(name, func() uint64 { return uint64(read(h.links.Stats())) })
	}
	t.counterFunc("control.served_bytes", func() uint64 { return uint64(h.heartbeatBytesServed.Load()) })
}

func (h *Host) registerPlatform() {
	t := h.telemetry
	t.gauge("configuration.offset", func() int64 { return int64(h.config.AppliedOffset()) })
	t.durationGauge("configuration.log_failing", h.config.LogFailingFor)
	t.gauge("publish.unsettled", func() int64 { return int64(h.publisher.Unconfirmed()) })
	for _, status := range []configuration.Status{configuration.StatusAccepted, configuration.StatusLostRace,
		configuration.StatusInvalid, configuration.StatusUnavailable, configuration.StatusUnknown} {
		t.declareCounters("publish.", string(status))
	}
	t.declareCounters("host_list.", "errors")
	t.durationGauge("host_list.age", func() time.Duration { return time.Since(time.Unix(0, h.hostListReadAt.Load())) })
}

func (h *Host) registerListeners() {
	t := h.telemetry
	for _, l := range []struct {
		name   string
		server *fasthttp.Server
	}{{"callers", h.callersServer}, {"operators", h.operatorsServer}} {
		t.gauge(l.name+".connections", func() int64 { return int64(l.server.GetCurrentConcurrency()) })
		t.gauge(l.name+".connections_limit", func() int64 { return int64(l.server.Concurrency) })
		t.counterFunc(l.name+".connections_refused", func() uint64 { return uint64(l.server.GetRejectedConnectionsCount()) })
		t.declareCounters(l.name+".", "connection_errors")
	}
	t.counterFunc("accept_failures", h.acceptFailures.Load)
	t.declareCounters("callers.", "unreadable")
	t.declareCounters("operators.", "unauthorized")
}

// countWorkers returns the number of workers for which matches returns true.
func (h *Host) countWorkers(matches func(holding.WorkerState) bool) int64 {
	n := int64(0)
	for _, w := range h.holding.Workers() {
		if matches(w) {
			n++
		}
	}
	return n
}

// ControlBytes returns the number of bytes of heartbeats and their replies that
// this host has sent and received since its start. Headers are estimated.
func (h *Host) ControlBytes() int64 {
	c := h.links.Stats().Heartbeat
	return c.SentBytes + c.ReceivedBytes + h.heartbeatBytesServed.Load()
}

// PeerBytes returns the number of bytes that this host has sent and received in its
// own calls to peers since its start, without heartbeats. Headers are estimated.
func (h *Host) PeerBytes() int64 {
	c := h.links.Stats().Other
	return c.SentBytes + c.ReceivedBytes
}

// queueLength returns the number of queued requests of all services.
func (h *Host) queueLength() int64 {
	queued := int64(0)
	for _, l := range h.localLoads() {
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

func boolToInt(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}
