package schedule

// Stats describes what a Scheduler holds.
type Stats struct {
	// Slots and SlotsUsed are those of the held workers; tasks and reservations
	// use slots.
	Slots, SlotsUsed int
	// Quarantined counts the workers that take no work because they failed tasks.
	Quarantined int
	// HistoryRecords counts the entries of the table of sizes and run times, of at most
	// 4,096.
	HistoryRecords int
	// Profiles and Teams are by name. A team without work is left out.
	Profiles map[string]ProfileStats
	Teams    map[string]TeamStats
}

// ProfileStats describes the work of a profile. Queued and Limit are in jobs,
// Running and Guaranteed in slots.
type ProfileStats struct {
	Queued, Limit, Running, Guaranteed int
	// Lanes counts the sizes that are queued separately, of at most 64.
	Lanes int
}

// TeamStats describes what a team uses on this host, in slots.
type TeamStats struct {
	Running, Queued int
	// Limit is this host's part of the team's quota.
	Limit int
}

// Stats returns the present amounts.
func (s *Scheduler) Stats() Stats {
	s.lock()
	defer s.unlock()
	out := Stats{
		Slots:          s.all.total.slots,
		SlotsUsed:      s.all.charged.slots,
		Quarantined:    len(s.health.aside),
		HistoryRecords: len(s.learned.list),
		Profiles:       make(map[string]ProfileStats, len(s.profiles)),
		Teams:          make(map[string]TeamStats),
	}
	for name, p := range s.profiles {
		if p.known {
			out.Profiles[name] = ProfileStats{Queued: p.queued, Limit: p.Queue.Limit, Running: p.running, Guaranteed: p.guaranteed, Lanes: p.lanes}
		}
	}
	for name, t := range s.teams {
		if t.used.slots > 0 || t.queued > 0 {
			out.Teams[name] = TeamStats{Running: t.used.slots, Queued: t.queued, Limit: max(t.limit(), 0)}
		}
	}
	return out
}
