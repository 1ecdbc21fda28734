package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runnerHeartbeat is how often a runner writes its registry entry, and entryLifetime the
// silence after which the registry drops it.
const (
	runnerHeartbeat = 1500 * time.Millisecond
	entryLifetime   = 3 * runnerHeartbeat
)

// runner is a machine on which one runner process at a time lives. Its address stays.
type runner struct {
	w       *world
	index   int
	address string
	labels  []string
	cpu     int
	memMB   int

	mu sync.Mutex
	// life is the present process, nil while there is none.
	life *life
	// clockOffset is how far the machine's time of day is off.
	clockOffset time.Duration
	// dark makes the machine receive and send nothing on any connection.
	dark     bool
	listener net.Listener
	// gate is closed when the machine has gone.
	gate  chan struct{}
	conns map[net.Conn]bool
	// fillers fill the queue of connections to a dark machine.
	fillers []net.Conn
	seq     int
}

// life is one lifetime of a runner process.
type life struct {
	id      string
	born    int64
	begun   time.Time
	fence   int64
	lease   int64 // on the process's clock, in milliseconds
	runs    map[string]*taskRun
	highest map[string]int
	ended   []endedRun
	lastN   int64
	changed chan struct{}
	over    bool
	lapsedN map[int64]bool
}

type taskRun struct {
	task, spec, checkpoint string
	run                    int
	begun, ends            time.Time // ends is zero for a task that lasts
	record                 *runRecord
}

type endedRun struct {
	n         int64
	task, how string
	run       int
	record    *runRecord
}

func (l *life) clockMS() int64 { return time.Since(l.begun).Milliseconds() + 1000 }

func (l *life) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// start begins a new life, under the ID of the last one if id is empty.
func (r *runner) start(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startLocked(id)
}

func (r *runner) startLocked(id string) {
	now := time.Now()
	r.life = &life{
		id: id, born: now.Add(r.clockOffset).UnixMilli(), begun: now, runs: make(map[string]*taskRun), highest: make(map[string]int),
		changed: make(chan struct{}), lapsedN: make(map[int64]bool),
	}
	r.dark = false
	listener, err := net.Listen("tcp4", r.address)
	for n := 0; err != nil && n < 50; n++ {
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp4", r.address)
	}
	if err != nil {
		r.w.cannotRun("runner cannot listen: %v", err)
	}
	r.listener = listener
	r.gate = make(chan struct{})
	l := r.life
	server := &http.Server{Handler: r.handler(l), ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		switch s {
		case http.StateNew:
			r.conns[c] = true
		case http.StateClosed:
			delete(r.conns, c)
		}
	}}
	go func() { _ = server.Serve(gatedListener{listener, r, r.gate}) }()
	r.w.note("runner %s begins: born %d, address %s", id, l.born, r.address)
	go r.live(l)
}

// live ends runs in time, lets the lease lapse and writes the registry entry.
func (r *runner) live(l *life) {
	var lastEntry time.Time
	for {
		r.mu.Lock()
		if l.over {
			r.mu.Unlock()
			return
		}
		now := time.Now()
		if l.clockMS() > l.lease && len(l.runs)+len(l.ended) > 0 {
			for _, e := range l.ended {
				l.lapsedN[e.n] = true
			}
			for _, t := range l.runs {
				r.endRun(l, t, "lapsed")
			}
		}
		for _, t := range l.runs {
			if !t.ends.IsZero() && now.After(t.ends) {
				r.endRun(l, t, "done")
			}
		}
		write := now.Sub(lastEntry) >= runnerHeartbeat && !r.dark
		if write {
			lastEntry = now
		}
		r.mu.Unlock()
		if write {
			r.writeEntry(l)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *runner) writeEntry(l *life) {
	r.mu.Lock()
	r.seq++
	value, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": r.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": r.seq,
		"machine": fmt.Sprintf("m%d", r.index), "born": l.born, "labels": r.labels, "capacity": map[string]int{"cpu": r.cpu, "mem-mb": r.memMB, "gpu": 0},
	})
	r.mu.Unlock()
	r.w.putEntry(l.id, value)
}

// endRun ends a run. The caller must hold r.mu.
func (r *runner) endRun(l *life, t *taskRun, how string) {
	delete(l.runs, t.task)
	l.highest[t.task] = max(l.highest[t.task], t.run)
	l.lastN++
	t.record.end(how)
	l.ended = append(l.ended, endedRun{n: l.lastN, task: t.task, run: t.run, how: how, record: t.record})
	l.notify()
}

// crash ends the process and all its runs. With dark, connections stay open and silent.
func (r *runner) crash(dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.life
	if l == nil {
		return
	}
	l.over = true
	for _, t := range l.runs {
		t.record.end("crashed")
	}
	r.w.note("runner %s crashes (dark %v) with %d runs", l.id, dark, len(l.runs))
	l.runs = make(map[string]*taskRun)
	r.life = nil
	if dark {
		r.dark = true
		r.refuseSilently()
		return
	}
	r.closeLocked()
}

// gatedListener accepts nothing any more once its machine is dark.
type gatedListener struct {
	net.Listener
	r    *runner
	gate chan struct{}
}

// Accept implements net.Listener.
func (g gatedListener) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g.r.mu.Lock()
	dark := g.r.dark
	g.r.mu.Unlock()
	if dark {
		<-g.gate
		_ = c.Close()
	}
	return c, nil
}

// refuseSilently makes the machine leave new connections unanswered, as one without power
// does: it fills the shortest possible queue of connections that wait to be accepted. The
// caller must hold r.mu.
func (r *runner) refuseSilently() {
	tcp, ok := r.listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	address := r.address
	go func() {
		for range 4 {
			c, err := net.DialTimeout("tcp4", address, 200*time.Millisecond)
			if err != nil {
				return // no longer answered
			}
			r.mu.Lock()
			r.fillers = append(r.fillers, c)
			r.mu.Unlock()
		}
	}()
}

func (r *runner) closeLocked() {
	if r.gate != nil {
		close(r.gate)
		r.gate = nil
	}
	for _, c := range r.fillers {
		_ = c.Close()
	}
	r.fillers = nil
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.conns = make(map[net.Conn]bool)
}

// restart crashes the process if there is one, and begins a life under the same ID.
func (r *runner) restart(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeLocked()
	r.startLocked(id)
}

func (r *runner) runCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == nil {
		return 0
	}
	return len(r.life.runs)
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run-id"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until-ms"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpointed"`
	Ack        int64  `json:"ack-cursor"`
	WaitMS     int64  `json:"wait-ms"`
}

func (r *runner) handler(l *life) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		var o order
		if json.NewDecoder(q.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := q.Header.Get("X-Expect-Instance"); id != "" && id != l.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		r.mu.Lock()
		dark := r.dark
		r.mu.Unlock()
		if dark || l.over {
			<-q.Context().Done()
			return
		}
		deadline := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
		r.mu.Lock()
		status, body := r.execute(l, q.URL.Path, o)
		for q.URL.Path == "/hold" && status == http.StatusOK && len(l.ended) == 0 && !l.over && time.Now().Before(deadline) {
			changed := l.changed
			r.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Until(deadline)):
			case <-q.Context().Done():
				return
			}
			r.mu.Lock()
			body = l.list()
		}
		dark = r.dark || l.over
		r.mu.Unlock()
		if dark {
			<-q.Context().Done()
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body)
	})
}

// execute carries an order out. The caller must hold r.mu.
func (r *runner) execute(l *life, path string, o order) (int, any) {
	reject := func(reason string) (int, any) {
		return http.StatusConflict, map[string]any{"clock-ms": l.clockMS(), "reason": reason}
	}
	if o.Fence < l.fence {
		return reject("fence")
	}
	l.fence = o.Fence
	extend := func() {
		l.lease = max(l.lease, min(o.Until, l.clockMS()+maxHoldMS))
	}
	switch path {
	case "/run-start":
		if t := l.runs[o.Task]; t != nil && t.run == o.Run {
			extend()
			return http.StatusOK, map[string]any{"clock-ms": l.clockMS()}
		}
		if o.Run <= l.highest[o.Task] || l.runs[o.Task] != nil && l.runs[o.Task].run > o.Run {
			extend()
			return reject("old")
		}
		if o.Until < l.clockMS() {
			return reject("late")
		}
		extend()
		t := &taskRun{task: o.Task, run: o.Run, spec: o.Spec, checkpoint: o.Checkpoint, begun: time.Now()}
		if d := specDuration(o.Spec); d > 0 {
			t.ends = t.begun.Add(d)
		}
		t.record = r.w.beginRun(o, l.id)
		l.runs[o.Task] = t
		return http.StatusOK, map[string]any{"clock-ms": l.clockMS()}
	case "/run-stop":
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		if t := l.runs[o.Task]; t != nil && t.run == o.Run {
			r.endRun(l, t, "stopped")
		}
		return http.StatusOK, map[string]any{"clock-ms": l.clockMS()}
	case "/pace":
		return http.StatusOK, map[string]any{"clock-ms": l.clockMS()}
	case "/hold":
		if o.Until > 0 {
			extend()
		}
		kept := l.ended[:0]
		for _, e := range l.ended {
			if e.n > o.Ack {
				kept = append(kept, e)
			} else if e.how == "done" && !l.lapsedN[e.n] {
				e.record.acknowledge()
			}
		}
		l.ended = kept
		return http.StatusOK, l.list()
	}
	return http.StatusNotFound, map[string]any{}
}

func (l *life) list() any {
	running, finished := [][]any{}, [][]any{}
	for _, t := range l.runs {
		percent := 100
		if !t.ends.IsZero() {
			percent = int(100 * time.Since(t.begun) / max(t.ends.Sub(t.begun), 1))
		}
		running = append(running, []any{t.task, t.run, "", percent, 10})
	}
	for _, e := range l.ended {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock-ms": l.clockMS(), "born": l.born, "running": running, "finished": finished}
}

// specDuration returns how long the tasks of a spec run, 0 if they last.
func specDuration(spec string) time.Duration {
	d, err := time.ParseDuration(strings.TrimPrefix(spec, "run "))
	if err != nil {
		return 0
	}
	return d
}
