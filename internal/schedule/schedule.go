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

// Configuration gives access to the configuration in force.
type Configuration interface {
	Profile(name string) (contract.Profile, bool)
	Service(name string) (contract.Service, bool)
	Quota(team string) (contract.Quota, bool)
}

// Options are the settings of a Scheduler.
type Options struct {
	// Now returns the current time; time.Now if nil.
	Now func() time.Time
	// Seed is the seed for the sampling of workers and the jitter of retry
	// delays.
	Seed uint64
	// Configuration returns the configuration in force, or nil while there is
	// none. It is called under the Scheduler's lock and must not call the
	// Scheduler.
	Configuration func() Configuration
	// ProfileNames returns the names of the configured profiles, so that their
	// guaranteed shares apply before their first job arrives. If it is nil, a
	// share applies from the first job on. It is called by ConfigurationChanged
	// and must not call the Scheduler.
	ProfileNames func() []string
	// MaxWorkerCapacity returns the largest capacity, in each dimension, of any
	// worker of the cell, including those that other entry hosts hold. If it is
	// nil, the held workers are taken to be all workers. It must not call the
	// Scheduler.
	MaxWorkerCapacity func() worker.Capacity
}

// Job is a request for one reservation or, for a gang (all-at-once) job, for
// several.
type Job struct {
	// ID is the request ID.
	ID string
	// TaskNumber is the last part of the task IDs "<ID>#<member>.<task number>", by
	// which TaskEnded and UsageMeasured find the reservations of the job. It tells
	// the placements of the job apart: one attempt (see package request) may be
	// placed several times.
	TaskNumber int
	Team       string
	Service    string
	// Resources is the declared size of each member; the zero value selects the
	// declared size of the service.
	Resources worker.Resources
	// Members is the number of members; 0 means 1.
	Members int
	// FirstMember is the number of the first member in task IDs. It is nonzero
	// for a part of a gang job that is spread over several entry hosts.
	FirstMember int
	// Deadline is the latest time at which the job may start; if it is zero,
	// only the maximum wait of the profile applies.
	Deadline time.Time
	// RunTime is the declared run time; 0 selects that of the service.
	RunTime time.Duration
}

// TaskID returns the ID of the task that runs the given member.
func (j Job) TaskID(member int) worker.TaskID {
	return worker.TaskID(j.ID + "#" + strconv.Itoa(j.FirstMember+member) + "." + strconv.Itoa(j.TaskNumber))
}

// Refusal is the error for a job that was not placed.
type Refusal struct {
	Reason api.Reason
	// Detail is an explanation for people. Answers to callers contain it
	// unchanged.
	Detail string
	// RetryAfter is the delay after which a new attempt may succeed; 0 if none
	// can.
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

	workers map[string]*heldWorker // by name
	// lostAllocations holds, by worker, the allocations on lost workers to
	// which a Placement still refers.
	lostAllocations     map[string]map[worker.TaskID]*allocation
	leavingIncarnations map[string]string       // leaving worker -> its incarnation
	plainWorkers        *index                  // workers without accelerators
	accelWorkers        *index                  // workers with accelerators
	capacityCounts      map[worker.Capacity]int // number of held workers by capacity
	allPool             pool                    // all held workers
	accelPool           pool                    // the held workers with accelerators
	tasksByTopology     map[topologyKey]int     // number of tasks by service and topology domain

	profiles        map[string]*profile
	profileOrder    []*profile // profiles in order of creation
	services        map[string]*service
	teams           map[string]*team
	lanes           map[laneKey]*lane
	openLanes       []*lane
	closedLanes     []*lane
	readyAccelLanes int // lanes with ready jobs whose common size includes accelerators
	gangs           gangQueue
	history         *history
	health          healthTracker
	overrunActions  []OverrunAction

	// excludedByPolicy is set by chooseWorker and chooseForLane if eligibleKinds
	// excludes workers that the job could otherwise use, for one of two reasons:
	//   - they must be left free for the guaranteed shares of other profiles;
	//   - the profile sets KeepAccelerators, the workers have accelerators and jobs
	//     that need accelerators wait.
	excludedByPolicy bool
	// callbacks are called by unlock once the lock is released.
	callbacks []func()
}

// New returns a Scheduler that holds no workers.
func New(options Options) *Scheduler {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Scheduler{
		options:             options,
		rng:                 rand.New(rand.NewPCG(options.Seed, 0x9e3779b97f4a7c15)),
		workers:             map[string]*heldWorker{},
		lostAllocations:     map[string]map[worker.TaskID]*allocation{},
		leavingIncarnations: map[string]string{},
		plainWorkers:        newIndex(),
		accelWorkers:        newIndex(),
		capacityCounts:      map[worker.Capacity]int{},
		tasksByTopology:     map[topologyKey]int{},
		profiles:            map[string]*profile{},
		services:            map[string]*service{},
		teams:               map[string]*team{},
		lanes:               map[laneKey]*lane{},
		history:             newHistory(),
	}
}

// lock acquires the lock and returns the current time.
func (s *Scheduler) lock() time.Time {
	s.mu.Lock()
	return s.options.Now()
}

// unlock releases the lock and then runs the pending callbacks, which may call
// the Scheduler.
func (s *Scheduler) unlock() {
	pending := s.callbacks
	s.callbacks = nil
	s.mu.Unlock()
	for _, callback := range pending {
		callback()
	}
}

// Tick does the work that depends on time alone: it offers probes to quarantined
// workers, replans a late reservation or makes one for a large job that smaller
// jobs keep from starting, reclassifies queued jobs by the current run time
// estimates, opens all lanes, and refuses jobs past their deadline at the heads of
// the queues.
func (s *Scheduler) Tick() {
	now := s.lock()
	defer s.unlock()
	s.offerProbes(now)
	s.gangs.replan(s, now)
	s.reclassify()
	s.reopenAllLanes()
	s.dispatch(now)
}

// pool is the total and the allocated capacity of a set of workers.
type pool struct{ total, allocated amount }

// amount is an amount of resources together with a number of slots.
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

func multiply(r worker.Resources, n int) worker.Resources {
	k := int64(n)
	return worker.Resources{MilliCPU: r.MilliCPU * k, MemoryMiB: r.MemoryMiB * k, Accelerators: r.Accelerators * k}
}
