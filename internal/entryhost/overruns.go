package entryhost

import "context"

// applyOverrunActions takes the actions that the profiles define against tasks that
// exceed their declared size.
func (h *Host) applyOverrunActions() {
	for _, a := range h.scheduler.TakeOverrunActions() {
		ctx, cancel := context.WithTimeout(h.lifetime, statusCallTimeout)
		if err := h.holding.ApplyOverrunAction(ctx, a.Worker, a.Task, a.Kind, a.Limit); err != nil {
			h.log.V(1).Info("action against a task that exceeds its declared size failed", "task", a.Task, "action", a.Kind, "error", err.Error())
		}
		cancel()
		h.telemetry.count("tasks.overrun." + string(a.Kind))
		h.recordEvent("overrun_"+string(a.Kind), "", string(a.Task), a.Worker)
	}
}
