package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/configuration"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/operator"
	"github.com/laburnumpass/laburnumpass/internal/standin"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

const (
	// overlapSeed is the random seed that determines which hosts and links fail and
	// in which order.
	overlapSeed = 1
	// overlapRounds is the number of rounds; in each, a killed host, a paused host
	// and an isolated failure domain coincide.
	overlapRounds = 4
	// startsBetweenFaults is the number of task starts to await before each step
	// that injects or ends a fault.
	startsBetweenFaults = 100
	// overlapCallers is the number of callers, each with one request in progress.
	// Together they need almost the capacity of all workers, which is 122 of their
	// tasks: two on each of the 35 plain and four on each of the 13 accelerated
	// workers.
	overlapCallers = 120
	// longestLease is the task lease, the longest of all leases.
	longestLease = 3 * time.Second
	// localRefusalDetail is the detail of a refusal that is valid only for the copy
	// of the request that the refusing entry host received.
	localRefusalDetail = "the entry host does not take requests now"
)

// TestOverlappingFaults checks the guarantees while one host is down, another one is
// paused for longer than every lease and a failure domain is isolated, all at the
// same time and in random places: no request runs twice, no worker exceeds its
// capacity, no journal contains a request that was reported as "not run", and every
// answer is complete and belongs to its request. At the end all workers have a
// holder and all hosts the newest configuration, and no host's configuration was
// ever rolled back.
func TestOverlappingFaults(t *testing.T) {
	l := newLinks(t)
	c := newCluster(t, l.insertRelays, 3, 2, 2)
	stopWatching := c.watchConfigOffsets()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	results := make(chan []requestCopy, 1)
	go func() { results <- c.sendCopies(ctx) }()
	newest := c.runOverlappingFaults(l, rand.New(rand.NewPCG(overlapSeed, 0)))
	stop()
	copies := <-results
	c.awaitReady(c.callerAddresses()...)
	for _, w := range c.platform.Workers {
		c.await(func() bool {
			holder, _ := w.Lease()
			return holder != "" && c.failureDomainOf(holder) == w.Info().FailureDomain
		}, "worker %s has a holder of its failure domain", w.Info().Name)
	}
	for _, s := range c.settings {
		c.await(func() bool { return c.configOffset(s) >= newest && c.configOffset(s) == c.configOffset(c.settings[0]) }, "host %s has the newest configuration", s.Host)
	}
	stopWatching()
	c.checkCopies(copies)
}

// runOverlappingFaults injects and ends the faults of all rounds. It returns the
// offset of the last accepted configuration.
func (c *cluster) runOverlappingFaults(l *links, rng *rand.Rand) uint64 {
	newest := c.salesQuotaVersion()
	domains := []string{"fd-a", "fd-b", "fd-c"}
	for round := range overlapRounds {
		hosts := rng.Perm(len(c.settings))
		killed, paused := c.settings[hosts[0]], c.settings[hosts[1]]
		isolated := domains[rng.IntN(len(domains))]
		c.t.Logf("round %d: kill %s, pause %s, isolate %s", round, killed.Host, paused.Host, isolated)
		var pausedAt time.Time
		c.inRandomOrder(rng,
			func() { c.kill(killed.Host) },
			func() { c.signal(paused.Host, syscall.SIGSTOP); pausedAt = time.Now() },
			func() { l.isolate(isolated) })
		for _, i := range hosts[2:] {
			if s := c.settings[i]; c.failureDomainOf(s.Host) != isolated {
				report := c.publishSalesQuota(s, fmt.Sprintf("round-%d", round), newest, 100+round)
				require.Equal(c.t, configuration.StatusAccepted, report.Status, report.Message)
				newest = report.Offset
				break
			}
		}
		c.await(func() bool {
			return c.workersHeldBy(killed.Host)+c.workersHeldBy(paused.Host) == 0 && time.Since(pausedAt) > longestLease
		},
			"the leases of %s and %s have expired", killed.Host, paused.Host)
		c.inRandomOrder(rng,
			func() { c.start(killed) },
			func() { c.signal(paused.Host, syscall.SIGCONT) },
			func() { l.heal(isolated) })
	}
	return newest
}

// inRandomOrder executes the steps in random order, each after startsBetweenFaults
// more task starts.
func (c *cluster) inRandomOrder(rng *rand.Rand, steps ...func()) {
	c.t.Helper()
	for _, i := range rng.Perm(len(steps)) {
		target := c.startedTasks() + startsBetweenFaults
		c.await(func() bool { return c.startedTasks() >= target }, "more tasks start")
		steps[i]()
	}
}

// requestCopy is one of the copies of a request that a caller sends, with the time
// at which it was sent and that of its outcome.
type requestCopy struct {
	demo.Result
	began, ended time.Time
}

// sendCopies sends requests that are not idempotent until ctx ends. One in four, at
// random, is sent through two entry hosts at once, and a request that is not
// answered is retried through up to two others.
func (c *cluster) sendCopies(ctx context.Context) []requestCopy {
	var clients []*api.Client
	for _, s := range c.settings {
		client, err := api.NewClient(api.ClientOptions{Addresses: []string{s.Listen.Callers}})
		assert.NoError(c.t, err)
		defer client.Close()
		clients = append(clients, client)
	}
	workload := &demo.Workload{Name: "price"}
	// The short deadline causes refusals.
	deadlines := []int{1500, 1500, 1500, 50}
	var mu sync.Mutex
	var all []requestCopy
	send := func(client *api.Client, req api.Request) api.Outcome {
		s := requestCopy{Result: demo.Result{Workload: workload, Request: req}, began: time.Now()}
		s.Response, s.Err = client.Do(context.Background(), req)
		s.ended = time.Now()
		mu.Lock()
		defer mu.Unlock()
		all = append(all, s)
		return s.Response.Outcome
	}
	var callers sync.WaitGroup
	for caller := range overlapCallers {
		rng := rand.New(rand.NewPCG(overlapSeed, uint64(caller+1)))
		callers.Go(func() {
			for ctx.Err() == nil {
				hostOrder := rng.Perm(len(clients))
				id, err := api.NewID(c.failureDomainOf(c.settings[hostOrder[0]].Host))
				assert.NoError(c.t, err)
				req := api.Request{ID: id, Team: "sales", Service: "order-desk", DeadlineMS: deadlines[rng.IntN(len(deadlines))],
					Resources: api.Resources{MilliCPU: 16_000, MemoryMiB: 1024},
					Body:      fmt.Appendf(nil, `{"run_ms":%d,"answer_bytes":200}`, 5+rng.IntN(100))}
				var duplicate sync.WaitGroup
				if rng.IntN(4) == 0 {
					duplicate.Go(func() { send(clients[hostOrder[1]], req) })
				}
				for _, i := range []int{hostOrder[0], hostOrder[2], hostOrder[3]} {
					outcome := send(clients[i], req)
					duplicate.Wait()
					if outcome == api.Answered {
						break
					}
				}
			}
		})
	}
	callers.Wait()
	return all
}

// checkCopies compares the outcomes of all copies with the journals. A refusal is
// valid for the refused copy and for the copies whose outcome was known before that
// copy was sent; a concurrent or later copy may run.
func (c *cluster) checkCopies(copies []requestCopy) {
	c.t.Helper()
	starts := make(map[string][]time.Time)
	for _, j := range c.platform.Journals() {
		for _, e := range j.Events() {
			if e.Kind == standin.EventStart {
				id, _, _ := standin.SplitTaskID(e.Task)
				starts[id] = append(starts[id], e.Time)
			}
		}
	}
	byID := make(map[string][]requestCopy)
	for _, s := range copies {
		byID[s.Request.ID] = append(byID[s.Request.ID], s)
	}
	var remaining []demo.Result
	refused := 0
	for id, group := range byID {
		for i, s := range group {
			if s.Response.Outcome != api.NotRun {
				remaining = append(remaining, s.Result)
				continue
			}
			if len(group) > 1 && s.Response.Detail == localRefusalDetail {
				continue
			}
			refused++
			for _, start := range starts[id] {
				explained := slices.ContainsFunc(append(slices.Clone(group[:i]), group[i+1:]...), func(o requestCopy) bool {
					return o.ended.After(s.began) && o.began.Before(start)
				})
				if !assert.True(c.t, explained && start.After(s.began), "%s is 'not run' (%s) but ran", id, s.Response.Reason) {
					c.logHistory(id, group)
				}
			}
		}
	}
	c.t.Logf("%d requests in %d copies, %d copies not run", len(byID), len(copies), refused)
	assert.NotZero(c.t, refused, "no request was refused, so that refusals were not tested")
	assert.Greater(c.t, len(byID), 2000, "too few requests for a meaningful result")
	c.checkGuarantees(remaining)
}

// logHistory logs the copies of a request, its task events from the workers'
// journals and its events on the entry hosts that are still running.
func (c *cluster) logHistory(id string, copies []requestCopy) {
	for _, s := range copies {
		c.t.Logf("%s to %s: %s %s %s", s.began.Format(time.StampMicro), s.ended.Format(time.StampMicro),
			s.Response.Outcome, s.Response.Reason, s.Response.Detail)
	}
	for _, j := range c.platform.Journals() {
		for _, e := range j.Events() {
			if request, _, _ := standin.SplitTaskID(e.Task); request == id {
				c.t.Logf("%s worker: %v %s for %s, epoch %d", e.Time.Format(time.StampMicro), e.Kind, e.Task, e.Holder, e.Epoch)
			}
		}
	}
	var addresses []string
	for _, s := range c.settings {
		addresses = append(addresses, s.Listen.Operators)
	}
	client, err := operator.New(operator.Options{Addresses: addresses, Token: c.settings[0].OperatorToken})
	require.NoError(c.t, err)
	defer client.Close()
	line, err := client.Timeline(c.t.Context(), operator.TimelineQuery{Request: id})
	require.NoError(c.t, err)
	for _, e := range line.Events {
		c.t.Logf("%s %s: %s %s %s %s", timeline.Time(e.Clock).Format(time.StampMicro), e.Host, e.Kind, e.Task, e.Worker, e.Detail)
	}
}
