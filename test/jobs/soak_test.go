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
	// soakHosts and soakWorkers are the size of the deployment; one host may be
	// lost at a time, and two faults may overlap.
	soakHosts, soakWorkers = 3, 4
	// soakTime is how long faults and jobs come.
	soakTime = 10 * time.Second
	// soakSeedsVariable names the number of seeds to play; 1 without it.
	soakSeedsVariable = "LABURNUMPASS_SOAK_SEEDS"
	// soakFirstVariable names the first seed; 1 without it.
	soakFirstVariable = "LABURNUMPASS_SOAK_FIRST"
	// soakJobEvery is the mean time between two jobs: the workers have room for
	// some 20 short tasks a second.
	soakJobEvery = 150 * time.Millisecond
	// soakFaultEvery is the mean time between two faults, and soakFaultMax the
	// longest that one lasts; together they leave quiet times too.
	soakFaultEvery, soakFaultMax = 1200 * time.Millisecond, 4 * time.Second
)

// soak is one seeded run of jobs and faults.
type soak struct {
	*deployment
	random *rand.Rand
	relays []*standin.LinkRelay

	mu sync.Mutex
	// accepted has the jobs whose acceptance was answered; refused those of
	// which every answer said that they have not run.
	accepted, refused, cancelled map[string]bool
	healing                      sync.WaitGroup
	version                      int
}

// fault is something that goes wrong for a time.
type fault struct {
	name string
	// begin makes it happen; end, which may be nil, heals it.
	begin func(s *soak, n int) (end func())
}

func restart(kill syscall.Signal) func(s *soak, n int) func() {
	return func(s *soak, n int) func() {
		p := s.process(n)
		_ = p.cmd.Process.Signal(kill) // another fault may have ended it
		return func() {
			<-p.exited
			s.start(n)
		}
	}
}

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

func workerFault(f celltest.Fault) func(s *soak, n int) func() {
	return func(s *soak, n int) func() {
		w := s.workers[n]
		w.SetFault(func(string, string) celltest.Fault { return f })
		return func() { w.SetFault(nil) }
	}
}

// faults are those of processes, of links to the store, of the store and of
// workers.
var faults = []fault{
	{"host killed", restart(syscall.SIGKILL)},
	{"host stopped", restart(syscall.SIGTERM)},
	{"host paused", func(s *soak, n int) func() {
		p := s.process(n)
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		return func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }
	}},
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
		s.version++
		ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
		defer cancel()
		// The store may have a fault too; then there is no new version.
		_, _ = s.store.Append(ctx, store.Append{Topic: platform.TopicOperator, Records: []store.Record{s.configuration(s.version, true)}})
		return nil
	}},
}

// Whatever happens at random to processes, links, the store and workers: what was
// accepted is done, what was refused never runs, and nothing runs twice at a
// time or on a worker without room. A failure names its seed; play it again
// with LABURNUMPASS_SOAK_FIRST.
func TestSoak(t *testing.T) {
	first, seeds := variable(t, soakFirstVariable), variable(t, soakSeedsVariable)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

func variable(t *testing.T, name string) int {
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
		deployment: prepare(t, soakWorkers), random: rand.New(rand.NewPCG(uint64(seed), 0)), version: 1,
		accepted: make(map[string]bool), refused: make(map[string]bool), cancelled: make(map[string]bool),
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
	end := time.Now().Add(soakTime)
	var jobs sync.WaitGroup
	nextJob, nextFault := time.Now(), time.Now().Add(soakFaultEvery)
	for number := 0; time.Now().Before(end); {
		switch now := time.Now(); {
		case now.After(nextJob):
			number++
			nextJob = now.Add(s.about(soakJobEvery))
			id, body, cancel := id(number), s.body(), s.random.IntN(10) == 0
			host := s.random.IntN(soakHosts)
			jobs.Go(func() { s.play(id, body, host, cancel) })
		case now.After(nextFault):
			nextFault = now.Add(s.about(soakFaultEvery))
			s.strike(end)
		}
		time.Sleep(min(max(time.Until(nextJob), 0), max(time.Until(nextFault), 0)) + time.Millisecond)
	}
	s.healing.Wait()
	jobs.Wait()
	s.check()
}

// about returns a random duration with the given mean.
func (s *soak) about(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// strike begins a random fault and heals it after a random time, before the end
// at the latest.
func (s *soak) strike(end time.Time) {
	f := faults[s.random.IntN(len(faults))]
	n, lasts := s.random.IntN(soakHosts), min(s.about(soakFaultMax*2/3), time.Until(end))
	s.t.Logf("%s: %s (%d) for %s", time.Now().Format("05.000"), f.name, n, lasts.Round(time.Millisecond))
	heal := f.begin(s, n)
	if heal == nil {
		return
	}
	s.healing.Go(func() {
		time.Sleep(lasts)
		heal()
	})
}

// body returns a random job.
func (s *soak) body() string {
	return []string{
		oneTask, twoSteps,
		`{"spec":"p","steps":[{"count":3,"cpu":1000,"mem-mb":100,"gang":true}]}`,
		`{"spec":"p","steps":[{"count":4,"cpu":1000,"mem-mb":100,"anti-affinity":1}]}`,
	}[s.random.IntN(4)]
}

// play hands a job in as a client does, which repeats a call without a clear
// answer at another host, and cancels it if asked to.
func (s *soak) play(id, body string, host int, cancel bool) {
	maybe := false
	for try := range 6 {
		status, _ := s.call((host+try)%soakHosts, http.MethodPost, queuePath+id, body)
		switch {
		case status == http.StatusOK:
			s.note(s.accepted, id)
			if cancel {
				s.cancel(id, host)
			}
			return
		case status != http.StatusServiceUnavailable:
			maybe = true
		}
	}
	if !maybe {
		s.note(s.refused, id)
	}
}

func (s *soak) cancel(id string, host int) {
	for try := range 6 {
		if status, _ := s.call((host+try)%soakHosts, http.MethodDelete, queuePath+id, ""); status == http.StatusOK {
			s.note(s.cancelled, id)
			return
		}
	}
}

func (s *soak) note(set map[string]bool, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set[id] = true
}

// check waits until everything that was accepted has ended.
func (s *soak) check() {
	for id := range s.accepted {
		s.until(id+" has ended", func() bool {
			status, body := s.call(0, http.MethodGet, queuePath+id, "")
			require.NotEqual(s.t, http.StatusGone, status, "%s was accepted and is not known", id)
			return strings.Contains(body, "completed") || s.cancelled[id] && strings.Contains(body, "cancelled")
		})
	}
	for id := range s.refused {
		require.Zero(s.t, s.ledger.Starts(id+".0.0.0"), "%s was refused by every host and has run", id)
	}
	require.Empty(s.t, s.ledger.Violations())
	s.t.Logf("%d jobs accepted, %d of them cancelled, %d refused", len(s.accepted), len(s.cancelled), len(s.refused))
}
