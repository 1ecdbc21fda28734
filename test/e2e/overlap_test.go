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
	// overlapSeed determines which hosts and links fail and in what order.
	overlapSeed = 1
	// overlapRounds is the number of times that a kill, a freeze and a cut are
	// in effect together.
	overlapRounds = 4
	// overlapStep is the number of task starts between two faults.
	overlapStep = 100
	// overlapCallers is the number of callers, each with one request in
	// progress. They fill the workers, of which most have room for two tasks.
	overlapCallers = 120
	// longestLease is the task lease, the longest of all leases.
	longestLease = 3 * time.Second
	// turnedAway is the detail of a reply by which an entry host speaks for its
	// own copy of a request only.
	turnedAway = "the entry host does not take requests now"
)

// TestOverlappingFaults guards the promises while a host is dead, another one
// is frozen for longer than every lease and a failure domain is cut off, all
// at once and in changing places: nothing runs twice, no worker is overfilled,
// every "not run" is absent from every journal, every answer is whole and the
// request's own. At the end all workers are held and all hosts have the newest
// configuration, and no host's configuration ever went back.
func TestOverlappingFaults(t *testing.T) {
	l := newLinks(t)
	c := newCluster(t, l.adjust, 3, 2, 2)
	stopOffsets := c.watchOffsets()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	loads := make(chan []copyOf, 1)
	go func() { loads <- c.sendCopies(ctx) }()
	newest := c.overlap(l, rand.New(rand.NewPCG(overlapSeed, 0)))
	stop()
	copies := <-loads
	c.awaitReady(c.callers()...)
	for _, w := range c.platform.Workers {
		c.await(func() bool {
			holder, _ := w.Lease()
			return holder != "" && c.domainOf(holder) == w.Info().FailureDomain
		}, "worker %s has a holder of its failure domain", w.Info().Name)
	}
	for _, s := range c.settings {
		c.await(func() bool { return c.offset(s) >= newest && c.offset(s) == c.offset(c.settings[0]) }, "host %s has the newest configuration", s.Host)
	}
	stopOffsets()
	c.checkCopies(copies)
}

// overlap causes the faults and returns the offset of the last accepted
// configuration.
func (c *cluster) overlap(l *links, rng *rand.Rand) uint64 {
	newest := c.versionOfSales()
	domains := []string{"fd-a", "fd-b", "fd-c"}
	for round := range overlapRounds {
		hosts := rng.Perm(len(c.settings))
		killed, frozen := c.settings[hosts[0]], c.settings[hosts[1]]
		cut := domains[rng.IntN(len(domains))]
		c.t.Logf("round %d: kill %s, freeze %s, cut %s", round, killed.Host, frozen.Host, cut)
		var frozenAt time.Time
		c.inRandomOrder(rng,
			func() { c.kill(killed.Host) },
			func() { c.signal(frozen.Host, syscall.SIGSTOP); frozenAt = time.Now() },
			func() { l.cut(cut) })
		for _, i := range hosts[2:] {
			if s := c.settings[i]; c.domainOf(s.Host) != cut {
				report := c.publish(s, fmt.Sprintf("round-%d", round), newest, 100+round)
				require.Equal(c.t, configuration.StatusAccepted, report.Status, report.Message)
				newest = report.Offset
				break
			}
		}
		c.await(func() bool {
			return c.heldBy(killed.Host)+c.heldBy(frozen.Host) == 0 && time.Since(frozenAt) > longestLease
		},
			"the leases of %s and %s have expired", killed.Host, frozen.Host)
		c.inRandomOrder(rng,
			func() { c.start(killed) },
			func() { c.signal(frozen.Host, syscall.SIGCONT) },
			func() { l.heal(cut) })
	}
	return newest
}

// inRandomOrder takes the steps, each of them once more tasks have begun.
func (c *cluster) inRandomOrder(rng *rand.Rand, steps ...func()) {
	c.t.Helper()
	for _, i := range rng.Perm(len(steps)) {
		until := c.begun() + overlapStep
		c.await(func() bool { return c.begun() >= until }, "more tasks begin")
		steps[i]()
	}
}

// copyOf is one of the copies of a request that a caller sends.
type copyOf struct {
	demo.Result
	began, ended time.Time
}

// sendCopies sends requests that are not idempotent until ctx ends. Every
// fourth one is sent through two entry hosts at once, and one that is not
// answered is repeated through others.
func (c *cluster) sendCopies(ctx context.Context) []copyOf {
	var clients []*api.Client
	for _, s := range c.settings {
		client, err := api.NewClient(api.ClientOptions{Addresses: []string{s.Listen.Callers}})
		assert.NoError(c.t, err)
		defer client.Close()
		clients = append(clients, client)
	}
	kind := &demo.Workload{Name: "price"}
	// The short one leads to refusals.
	deadlines := []int{1500, 1500, 1500, 50}
	var mu sync.Mutex
	var all []copyOf
	send := func(client *api.Client, req api.Request) api.Outcome {
		s := copyOf{Result: demo.Result{Workload: kind, Request: req}, began: time.Now()}
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
				through := rng.Perm(len(clients))
				id, err := api.NewID(c.domainOf(c.settings[through[0]].Host))
				assert.NoError(c.t, err)
				req := api.Request{ID: id, Team: "sales", Service: "order-desk", DeadlineMS: deadlines[rng.IntN(len(deadlines))],
					Resources: api.Resources{MilliCPU: 16_000, MemoryMiB: 1024},
					Body:      fmt.Appendf(nil, `{"run_ms":%d,"answer_bytes":200}`, 5+rng.IntN(100))}
				var second sync.WaitGroup
				if rng.IntN(4) == 0 {
					second.Go(func() { send(clients[through[1]], req) })
				}
				for _, i := range []int{through[0], through[2], through[3]} {
					outcome := send(clients[i], req)
					second.Wait()
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

// checkCopies compares the outcomes of all copies with the journals. A refusal
// speaks for the copies that were sent before; a later copy may run.
func (c *cluster) checkCopies(copies []copyOf) {
	c.t.Helper()
	begins := make(map[string][]time.Time)
	for _, j := range c.platform.Journals() {
		for _, e := range j.Events() {
			if e.Kind == standin.EventBegin {
				id, _, _ := standin.SplitTaskID(e.Task)
				begins[id] = append(begins[id], e.Time)
			}
		}
	}
	byID := make(map[string][]copyOf)
	for _, s := range copies {
		byID[s.Request.ID] = append(byID[s.Request.ID], s)
	}
	var rest []demo.Result
	refused := 0
	for id, group := range byID {
		for i, s := range group {
			if s.Response.Outcome != api.NotRun {
				rest = append(rest, s.Result)
				continue
			}
			if len(group) > 1 && s.Response.Detail == turnedAway {
				continue
			}
			refused++
			for _, begin := range begins[id] {
				caused := slices.ContainsFunc(append(slices.Clone(group[:i]), group[i+1:]...), func(o copyOf) bool {
					return o.ended.After(s.began) && o.began.Before(begin)
				})
				if !assert.True(c.t, caused && begin.After(s.began), "%s is 'not run' (%s) but ran", id, s.Response.Reason) {
					c.logLife(id, group)
				}
			}
		}
	}
	c.t.Logf("%d requests in %d copies, %d copies not run", len(byID), len(copies), refused)
	assert.NotZero(c.t, refused, "no refusal shows anything")
	assert.Greater(c.t, len(byID), 2000, "too few requests to show anything")
	c.checkPromises(rest)
}

// logLife logs the copies of a request, its tasks and its events on the entry
// hosts that still run.
func (c *cluster) logLife(id string, copies []copyOf) {
	for _, s := range copies {
		c.t.Logf("%s to %s: %s %s %s", s.began.Format(time.StampMicro), s.ended.Format(time.StampMicro),
			s.Response.Outcome, s.Response.Reason, s.Response.Detail)
	}
	for _, j := range c.platform.Journals() {
		for _, e := range j.Events() {
			if of, _, _ := standin.SplitTaskID(e.Task); of == id {
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
