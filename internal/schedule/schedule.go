package schedule

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Configuration is the configuration in force.
type Configuration interface {
	Profile(name string) (contract.Profile, bool)
	Service(name string) (contract.Service, bool)
	Quota(team string) (contract.Quota, bool)
}

// Options are the settings of a Scheduler.
type Options struct {
	// Now returns the current time; time.Now if nil.
	Now func() time.Time
	// Seed seeds the sampling of workers and the jitter of retry times.
	Seed uint64
	// Configuration returns the configuration in force, or nil while there is
	// none. It is called under the Scheduler's lock and must not call back.
	Configuration func() Configuration
	// ProfileNames returns the names of the configured profiles, so that their
	// guaranteed shares hold before their first work comes. If nil, a share
	// holds from the first work on. It is called by ConfigurationChanged and
	// must not call back.
	ProfileNames func() []string
	// MaxWorkerCapacity returns the largest capacity, in each dimension, of any worker
	// of the cell, also of those that other entry hosts hold. If nil, the held
	// workers are all there are. It must not call back.
	MaxWorkerCapacity func() worker.Capacity
}

// Job is a request for one reservation or, for an all-at-once job, several.
type Job struct {
	// ID is the request ID.
	ID string
	// Attempt is part of the task IDs "<ID>#<member>.<attempt>", by which
	// TaskEnded and Usage find the job's reservations.
	Attempt int
	Team    string
	Service string
	// Resources of each member; zero takes the service's declared ones.
	Resources worker.Resources
	// Members is the number of members; 0 means 1.
	Members int
	// FirstMember is the number of the first member in task IDs, for a part of
	// an all-at-once job that is spread over several entry hosts.
	FirstMember int
	// Deadline is when the job is no longer worth starting; zero means that
	// only the profile's longest wait applies.
	Deadline time.Time
	// RunTime is the declared run time; 0 takes the service's.
	RunTime time.Duration
}

// TaskID returns the ID of the task of a member.
func (j Job) TaskID(member int) worker.TaskID {
	return worker.TaskID(j.ID + "#" + strconv.Itoa(j.FirstMember+member) + "." + strconv.Itoa(j.Attempt))
}

// Refusal is the error of a job that was not placed.
type Refusal struct {
	Reason api.Reason
	// Detail explains the reason to a person.
	Detail string
	// RetryAfter is when a new attempt may succeed; 0 if never.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("job refused: %s: %s", r.Reason, r.Detail) }

// Scheduler places jobs on the workers that one entry host holds. All methods
// may be called concurrently.
type Scheduler struct {
	options Options

	mu  sync.Mutex
	rng *rand.Rand

	nodes    map[string]*node
	detached map[string]map[worker.TaskID]*charge
	latched  map[string]string // worker that is leaving -> its incarnation
	plain    *index            // workers without accelerators
	accel    *index            // workers with accelerators
	shapes   map[worker.Capacity]int
	all      pool
	withAcc  pool // of the workers with accelerators
	spread   map[zone]int

	profiles map[string]*profile
	order    []*profile // profiles in the order of their first use
	services map[string]*service
	teams    map[string]*team
	lanes    map[laneKey]*lane
	open     []*lane
	closed   []*lane
	accReady int // lanes with ready work that needs accelerators
	gangs    gangQueue
	learned  *learned
	health   health
	actions  []OverrunAction

	// denied is set by choose if a guarantee kept the job from some workers.
	denied   bool
	finished []func()
}

// New returns a Scheduler that holds no workers.
func New(options Options) *Scheduler {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Scheduler{
		options:  options,
		rng:      rand.New(rand.NewPCG(options.Seed, 0x9e3779b97f4a7c15)),
		nodes:    map[string]*node{},
		detached: map[string]map[worker.TaskID]*charge{},
		latched:  map[string]string{},
		plain:    newIndex(),
		accel:    newIndex(),
		shapes:   map[worker.Capacity]int{},
		spread:   map[zone]int{},
		profiles: map[string]*profile{},
		services: map[string]*service{},
		teams:    map[string]*team{},
		lanes:    map[laneKey]*lane{},
		learned:  newLearned(),
	}
}

// lock takes the lock and returns the time of the operation.
func (s *Scheduler) lock() time.Time {
	s.mu.Lock()
	return s.options.Now()
}

// unlock releases the lock and then reports finished jobs, so that a callback
// may call the Scheduler.
func (s *Scheduler) unlock() {
	finished := s.finished
	s.finished = nil
	s.mu.Unlock()
	for _, report := range finished {
		report()
	}
}

// Tick does what depends on time alone: it offers workers that are set aside
// a probe, drops work past its deadline from the heads of the queues, renews
// the plan of a gang reservation that has slipped and applies learned run times
// to queued work.
func (s *Scheduler) Tick() {
	now := s.lock()
	defer s.unlock()
	s.offerProbes(now)
	s.gangs.replan(s, now)
	s.relearn()
	s.reopenAll()
	s.dispatch(now)
}

// pool is the capacity of a number of workers and what they carry.
type pool struct{ total, charged amount }

// amount is an amount of resources and slots.
type amount struct {
	worker.Resources
	slots int
}

func (a amount) add(r worker.Resources, slots int) amount {
	return amount{a.Resources.Add(r), a.slots + slots}
}

func (a amount) sub(r worker.Resources, slots int) amount {
	return amount{a.Resources.Sub(r), a.slots - slots}
}

func times(r worker.Resources, n int) worker.Resources {
	k := int64(n)
	return worker.Resources{MilliCPU: r.MilliCPU * k, MemoryMiB: r.MemoryMiB * k, Accelerators: r.Accelerators * k}
}
