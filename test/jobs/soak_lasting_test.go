package jobs

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/jobhost"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

const (
	lastingSoakHosts, lastingSoakWorkers = 5, 8
	// lastingSoakDuration is how long faults are injected, and lastingSoakInterval the longest
	// time between two of them.
	lastingSoakDuration, lastingSoakInterval = 25 * time.Second, 4500 * time.Millisecond
	// longAbsence is how long a host stays away whose next process does not start soon.
	longAbsence = 15 * time.Second
	// lastingSoakTasks is the number of tasks of each job.
	lastingSoakTasks = 4
	// backlogJobs is how many jobs of odd seeds wait for one worker, more than a pass reserves
	// capacity for.
	backlogJobs = 60
)

// lastingSoak is one run with long-running tasks whose workers and schedulers end.
type lastingSoak struct {
	*deployment
	random     *rand.Rand
	recoveries sync.WaitGroup
	// relays connect the hosts to the store. The test and the workers have other paths.
	relays []*standin.LinkRelay

	mu sync.Mutex
	// lastRun is when each task was last seen to run, or its job was accepted.
	lastRun map[string]time.Time
	// disturbedUntil is when the store last returned; tasks need not run meanwhile.
	disturbedUntil time.Time
	// away holds the hosts whose process has ended.
	away map[int]bool
	// longest is the longest time that a task was without a run.
	longest time.Duration
	lost    []string
}

// Guards against long-running tasks of dead workers that have no further run within
// furtherRunTimeout while schedulers end, come back or stay away. A failed subtest names its
// seed, as TestSoak does.
func TestSoakLastingTasks(t *testing.T) {
	first, seeds := intVariable(t, soakFirstSeedVariable), intVariable(t, soakSeedCountVariable)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := &lastingSoak{
				deployment: newDeploymentWithoutHosts(t, lastingSoakWorkers), random: rand.New(rand.NewPCG(uint64(seed), 1)),
				lastRun: make(map[string]time.Time), away: make(map[int]bool),
			}
			s.longestLease = platformMaxLease
			for _, w := range s.workers {
				w.MaxLease = platformMaxLease
			}
			s.adjust = func(_ int, settings *jobhost.Settings) { settings.MaxLeaseMS = int(platformMaxLease.Milliseconds()) }
			for range lastingSoakHosts {
				relay, err := standin.NewLinkRelay(s.storeAddress)
				require.NoError(t, err)
				t.Cleanup(func() { require.NoError(t, relay.Close()) })
				s.relays = append(s.relays, relay)
			}
			s.startHosts(lastingSoakHosts, func(n int) string { return s.relays[n].Address() })
			t.Cleanup(s.recoveries.Wait)
			s.run(seed%2 == 1)
		})
	}
}

// run plays one seed, beside jobs that wait for one worker if backlog is set.
func (s *lastingSoak) run(backlog bool) {
	done, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		s.watch(done)
	}()
	s.submitLasting(0)
	if backlog {
		s.submitBacklog()
	}
	for begin, jobs := time.Now(), 1; time.Since(begin) < lastingSoakDuration; {
		time.Sleep(time.Duration(s.random.Int64N(int64(lastingSoakInterval))))
		s.injectFault()
		if jobs < 4 && s.random.IntN(3) == 0 {
			s.submitLasting(jobs)
			jobs++
		}
	}
	time.Sleep(furtherRunTimeout)
	close(done)
	<-watched
	s.recoveries.Wait()
	s.t.Logf("a task was without a run for %s at most", s.longest)
	require.Empty(s.t, s.lost)
	require.Empty(s.t, s.recorder.Violations())
	require.Zero(s.t, s.recorder.Overlaps())
}

// submitLasting submits a job of long-running tasks.
func (s *lastingSoak) submitLasting(number int) {
	id := fmt.Sprintf("%s%x", strings.TrimSuffix(lastingJob, "f"), number)
	s.deployment.mu.Lock()
	s.lasting = append(s.lasting, id)
	s.deployment.mu.Unlock()
	s.submit(id, fmt.Sprintf(`{"spec":"p","steps":[{"count":%d,"cpu":1000,"mem-mb":100,"long-running":true,"anti-affinity":1}]}`, lastingSoakTasks))
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range lastingSoakTasks {
		s.lastRun[fmt.Sprintf("%s.0.0.%d", id, n)] = time.Now()
	}
}

// submitBacklog submits jobs of which one worker can run four tasks at a time, and none once
// it has ended. They need not run.
func (s *lastingSoak) submitBacklog() {
	for n := range backlogJobs {
		s.submit(fmt.Sprintf("bac%013x", n), `{"spec":"p","steps":[{"count":40,"cpu":1000,"mem-mb":100,"requires":"rack-0"}]}`)
	}
}

// watch records the tasks that have no run for too long until done is closed.
func (s *lastingSoak) watch(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(pollInterval):
		}
		now := time.Now()
		s.mu.Lock()
		for _, w := range s.workers {
			for _, task := range w.Running() {
				if _, known := s.lastRun[task]; known {
					s.lastRun[task] = now
				}
			}
		}
		for task, at := range s.lastRun {
			if at.Before(s.disturbedUntil) {
				at = s.disturbedUntil
			}
			without := now.Sub(at)
			s.longest = max(s.longest, without)
			if without > furtherRunTimeout {
				s.lost = append(s.lost, fmt.Sprintf("%s has no run for %s", task, without))
				s.lastRun[task] = now // once for each gap
			}
		}
		s.mu.Unlock()
	}
}

// injectFault ends a scheduler, a worker or both, or takes the store away.
func (s *lastingSoak) injectFault() {
	away := []time.Duration{restartDelay, 3 * time.Second, longAbsence}[s.random.IntN(3)]
	switch s.random.IntN(8) {
	case 0, 1, 2:
		s.endScheduler(away)
	case 3, 4:
		s.endWorker()
	case 5, 6:
		s.endWorker()
		s.endScheduler(away)
	case 7:
		s.takeStoreAway(time.Duration(s.random.Int64N(int64(6 * time.Second))))
	}
}

// endScheduler kills the process that schedules. The next one on its host starts later. At
// least three hosts stay.
func (s *lastingSoak) endScheduler(away time.Duration) {
	n := s.schedulerIndex()
	s.mu.Lock()
	skip := s.away[n] || len(s.away) >= lastingSoakHosts-3
	s.away[n] = s.away[n] || !skip
	s.mu.Unlock()
	if skip {
		return
	}
	s.t.Logf("%s: host %d ends, away for %s", time.Now().Format("05.000"), n, away)
	s.killHost(n)
	s.recoveries.Go(func() {
		time.Sleep(away)
		s.startHost(n)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.away, n)
	})
}

// endWorker ends a worker that runs tasks, if there is one, and adds another one.
func (s *lastingSoak) endWorker() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.random.Perm(len(s.workers)) {
		if w := s.workers[n]; len(w.Running()) > 0 {
			s.t.Logf("%s: worker %s ends with %v", time.Now().Format("05.000"), w.Entry.ID, w.Running())
			w.SetRefusing(true)
			w.Restart()
			s.addWorker(fmt.Sprintf("w%d", len(s.workers)))
			return
		}
	}
}

// takeStoreAway cuts all hosts off from the store for d.
func (s *lastingSoak) takeStoreAway(d time.Duration) {
	s.t.Logf("%s: the store is away for %s", time.Now().Format("05.000"), d)
	s.mu.Lock()
	s.disturbedUntil = time.Now().Add(d)
	s.mu.Unlock()
	for _, relay := range s.relays {
		relay.Cut()
		s.recoveries.Go(func() {
			time.Sleep(d)
			relay.Heal()
		})
	}
}
