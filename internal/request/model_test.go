package request

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// TestInterleavings guards against a second run of a non-idempotent request
// and against a false not_run under any order of submits, cancellations,
// deaths, pauses, restarts, lost acknowledgements and lost answers.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// rapid ends a case by a panic, which must not leave the bubble's
		// goroutine. It tells failures apart by their place.
		var ended any
		var fault string
		synctest.Test(t, func(t *testing.T) {
			defer func() { ended = recover() }()
			fault = interleaving(rt, t)
		})
		if ended != nil {
			panic(ended)
		}
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// model is what the callers have seen.
type model struct {
	mu      sync.Mutex
	c       *cluster
	submits map[string]int
	active  map[string]int
	refused map[string]int
	fault   string
}

// call makes one call and judges its reply. A not_run is false if the request
// had run when the call began, or when it ended unless another submit of the
// ID overlapped.
func (m *model) call(h *fakeHost, id string, isSubmit bool, f func() *rpc.SubmitReply) {
	m.mu.Lock()
	before, others := m.c.worker.ran(id), m.active[id]
	if isSubmit {
		m.submits[id]++
		m.active[id]++
	}
	begun := m.submits[id]
	m.mu.Unlock()
	out := f()
	m.c.mu.Lock()
	delivered := !h.dead && !h.paused
	m.c.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if isSubmit {
		m.active[id]--
	}
	if !delivered {
		return
	}
	runs := m.c.worker.ran(id)
	switch api.Outcome(out.Outcome) {
	case api.NotRun:
		if isSubmit {
			m.refused[out.Id]++
		}
		if before > 0 || runs > 0 && others == 0 && m.submits[id] == begun {
			m.fault = "not_run/" + out.Reason + " for " + out.Id + ", which has run"
		}
	case api.Answered:
		if runs == 0 || !out.BodyDropped && string(out.Body) != "answer to "+out.Id {
			m.fault = "wrong answer for " + out.Id
		}
	}
}

func interleaving(t *rapid.T, bubble *testing.T) string {
	n := rapid.IntRange(2, 3).Draw(t, "hosts")
	lossy := func(o *Options) { o.Runner.(*fakeHost).result = loseAnswer }
	c := newCluster(bubble, n, lossy)
	m := &model{c: c, submits: map[string]int{}, active: map[string]int{}, refused: map[string]int{}}
	var requests []*rpc.SubmitRequest
	newRequest := func() {
		r := submit(testID(time.Now(), rapid.Byte().Draw(t, "tail"), byte(len(requests))))
		r.Idempotent = rapid.IntRange(0, 3).Draw(t, "idempotent") == 0
		r.DeadlineMs = 5000
		requests = append(requests, r)
	}
	newRequest()
	points := []string{"queued", "send", "receive", "acked", "dispatch", "answer", "resolve"}
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		req := requests[rapid.IntRange(0, len(requests)-1).Draw(t, "request")]
		h := c.hosts[rapid.IntRange(0, n-1).Draw(t, "host")]
		if keeper := c.first(req.Id); keeper != nil && rapid.IntRange(0, 4).Draw(t, "at keeper") > 0 {
			h = keeper
		}
		point := rapid.SampledFrom(points).Draw(t, "point")
		switch op := rapid.SampledFrom([]string{"submit", "submit", "submit", "new", "cancel", "resolve", "kill", "restart",
			"pause", "resume", "resume", "hold", "hold", "release", "release", "lose", "worker", "sleep", "sleep", "sleep"}).Draw(t, "op"); op {
		case "new":
			newRequest()
		case "submit", "cancel", "resolve":
			if h.dead || h.paused {
				break
			}
			go m.call(h, req.Id, op == "submit", func() *rpc.SubmitReply {
				ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
				defer cancel()
				switch op {
				case "submit":
					return h.k.Submit(ctx, req)
				case "cancel":
					return h.k.Cancel(ctx, req.Id)
				}
				return h.k.Resolve(ctx, req.Id)
			})
			if rapid.Bool().Draw(t, "settle") {
				synctest.Wait()
			}
		case "kill", "pause":
			if !h.dead && !h.paused {
				h.stop(op == "kill")
			}
		case "restart":
			if i := slices.Index(c.hosts, h); h.dead && !h.live {
				c.restart(bubble, i, lossy)
			}
		case "resume":
			if h.paused {
				h.resume()
			}
		case "hold":
			h.hold(point)
		case "release":
			h.release(point)
		case "lose":
			h.change(func() { h.lostAcks++ })
		case "worker":
			why := rapid.SampledFrom([]*api.Reason{nil, &noReply.Reason}).Draw(t, "why")
			c.worker.unknown.Store(why)
		case "sleep":
			ms := rapid.SampledFrom([]int{1, 100, 500, 700, 1100, 3000}).Draw(t, "ms")
			time.Sleep(time.Duration(ms) * time.Millisecond)
		}
	}
	for _, h := range c.hosts {
		for _, p := range points {
			h.release(p)
		}
		if h.paused {
			h.resume()
		}
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range requests {
		runs := c.worker.ran(r.Id)
		if !r.Idempotent && runs > 1 {
			return fmt.Sprintf("%s ran %d times", r.Id, runs)
		}
		if runs > 0 && m.refused[r.Id] >= m.submits[r.Id] {
			return fmt.Sprintf("all submits of %s got not_run, but it ran", r.Id)
		}
	}
	if c.worker.duplicates > 0 {
		return "a task was started twice"
	}
	return m.fault
}

// loseAnswer loses the first answers of every fourth request.
func loseAnswer(id string, attempt uint32) *Result {
	if shardIndex(id)%4 == 0 && attempt < 3 {
		return &Result{Outcome: api.Unknown, Reason: api.ReasonNoReply}
	}
	return nil
}
