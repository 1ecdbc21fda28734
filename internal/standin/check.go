package standin

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// ViolationKind identifies the rule that was violated.
type ViolationKind string

// Kinds of violations.
const (
	// ViolationCapacity means that the running tasks together declared more
	// processors, memory or accelerators than the worker has, or that more tasks
	// ran than it has slots.
	ViolationCapacity ViolationKind = "capacity"
	// ViolationConnections means that a worker had more open connections than
	// its limit.
	ViolationConnections ViolationKind = "connections"
	// ViolationRanTwice means that a member of a request started more than once,
	// which is allowed for idempotent requests only.
	ViolationRanTwice ViolationKind = "ran twice"
	// ViolationOverlap means that two runs of a task overlapped in time.
	ViolationOverlap ViolationKind = "overlap"
)

// Violation is one rule violation found in the journals.
type Violation struct {
	Kind   ViolationKind
	Worker string
	// Request and Member are set for ViolationRanTwice and ViolationOverlap.
	Request string
	Member  int
	// Task is the task whose start violated the rule.
	Task   worker.TaskID
	Time   time.Time
	Detail string
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%s on %s at %s: task %s: %s", v.Kind, v.Worker, v.Time.Format(time.RFC3339Nano), v.Task, v.Detail)
}

// CheckJournals returns the violations that the journals show: for each worker,
// exceeded capacity and connection limits; across all workers, request members
// that ran more than once and overlapping runs of one task.
func CheckJournals(journals ...*Journal) []Violation {
	var violations []Violation
	runs := make(map[memberKey][]taskRun)
	for _, j := range journals {
		violations = append(violations, j.checkCapacity()...)
		violations = append(violations, j.checkConnections()...)
		for _, r := range j.taskRuns() {
			request, member, _ := SplitTaskID(r.task)
			key := memberKey{request, member}
			runs[key] = append(runs[key], r)
		}
	}
	var repeated []Violation
	for key, rs := range runs {
		repeated = append(repeated, checkMemberRuns(key, rs)...)
	}
	slices.SortFunc(repeated, func(a, b Violation) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Kind, b.Kind))
	})
	return append(violations, repeated...)
}

// memberKey identifies a member of a request.
type memberKey struct {
	request string
	member  int
}

// taskRun is one run of a task; end is zero until it ends.
type taskRun struct {
	worker     string
	task       worker.TaskID
	begin, end time.Time
}

func (j *Journal) taskRuns() []taskRun {
	var runs []taskRun
	unfinished := make(map[worker.TaskID]int)
	for _, e := range j.Events() {
		switch e.Kind {
		case EventStart:
			unfinished[e.Task] = len(runs)
			runs = append(runs, taskRun{worker: j.worker, task: e.Task, begin: e.Time})
		case EventEnd:
			if i, ok := unfinished[e.Task]; ok {
				runs[i].end = e.Time
				delete(unfinished, e.Task)
			}
		}
	}
	return runs
}

func (j *Journal) checkCapacity() []Violation {
	var violations []Violation
	var used worker.Resources
	running := 0
	for _, e := range j.Events() {
		switch e.Kind {
		case EventStart:
			used = used.Add(e.Resources)
			running++
			if used.Fits(j.capacity.Resources) && running <= j.capacity.Slots {
				continue
			}
			violations = append(violations, Violation{
				Kind: ViolationCapacity, Worker: j.worker, Task: e.Task, Time: e.Time,
				Detail: fmt.Sprintf("%d tasks with %+v exceed the capacity %+v", running, used, j.capacity),
			})
		case EventEnd:
			used = used.Sub(e.Resources)
			running--
		}
	}
	return violations
}

func (j *Journal) checkConnections() []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.peakConns <= j.capacity.Connections {
		return nil
	}
	return []Violation{{
		Kind: ViolationConnections, Worker: j.worker, Time: j.peakConnsAt,
		Detail: fmt.Sprintf("%d connections exceed the limit of %d", j.peakConns, j.capacity.Connections),
	}}
}

// checkMemberRuns checks the runs of one member of a request.
func checkMemberRuns(key memberKey, runs []taskRun) []Violation {
	if len(runs) < 2 {
		return nil
	}
	slices.SortStableFunc(runs, func(a, b taskRun) int { return a.begin.Compare(b.begin) })
	var violations []Violation
	for i, r := range runs[1:] {
		first := runs[0]
		violations = append(violations, Violation{
			Kind: ViolationRanTwice, Worker: r.worker, Request: key.request, Member: key.member,
			Task: r.task, Time: r.begin,
			Detail: fmt.Sprintf("run %d; task %s began on %s at %s", i+2, first.task, first.worker, first.begin.Format(time.RFC3339Nano)),
		})
		for _, earlier := range runs[:i+1] {
			if earlier.task != r.task || (!earlier.end.IsZero() && !earlier.end.After(r.begin)) {
				continue
			}
			violations = append(violations, Violation{
				Kind: ViolationOverlap, Worker: r.worker, Request: key.request, Member: key.member,
				Task: r.task, Time: r.begin,
				Detail: fmt.Sprintf("the run that began on %s at %s had not ended", earlier.worker, earlier.begin.Format(time.RFC3339Nano)),
			})
		}
	}
	return violations
}
