package pool

// passLog sums up what the last pass did not start, for the log line about the load.
type passLog struct {
	// LeftOut counts the steps that the pass did not try, by queue.
	LeftOut map[string]int `json:"left_out,omitempty"`
	// Held describes the steps that the quotas of their teams held, by team.
	Held map[string]*heldLog `json:"held,omitempty"`
}

// heldLog describes the steps of one team that its quota held in a pass.
type heldLog struct {
	Steps int `json:"steps"`
	// ReservedCPU is what the pass kept of the quota for them, in thousandths of a core.
	ReservedCPU int64 `json:"reserved_cpu"`
	// WithoutCapacity counts those for which no worker has capacity now.
	WithoutCapacity int `json:"without_capacity"`
}

func newPassLog() passLog {
	return passLog{LeftOut: make(map[string]int), Held: make(map[string]*heldLog)}
}

func (l *passLog) noteLeftOut(queue string, steps int) {
	if steps > 0 {
		l.LeftOut[queue] = steps
	}
}

// noteHeld records a step that its quota holds, what is kept of the quota for it, and
// whether a worker has capacity for one of its tasks.
func (l *passLog) noteHeld(s *step, reservedCPU int64, hasCapacity bool) {
	held := l.Held[s.job.team]
	if held == nil {
		held = &heldLog{}
		l.Held[s.job.team] = held
	}
	held.Steps++
	held.ReservedCPU += reservedCPU
	if !hasCapacity {
		held.WithoutCapacity++
	}
}
