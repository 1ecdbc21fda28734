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

// TestInterleavings guards against a second run of a non-idempotent request and
// against a wrong not_run, for any order of submits, cancellations, host
// deaths, pauses, restarts, lost acknowledgements and lost answers.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// rapid ends a test case by a panic, which must not leave the goroutine
		// of the synctest bubble. It distinguishes failures by their location.
		var recovered any
		var violation string
		synctest.Test(t, func(t *testing.T) {
			defer func() { recovered = recover() }()
			violation = runInterleaving(rt, t)
		})
		if recovered != nil {
			panic(recovered)
		}
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// model holds what the callers have observed.
type model struct {
	mu            sync.Mutex
	c             *cluster
	submitted     map[string]int
	activeSubmits map[string]int
	notRunReplies map[string]int
	violation     string
}

// callAndCheck makes one call and checks its reply. A not_run is wrong if the
// request had run when the call began, or if it had run when the call ended and
// no other submit of the ID overlapped the call.
func (m *model) callAndCheck(h *fakeHost, id string, isSubmit bool, f func() *rpc.SubmitReply) {
	m.mu.Lock()
	runsBefore, overlapping := m.c.worker.runCount(id), m.activeSubmits[id]
	if isSubmit {
		m.submitted[id]++
		m.activeSubmits[id]++
	}
	submittedAtStart := m.submitted[id]
	m.mu.Unlock()
	out := f()
	m.c.mu.Lock()
	delivered := !h.dead && !h.paused
	m.c.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if isSubmit {
		m.activeSubmits[id]--
	}
	if !delivered {
		return
	}
	runs := m.c.worker.runCount(id)
	switch api.Outcome(out.Outcome) {
	case api.NotRun:
		if isSubmit {
			m.notRunReplies[out.Id]++
		}
		if runsBefore > 0 || runs > 0 && overlapping == 0 && m.submitted[id] == submittedAtStart {
			m.violation = "not_run/" + out.Reason + " for " + out.Id + ", which has run"
		}
	case api.Answered:
		if runs == 0 || !out.BodyDropped && string(out.Body) != "answer to "+out.Id {
			m.violation = "wrong answer for " + out.Id
		}
	}
}

func runInterleaving(t *rapid.T, bubble *testing.T) string {
	pick := func(name string, values ...string) string { return rapid.SampledFrom(values).Draw(t, name) }
	n := rapid.IntRange(2, 3).Draw(t, "hosts")
	s := newScript(bubble, n, func(o *Options) { o.Runner.(*fakeHost).resultOverride = loseAnswer })
	m := &model{c: s.c, submitted: map[string]int{}, activeSubmits: map[string]int{}, notRunReplies: map[string]int{}}
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
			if keeper := s.c.keeperHost(req.Id); keeper != nil && rapid.IntRange(0, 4).Draw(t, "at keeper") > 0 {
				h = keeper
			}
			if h.dead || h.paused {
				continue
			}
			go m.callAndCheck(h, req.Id, op == "submit", func() *rpc.SubmitReply {
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
		h := s.hosts[host]
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
		h.change(func() { clear(h.blocked) })
		if h.paused {
			h.resume()
		}
	}
	time.Sleep(15 * time.Second)
	synctest.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range requests {
		runs := s.c.worker.runCount(r.Id)
		if !r.Idempotent && runs > 1 {
			return fmt.Sprintf("%s ran %d times", r.Id, runs)
		}
		if runs > 0 && m.notRunReplies[r.Id] >= m.submitted[r.Id] {
			return fmt.Sprintf("all submits of %s got not_run, but it ran", r.Id)
		}
	}
	if s.c.worker.duplicates > 0 {
		return "a task was started twice"
	}
	return m.violation
}

// loseAnswer loses the answers of the first two attempts of every fourth
// request.
func loseAnswer(id string, attempt uint32) *Result {
	if shardIndex(id)%4 == 0 && attempt < 3 {
		return &Result{Outcome: api.Unknown, Reason: api.ReasonNoReply}
	}
	return nil
}
