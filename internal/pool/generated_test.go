package pool

import (
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of TestGeneratedJobs")
	seeds     = flag.Uint64("seeds", 12, "number of seeds of TestGeneratedJobs")
	outlive   = flag.Bool("outlive", false, "delayed requests of TestGeneratedJobs outlive the process that they were sent to")
)

const (
	// generatedWorkers and generatedJobs are the sizes of one scenario.
	generatedWorkers, generatedJobs = 5, 12
	// scenarioTime is how long jobs and faults arrive, and settleTime how long the
	// jobs may take to end after that.
	scenarioTime, settleTime = 25 * time.Second, 80 * time.Second
	generatedGangTimeout     = 3 * time.Second
	// rejectedStarts is how many start requests there are for each rejected one.
	rejectedStarts = 20
)

// scenario plays random jobs and faults on a testCluster. Everything is drawn from
// one seed.
type scenario struct {
	tc     *testCluster
	oracle *oracle
	rng    *rand.Rand
	gangs  *celltest.Gangs

	mu   sync.Mutex
	jobs []string
	// slow holds the factor by which tasks on a worker run longer.
	slow map[string]float64
	// failing holds the workers on which all runs fail.
	failing map[string]bool
	// rejecting holds the workers that reject half of the start requests.
	rejecting map[string]bool
	// feasible reports whether a job can ever run.
	feasible map[string]bool
	// hopeless holds the images whose tasks always fail.
	hopeless map[string]bool
	// crashing holds the images whose tasks crash the workers that start them.
	crashing map[string]bool
	// rejections draws which start requests workers reject, nil if they reject none.
	rejections *rand.Rand
	// refusals draws which workers that are cut off refuse connections, nil if none do.
	refusals *rand.Rand
	// largeGangs draws which jobs get a gang that is larger than the cell, nil if none do.
	largeGangs *rand.Rand
	// terms draws faults around changes of scheduler, nil if there are none.
	terms *rand.Rand
	// changing is held during a change of scheduler.
	changing chan struct{}
	// hosts are the hosts whose processes schedule, nil if there are no holder records.
	hosts *testHosts
	// workerFaults draws more faults of workers, nil if there are none.
	workerFaults *workerFaults
	// copies makes many steps such that their tasks may have copies.
	copies bool
	// teams draws the teams of jobs and their quotas, nil if there are none.
	teams *generatedTeams
	// waits checks the rule about work that waits.
	waits *waitWatch
	log   []string
}

// note records an action, so that a failure shows what led to it.
func (s *scenario) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%s ", time.Now().Format("05.000"))+fmt.Sprintf(format, args...))
}

// taskWork returns how long a task works. It is the same for each of its runs.
func taskWork(task string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return time.Duration(100+h.Sum32()%3500) * time.Millisecond
}

func playScenario(t *testing.T, seed uint64) {
	inSimulation(t, 0, func(t *testing.T, tc *testCluster) {
		s := &scenario{
			tc: tc, oracle: newOracle(), changing: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(seed, 1)),
			slow: make(map[string]float64), failing: make(map[string]bool), rejecting: make(map[string]bool), feasible: make(map[string]bool), hopeless: make(map[string]bool), crashing: make(map[string]bool),
		}
		s.gangs = &celltest.Gangs{Timeout: generatedGangTimeout, Size: s.gangSize, Step: func(task string) string { return task[:strings.LastIndexByte(task, '.')] }}
		if s.rng.IntN(2) == 0 {
			tc.queue.Policy = &cell.PolicyTiming{DecisionTime: 30 * time.Millisecond, TimePerWorker: time.Millisecond, TicketLifetime: 2 * time.Second}
		}
		tc.queue.MaxAttempts = 2 + s.rng.IntN(3)
		if draw := rand.New(rand.NewPCG(seed, 6)); draw.IntN(2) == 0 && !slices.Contains(failedSeeds, seed) {
			s.rejections = draw
		}
		if !slices.Contains(failedSeeds, seed) {
			s.refusals, s.largeGangs = rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8))
			if draw := rand.New(rand.NewPCG(seed, 9)); draw.IntN(4) > 0 {
				s.terms, tc.startOutOfTouch = draw, s.oracle.noteStartOutOfTouch
				s.hosts = newTestHosts(tc, rand.New(rand.NewPCG(seed, 10)), s.note)
				s.hosts.mixed = draw.IntN(2) == 0
			}
			s.workerFaults = newWorkerFaults(seed)
		}
		for n := range generatedWorkers {
			s.addWorker(n)
		}
		if s.rng.IntN(4) == 0 {
			s.hopeless["image-3"] = true
		}
		if rand.New(rand.NewPCG(seed, 4)).IntN(4) == 0 {
			s.crashing["image-2"] = true
		}
		// The seeds that once failed keep the jobs that they had then.
		s.copies = rand.New(rand.NewPCG(seed, 5)).IntN(2) == 0 && !slices.Contains(failedSeeds, seed)
		s.oracle.crashing = s.crashesWorkers
		s.waits = newWaitWatch(s)
		if s.teams = newGeneratedTeams(seed); s.teams != nil {
			s.setQuotas(true)
		}
		time.Sleep(500 * time.Millisecond)
		stopWatch := s.waits.start()
		defer func() {
			if t.Failed() || len(s.oracle.violations) > 0 || len(tc.recorder.Violations()) > 0 {
				t.Logf("seed %d:\n%s\njobs:\n%s\nteams:\n%v", seed, strings.Join(s.log, "\n"), s.describeJobs(), s.oracle.teams)
			}
		}()
		defer stopWatch()
		s.play()
		s.settle()
		require.Empty(t, s.oracle.violations)
		if n := tc.recorder.Overlaps(); n > 0 {
			t.Logf("starts beside another run of the same task: %d", n)
		}
	})
}

func (s *scenario) describeJobs() string {
	var b strings.Builder
	for _, id := range s.jobs {
		fmt.Fprintf(&b, "%s: %+v\n", id, *s.oracle.jobs[id].spec)
	}
	return b.String()
}

func (s *scenario) gangSize(task string) int {
	if step := s.tc.step(task); step.Gang {
		return step.Count
	}
	return 0
}

func (s *scenario) crashesWorkers(task string) bool { return s.crashing[s.tc.step(task).Image] }

var generatedCapacity = worker.Resources{MilliCPU: 4000, MemoryMiB: 4096, Accelerators: 2}

func (s *scenario) addWorker(n int) {
	s.publishWorker(n, s.tc.addWorker(fmt.Sprintf("w%02d", n), generatedCapacity))
}

// publishWorker sets the properties of a worker and publishes its entry.
func (s *scenario) publishWorker(n int, w *celltest.Worker) {
	id := w.Entry.ID
	w.Entry.Labels = []string{"kind-" + []string{"a", "b"}[n%2], fmt.Sprintf("rack-%d", n/2)}
	w.Observer, w.Gangs, w.RequireTickets = s.oracle, s.gangs, s.tc.queue.Policy != nil
	w.Checkpointable = func(task string) bool { return s.tc.step(task).Checkpointable }
	w.Duration = func(task string) time.Duration {
		if s.tc.step(task).LongRunning {
			return time.Hour
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Duration(max(s.slow[id], 1) * float64(taskWork(task)))
	}
	w.Fails = func(task string, run int) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.failing[id] || s.hopeless[s.tc.step(task).Image] || (taskWork(task).Milliseconds()+int64(run))%23 == 0
	}
	w.Crashes = s.crashesWorkers
	w.Rejects = func(string) cell.RejectReason { return s.rejects(id) }
	s.prepareWorker(w)
	s.oracle.mu.Lock()
	s.oracle.services[id] = w.Entry
	s.oracle.mu.Unlock()
	s.tc.publish(id)
}

// play submits jobs and injects faults at random times.
func (s *scenario) play() {
	var callers sync.WaitGroup
	end := time.Now().Add(scenarioTime)
	if s.teams != nil {
		callers.Go(func() { s.changeQuotas(end) })
	}
	if s.terms != nil {
		s.submitLasting(lastingJob, 6)
		callers.Go(func() { s.injectTermFaults(end) })
	}
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(s.rng.IntN(int(2*scenarioTime/(generatedJobs*2)/time.Millisecond))) * time.Millisecond)
		if n%2 == 0 {
			id := fmt.Sprintf("job%d", n)
			job, feasible := randomJob(s.rng, time.Now())
			seed := s.rng.Uint64()
			if s.copies {
				allowManyCopies(job)
			}
			if s.largeGangs != nil && s.largeGangs.IntN(12) == 0 {
				job.Steps[0] = api.Step{Count: generatedWorkers + 1, MilliCPU: 2500, MemoryMiB: 100, EstimateMS: 500, Gang: true}
				feasible = false
			}
			if s.teams != nil {
				s.assignTeam(id)
			}
			callers.Go(func() { s.runCaller(id, job, feasible, rand.New(rand.NewPCG(seed, 2))) })
		} else {
			s.injectFault()
			s.injectWorkerFault()
		}
	}
	callers.Wait()
}

// runCaller submits a job, repeats the call until it knows the outcome, and may
// cancel the job.
func (s *scenario) runCaller(id string, job *api.Job, feasible bool, rng *rand.Rand) {
	s.tc.mu.Lock()
	s.tc.specs[id] = job
	s.tc.mu.Unlock()
	s.oracle.addJob(id, job, s.tc.queue.MaxAttempts)
	s.mu.Lock()
	s.jobs, s.feasible[id] = append(s.jobs, id), feasible
	s.mu.Unlock()
	s.note("submit %s", id)
	for range 4 {
		if s.submitOnce(id) && rng.IntN(4) > 0 {
			break
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	if job.Steps[0].LongRunning || rng.IntN(6) == 0 {
		time.Sleep(time.Duration(rng.IntN(6000)) * time.Millisecond)
		s.cancelJob(id)
	}
}

// submitOnce makes one call and reports whether the job was accepted.
func (s *scenario) submitOnce(id string) bool {
	s.oracle.mu.Lock()
	j := s.oracle.jobs[id]
	j.submitted = true
	wasMaybe := j.maybeAccepted
	j.maybeAccepted = true // until the reply says otherwise
	s.oracle.mu.Unlock()
	err := s.tc.trySubmit(id)
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	switch {
	case err == nil && !j.accepted:
		j.accepted, j.acceptedAt = true, time.Now()
	case errors.Is(err, ErrNotScheduler), errors.Is(err, ErrNotStored), errors.Is(err, ErrStoreUnavailable), errors.Is(err, ErrExceedsQuota):
		j.maybeAccepted = wasMaybe
	}
	return err == nil
}

func (s *scenario) cancelJob(id string) {
	s.oracle.mu.Lock()
	j := s.oracle.jobs[id]
	j.cancelSent = true
	s.oracle.mu.Unlock()
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		known, err := s.tc.currentPool().Cancel(ctx, id)
		cancel()
		if err == nil {
			s.note("cancelled %s, known: %v", id, known)
			s.oracle.mu.Lock()
			if known {
				j.cancelledAt = time.Now()
			}
			s.oracle.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// settle ends all faults and requires that every job ends.
func (s *scenario) settle() {
	s.oracle.mu.Lock()
	s.waits.jobsFrom = time.Now().Add(finishTime)
	s.oracle.mu.Unlock()
	s.heal()
	s.ensureScheduler()
	s.watchWaits()
	for _, id := range s.jobs {
		if strings.HasPrefix(id, lastingJob) {
			s.cancelJob(id) // so that large gangs find room
		}
	}
	var lasting []string
	for begin := time.Now(); ; time.Sleep(200 * time.Millisecond) {
		open := s.observeStates()
		lasting = lasting[:0]
		ended := true
		for id := range open {
			if s.tc.spec(id).Steps[0].LongRunning {
				lasting = append(lasting, id)
			} else if s.feasible[id] {
				ended = false
			}
		}
		if ended && time.Since(begin) > 10*time.Second {
			break
		}
		require.Less(s.tc.t, time.Since(begin), settleTime, "LOST: jobs have not ended: %v", open)
	}
	for _, id := range lasting {
		s.cancelJob(id)
	}
	time.Sleep(cancelGrace + stopGrace)
	for _, id := range s.jobs {
		if !s.oracle.jobs[id].cancelledAt.IsZero() {
			require.Empty(s.tc.t, s.tc.running(id), "UNASKED: tasks of a cancelled job run on")
		}
	}
}

// watchWaits lets work wait under the last quotas and beside long-running jobs for as long as
// the rule about waiting is checked, and then raises the quotas. Without teams it returns
// early if all jobs have ended.
func (s *scenario) watchWaits() {
	for until := s.waits.jobsFrom.Add(watchTime); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if open := s.observeStates(); s.teams == nil && !slices.ContainsFunc(slices.Collect(maps.Keys(open)), func(id string) bool { return !s.tc.spec(id).Steps[0].LongRunning }) {
			break
		}
	}
	if s.teams != nil {
		for _, name := range generatedTeamNames {
			s.tc.teams.setQuota(name, worker.Resources{})
			s.oracle.setQuota(name, worker.Resources{})
		}
	}
}

// observeStates reports the state of each job to the oracle and returns the
// accepted ones that have not ended.
func (s *scenario) observeStates() map[string]api.JobState {
	open := make(map[string]api.JobState)
	s.mu.Lock()
	jobs := append([]string(nil), s.jobs...)
	s.mu.Unlock()
	for _, id := range jobs {
		state, known, err := s.tc.currentPool().State(id)
		if err != nil {
			continue
		}
		s.oracle.observeState(id, state, known)
		if s.oracle.jobs[id].accepted && !state.Terminal() {
			open[id] = state
		}
	}
	return open
}

// failedSeeds are the seeds that once failed because of a fault of the scheduler.
// docs/incidents/generated-jobs.md and deadly-tasks.md have the causes.
var failedSeeds = []uint64{131, 134, 265, 280, 353, 581, 787}

// failedTeamSeeds are those that failed with teams and quotas.
var failedTeamSeeds = []uint64{776162}

// Random jobs of every shape that the platform allows must keep its rules while
// workers, the store and schedulers fail. A failing seed is printed with all that
// happened; -seed repeats it, -seeds plays more. Goroutines interleave differently in
// each play, so a seed does not repeat exactly.
func TestGeneratedJobs(t *testing.T) {
	for _, seed := range failedSeeds {
		t.Run(fmt.Sprint("failed-", seed), func(t *testing.T) { playScenario(t, seed) })
	}
	for _, seed := range failedTeamSeeds {
		t.Run(fmt.Sprint("failed-", seed), func(t *testing.T) { playScenario(t, seed) })
	}
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playScenario(t, seed) })
	}
}
