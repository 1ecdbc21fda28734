package schedule

// Stats is a snapshot of the state of a Scheduler.
type Stats struct {
	// Slots and SlotsUsed count the slots of the held workers. Both tasks and
	// reservations use slots.
	Slots, SlotsUsed int
	// Quarantined counts the workers that get no work other than probes because
	// they failed tasks.
	Quarantined int
	// HistoryRecords counts the combinations of service and team for which
	// observed sizes, run times and outcomes are kept, at most 4,096.
	HistoryRecords int
	// Profiles and Teams are keyed by name. Profiles that are not configured and
	// teams without work are omitted.
	Profiles map[string]ProfileStats
	Teams    map[string]TeamStats
}

// ProfileStats describes the work of a profile. Queued and Limit count jobs,
// Running and Guaranteed count slots.
type ProfileStats struct {
	Queued, Limit, Running, Guaranteed int
	// Lanes counts the lanes with queued jobs. At most 64 of them have a single
	// task size; see maxLanes.
	Lanes int
}

// TeamStats describes what a team uses on this host, in slots.
type TeamStats struct {
	Running, Queued int
	// Limit is the part of the team's quota that applies on this host.
	Limit int
}

// Stats returns a snapshot of the current state.
func (s *Scheduler) Stats() Stats {
	s.lock()
	defer s.unlock()
	out := Stats{
		Slots:          s.allPool.total.slots,
		SlotsUsed:      s.allPool.allocated.slots,
		Quarantined:    len(s.health.quarantined),
		HistoryRecords: len(s.history.list),
		Profiles:       make(map[string]ProfileStats, len(s.profiles)),
		Teams:          make(map[string]TeamStats),
	}
	for name, p := range s.profiles {
		if p.configured {
			out.Profiles[name] = ProfileStats{Queued: p.queued, Limit: p.Queue.Limit, Running: p.running, Guaranteed: p.guaranteed, Lanes: p.laneCount}
		}
	}
	for name, t := range s.teams {
		if t.used.slots > 0 || t.queuedMembers > 0 {
			out.Teams[name] = TeamStats{Running: t.used.slots, Queued: t.queuedMembers, Limit: max(t.limit(), 0)}
		}
	}
	return out
}
