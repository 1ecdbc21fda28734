package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// standIns are the platform, the operator and the runners of a deployment, and what
// the runners have done.
type standIns struct {
	record  *record
	store   *storeStandIn
	runners []*runner
	address string
	// work returns how long a task takes, 0 if it lasts.
	work func(task string) time.Duration
	// onBegun is called for each run that begins, with the runner's lock held. It may
	// be nil.
	onBegun func(r *runner, o order)

	mu sync.Mutex
	// running holds, for each task, the runs that are at work, as "runner run".
	running map[string]map[string]bool
	// noted holds the tasks of which an end "done" was taken note of.
	noted map[string]bool
	// done holds the tasks of which a run has ended "done".
	done     map[string]bool
	ended    map[string]int // ends and crashes by how
	lastEnd  map[string]time.Time
	starts   map[string]int // starts by task
	breaches []string
}

func newStandIns(rec *record) (*standIns, error) {
	s := &standIns{
		record: rec, store: newStore(), running: make(map[string]map[string]bool), noted: make(map[string]bool), done: make(map[string]bool),
		lastEnd: make(map[string]time.Time),
		ended:   make(map[string]int), starts: make(map[string]int),
	}
	s.store.onRefused = func(topic string, size, request int) {
		rec.add("store: append to %s refused with 400: a record of %d bytes, the call of %d", topic, size, request)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store) }()
	return s, nil
}

func (s *standIns) breach(format string, args ...any) {
	s.mu.Lock()
	s.breaches = append(s.breaches, fmt.Sprintf(format, args...))
	s.mu.Unlock()
	s.record.add("RULE BROKEN: "+format, args...)
}

func (s *standIns) breachCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.breaches)
}

func (s *standIns) runBegun(r *runner, o order) {
	s.mu.Lock()
	others := s.running[o.Task]
	if others == nil {
		others = make(map[string]bool)
		s.running[o.Task] = others
	}
	var beside string
	for other := range others {
		beside = other
	}
	noted := s.noted[o.Task]
	others[r.id+" run "+fmt.Sprint(o.Run)] = true
	s.starts[o.Task]++
	s.mu.Unlock()
	s.record.add("run begins: %s at %s", runName(o.Task, o.Run), r.id)
	if beside != "" {
		s.breach("TWICE: %s runs as run %d on %s while it runs on %s", o.Task, o.Run, r.id, beside)
	}
	if noted {
		s.breach("TWICE: %s starts as run %d on %s after its end done was taken note of", o.Task, o.Run, r.id)
	}
	if s.onBegun != nil {
		s.onBegun(r, o)
	}
}

func (s *standIns) runEnded(runner, task string, run int, how string) {
	s.mu.Lock()
	delete(s.running[task], runner+" run "+fmt.Sprint(run))
	s.ended[how]++
	s.lastEnd[task] = time.Now()
	if how == "done" {
		s.done[task] = true
	}
	s.mu.Unlock()
	s.record.add("run ends: %s at %s: %s", runName(task, run), runner, how)
}

// endNoted records that the cursor has reached an end. It does not count if the runner's
// lease lapsed between the two.
func (s *standIns) endNoted(runner, task string, run int, how string, lapsed bool) {
	if how == "done" && !lapsed {
		s.mu.Lock()
		s.noted[task] = true
		s.mu.Unlock()
	}
	if lapsed {
		how += ", after its lease had lapsed"
	}
	s.record.add("end noted: %s at %s: %s", runName(task, run), runner, how)
}

// tasksRunning returns how many runs are at work.
func (s *standIns) tasksRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, runs := range s.running {
		n += len(runs)
	}
	return n
}

// endsBy returns how many runs have ended in one way.
func (s *standIns) endsBy(how string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[how]
}

// startsOf returns how often a task was started.
func (s *standIns) startsOf(task string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[task]
}

// runnerIP is a loopback address from which no connection is opened, so that none holds
// the port of a runner that is down.
const runnerIP = "127.0.0.2"

// addRunners starts count runners of a service, perRack in each rack, all of one kind.
func (s *standIns) addRunners(service, kind string, count, perRack int, cpu, memMB, gpu int64) error {
	for n := range count {
		r := &runner{cell: s, id: fmt.Sprintf("i-%s-%02d", service, n), service: service, address: runnerIP + ":0", cpu: cpu, memMB: memMB, gpu: gpu}
		if err := r.start([]string{kind, fmt.Sprintf("r1-%d", n/perRack)}); err != nil {
			return err
		}
		s.runners = append(s.runners, r)
	}
	return nil
}

// queue is a route of the manifest.
type queue struct {
	name, service string
	priority      int
	attempts      int
	stretch       float64
	targetMS      int
}

const consumerHost = "jobs.example"

func (q queue) prefix() string { return "/" + q.name + "/" }

// publish writes a manifest.
func (s *standIns) publish(version int, queues []queue) {
	routes, services, known := []map[string]any{}, []map[string]any{}, make(map[string]bool)
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": consumerHost, "path-prefix": q.prefix(), "service": q.service, "priority": q.priority,
			"max-attempts": q.attempts, "stretch": q.stretch, "target-latency-ms": q.targetMS, "timeout-ms": 3000,
		})
		if !known[q.service] {
			known[q.service] = true
			services = append(services, map[string]any{"name": q.service, "rejects-overload": false})
		}
	}
	manifest, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"max-body-bytes": 262144}})
	if err != nil {
		panic(err) // plain fields can always be encoded
	}
	s.store.put("keyed.op", "config", manifest)
}
