package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// expiry is how long after its last report a silent runner's entry is removed.
	expiry = 3 * heartbeat
	// maxLease is the longest lease that a runner grants, max-hold-ms.
	maxLease   = 10 * time.Second
	runnerTick = 5 * time.Millisecond
	maxEnds    = 500
)

// order is the body of a call to a runner.
type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run-id"`
	Spec      string `json:"spec"`
	UntilMS   int64  `json:"until-ms"`
	Fence     int64  `json:"fence"`
	AckCursor int64  `json:"ack-cursor"`
	WaitMS    int64  `json:"wait-ms"`
}

// startFault is what happens to one start order. The zero value is a sound answer.
type startFault struct {
	// status, if not 0, is the answer of an unhealthy runner, which does nothing.
	status int
	// late, if not 0, is after what time the order is carried out; it gets no answer.
	late time.Duration
}

// runner is a stand-in of one runner. It stays the same object over the lifetimes that
// follow each other under its ID.
type runner struct {
	cell    *standIns
	id      string
	service string
	address string
	cpu     int64
	memMB   int64
	gpu     int64
	// fault returns what happens to a start order; it may be nil.
	fault func(o order) startFault

	mu       sync.Mutex
	labels   []string
	server   *http.Server
	up       bool
	born     time.Time
	seq      int64
	fence    int64
	leaseEnd time.Time
	runs     map[string]*execution
	// highest is the highest run of each task that was stopped or has ended here.
	highest map[string]int
	ends    [][]any
	lastEnd int64
	// lapsedEnd is the last end before the lease lapsed: ends up to it that are not taken
	// note of by then never count as noted.
	lapsedEnd int64
}

// execution is one run of a task on a runner.
type execution struct {
	task  string
	run   int
	begun time.Time
	// work is how long it takes; 0 if it lasts until it is stopped.
	work time.Duration
}

func runName(task string, run int) string { return fmt.Sprintf("%s#%d", task, run) }

// start begins a lifetime: the runner registers and then serves.
func (r *runner) start(labels []string) error {
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address, r.labels, r.up, r.born = listener.Addr().String(), labels, true, time.Now()
	r.seq, r.fence, r.lastEnd, r.lapsedEnd, r.ends, r.leaseEnd = 0, 0, 0, 0, nil, time.Time{}
	r.runs, r.highest = make(map[string]*execution), make(map[string]int)
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 5 * time.Second}
	server, born := r.server, r.born
	r.mu.Unlock()
	r.cell.record.add("runner %s starts, born %d, labels %v", r.id, born.UnixMilli(), labels)
	r.report()
	go func() { _ = server.Serve(listener) }()
	go r.live(born)
	return nil
}

// crash ends the lifetime as a kill does: no answer, no report, no run is left.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	lost := r.runs
	r.runs = make(map[string]*execution)
	server, born := r.server, r.born
	r.mu.Unlock()
	_ = server.Close()
	r.cell.record.add("runner %s crashes with %d runs", r.id, len(lost))
	for _, e := range lost {
		r.cell.runEnded(r.id, e.task, e.run, "crash")
	}
	time.AfterFunc(expiry, func() {
		r.mu.Lock()
		gone := !r.up && r.born.Equal(born)
		r.mu.Unlock()
		if gone {
			r.cell.store.put("keyed.servers", r.id, nil)
		}
	})
}

// cutOff cuts the runner off from the entry hosts: its connections are reset, and new
// ones refused. It goes on running, and reports to the store.
func (r *runner) cutOff() {
	r.mu.Lock()
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	r.cell.record.add("runner %s is cut off from the entry hosts", r.id)
}

// heal ends the cut.
func (r *runner) heal() error {
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 5 * time.Second}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.cell.record.add("runner %s is reached again", r.id)
	return nil
}

// report writes the runner's entry in the store.
func (r *runner) report() {
	r.mu.Lock()
	r.seq++
	entry, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": "zone-1", "version": "1", "slots": 8, "state": "ready",
		"cold-left-ms": 0, "seq": r.seq, "machine": "m-" + r.id, "labels": r.labels, "born": r.born.UnixMilli(),
		"capacity": map[string]int64{"cpu": r.cpu, "mem-mb": r.memMB, "gpu": r.gpu},
	})
	r.mu.Unlock()
	if err != nil {
		panic(err) // plain fields can always be encoded
	}
	r.cell.store.put("keyed.servers", r.id, entry)
}

// live reports the runner and ends its runs until its lifetime is over.
func (r *runner) live(born time.Time) {
	reported := time.Now()
	for {
		time.Sleep(runnerTick)
		r.mu.Lock()
		if !r.up || !r.born.Equal(born) {
			r.mu.Unlock()
			return
		}
		now := time.Now()
		r.noteLapse(now)
		for _, e := range r.runs {
			switch {
			case now.After(r.leaseEnd):
				r.end(e, "lapsed")
			case e.work > 0 && now.Sub(e.begun) >= e.work:
				r.end(e, "done")
			}
		}
		r.mu.Unlock()
		if now.Sub(reported) >= heartbeat {
			reported = now
			r.report()
		}
	}
}

// noteLapse excuses the ends that are not taken note of when the lease has lapsed. The
// caller must hold r.mu.
func (r *runner) noteLapse(now time.Time) {
	if !r.leaseEnd.IsZero() && now.After(r.leaseEnd) {
		r.lapsedEnd = r.lastEnd
	}
}

// end ends a run. The caller must hold r.mu.
func (r *runner) end(e *execution, how string) {
	delete(r.runs, runName(e.task, e.run))
	r.highest[e.task] = max(r.highest[e.task], e.run)
	r.lastEnd++
	r.ends = append(r.ends, []any{r.lastEnd, e.task, e.run, how, ""})
	r.cell.runEnded(r.id, e.task, e.run, how)
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	if id := q.Header.Get("X-Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch q.URL.Path {
	case "/run-start":
		r.serveStart(w, q, o)
	case "/run-stop":
		r.mu.Lock()
		reason := r.stop(o)
		clock := r.clock()
		r.mu.Unlock()
		r.cell.record.add("stop of %s at %s: %s", runName(o.Task, o.Run), r.id, outcome(reason))
		answer(w, clock, reason)
	case "/pace":
		r.mu.Lock()
		reason, clock := r.checkFence(o), r.clock()
		r.mu.Unlock()
		answer(w, clock, reason)
	case "/hold":
		r.serveHold(w, q, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func outcome(reason string) string {
	if reason == "" {
		return "200"
	}
	return "409 " + reason
}

func answer(w http.ResponseWriter, clock int64, reason string) {
	if reason != "" {
		reply(w, http.StatusConflict, map[string]any{"clock-ms": clock, "reason": reason})
		return
	}
	reply(w, http.StatusOK, map[string]any{"clock-ms": clock})
}

func (r *runner) serveStart(w http.ResponseWriter, q *http.Request, o order) {
	var fault startFault
	if r.fault != nil {
		fault = r.fault(o)
	}
	if fault.status != 0 {
		r.cell.record.add("start of %s at %s: answered %d, not done", runName(o.Task, o.Run), r.id, fault.status)
		w.WriteHeader(fault.status)
		return
	}
	r.mu.Lock()
	born := r.born
	r.mu.Unlock()
	if fault.late > 0 {
		r.cell.record.add("start of %s at %s: no answer, is carried out %s later", runName(o.Task, o.Run), r.id, fault.late)
		time.AfterFunc(fault.late, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.up && r.born.Equal(born) {
				r.cell.record.add("late start of %s at %s: %s", runName(o.Task, o.Run), r.id, outcome(r.begin(o)))
			}
		})
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	reason, clock := r.begin(o), r.clock()
	r.mu.Unlock()
	r.cell.record.add("start of %s at %s: %s", runName(o.Task, o.Run), r.id, outcome(reason))
	answer(w, clock, reason)
}

func (r *runner) checkFence(o order) string {
	if o.Fence < r.fence {
		return "fence"
	}
	r.fence = o.Fence
	return ""
}

// extendLease moves the end of the lease, never back. The caller must hold r.mu.
func (r *runner) extendLease(untilMS int64) {
	r.noteLapse(time.Now())
	until := r.born.Add(time.Duration(untilMS) * time.Millisecond)
	if limit := time.Now().Add(maxLease); until.After(limit) {
		until = limit
	}
	if until.After(r.leaseEnd) {
		r.leaseEnd = until
	}
}

// begin carries out a start order and returns why it was rejected, empty if it was
// not. The caller must hold r.mu.
func (r *runner) begin(o order) string {
	if reason := r.checkFence(o); reason != "" {
		return reason
	}
	if r.runs[runName(o.Task, o.Run)] != nil {
		r.extendLease(o.UntilMS)
		return ""
	}
	if o.Run <= r.highest[o.Task] {
		r.extendLease(o.UntilMS)
		return "old"
	}
	if o.UntilMS < r.clock() {
		return "late"
	}
	r.extendLease(o.UntilMS)
	r.runs[runName(o.Task, o.Run)] = &execution{task: o.Task, run: o.Run, begun: time.Now(), work: r.cell.work(o.Task)}
	r.cell.runBegun(r, o)
	return ""
}

func (r *runner) stop(o order) string {
	if reason := r.checkFence(o); reason != "" {
		return reason
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if e := r.runs[runName(o.Task, o.Run)]; e != nil {
		r.end(e, "stopped")
	}
	return ""
}

func (r *runner) serveHold(w http.ResponseWriter, q *http.Request, o order) {
	deadline := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	for first := true; ; first = false {
		r.mu.Lock()
		if !r.up {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if reason := r.checkFence(o); reason != "" {
			clock := r.clock()
			r.mu.Unlock()
			answer(w, clock, reason)
			return
		}
		if first {
			r.acknowledge(o.AckCursor)
			if o.UntilMS > 0 {
				r.extendLease(o.UntilMS)
			}
		}
		if len(r.ends) > 0 || !time.Now().Before(deadline) {
			running := [][]any{}
			for _, e := range r.runs {
				percent := 100
				if e.work > 0 {
					percent = min(int(100*time.Since(e.begun)/e.work), 100)
				}
				running = append(running, []any{e.task, e.run, "", percent, 0})
			}
			finished := append([][]any{}, r.ends[:min(len(r.ends), maxEnds)]...)
			body := map[string]any{"clock-ms": r.clock(), "born": r.born.UnixMilli(), "running": running, "finished": finished}
			r.mu.Unlock()
			reply(w, http.StatusOK, body)
			return
		}
		r.mu.Unlock()
		select {
		case <-q.Context().Done():
			return
		case <-time.After(runnerTick):
		}
	}
}

// acknowledge forgets the ends up to cursor. The caller must hold r.mu.
func (r *runner) acknowledge(cursor int64) {
	r.noteLapse(time.Now())
	var kept [][]any
	for _, end := range r.ends {
		if end[0].(int64) > cursor {
			kept = append(kept, end)
			continue
		}
		r.cell.endNoted(r.id, end[1].(string), end[2].(int), end[3].(string), end[0].(int64) <= r.lapsedEnd)
	}
	r.ends = kept
}
