package request

import (
	"context"
	"fmt"
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
	pick := func(name string, values ...string) string { return rapid.SampledFrom(values).Draw(t, name) }
	n := rapid.IntRange(2, 3).Draw(t, "hosts")
	s := newScript(bubble, n, func(o *Options) { o.Runner.(*fakeHost).result = loseAnswer })
	m := &model{c: s.c, submits: map[string]int{}, active: map[string]int{}, refused: map[string]int{}}
	var requests []*rpc.SubmitRequest
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		if op := pick("op", "submit", "submit", "submit", "submit", "cancel", "resolve", "new", "event", "event", "event", "event", "event", "event"); op == "new" || len(requests) == 0 {
			r := submit(testID(time.Now(), rapid.Byte().Draw(t, "tail"), byte(len(requests))))
			r.Idempotent = rapid.IntRange(0, 3).Draw(t, "idempotent") == 0
			r.DeadlineMs = 5000
			requests = append(requests, r)
		} else if op != "event" {
			req := requests[rapid.IntRange(0, len(requests)-1).Draw(t, "request")]
			h := s.c.hosts[rapid.IntRange(0, n-1).Draw(t, "host")]
			if keeper := s.c.first(req.Id); keeper != nil && rapid.IntRange(0, 4).Draw(t, "at keeper") > 0 {
				h = keeper
			}
			if h.dead || h.paused {
				continue
			}
			go m.call(h, req.Id, op == "submit", func() *rpc.SubmitReply {
				ctx, cancel := context.WithTimeout(s.c.ctx, 5*time.Second)
				defer cancel()
				return map[string]func() *rpc.SubmitReply{
					"submit":  func() *rpc.SubmitReply { return h.k.Submit(ctx, req) },
					"cancel":  func() *rpc.SubmitReply { return h.k.Cancel(ctx, req.Id) },
					"resolve": func() *rpc.SubmitReply { return h.k.Resolve(ctx, req.Id) },
				}[op]()
			})
			if rapid.Bool().Draw(t, "settle") {
				synctest.Wait()
			}
			continue
		}
		host := pick("host", "a", "b", "c")
		h := s.host[host]
		point := pick("point", "queued", "placed", "send", "receive", "acked", "dispatch", "answer", "resolve")
		op := pick("event", "kill", "restart", "pause", "resume", "resume", "hold "+point, "hold "+point, "release "+point,
			"release "+point, "lose", "worker", "worker no_reply", "worker pending", "sleep 1", "sleep 100", "sleep 500",
			"sleep 700", "sleep 1100", "sleep 3000")
		can := h != nil
		if can {
			h.locked(func() {
				can = (op != "restart" || h.dead && !h.live) && (op != "resume" || h.paused) &&
					(op != "kill" && op != "pause" || !h.dead && !h.paused)
			})
		}
		if can {
			s.step(host + "." + op)
		}
	}
	s.step(".worker")
	for _, h := range s.c.hosts {
		h.change(func() { clear(h.closed) })
		if h.paused {
			h.resume()
		}
	}
	time.Sleep(15 * time.Second)
	synctest.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range requests {
		runs := s.c.worker.ran(r.Id)
		if !r.Idempotent && runs > 1 {
			return fmt.Sprintf("%s ran %d times", r.Id, runs)
		}
		if runs > 0 && m.refused[r.Id] >= m.submits[r.Id] {
			return fmt.Sprintf("all submits of %s got not_run, but it ran", r.Id)
		}
	}
	if s.c.worker.duplicates > 0 {
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
