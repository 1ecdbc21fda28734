package standin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Hold implements worker.Worker. The reply lists the running tasks and those
// that ended within the last 15 minutes.
func (w *Worker) Hold(ctx context.Context, req worker.HoldRequest) (worker.HoldReply, error) {
	return withFaults(ctx, w, MethodHold, func(now time.Time) (worker.HoldReply, error) {
		l := &w.lease
		free := l.holder == "" || l.holder == req.Holder || !now.Before(l.end) ||
			(l.released && (l.successor == "" || l.successor == req.Holder))
		if !free {
			return worker.HoldReply{}, &worker.HeldError{Holder: l.holder, Remaining: l.end.Sub(now)}
		}
		*l = lease{epoch: l.epoch + 1, holder: req.Holder, end: now.Add(req.TTL)}
		w.holders[l.epoch] = req.Holder
		reply := worker.HoldReply{Epoch: l.epoch, Incarnation: w.info.Incarnation, Capacity: w.info.Capacity}
		for _, t := range w.tasks {
			if t.State != worker.TaskFenced {
				reply.Tasks = append(reply.Tasks, w.reportedTask(t, now))
			}
		}
		slices.SortFunc(reply.Tasks, func(a, b worker.Task) int { return cmp.Compare(a.ID, b.ID) })
		return reply, nil
	})
}

// Renew implements worker.Worker. A task TTL of 0 leaves the task leases
// unchanged.
func (w *Worker) Renew(ctx context.Context, req worker.RenewRequest) (worker.RenewReply, error) {
	return withFaults(ctx, w, MethodRenew, func(now time.Time) (worker.RenewReply, error) {
		if !w.lease.current(req.Epoch) || req.Holder != w.lease.holder {
			return worker.RenewReply{}, errors.WithStack(worker.ErrStaleEpoch)
		}
		w.lease.end = now.Add(req.TTL)
		reply := worker.RenewReply{Usage: w.measuredUsage(now)}
		for _, id := range req.Tasks {
			t, ok := w.tasks[id]
			switch {
			case !ok:
				reply.Ended = append(reply.Ended, worker.Task{ID: id, State: worker.TaskUnknown})
			case t.State != worker.TaskRunning:
				reply.Ended = append(reply.Ended, w.reportedTask(t, now))
			case req.TaskTTL > 0:
				w.setLease(t, now.Add(req.TaskTTL), now)
			}
		}
		return reply, nil
	})
}

// Release implements worker.Worker. Without a successor, any holder may take
// the worker. A release with an epoch or holder other than the current one has
// no effect.
func (w *Worker) Release(ctx context.Context, req worker.ReleaseRequest) error {
	_, err := withFaults(ctx, w, MethodRelease, func(time.Time) (struct{}, error) {
		if req.Epoch == w.lease.epoch && req.Holder == w.lease.holder {
			w.lease.released = true
			w.lease.successor = req.Successor
		}
		return struct{}{}, nil
	})
	return err
}

// Start implements worker.Worker. A duplicate or fenced task is reported as
// such even if the epoch is stale; otherwise the caller would conclude that a
// task that has started has not run.
func (w *Worker) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	t, err := withFaults(ctx, w, MethodStart, func(now time.Time) (*task, error) {
		if known, ok := w.tasks[req.Task]; ok {
			if known.State == worker.TaskFenced {
				return nil, errors.WithStack(worker.ErrFenced)
			}
			return nil, errors.WithStack(worker.ErrDuplicateTask)
		}
		if !w.opts.LeaseOnly && !w.lease.current(req.Epoch) {
			return nil, errors.WithStack(worker.ErrStaleEpoch)
		}
		if !now.Before(req.LeaseEnd) {
			return nil, errors.Wrap(worker.ErrFenced, "task lease has expired")
		}
		return w.startTask(req, now), nil
	})
	if err != nil {
		return worker.StartReply{}, err
	}
	if !req.Wait {
		w.mu.Lock()
		defer w.mu.Unlock()
		return worker.StartReply{State: t.State}, nil
	}
	select {
	case <-t.done:
	case <-ctx.Done():
		return worker.StartReply{}, errors.Wrapf(worker.ErrNoReply, "%s: %v", MethodStart, ctx.Err())
	}
	return w.awaitReply(ctx, t)
}

// awaitReply waits until the worker isn't paused and returns the reply to a
// start whose task has ended.
func (w *Worker) awaitReply(ctx context.Context, t *task) (worker.StartReply, error) {
	w.mu.Lock()
	for w.faults.resumed != nil {
		resumed := w.faults.resumed
		w.mu.Unlock()
		select {
		case <-resumed:
		case <-ctx.Done():
			return worker.StartReply{}, errors.Wrapf(worker.ErrNoReply, "%s: %v", MethodStart, ctx.Err())
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if w.faults.unreachable || t.State == worker.TaskUnknown || w.tasks[t.ID] != t {
		return worker.StartReply{}, errors.Wrapf(worker.ErrNoReply, "%s: reply was lost", MethodStart)
	}
	reply := worker.StartReply{State: t.State}
	if t.answer != nil {
		reply.Answer = w.outgoingAnswer(t)
	}
	return reply, nil
}

// Status implements worker.Worker. An empty incarnation in the request matches
// none, so that the task is reported as unknown.
func (w *Worker) Status(ctx context.Context, req worker.StatusRequest) (worker.Task, error) {
	return withFaults(ctx, w, MethodStatus, func(now time.Time) (worker.Task, error) {
		if req.Incarnation != w.info.Incarnation {
			return worker.Task{ID: req.Task, State: worker.TaskUnknown}, nil
		}
		t, ok := w.tasks[req.Task]
		if !ok && !req.Fence {
			return worker.Task{ID: req.Task, State: worker.TaskUnknown}, nil
		}
		if !ok {
			t = w.fence(req.Task, now)
		}
		return w.reportedTask(t, now), nil
	})
}

// Stop implements worker.Worker.
func (w *Worker) Stop(ctx context.Context, id worker.TaskID) (worker.TaskState, error) {
	return withFaults(ctx, w, MethodStop, func(now time.Time) (worker.TaskState, error) {
		t, ok := w.tasks[id]
		if !ok {
			t = w.fence(id, now)
		}
		if t.State == worker.TaskRunning {
			w.finishTask(t, now, worker.TaskStopped)
		}
		return t.State, nil
	})
}

// Checkpoint implements worker.Worker. It only records the checkpoint in the
// journal; a task that isn't running is ignored.
func (w *Worker) Checkpoint(ctx context.Context, id worker.TaskID) error {
	_, err := withFaults(ctx, w, MethodCheckpoint, func(now time.Time) (struct{}, error) {
		if t, ok := w.tasks[id]; ok && t.State == worker.TaskRunning {
			w.recordEvent(EventCheckpoint, t, now)
		}
		return struct{}{}, nil
	})
	return err
}

// Throttle implements worker.Worker. It caps the reported usage of the task at
// limit; a task that isn't running is ignored.
func (w *Worker) Throttle(ctx context.Context, id worker.TaskID, limit worker.Resources) error {
	_, err := withFaults(ctx, w, MethodThrottle, func(now time.Time) (struct{}, error) {
		if t, ok := w.tasks[id]; ok && t.State == worker.TaskRunning {
			t.actualUsage = worker.Resources{
				MilliCPU:     min(t.actualUsage.MilliCPU, limit.MilliCPU),
				MemoryMiB:    min(t.actualUsage.MemoryMiB, limit.MemoryMiB),
				Accelerators: min(t.actualUsage.Accelerators, limit.Accelerators),
			}
			w.recordEvent(EventThrottle, t, now)
		}
		return struct{}{}, nil
	})
	return err
}

// Usage implements worker.Worker.
func (w *Worker) Usage(ctx context.Context) (worker.Usage, error) {
	return withFaults(ctx, w, MethodUsage, func(now time.Time) (worker.Usage, error) {
		return w.measuredUsage(now), nil
	})
}
