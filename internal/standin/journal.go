package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events: the start and the end of a task, the calls that checkpoint or
// throttle a running one, and a call to start one that a restart of the worker cut off
// before its whole reply was written. The task may have ended before, or not have begun.
const (
	EventStart      EventKind = "begin"
	EventEnd        EventKind = "end"
	EventCheckpoint EventKind = "checkpoint"
	EventThrottle   EventKind = "throttle"
	EventCutOff     EventKind = "cut off"
)

// Event is one entry of a worker's journal.
type Event struct {
	Kind EventKind `json:"kind"`
	// Time has a monotonic clock reading, so that events of several workers in
	// one process can be compared.
	Time time.Time `json:"time"`
	// Epoch is the epoch that the start named, and Holder the holder it belongs
	// to.
	Epoch  uint64        `json:"epoch"`
	Holder string        `json:"holder"`
	Task   worker.TaskID `json:"task"`
	// Resources is what the start declared; ActualUsage is what the task
	// actually uses.
	Resources   worker.Resources `json:"resources"`
	ActualUsage worker.Resources `json:"use"`
	// State is set for EventEnd: ended, stopped, or unknown if the worker
	// restarted.
	State worker.TaskState `json:"state,omitempty"`
}

// Journal records what ran on one worker, across its restarts. Its methods may
// be called concurrently.
type Journal struct {
	worker   string
	capacity worker.Capacity

	mu          sync.Mutex
	events      []Event
	openConns   int
	peakConns   int
	peakConnsAt time.Time
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newJournal(info worker.Info) *Journal {
	return &Journal{worker: info.Name, capacity: info.Capacity, changed: make(chan struct{})}
}

// Worker returns the worker's name.
func (j *Journal) Worker() string { return j.worker }

// Capacity returns the worker's capacity.
func (j *Journal) Capacity() worker.Capacity { return j.capacity }

// Events returns all events in the order in which they were recorded.
func (j *Journal) Events() []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Event(nil), j.events...)
}

// StartEvents returns the start events of a task. There is more than one only if
// the worker restarted.
func (j *Journal) StartEvents(task worker.TaskID) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var starts []Event
	for _, e := range j.events {
		if e.Kind == EventStart && e.Task == task {
			starts = append(starts, e)
		}
	}
	return starts
}

// Connections returns the current and the peak number of open connections.
// Both are 0 for a worker that isn't served over HTTP.
func (j *Journal) Connections() (open, peak int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.openConns, j.peakConns
}

// Wait blocks until done returns true, or returns the error of ctx if that ends
// first. It calls done once at the start, after each change of the journal and
// after each call that begins to wait at a paused worker.
func (j *Journal) Wait(ctx context.Context, done func(*Journal) bool) error {
	for {
		j.mu.Lock()
		changed := j.changed
		j.mu.Unlock()
		if done(j) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the journal of "+j.worker)
		}
	}
}

func (j *Journal) add(e Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, e)
	j.notifyLocked()
}

func (j *Journal) notify() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.notifyLocked()
}

func (j *Journal) notifyLocked() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *Journal) addConnections(n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.openConns += n
	if j.openConns > j.peakConns {
		j.peakConns, j.peakConnsAt = j.openConns, time.Now()
	}
	j.notifyLocked()
}
