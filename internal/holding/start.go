package holding

import (
	"context"
	"fmt"
	"hash/crc32"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// maxStatusCallsPerRenewal bounds the number of unresolved tasks whose status is
// queried during one renewal.
const maxStatusCallsPerRenewal = 16

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Start starts a task on a worker that this host holds. It sets Epoch and
// LeaseEnd of the request. The Manager renews the task's lease until the task
// has ended, even if the reply was lost. NotRun reports whether an error proves
// that this call did not start the task; any other error matches
// ErrOutcomeUnknown or ErrDuplicate.
func (m *Manager) Start(ctx context.Context, name string, req worker.StartRequest) (worker.StartReply, error) {
	w, client, err := m.registerTask(name, &req)
	if err != nil {
		return worker.StartReply{}, err
	}
	reply, err := client.Start(ctx, req)
	switch {
	case err == nil:
	case errors.Is(err, worker.ErrStaleEpoch), errors.Is(err, worker.ErrFenced), errors.Is(err, worker.ErrNotDelivered):
		m.removeTask(w, req.Task)
		if errors.Is(err, worker.ErrStaleEpoch) {
			// An immediate renewal finds out whether the lease was lost. The
			// newer epoch may also come from a delayed Hold call of this host.
			w.wake()
		}
		return worker.StartReply{}, &StartError{name, req.Task, ErrRejected, err}
	default:
		m.markUnresolved(w, req.Task)
		return worker.StartReply{}, &StartError{name, req.Task, ErrOutcomeUnknown, err}
	}
	return m.handleStartReply(w, req, reply)
}

// registerTask checks that the task may be started, completes the request and
// adds the task to those under the worker lease.
func (m *Manager) registerTask(name string, req *worker.StartRequest) (*managedWorker, worker.Worker, error) {
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
	case !m.leaseValidLocked(w):
		return nil, nil, ErrNotHeld
	case !w.lease.startsAllowed:
		return nil, nil, ErrSettling
	case w.tasks[req.Task] != nil:
		return nil, nil, ErrDuplicate
	}
	req.Epoch = w.lease.Epoch
	// now is before the expiry of the worker lease, so the task lease ends less
	// than TaskTTL after that expiry. Round strips the monotonic clock reading.
	req.LeaseEnd = now.Add(min(m.opts.StartTTL, m.opts.TaskTTL)).Round(0)
	w.tasks[req.Task] = &task{
		inFlight:    true,
		incarnation: w.lease.Incarnation,
		description: worker.Task{
			ID: req.Task, State: worker.TaskRunning, Team: req.Team, Service: req.Service, Resources: req.Resources,
		},
	}
	return w, w.client, nil
}

func (m *Manager) handleStartReply(w *managedWorker, req worker.StartRequest, reply worker.StartReply) (worker.StartReply, error) {
	if reply.State == worker.TaskFenced {
		m.removeTask(w, req.Task)
		return worker.StartReply{}, &StartError{w.name, req.Task, ErrRejected, worker.ErrFenced}
	}
	if reply.Answer != nil || req.Wait && reply.State == worker.TaskEnded {
		if err := validateAnswer(w.name, req.Task, reply.Answer); err != nil {
			m.markUnresolved(w, req.Task)
			return worker.StartReply{}, err
		}
	}
	switch reply.State {
	case worker.TaskRunning:
		m.markRunning(w, req.Task)
	case worker.TaskEnded, worker.TaskStopped:
		t := worker.Task{ID: req.Task, State: reply.State, Team: req.Team, Service: req.Service,
			Resources: req.Resources, Answer: reply.Answer}
		if m.removeTask(w, req.Task) {
			m.opts.Sink.TaskEnded(w.name, t)
		}
	default:
		m.markUnresolved(w, req.Task)
		return worker.StartReply{}, &StartError{w.name, req.Task, ErrOutcomeUnknown,
			errors.Errorf("unexpected task state %q in the reply", reply.State)}
	}
	return reply, nil
}

// removeTask removes a task from those under the worker lease and reports
// whether it was one of them.
func (m *Manager) removeTask(w *managedWorker, id worker.TaskID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := w.tasks[id]
	delete(w.tasks, id)
	return ok
}

func (m *Manager) markRunning(w *managedWorker, id worker.TaskID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t := w.tasks[id]; t != nil {
		t.inFlight = false
	}
}

// markUnresolved keeps a task under the lease until a renewal has queried its
// status, and wakes the renewal.
func (m *Manager) markUnresolved(w *managedWorker, id worker.TaskID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t := w.tasks[id]; t != nil {
		t.inFlight, t.unresolved = false, true
		w.wake()
	}
}

// handleTaskEnded processes a task that a renewal reports as no longer running.
// While its Start call is pending, the report is ignored and the reply to Start
// decides. A task that the worker does not know may still arrive there, so it is
// resolved with a status query that fences it.
func (m *Manager) handleTaskEnded(w *managedWorker, t worker.Task) {
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
	m.opts.Sink.TaskEnded(w.name, m.withoutDamagedAnswer(w.name, t))
}

// resolveTasks queries the status of unresolved tasks and fences those that have
// not begun.
func (m *Manager) resolveTasks(ctx context.Context, w *managedWorker, client worker.Worker) {
	m.mu.Lock()
	var queries []worker.StatusRequest
	for id, t := range w.tasks {
		if t.unresolved && len(queries) < maxStatusCallsPerRenewal {
			queries = append(queries, worker.StatusRequest{Task: id, Incarnation: t.incarnation, Fence: true})
		}
	}
	m.mu.Unlock()
	for _, req := range queries {
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
		// TaskUnknown means that the worker has restarted. It then runs no task
		// of its previous incarnation and rejects starts with the older epoch.
		if m.removeTask(w, t.ID) {
			m.opts.Sink.TaskEnded(w.name, m.withoutDamagedAnswer(w.name, t))
		}
	}
}

// Status queries a known worker for the state of a task, whether or not this
// host holds the worker. It returns *AnswerError if the reply is for another task
// or its answer is damaged, ErrUnknownWorker, or an error of worker.Worker.
func (m *Manager) Status(ctx context.Context, name string, req worker.StatusRequest) (worker.Task, error) {
	client, err := m.client(name)
	if err != nil {
		return worker.Task{}, err
	}
	t, err := client.Status(ctx, req)
	if err != nil {
		return worker.Task{}, errors.Wrapf(err, "status of task %s on worker %s", req.Task, name)
	}
	if t.ID != req.Task {
		return worker.Task{}, &AnswerError{name, req.Task, fmt.Sprintf("the reply is for task %s", t.ID)}
	}
	if t.Answer != nil {
		if err := validateAnswer(name, req.Task, t.Answer); err != nil {
			return worker.Task{}, err
		}
	}
	return t, nil
}

// Stop stops a task on a known worker, whether or not this host holds the
// worker. It returns ErrUnknownWorker or an error of worker.Worker.
func (m *Manager) Stop(ctx context.Context, name string, id worker.TaskID) (worker.TaskState, error) {
	client, err := m.client(name)
	if err != nil {
		return "", err
	}
	state, err := client.Stop(ctx, id)
	return state, errors.Wrapf(err, "stop task %s on worker %s", id, name)
}

// ApplyOverrunAction throttles, checkpoints or stops a task on a known worker
// because the task uses more resources than it declared. The limit applies to
// throttling only. It returns ErrUnknownWorker or an error of worker.Worker.
func (m *Manager) ApplyOverrunAction(ctx context.Context, name string, id worker.TaskID, action contract.OverrunAction, limit worker.Resources) error {
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
		return errors.Errorf("unknown overrun action %q", action)
	}
	return errors.Wrapf(err, "%s task %s on worker %s", action, id, name)
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

// withoutDamagedAnswer returns t, without its answer if the answer is damaged.
func (m *Manager) withoutDamagedAnswer(name string, t worker.Task) worker.Task {
	if t.Answer != nil {
		if err := validateAnswer(name, t.ID, t.Answer); err != nil {
			m.opts.OnEvent(name, "answer_dropped", 0, err.Error())
			t.Answer = nil
		}
	}
	return t
}

// validateAnswer returns *AnswerError unless a is the complete answer of the task.
func validateAnswer(name string, id worker.TaskID, a *worker.Answer) error {
	switch {
	case a == nil:
		return &AnswerError{name, id, "the reply contains no answer"}
	case a.Task != id:
		return &AnswerError{name, id, fmt.Sprintf("the answer belongs to task %s", a.Task)}
	case a.Length != len(a.Body):
		return &AnswerError{name, id, fmt.Sprintf("the answer has %d of %d bytes", len(a.Body), a.Length)}
	case a.Checksum != crc32.Checksum(a.Body, castagnoli):
		return &AnswerError{name, id, "the answer does not match its checksum"}
	}
	return nil
}
