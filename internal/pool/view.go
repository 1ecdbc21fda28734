package pool

import "github.com/laburnumpass/laburnumpass/api"

// String returns the name of the state in a job's view.
func (s runState) String() string {
	switch s {
	case runPlanned:
		return "planned"
	case runStartSent:
		return "ordered"
	case runInherited:
		return "unconfirmed"
	case runActive:
		return "active"
	case runStopAccepted:
		return "revoked"
	}
	return "unknown"
}

// View returns what the scheduler knows about a job, or nil if the job is
// unknown. Errors are like those of State.
func (p *Pool) View(id string) (*api.JobView, error) {
	state, known, err := p.State(id)
	if err != nil || !known {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	if j == nil {
		return nil, nil // purged in the meantime
	}
	view := &api.JobView{ID: id, Service: p.opts.Shard.Service, Queue: j.queue.Name, State: state, Accepted: j.accepted, Scheduler: p.opts.Host}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			v := api.StepView{Occurrence: o.number, Step: s.index, Tasks: len(s.tasks), Done: s.doneTasks, Blocked: !s.dependenciesDone()}
			for _, t := range s.tasks {
				v.Failures += t.failures
				for _, r := range t.allRuns() {
					v.Running++
					view.Runs = append(view.Runs, api.RunView{Task: t.name(), Run: r.number, Worker: r.node.entry.ID, State: r.state.String(), Percent: r.percent})
				}
			}
			view.Steps = append(view.Steps, v)
		}
	}
	return view, nil
}
