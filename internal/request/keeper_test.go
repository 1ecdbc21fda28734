package request

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// script runs steps of the form "host.operation argument=result" against the
// hosts a (the keeper of the request), b (its successor) and c. Operations
// without a host concern the worker, the clock or all submits.
//
// hold blocks the host at a point of fakeHost.blocked until release. begin
// submits in the background and late returns the reply to the oldest such
// submit; short submits with a deadline of 10 ms and other with a different
// body. new submits another request of host a whose ID was created the given
// number of milliseconds from now. kill stops a host until restart replaces it;
// pause stops it until resume, after which it rejoins if it was declared dead,
// or until wake, after which it does not. view makes the host consider another
// host to be the keeper, lose drops the next two acknowledgements that it would
// receive, and damage makes its answers shorter than their stated length.
// worker sets the reason for which the worker's outcome is unknown, fence makes
// the worker reject the first attempt and rejected counts the starts that it
// rejected. record returns the state and the attempt of the host's record.
// takeover waits until another host is the keeper.
type script struct {
	t              *testing.T
	c              *cluster
	id             string
	hosts          map[string]*fakeHost
	pendingReplies []chan string
	// idempotent is set in all submits.
	idempotent bool
}

func newScript(t *testing.T, n int, set func(*Options)) *script {
	s := &script{t: t, c: newCluster(t, n, set), hosts: map[string]*fakeHost{}}
	for i, h := range s.c.hosts {
		s.hosts[string(rune('a'+i))] = h
	}
	return s
}

// outcomeAndReason formats a reply as outcome/reason. It returns not_keeper for
// a reply from a host that is not the keeper.
func outcomeAndReason(r *rpc.SubmitReply) string {
	switch {
	case r.NotKeeper && r.Outcome == "unknown":
		return "not_keeper"
	case r.Reason != "":
		return r.Outcome + "/" + r.Reason
	case string(r.Body) != "answer to "+r.Id:
		return "wrong body"
	}
	return r.Outcome
}

func (s *script) step(step string) {
	call, want, _ := strings.Cut(step, "=")
	hostName, op, _ := strings.Cut(call, ".")
	op, arg, _ := strings.Cut(op, " ")
	h, got, ctx := s.hosts[hostName], "", s.t.Context()
	req := submit(s.id)
	req.Idempotent = s.idempotent
	switch op {
	case "takeover":
		time.Sleep(1500 * time.Millisecond)
	case "idempotent":
		s.idempotent = true
	case "sleep":
		n, _ := strconv.Atoi(arg)
		time.Sleep(time.Duration(n) * time.Millisecond)
	case "worker":
		why := api.Reason(arg)
		s.c.worker.unknownReason.Store(&why)
		if arg == "" {
			s.c.worker.unknownReason.Store(nil)
		}
	case "fence":
		s.c.worker.fenced[s.id+"#0.1"] = true
	case "damage":
		h.resultOverride = func(string, uint32) *Result {
			return &Result{Outcome: api.Answered, Body: []byte("ans"), Length: 6}
		}
	case "hold", "release":
		h.block(arg, op == "hold")
	case "canceller":
		h.k.opts.Canceller = h
	case "lose":
		h.change(func() { h.acksToLose = 2 })
	case "view":
		h.keeperOverride = func(string) string { return arg }
	case "kill", "pause":
		h.stop(op == "kill")
	case "wake":
		h.change(func() { h.paused = false })
	case "resume":
		h.resume()
	case "restart":
		s.hosts[hostName] = s.c.restart(s.t, slices.Index(s.c.hosts, h))
	case "new":
		n, _ := strconv.Atoi(arg)
		req.Id = testID(time.Now().Add(time.Duration(n)*time.Millisecond), 1, 0)
		got = outcomeAndReason(h.k.Submit(ctx, req))
	case "begin":
		out := make(chan string, 1)
		s.pendingReplies = append(s.pendingReplies, out)
		go func() { out <- outcomeAndReason(h.k.Submit(context.Background(), req)) }()
	case "late":
		got = <-s.pendingReplies[0]
		s.pendingReplies = s.pendingReplies[1:]
	case "submit", "short", "detach", "other":
		switch op {
		case "short":
			req.DeadlineMs = 10
		case "detach":
			req.Detach = true
		case "other":
			req.Body = []byte("other")
		}
		got = outcomeAndReason(h.k.Submit(ctx, req))
	case "resolve":
		got = outcomeAndReason(h.k.Resolve(ctx, s.id))
	case "cancel":
		got = outcomeAndReason(h.k.Cancel(ctx, s.id))
	case "drain":
		short, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
		defer cancel()
		if h.k.Drain(short) != nil {
			got = "late"
		}
	case "record":
		got = "none"
		for _, r := range h.k.Fetch("", 0).Records {
			if r.Id == s.id {
				got = State(r.State).String() + " " + strconv.Itoa(int(r.Attempt))
			}
		}
	case "rejected":
		got = strconv.Itoa(s.c.worker.rejected)
	default:
		s.t.Fatalf("no operation %q", op)
	}
	require.Equal(s.t, want, got, step)
	synctest.Wait()
}

// TestFaults guards against a second run, a wrong not_run and a lost answer
// when the keeper, a backup, a link or the worker fails, and against a
// cancellation that is not final or is reported wrongly.
func TestFaults(t *testing.T) {
	for _, test := range []struct {
		name, steps string
		runs        int
	}{
		{"keeper dies before the reservation", `a.hold queued; a.begin; a.kill; takeover; b.submit=answered`, 1},
		{"keeper dies between reservation and dispatch", `a.hold dispatch; a.begin; b.record=reserved 1; a.kill; takeover;
			b.record=not_run 1; b.resolve=not_run/worker_failed; b.submit=answered; b.record=answered 2`, 1},
		{"keeper dies after the dispatch", `a.hold answer; a.begin; a.kill; takeover; b.record=answered 1; b.submit=answered`, 1},
		{"keeper dies and the worker is unreachable", `a.hold answer; a.begin; .worker no_reply; a.kill; takeover;
			b.submit=unknown/no_reply; .worker; .sleep 10000; b.record=answered 1`, 1},
		{"keeper dies while the task runs", `a.hold answer; a.begin; .worker pending; a.kill; takeover; b.short=unknown/pending; b.begin;
			.sleep 5000; .worker; a.late=unknown/no_reply; b.late=answered`, 1},
		{"keeper paused between reservation and dispatch", `a.hold dispatch; a.begin; a.pause; takeover; b.resolve=not_run/worker_failed;
			b.submit=answered; a.release dispatch; a.resume; a.late=not_keeper; takeover; a.submit=answered`, 1},
		{"keeper paused before it may dispatch", `a.hold acked; a.begin; a.pause; takeover; b.submit=answered;
			a.release acked; a.resume; a.late=not_keeper; .rejected=0`, 1},
		{"keeper paused before it may dispatch, then alone", `a.hold acked; a.begin; a.pause; takeover; b.kill; takeover; a.release acked;
			a.resume; a.late=not_keeper; .rejected=0`, 0},
		{"keeper's run ends after it has rejoined", `a.hold dispatch; a.begin; a.pause; takeover; b.submit=answered; a.resume; a.release dispatch;
			a.late=not_keeper; a.submit=answered`, 1},
		{"successor paused while it asks the worker", `a.hold dispatch; a.begin; b.hold resolve; a.kill; a.late=unknown/no_reply; takeover; b.begin;
			b.pause; takeover; c.submit=answered; b.release resolve; b.wake; b.late=not_keeper`, 1},
		{"submit at the successor before it asks the worker", `a.hold answer; a.begin; a.view host1; b.view host1; b.submit=answered`, 1},
		{"keeper paused in the queue while another runs the request", `a.hold queued; a.begin; a.pause; takeover; b.submit=answered;
			a.release queued; a.resume; a.late=not_keeper; a.submit=answered`, 1},
		{"keeper paused in the queue, then alone", `a.hold queued; a.begin; a.pause; takeover; b.submit=answered; b.kill; takeover;
			a.release queued; a.resume; a.late=not_keeper; a.submit=unknown/before_horizon; a.cancel=unknown/before_horizon`, 1},
		{"keeper paused after its last check of the lease", `.fence; a.hold dispatch; a.begin; a.hold checked; a.release dispatch; a.pause;
			takeover; b.record=not_run 1; b.submit=answered; .sleep 10; a.release checked; a.resume; a.submit=answered`, 1},
		{"keeper with unconfirmed changes", `b.hold receive; a.submit=not_run/not_ready; a.submit=not_run/not_ready; a.pause; takeover; b.release receive;
			b.submit=answered; a.resume; a.submit=answered`, 1},
		{"paused keeper claims nothing", `a.pause; takeover; b.submit=answered; a.wake; a.drain; a.submit=not_keeper; a.resolve=not_keeper;
			a.cancel=not_keeper`, 1},
		{"lost acknowledgements", `a.lose; a.submit=answered`, 1},
		{"backup dies during the replication", `b.hold receive; a.begin; b.kill; a.late=answered`, 1},
		{"backup dies before the outcome", `.fence; a.hold dispatch; a.begin; b.kill; .sleep 700; a.release dispatch;
			a.late=not_run/worker_failed`, 0},
		{"another backup dies before the answer", `a.hold answer; a.begin; c.kill; .sleep 700; a.release answer; a.late=answered; .sleep 3000;
			b.record=answered 1`, 1},
		{"host joins while a later attempt is queued", `.idempotent; a.damage; a.hold answer; a.begin; a.hold queued; a.release answer;
			b.kill; takeover; b.restart; a.kill; takeover; b.record=not_run 2; b.submit=answered`, 2},
		{"backup refuses", `b.view other; a.submit=not_keeper`, 0},
		{"two keepers for one ID", `b.view host1; a.begin; b.begin; a.late=not_keeper; b.late=not_keeper`, 0},
		{"whole failure domain restarts", `a.submit=answered; a.kill; b.kill; takeover; a.restart; b.restart; a.submit=unknown/before_horizon;
			a.cancel=unknown/before_horizon; a.new 1000=unknown/before_horizon; .sleep 3000; a.new 0=answered`, 1},
		{"host joins between two host deaths", `a.submit=answered; b.kill; takeover; b.restart; a.kill; takeover; b.submit=answered`, 1},
		{"caller leaves and retries", `a.hold answer; a.short=unknown/pending; a.detach=unknown/pending; a.begin; a.release answer;
			a.late=answered; a.submit=answered; a.record=answered 1`, 1},
		{"duplicate of a queued request", `a.hold queued; a.begin; a.begin; a.release queued; a.late=answered; a.late=answered; a.record=answered 1`, 1},
		{"damaged answer", `a.damage; a.submit=unknown/no_reply; a.submit=answered`, 1},
		{"same ID, other content", `a.submit=answered; a.other=not_run/invalid`, 1},
		{"rejected by the worker, then retried", `.fence; a.submit=not_run/worker_failed; a.submit=answered`, 1},
		{"cancel before the submit", `a.resolve=unknown/pending; a.cancel=not_run/cancelled; a.submit=not_run/cancelled`, 0},
		{"cancel in the queue", `a.hold queued; a.begin; a.cancel=not_run/cancelled; a.late=not_run/cancelled; a.release queued; .sleep 1000;
			a.submit=not_run/cancelled`, 0},
		{"cancel during the placement", `a.hold placed; a.begin; a.cancel=not_run/cancelled; a.release placed; .sleep 1000; a.record=not_run 1`, 0},
		{"cancel during the replication", `a.hold send; a.begin; a.cancel=not_run/cancelled; a.late=not_run/cancelled; a.release send; .sleep 1000;
			b.record=not_run 1`, 0},
		{"cancel after the dispatch", `a.hold dispatch; a.begin; a.cancel=unknown/pending; a.release dispatch; a.late=answered`, 1},
		{"cancel after the dispatch, with a canceller", `a.canceller; a.hold answer; a.begin; a.cancel=answered; a.late=answered`, 1},
		{"cancel after the answer", `a.submit=answered; a.cancel=answered`, 1},
		{"drain", `a.hold answer; a.begin; a.drain=late; a.new 0=not_run/not_ready; a.begin; b.hold receive; a.release answer; a.drain=late;
			b.release receive; a.drain; b.record=answered 1; a.late=answered; a.late=answered`, 1},
		{"drain while a backup is slow", `b.hold receive; a.hold send; a.begin; b.release receive; a.release send; a.late=answered; a.drain; b.record=answered 1`, 1},
		{"old and future IDs", `a.new -540000=answered; a.new -660000=unknown/before_horizon; a.new 1000=answered; a.new 3000=not_run/invalid`, 0},
		{"record expires", `a.submit=answered; .sleep 960000; a.record=none; a.submit=unknown/before_horizon`, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// LeaseWait exceeds all pauses, so that operations end because of the
				// checks under test and not because of this timeout.
				s := newScript(t, 2+min(1, strings.Count(test.steps, "c.")), func(o *Options) { o.LeaseWait = 10 * time.Second })
				s.id = testID(time.Now(), 0, 0)
				for step := range strings.SplitSeq(test.steps, ";") {
					if step = strings.TrimSpace(step); step == "takeover" {
						step = ".takeover"
					}
					s.step(step)
				}
				require.Equal(t, test.runs, s.c.worker.runCount(s.id), "runs")
			})
		})
	}
}
