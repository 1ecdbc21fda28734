package entryhost

import "context"

// actOnOverruns carries out the profiles' actions against tasks that outgrew
// their declared size.
func (h *Host) actOnOverruns() {
	for _, a := range h.scheduler.TakeOverrunActions() {
		ctx, cancel := context.WithTimeout(h.life, statusCall)
		if err := h.holding.ApplyOverrunAction(ctx, a.Worker, a.Task, a.Kind, a.Limit); err != nil {
			h.log.V(1).Info("action against an outgrown task failed", "task", a.Task, "action", a.Kind, "error", err.Error())
		}
		cancel()
		h.telemetry.count("tasks.overrun." + string(a.Kind))
		h.recordEvent("overrun_"+string(a.Kind), "", string(a.Task), a.Worker)
	}
}
