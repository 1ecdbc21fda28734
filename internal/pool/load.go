package pool

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// loadLogInterval is the time between two log lines about the load.
const loadLogInterval = time.Second

// logLoad logs the capacity, its use and the waiting tasks of the service. The
// caller must hold p.mu.
func (p *Pool) logLoad(now time.Time) {
	var capacity, used worker.Resources
	usable, runs := 0, 0
	for _, n := range p.nodes {
		runs += len(n.runs)
		if n.usable(now) {
			usable++
			capacity = capacity.Add(n.entry.Capacity)
			used = used.Add(n.used)
		}
	}
	waiting := make(map[string]int)
	callsInFlight, oldest := 0, time.Duration(0)
	for _, s := range p.readySteps(now) {
		waiting[s.job.queue.Name] += len(s.unplacedTasks())
		oldest = max(oldest, now.Sub(s.readyAt))
	}
	for _, a := range p.advisors {
		callsInFlight += a.callsInFlight
	}
	p.log.Info("load", "workers", len(p.nodes), "usable", usable, "runs", runs,
		"cpu", capacity.MilliCPU/1000, "cpu_used", used.MilliCPU/1000, "accelerators", capacity.Accelerators, "accelerators_used", used.Accelerators,
		"memory_gib", capacity.MemoryMiB/1024, "memory_used", used.MemoryMiB/1024,
		"waiting", waiting, "oldest_ms", oldest.Milliseconds(), "asking", callsInFlight, "advisors", len(p.advisors), "passes", p.passes, "pass_ms", p.passTime.Milliseconds(), "stops_for_room", p.stopsForRoom, "last_pass", p.lastPass)
	p.passes, p.passTime, p.stopsForRoom = 0, 0, 0
}
