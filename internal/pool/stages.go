package pool

import (
	"slices"
	"strconv"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
)

// waitStage is what the tasks of a step that have no worker wait for.
type waitStage int

const (
	waitNone waitStage = iota
	// waitAdvice: the step has no valid ticket, and a call for advice is in flight
	// or a worker has room.
	waitAdvice
	// waitCapacity: no worker for which the step has a ticket has room, or no
	// ticket is requested yet because no worker has room.
	waitCapacity
	// waitQuota: the team's quota allows no further task of the step.
	waitQuota
	waitStages
)

// stepTimes records where a step spends its time, as far as this scheduler has
// seen it.
type stepTimes struct {
	firstStart, lastStart, lastEnd         time.Time
	runs, failed, stopsForRoom, otherStops int
	// waiting is what the step waits for since waitingSince, and waited the time
	// that it has waited before, with at least one task without a worker.
	waiting      waitStage
	waitingSince time.Time
	waited       [waitStages]time.Duration
	// longestStore and longestStart are the longest times from the placement of a
	// run until it was stored, and from then until a worker had accepted it.
	longestStore, longestStart time.Duration
}

// wait ends the present wait and begins one for the given stage.
func (st *stepTimes) wait(stage waitStage, now time.Time) {
	if stage == st.waiting {
		return
	}
	if st.waiting != waitNone {
		st.waited[st.waiting] += now.Sub(st.waitingSince)
	}
	st.waiting, st.waitingSince = stage, now
}

// noteReady records that the step has tasks to place. Until a pass has tried to
// place them they count as waiting for capacity, behind more urgent steps.
func (s *step) noteReady(now time.Time) {
	if s.readyAt.IsZero() {
		s.readyAt = now
	}
	if s.times.waiting == waitNone {
		if s.spec.LongRunning && slices.ContainsFunc(s.tasks, func(t *task) bool { return t.currentRun == nil && t.lastRun > 0 }) {
			s.lostSince = now
		}
		s.times.wait(waitCapacity, now)
	}
}

// noteTried records what the step waits for after a pass has tried to place its
// tasks.
func (s *step) noteTried(capacity *capacityTracker, now time.Time) {
	switch {
	case !s.hasUnplacedTask():
		s.times.wait(waitNone, now)
	case s.job.queue.Policy != nil && !now.Before(s.advice.validUntil) && (s.advice.inFlight || !capacity.full(s)):
		s.times.wait(waitAdvice, now)
	default:
		s.times.wait(waitCapacity, now)
	}
}

// measureStore returns a function that records how long the placements of runs
// took to be stored, and then calls onDone.
func (s *step) measureStore(runs []*run, onDone func(error)) func(error) {
	placedAt := time.Now()
	return func(err error) {
		now := time.Now()
		s.times.longestStore = max(s.times.longestStore, now.Sub(placedAt))
		for _, r := range runs {
			r.storedAt = now
		}
		onDone(err)
	}
}

// noteStart records that a worker runs r.
func (r *run) noteStart(now time.Time) {
	if r.startedAt.IsZero() {
		r.startedAt = now
		r.countStart(now)
	}
}

func (r *run) countStart(now time.Time) {
	st := &r.task.step.times
	st.runs++
	if st.firstStart.IsZero() {
		st.firstStart = now
	}
	st.lastStart = now
	if !r.storedAt.IsZero() {
		st.longestStart = max(st.longestStart, now.Sub(r.storedAt))
	}
}

// noteEnd records the end of the run.
func (r *run) noteEnd(failed bool, now time.Time) {
	if r.startedAt.IsZero() {
		r.countStart(now) // it ended before a reply or a list showed it as running
	}
	st := &r.task.step.times
	st.lastEnd = now
	if failed {
		st.failed++
	}
}

// stopForRoom is the reason of stops that free capacity for more urgent work.
const stopForRoom = "makes_room"

// noteStop counts a decision to stop the run.
func (p *Pool) noteStop(r *run, reason string) {
	if reason == stopForRoom {
		r.task.step.times.stopsForRoom++
		p.stopsForRoom++
	} else {
		r.task.step.times.otherStops++
	}
}

// stepSummary is the part of a job's summary about one step. Of a recurring job,
// counts are summed up over the occurrences, and times are the longest.
type stepSummary struct {
	Tasks        int `json:"tasks"`
	Done         int `json:"done"`
	Runs         int `json:"runs"`
	Failed       int `json:"failed"`
	StopsForRoom int `json:"stops_for_room"`
	OtherStops   int `json:"other_stops"`
	// FirstStart and LastStart are counted from when the step was ready, and Running
	// from the first start to the last end.
	FirstStart int64 `json:"first_start_ms"`
	LastStart  int64 `json:"last_start_ms"`
	Running    int64 `json:"running_ms"`
	// Advice, Capacity and Quota are how long at least one task without a worker waited
	// for that, and Store and StartCall the longest of all runs.
	Advice    int64 `json:"advice_ms"`
	Capacity  int64 `json:"capacity_ms"`
	Quota     int64 `json:"quota_ms"`
	Store     int64 `json:"store_ms"`
	StartCall int64 `json:"start_call_ms"`
}

// stepDurations are the times that are logged and observed of a step, in the order
// of stageNames.
type stepDurations [8]time.Duration

// stageNames are the names of the durations of a step in metrics.
var stageNames = [len(stepDurations{})]string{"first_start", "last_start", "running", "advice", "capacity", "quota", "store", "start_call"}

// durations returns the durations so far. Those that the step has not had are 0.
func (s *step) durations() stepDurations {
	st := &s.times
	d := stepDurations{3: st.waited[waitAdvice], 4: st.waited[waitCapacity], 5: st.waited[waitQuota], 6: st.longestStore, 7: st.longestStart}
	if !s.readyAt.IsZero() && !st.firstStart.IsZero() {
		d[0], d[1] = st.firstStart.Sub(s.readyAt), st.lastStart.Sub(s.readyAt)
	}
	if !st.lastEnd.IsZero() {
		d[2] = st.lastEnd.Sub(st.firstStart)
	}
	return d
}

// maxObservedPriority bounds the number of histograms. Less urgent queues share those
// of this priority.
const maxObservedPriority = 7

// observeIfDone adds the durations of a step that is done to the metrics, unless a
// predecessor has started it.
func (p *Pool) observeIfDone(s *step) {
	if p.opts.Observe == nil || !s.done() || s.readyAt.IsZero() {
		return
	}
	priority := strconv.Itoa(min(max(s.job.queue.Priority, 0), maxObservedPriority))
	for i, d := range s.durations() {
		p.opts.Observe("steps."+stageNames[i]+".priority"+priority, d)
	}
}

func (s *step) addTo(sum *stepSummary) {
	st := &s.times
	sum.Tasks += len(s.tasks)
	sum.Done += s.doneTasks
	sum.Runs += st.runs
	sum.Failed += st.failed
	sum.StopsForRoom += st.stopsForRoom
	sum.OtherStops += st.otherStops
	durations := s.durations()
	for i, ms := range []*int64{&sum.FirstStart, &sum.LastStart, &sum.Running, &sum.Advice, &sum.Capacity, &sum.Quota, &sum.Store, &sum.StartCall} {
		*ms = max(*ms, durations[i].Milliseconds())
	}
}

// stepSummaries returns a summary of each step of a job that ends now.
func (j *Job) stepSummaries(now time.Time) []stepSummary {
	summaries := make([]stepSummary, len(j.spec.Steps))
	for _, o := range j.occurrences {
		for index, s := range o.steps {
			s.times.wait(waitNone, now)
			s.addTo(&summaries[index])
		}
	}
	return summaries
}

// logEnd writes the one line about a job that has ended. The caller must hold p.mu.
func (p *Pool) logEnd(j *Job, state api.JobState, steps []stepSummary, now time.Time) {
	p.summaryLog.Info("job ended", "job", j.id, "state", string(state), "queue", j.queue.Name, "took_ms", now.Sub(j.accepted).Milliseconds(), "steps", steps)
}
