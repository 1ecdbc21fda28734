package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/standin"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
	"github.com/laburnumpass/laburnumpass/platform"
)

const (
	// soakHosts and soakWorkers are the size of the deployment. Nothing limits how
	// many faults overlap, so more than one host may be down at a time.
	soakHosts, soakWorkers = 3, 4
	// soakDuration is how long jobs are submitted and faults injected.
	soakDuration = 10 * time.Second
	// soakSeedCountVariable is the environment variable with the number of seeds
	// to run, 1 by default.
	soakSeedCountVariable = "LABURNUMPASS_SOAK_SEEDS"
	// soakFirstSeedVariable is the environment variable with the first seed, 1 by
	// default.
	soakFirstSeedVariable = "LABURNUMPASS_SOAK_FIRST"
	// soakJobInterval is the mean time between two jobs. Jobs have 3.25 tasks on
	// average, so about 22 tasks a second are submitted, slightly more than the 20
	// a second that the workers can run: 16 at a time, each for 800 ms.
	soakJobInterval = 150 * time.Millisecond
	// soakFaultInterval is the mean time between two faults and
	// soakMaxFaultDuration the longest that a fault lasts. With these values there
	// are also periods without a fault.
	soakFaultInterval, soakMaxFaultDuration = 1200 * time.Millisecond, 4 * time.Second
)

// soak is one run with jobs and faults from a seeded random source.
type soak struct {
	*deployment
	random *rand.Rand
	relays []*standin.LinkRelay

	mu sync.Mutex
	// accepted contains the jobs whose acceptance was confirmed, refused those for
	// which every response said that they have not run. cancelled contains the jobs
	// whose cancellation was confirmed, and maybeCancelled those for which a request
	// to cancel had an unknown outcome.
	accepted, refused, cancelled, maybeCancelled map[string]bool
	// unplannedFaults contains, by host, when its process was last killed, paused or
	// resumed. cutOff contains the requests that a planned stop has cut off.
	unplannedFaults      [soakHosts]time.Time
	cutOff               []string
	recoveries           sync.WaitGroup
	restarts             sync.Mutex
	configurationVersion int
}

// fault is a failure that is injected for a limited time.
type fault struct {
	name string
	// inject causes the fault at host or worker n. The returned function ends it;
	// nil if there is nothing to end.
	inject func(s *soak, n int) (heal func())
}

// restartAfterSignal returns a fault that ends a host's process by a signal and
// starts the host again when the fault ends.
func restartAfterSignal(sig syscall.Signal) func(s *soak, n int) func() {
	return func(s *soak, n int) func() {
		p := s.process(n)
		_ = p.cmd.Process.Signal(sig) // fails if another fault has ended the process
		return func() { s.restart(n, p) }
	}
}

// storeFault returns a fault that affects the given calls to the store.
func storeFault(f storetest.Fault, calls ...string) func(s *soak, n int) func() {
	return func(s *soak, _ int) func() {
		s.store.SetFault(func(call, _ string) storetest.Fault {
			for _, c := range calls {
				if c == call {
					return f
				}
			}
			return storetest.NoFault
		})
		return func() { s.store.SetFault(nil) }
	}
}

// workerFault returns a fault that affects all calls to a worker.
func workerFault(f celltest.Fault) func(s *soak, n int) func() {
	return func(s *soak, n int) func() {
		w := s.workers[n]
		w.SetFault(func(string, string) celltest.Fault { return f })
		return func() { w.SetFault(nil) }
	}
}

// faults are the faults to choose from: of processes, of links to the store, of
// the store and of workers.
var faults = []fault{
	{"host killed", unplanned(restartAfterSignal(syscall.SIGKILL))},
	{"host stopped", restartAfterSignal(syscall.SIGTERM)},
	{"all hosts stopped in turn", rollingRestart},
	{"host paused", unplanned(func(s *soak, n int) func() {
		p := s.process(n)
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		return func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }
	})},
	{"host reads its settings", func(s *soak, n int) func() {
		_ = s.process(n).cmd.Process.Signal(syscall.SIGHUP)
		return nil
	}},
	{"host cut off from the store", func(s *soak, n int) func() {
		s.relays[n].Cut()
		return s.relays[n].Heal
	}},
	{"connections to the store reset", func(s *soak, n int) func() {
		s.relays[n].CloseConnections()
		return nil
	}},
	{"store far away", func(s *soak, n int) func() {
		s.relays[n].SetDelay(150 * time.Millisecond)
		return func() { s.relays[n].SetDelay(0) }
	}},
	{"store away for all", storeFault(storetest.DropRequest, "append", "read", "newest")},
	{"store refuses writes", storeFault(storetest.Refuse, "append")},
	{"answers of the store lost", storeFault(storetest.DropReply, "append")},
	{"worker cut off", func(s *soak, n int) func() {
		s.workers[n].SetPartitioned(true)
		return func() { s.workers[n].SetPartitioned(false) }
	}},
	{"worker carries orders out late", workerFault(celltest.DelayRequest)},
	{"answers of a worker lost", workerFault(celltest.DropReply)},
	{"new configuration", func(s *soak, _ int) func() {
		s.configurationVersion++
		ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
		defer cancel()
		// The append may fail because of a simultaneous store fault; then there is no
		// new version.
		_, _ = s.store.Append(ctx, store.Append{Topic: platform.TopicOperator, Records: []store.Record{s.configuration(s.configurationVersion, true)}})
		return nil
	}},
}

// Under random faults of processes, links, the store and workers, accepted jobs
// must complete, refused jobs must never run, and no task may run twice at the
// same time or on a worker without capacity for it. A failed subtest names its
// seed; LABURNUMPASS_SOAK_FIRST runs it again.
func TestSoak(t *testing.T) {
	first, seeds := intVariable(t, soakFirstSeedVariable), intVariable(t, soakSeedCountVariable)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// intVariable returns the value of an environment variable, 1 if it is not set.
func intVariable(t *testing.T, name string) int {
	text := os.Getenv(name)
	if text == "" {
		return 1
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return n
}

func newSoak(t *testing.T, seed int) *soak {
	s := &soak{
		deployment: newDeploymentWithoutHosts(t, soakWorkers), random: rand.New(rand.NewPCG(uint64(seed), 0)), configurationVersion: 1,
		accepted: make(map[string]bool), refused: make(map[string]bool), cancelled: make(map[string]bool), maybeCancelled: make(map[string]bool),
	}
	for range soakHosts {
		relay, err := standin.NewLinkRelay(s.storeAddress)
		require.NoError(t, err)
		t.Cleanup(func() { require.NoError(t, relay.Close()) })
		s.relays = append(s.relays, relay)
	}
	s.startHosts(soakHosts, func(n int) string { return s.relays[n].Address() })
	return s
}

func (s *soak) run() {
	end := time.Now().Add(soakDuration)
	var submissions sync.WaitGroup
	nextJob, nextFault := time.Now(), time.Now().Add(soakFaultInterval)
	for number := 0; time.Now().Before(end); {
		switch now := time.Now(); {
		case now.After(nextJob):
			number++
			nextJob = now.Add(s.randomDuration(soakJobInterval))
			id, body, cancel := jobID(number), s.randomJob(), s.random.IntN(10) == 0
			host := s.random.IntN(soakHosts)
			submissions.Go(func() { s.submitWithRetries(id, body, host, cancel) })
		case now.After(nextFault):
			nextFault = now.Add(s.randomDuration(soakFaultInterval))
			s.injectFault(end)
		}
		time.Sleep(min(max(time.Until(nextJob), 0), max(time.Until(nextFault), 0)) + time.Millisecond)
	}
	s.recoveries.Wait()
	submissions.Wait()
	s.checkOutcomes()
}

// randomDuration returns a random duration with the given mean.
func (s *soak) randomDuration(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// injectFault causes a random fault and ends it after a random time, at the end
// of the run at the latest.
func (s *soak) injectFault(end time.Time) {
	f := faults[s.random.IntN(len(faults))]
	n, duration := s.random.IntN(soakHosts), min(s.randomDuration(soakMaxFaultDuration*2/3), time.Until(end))
	s.t.Logf("%s: %s (%d) for %s", time.Now().Format("05.000"), f.name, n, duration.Round(time.Millisecond))
	heal := f.inject(s, n)
	if heal == nil {
		return
	}
	s.recoveries.Go(func() {
		time.Sleep(duration)
		heal()
	})
}

// randomJob returns the body of a random job.
func (s *soak) randomJob() string {
	return []string{
		oneTask, twoSteps,
		`{"spec":"p","steps":[{"count":3,"cpu":1000,"mem-mb":100,"gang":true}]}`,
		`{"spec":"p","steps":[{"count":4,"cpu":1000,"mem-mb":100,"anti-affinity":1}]}`,
	}[s.random.IntN(4)]
}

// submitWithRetries submits a job as a client does: it tries the next host until
// one accepts the job, at most 6 times. It then cancels the job if cancel is set.
func (s *soak) submitWithRetries(id, body string, host int, cancel bool) {
	mayHaveRun := false
	for attempt := range 6 {
		status, _ := s.callHost((host+attempt)%soakHosts, http.MethodPost, queuePath+id, body)
		switch {
		case status == http.StatusOK:
			s.recordID(s.accepted, id)
			if cancel {
				s.cancel(id, host)
			}
			return
		case status != http.StatusServiceUnavailable:
			mayHaveRun = true
		}
	}
	if !mayHaveRun {
		s.recordID(s.refused, id)
	}
}

func (s *soak) cancel(id string, host int) {
	for attempt := range 6 {
		switch status, _ := s.callHost((host+attempt)%soakHosts, http.MethodDelete, queuePath+id, ""); status {
		case http.StatusOK:
			s.recordID(s.cancelled, id)
			return
		case http.StatusServiceUnavailable: // refused, without an effect
		default:
			s.recordID(s.maybeCancelled, id)
		}
	}
}

func (s *soak) recordID(set map[string]bool, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set[id] = true
}

// checkOutcomes waits until all accepted jobs have ended and checks that no
// refused job has run and that the workers recorded no violation.
func (s *soak) checkOutcomes() {
	for id := range s.accepted {
		s.await(id+" has ended", func() bool {
			status, body := s.callHost(0, http.MethodGet, queuePath+id, "")
			require.NotEqual(s.t, http.StatusGone, status, "%s was accepted but is unknown to the host", id)
			if strings.Contains(body, "cancelled") {
				require.True(s.t, s.cancelled[id] || s.maybeCancelled[id], "%s is cancelled although every request to cancel it was refused", id)
				return true
			}
			return strings.Contains(body, "completed")
		})
	}
	for id := range s.refused {
		require.Zero(s.t, s.recorder.Starts(id+".0.0.0"), "%s was refused by every host but has run", id)
	}
	require.Empty(s.t, s.recorder.Violations())
	require.Empty(s.t, s.cutOff, "requests were cut off by a planned stop")
	s.t.Logf("%d jobs accepted, %d of them cancelled, %d refused", len(s.accepted), len(s.cancelled), len(s.refused))
}
