package bench

import (
	"errors"
	"math/rand/v2"
	"sort"

	"github.com/laburnumpass/laburnumpass/internal/schedule"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// errExpired and errFull are refusals of the baselines.
var (
	errExpired = errors.New("deadline passed")
	errFull    = errors.New("queue full")
)

// plain is a baseline: one queue for each service, served first in, first out
// or by strict priority, and the first or a random worker that fits.
type plain struct {
	l        *loop
	rng      *rand.Rand
	config   *configuration
	machines []*plainMachine
	queues   []*plainQueue
	byName   map[string]*plainQueue
	strict   bool
	random   bool
}

type plainMachine struct {
	name  string
	free  worker.Resources
	slots int
}

type plainQueue struct {
	priority int
	limit    int
	waiting  int
	jobs     []*plainJob
}

type plainJob struct {
	job    schedule.Job
	seq    int
	report func(*grant, error)
	done   bool
}

// baselines are the names of the baselines.
var baselines = []string{"fifo_first_fit", "fifo_random", "strict_priority"}

func newPlain(name string, l *loop, seed uint64, ms []machine, c *configuration) *plain {
	p := &plain{l: l, rng: generator(seed), config: c, byName: map[string]*plainQueue{},
		strict: name == "strict_priority", random: name == "fifo_random"}
	for _, m := range ms {
		p.machines = append(p.machines, &plainMachine{m.info.Name, m.capacity.Resources, m.capacity.Slots})
	}
	names := make([]string, 0, len(c.services))
	for n := range c.services {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		q := c.profiles[c.services[n].Profile].Queue
		p.byName[n] = &plainQueue{priority: q.Priority, limit: q.Limit}
		p.queues = append(p.queues, p.byName[n])
	}
	return p
}

func (p *plain) tick() {}

func (p *plain) submit(job schedule.Job, report func(*grant, error)) func() bool {
	if job.Resources == (worker.Resources{}) {
		job.Resources = p.config.services[job.Service].Resources
	}
	job.Members = max(job.Members, 1)
	q := p.byName[job.Service]
	if q.waiting >= q.limit {
		report(nil, errFull)
		return func() bool { return false }
	}
	p.l.seq++
	j := &plainJob{job: job, seq: p.l.seq, report: report}
	q.jobs = append(q.jobs, j)
	q.waiting++
	p.dispatch()
	return func() bool {
		if j.done {
			return false
		}
		j.done = true
		q.waiting--
		report(nil, errExpired)
		return true
	}
}

func (q *plainQueue) head() *plainJob {
	for len(q.jobs) > 0 && q.jobs[0].done {
		q.jobs[0] = nil
		q.jobs = q.jobs[1:]
	}
	if len(q.jobs) == 0 {
		return nil
	}
	return q.jobs[0]
}

func (p *plain) dispatch() {
	blocked := map[*plainQueue]bool{}
	for {
		var best *plainQueue
		for _, q := range p.queues {
			if blocked[q] || q.head() == nil {
				continue
			}
			switch {
			case best == nil:
				best = q
			case p.strict && q.priority != best.priority:
				if q.priority > best.priority {
					best = q
				}
			case q.head().seq < best.head().seq:
				best = q
			}
		}
		if best == nil {
			return
		}
		j := best.head()
		g := p.place(j.job)
		if g == nil {
			blocked[best] = true
			continue
		}
		j.done = true
		best.waiting--
		j.report(g, nil)
	}
}

// place takes the first worker that fits for each member, from the first or
// from a random one on, or none.
func (p *plain) place(job schedule.Job) *grant {
	var taken []*plainMachine
	for range job.Members {
		at := 0
		if p.random {
			at = p.rng.IntN(len(p.machines))
		}
		var found *plainMachine
		for i := range p.machines {
			m := p.machines[(at+i)%len(p.machines)]
			if m.slots > 0 && job.Resources.Fits(m.free) {
				found = m
				break
			}
		}
		if found == nil {
			for _, m := range taken {
				m.free, m.slots = m.free.Add(job.Resources), m.slots+1
			}
			return nil
		}
		found.free, found.slots = found.free.Sub(job.Resources), found.slots-1
		taken = append(taken, found)
	}
	g := &grant{release: func(member int, _ schedule.TaskResult) {
		m := taken[member]
		m.free, m.slots = m.free.Add(job.Resources), m.slots+1
		p.dispatch()
	}}
	for _, m := range taken {
		g.workers = append(g.workers, m.name)
	}
	return g
}
