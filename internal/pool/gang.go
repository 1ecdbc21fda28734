package pool

// gangStopReason is the reason of stops of members whose gang cannot become complete.
const gangStopReason = "gang_incomplete"

// gangComplete reports whether all members of the gang's run with that number have
// begun, as far as this scheduler knows. From then on the workers end the others when
// one member ends.
func (s *step) gangComplete(number int) bool { return s.completeRun == number }

// noteMemberBegan records that the worker of a gang member runs it.
func (s *step) noteMemberBegan(number int) {
	for _, t := range s.tasks {
		if t.currentRun == nil || t.currentRun.number != number || !t.currentRun.begun {
			return
		}
	}
	s.completeRun = number
}

// waitingMembers returns the runs of the other members of the gang run to which r
// belongs, except those that are being stopped.
func (r *run) waitingMembers() []*run {
	var others []*run
	for _, t := range r.task.step.tasks {
		if o := t.currentRun; o != nil && o != r && o.number == r.number && !o.stopping && o.state != runStopAccepted {
			others = append(others, o)
		}
	}
	return others
}

// stopIncompleteGang stops the other members of a gang when the run of r is over, or
// given up, before all of them have begun. They would hold their capacity until their
// workers give up waiting, and the gang starts again only after that. The caller must
// hold p.mu.
func (p *Pool) stopIncompleteGang(r *run, reason string) {
	s := r.task.step
	if !s.spec.Gang || s.done() || s.gangComplete(r.number) {
		return
	}
	others := r.waitingMembers()
	if len(others) == 0 {
		return
	}
	p.log.Info("gang incomplete", "job", s.job.id, "step", s.name(), "run", r.number, "member", r.task.index, "worker", r.node.entry.ID, "reason", reason, "members", len(s.tasks), "stopped", len(others))
	p.incrementMetric("gangs.incomplete")
	p.event("gang_incomplete", s.job.id, r.task.name(), r.node.entry.ID, reason)
	for _, o := range others {
		if o.state == runPlanned {
			// startRun releases it instead of sending a request.
			o.node.markStopping(o)
			o.stopReason = gangStopReason
			continue
		}
		p.stopRun(o, gangStopReason)
	}
}

// shareCheckpoint gives all members of a gang the same checkpoint: the greatest
// one.
func (p *Pool) shareCheckpoint(s *step) {
	best := ""
	for _, t := range s.tasks {
		if t.checkpoint > best {
			best = t.checkpoint
		}
	}
	for _, t := range s.tasks {
		t.checkpoint = best
	}
}
