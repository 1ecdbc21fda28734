package bench

import (
	"errors"
	"math/rand/v2"
	"sort"

	"github.com/laburnumpass/laburnumpass/internal/schedule"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// errExpired and errFull are the errors with which the baselines refuse jobs.
var (
	errExpired = errors.New("deadline passed")
	errFull    = errors.New("queue full")
)

// baseline is a simple scheduler: it has one queue per service, served first in,
// first out or by strict priority, and takes the first worker that fits,
// searching from the first or from a random worker.
type baseline struct {
	loop           *eventLoop
	rng            *rand.Rand
	config         *configuration
	workers        []*baselineWorker
	queues         []*baselineQueue
	queueByService map[string]*baselineQueue
	strictPriority bool
	randomStart    bool
}

type baselineWorker struct {
	name  string
	free  worker.Resources
	slots int
}

type baselineQueue struct {
	priority int
	limit    int
	waiting  int
	jobs     []*baselineJob
}

type baselineJob struct {
	job    schedule.Job
	seq    int
	report func(*placement, error)
	done   bool
}

// baselines lists the names of the baselines.
var baselines = []string{"fifo_first_fit", "fifo_random", "strict_priority"}

func newBaseline(name string, l *eventLoop, seed uint64, specs []workerSpec, c *configuration) *baseline {
	b := &baseline{loop: l, rng: newRand(seed), config: c, queueByService: map[string]*baselineQueue{},
		strictPriority: name == "strict_priority", randomStart: name == "fifo_random"}
	for _, m := range specs {
		b.workers = append(b.workers, &baselineWorker{m.info.Name, m.capacity.Resources, m.capacity.Slots})
	}
	names := make([]string, 0, len(c.services))
	for n := range c.services {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		q := c.profiles[c.services[n].Profile].Queue
		b.queueByService[n] = &baselineQueue{priority: q.Priority, limit: q.Limit}
		b.queues = append(b.queues, b.queueByService[n])
	}
	return b
}

func (b *baseline) tick() {}

func (b *baseline) submit(job schedule.Job, report func(*placement, error)) func() bool {
	if job.Resources == (worker.Resources{}) {
		job.Resources = b.config.services[job.Service].Resources
	}
	job.Members = max(job.Members, 1)
	q := b.queueByService[job.Service]
	if q.waiting >= q.limit {
		report(nil, errFull)
		return func() bool { return false }
	}
	b.loop.seq++
	j := &baselineJob{job: job, seq: b.loop.seq, report: report}
	q.jobs = append(q.jobs, j)
	q.waiting++
	b.dispatch()
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

// head returns the first job that is still queued, or nil. It drops the expired
// jobs before it.
func (q *baselineQueue) head() *baselineJob {
	for len(q.jobs) > 0 && q.jobs[0].done {
		q.jobs[0] = nil
		q.jobs = q.jobs[1:]
	}
	if len(q.jobs) == 0 {
		return nil
	}
	return q.jobs[0]
}

// dispatch starts queued jobs until the first job of each queue fits nowhere.
func (b *baseline) dispatch() {
	blocked := map[*baselineQueue]bool{}
	for {
		var best *baselineQueue
		for _, q := range b.queues {
			if blocked[q] || q.head() == nil {
				continue
			}
			switch {
			case best == nil:
				best = q
			case b.strictPriority && q.priority != best.priority:
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
		placed := b.placeJob(j.job)
		if placed == nil {
			blocked[best] = true
			continue
		}
		j.done = true
		best.waiting--
		j.report(placed, nil)
	}
}

// placeJob takes the first worker that fits for each member, searching from the
// first or from a random worker. It returns nil and takes no worker if a member
// fits nowhere.
func (b *baseline) placeJob(job schedule.Job) *placement {
	var taken []*baselineWorker
	for range job.Members {
		at := 0
		if b.randomStart {
			at = b.rng.IntN(len(b.workers))
		}
		var found *baselineWorker
		for i := range b.workers {
			m := b.workers[(at+i)%len(b.workers)]
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
	placed := &placement{release: func(member int, _ schedule.TaskResult) {
		m := taken[member]
		m.free, m.slots = m.free.Add(job.Resources), m.slots+1
		b.dispatch()
	}}
	for _, m := range taken {
		placed.workers = append(placed.workers, m.name)
	}
	return placed
}
