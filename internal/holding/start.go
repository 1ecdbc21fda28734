package holding

import (
	"context"
	"fmt"
	"hash/crc32"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// maxResolve bounds the number of tasks that are asked about at one renewal.
const maxResolve = 16

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Start starts a task on a worker that this host holds. It fills in Epoch and
// LeaseEnd, and renews the task's lease until the task has ended, also after a
// reply was lost. NotRun tells of an error whether the task certainly was not
// started by this call; otherwise the error matches ErrOutcomeUnknown or
// ErrDuplicate.
func (m *Manager) Start(ctx context.Context, name string, req worker.StartRequest) (worker.StartReply, error) {
	w, client, err := m.register(name, &req)
	if err != nil {
		return worker.StartReply{}, err
	}
	reply, err := client.Start(ctx, req)
	switch {
	case err == nil:
	case errors.Is(err, worker.ErrStaleEpoch), errors.Is(err, worker.ErrFenced), errors.Is(err, worker.ErrNotDelivered):
		m.unregister(w, req.Task)
		if errors.Is(err, worker.ErrStaleEpoch) {
			// A renewal at once finds out whether the lease has gone, which may
			// also be to a Hold of this host that was delayed on its way.
			w.wake()
		}
		return worker.StartReply{}, &StartError{name, req.Task, ErrRejected, err}
	default:
		m.markUnresolved(w, req.Task)
		return worker.StartReply{}, &StartError{name, req.Task, ErrOutcomeUnknown, err}
	}
	return m.finishStart(w, req, reply)
}

// register checks that the task may be started and puts it under the lease.
func (m *Manager) register(name string, req *worker.StartRequest) (*machine, worker.Worker, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.workers[name]
	now := m.opts.Now()
	switch {
	case w == nil:
		return nil, nil, ErrUnknownWorker
	case m.stopping:
		return nil, nil, ErrStopping
	case w.leaving || w.removed:
		return nil, nil, ErrLeaving
	case !m.valid(w):
		return nil, nil, ErrNotHeld
	case !w.lease.opened:
		return nil, nil, ErrSettling
	case w.tasks[req.Task] != nil:
		return nil, nil, ErrDuplicate
	}
	req.Epoch = w.lease.Epoch
	// now is before the end of the worker lease, so the task lease ends before
	// that plus TaskTTL. Round drops the monotonic reading.
	req.LeaseEnd = now.Add(min(m.opts.StartTTL, m.opts.TaskTTL)).Round(0)
	w.tasks[req.Task] = &task{
		inFlight:    true,
		incarnation: w.lease.Incarnation,
		desc: worker.Task{
			ID: req.Task, State: worker.TaskRunning, Team: req.Team, Service: req.Service, Resources: req.Resources,
		},
	}
	return w, w.client, nil
}

func (m *Manager) finishStart(w *machine, req worker.StartRequest, reply worker.StartReply) (worker.StartReply, error) {
	if reply.State == worker.TaskFenced {
		m.unregister(w, req.Task)
		return worker.StartReply{}, &StartError{w.name, req.Task, ErrRejected, worker.ErrFenced}
	}
	if reply.Answer != nil || req.Wait && reply.State == worker.TaskEnded {
		if err := checkAnswer(w.name, req.Task, reply.Answer); err != nil {
			m.markUnresolved(w, req.Task)
			return worker.StartReply{}, err
		}
	}
	switch reply.State {
	case worker.TaskRunning:
		m.confirm(w, req.Task)
	case worker.TaskEnded, worker.TaskStopped:
		t := worker.Task{ID: req.Task, State: reply.State, Team: req.Team, Service: req.Service,
			Resources: req.Resources, Answer: reply.Answer}
		if m.unregister(w, req.Task) {
			m.opts.Sink.TaskEnded(w.name, t)
		}
	default:
		m.markUnresolved(w, req.Task)
		return worker.StartReply{}, &StartError{w.name, req.Task, ErrOutcomeUnknown,
			errors.Errorf("unexpected state %q", reply.State)}
	}
	return reply, nil
}

// unregister removes a task and reports whether it was there.
func (m *Manager) unregister(w *machine, id worker.TaskID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := w.tasks[id]
	delete(w.tasks, id)
	return ok
}

func (m *Manager) confirm(w *machine, id worker.TaskID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t := w.tasks[id]; t != nil {
		t.inFlight = false
	}
}

// markUnresolved keeps a task under the lease until the worker tells what
// became of it.
func (m *Manager) markUnresolved(w *machine, id worker.TaskID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t := w.tasks[id]; t != nil {
		t.inFlight, t.unresolved = false, true
		w.wake()
	}
}

// taskEnded takes in a task that a renewal reports as no longer running. While
// its start is under way, the reply to that decides. A task that the worker
// has not seen may still arrive there, so it is resolved with a fence.
func (m *Manager) taskEnded(w *machine, t worker.Task) {
	m.mu.Lock()
	known := w.tasks[t.ID]
	if known == nil || known.inFlight {
		m.mu.Unlock()
		return
	}
	if t.State == worker.TaskUnknown || t.State == worker.TaskRunning {
		known.unresolved = true
		m.mu.Unlock()
		return
	}
	delete(w.tasks, t.ID)
	m.mu.Unlock()
	m.opts.Sink.TaskEnded(w.name, m.checked(w.name, t))
}

// resolve asks about tasks of which it is not known whether they run, and
// fences those that have not begun.
func (m *Manager) resolve(ctx context.Context, w *machine, client worker.Worker) {
	m.mu.Lock()
	var ask []worker.StatusRequest
	for id, t := range w.tasks {
		if t.unresolved && len(ask) < maxResolve {
			ask = append(ask, worker.StatusRequest{Task: id, Incarnation: t.incarnation, Fence: true})
		}
	}
	m.mu.Unlock()
	for _, req := range ask {
		t, err := client.Status(ctx, req)
		if err != nil || t.ID != req.Task {
			continue
		}
		if t.State == worker.TaskRunning {
			m.mu.Lock()
			if known := w.tasks[t.ID]; known != nil {
				known.unresolved = false
			}
			m.mu.Unlock()
			continue
		}
		// TaskUnknown means that the worker has restarted. It then runs
		// nothing of its former incarnation and rejects the older epoch.
		if m.unregister(w, t.ID) {
			m.opts.Sink.TaskEnded(w.name, m.checked(w.name, t))
		}
	}
}

// Status asks a known worker about a task, whether this host holds the worker
// or not. It returns *AnswerError if the reply concerns another task or its
// answer is damaged, and otherwise the errors of worker.Worker.
func (m *Manager) Status(ctx context.Context, name string, req worker.StatusRequest) (worker.Task, error) {
	client, err := m.client(name)
	if err != nil {
		return worker.Task{}, err
	}
	t, err := client.Status(ctx, req)
	if err != nil {
		return worker.Task{}, errors.Wrapf(err, "status of %s on %s", req.Task, name)
	}
	if t.ID != req.Task {
		return worker.Task{}, &AnswerError{name, req.Task, fmt.Sprintf("the reply concerns task %s", t.ID)}
	}
	if t.Answer != nil {
		if err := checkAnswer(name, req.Task, t.Answer); err != nil {
			return worker.Task{}, err
		}
	}
	return t, nil
}

// Stop stops a task on a known worker, whether this host holds the worker or
// not. It returns the errors of worker.Worker.
func (m *Manager) Stop(ctx context.Context, name string, id worker.TaskID) (worker.TaskState, error) {
	client, err := m.client(name)
	if err != nil {
		return "", err
	}
	state, err := client.Stop(ctx, id)
	return state, errors.Wrapf(err, "stop of %s on %s", id, name)
}

// ApplyOverrunAction carries out an action against a task that outgrew its declared size, on
// a known worker. It returns the errors of worker.Worker.
func (m *Manager) ApplyOverrunAction(ctx context.Context, name string, id worker.TaskID, action contract.Overrun, limit worker.Resources) error {
	client, err := m.client(name)
	if err != nil {
		return err
	}
	switch action {
	case contract.OverrunThrottle:
		err = client.Throttle(ctx, id, limit)
	case contract.OverrunCheckpoint:
		err = client.Checkpoint(ctx, id)
	case contract.OverrunStop:
		_, err = client.Stop(ctx, id)
	default:
		return errors.Errorf("unknown action %q", action)
	}
	return errors.Wrapf(err, "%s of %s on %s", action, id, name)
}

// client returns the client of a known worker, or ErrUnknownWorker.
func (m *Manager) client(name string) (worker.Worker, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.workers[name]
	if w == nil {
		return nil, ErrUnknownWorker
	}
	return w.client, nil
}

// checked returns t without its answer if that is damaged.
func (m *Manager) checked(name string, t worker.Task) worker.Task {
	if t.Answer != nil {
		if err := checkAnswer(name, t.ID, t.Answer); err != nil {
			m.opts.OnEvent(name, "answer_dropped", 0, err.Error())
			t.Answer = nil
		}
	}
	return t
}

// checkAnswer returns *AnswerError unless a is the whole answer of the task.
func checkAnswer(name string, id worker.TaskID, a *worker.Answer) error {
	switch {
	case a == nil:
		return &AnswerError{name, id, "the reply has none"}
	case a.Task != id:
		return &AnswerError{name, id, fmt.Sprintf("it belongs to task %s", a.Task)}
	case a.Length != len(a.Body):
		return &AnswerError{name, id, fmt.Sprintf("it has %d of %d bytes", len(a.Body), a.Length)}
	case a.Checksum != crc32.Checksum(a.Body, castagnoli):
		return &AnswerError{name, id, "its checksum differs"}
	}
	return nil
}
