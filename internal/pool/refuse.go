package pool

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	// congestedAfter is how long a step of a queue waits before the queue counts as
	// congested. Below that it may wait for advice or the next ends of tasks.
	congestedAfter = 500 * time.Millisecond
	// drainWindow is the time over which the ends of a congested queue's jobs are
	// counted. A queue that is not congested drains as fast as jobs arrive, which says
	// nothing about what it could drain.
	drainWindow = 4 * time.Second
	drainSlots  = 8
	// maxMeasurementAge is the age of the last pass up to which its shares and its
	// view of a queue are used for refusals.
	maxMeasurementAge = 500 * time.Millisecond
	// backlogCacheTime is how long a count of the jobs of a queue is used again.
	// Meanwhile the backlog of a queue in which jobs are refused hardly grows.
	backlogCacheTime = 100 * time.Millisecond
	// refusalMargin is how many times its objective a job must be expected to take to
	// be refused: the drain rate may double without one of the refused jobs having
	// been in time.
	refusalMargin = 2
	// minRetryAfter and maxRetryAfter bound what refused callers are told to wait. The
	// estimate is limited to estimatedRetryLimit before it is spread.
	minRetryAfter       = time.Second
	maxRetryAfter       = 10 * time.Second
	estimatedRetryLimit = 7 * time.Second
	// The estimate is multiplied by a random factor, so that callers that were refused
	// together do not return together.
	minRetrySpread, maxRetrySpread = 0.7, 1.4
)

// TeamOverloadedError means that a job was not accepted, and this call will never cause
// it to run, because its team exceeds its rate and its share and the job could not end
// in time.
type TeamOverloadedError struct {
	Team string
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *TeamOverloadedError) Error() string {
	return fmt.Sprintf("team %s exceeds its rate and its share, and the job cannot end in time", e.Team)
}

// teamQueueKey identifies the jobs of a team in a queue.
type teamQueueKey struct{ team, queue string }

// teamQueueLoad is what a scheduler has measured about the jobs of a team in a queue.
type teamQueueLoad struct {
	// congestedSince and congestedUntil are the first and the last of the consecutive
	// passes in which the queue was congested.
	congestedSince, congestedUntil time.Time
	// ends counts the jobs that ended, by time in slots of drainWindow/drainSlots;
	// lastSlot is the newest slot.
	ends     [drainSlots]int
	lastSlot int64
	// backlog counts the jobs that a new one has to wait for, as of countedAt.
	backlog   int
	countedAt time.Time
}

// observe records a pass in which the queue was congested.
func (l *teamQueueLoad) observe(now time.Time) {
	if now.Sub(l.congestedUntil) > maxMeasurementAge {
		l.congestedSince = now
	}
	l.congestedUntil = now
}

// advance empties the slots between the newest one and that of now.
func (l *teamQueueLoad) advance(now time.Time) {
	slot := now.UnixNano() / int64(drainWindow/drainSlots)
	for n := max(l.lastSlot+1, slot-drainSlots+1); n <= slot; n++ {
		l.ends[n%drainSlots] = 0
	}
	l.lastSlot = max(l.lastSlot, slot)
}

func (l *teamQueueLoad) addEnd(now time.Time) {
	l.advance(now)
	l.ends[l.lastSlot%drainSlots]++
}

// drainRate returns an upper estimate of the jobs that end per second, and false if the
// queue has not been congested for the whole drainWindow and up to now.
func (l *teamQueueLoad) drainRate(now time.Time) (perSecond float64, ok bool) {
	if now.Sub(l.congestedUntil) > maxMeasurementAge || l.congestedUntil.Sub(l.congestedSince) < drainWindow {
		return 0, false
	}
	l.advance(now)
	sum := 1 // the next job may be about to end
	for _, count := range l.ends {
		sum += count
	}
	// The newest slot has only begun.
	return float64(sum) / (drainWindow * (drainSlots - 1) / drainSlots).Seconds(), true
}

// observeCongestion records which queues of teams have jobs beyond their rate that have
// been waiting for a while. Only such jobs may be refused.
func (p *Pool) observeCongestion(steps []*step, now time.Time) {
	for _, s := range steps {
		if s.job.beyondRate && now.Sub(s.readyAt) >= congestedAfter {
			p.teamQueueLoad(s.job).observe(now)
		}
	}
}

// teamQueueLoad returns what is known about the team and queue of a job.
func (p *Pool) teamQueueLoad(j *Job) *teamQueueLoad {
	key := teamQueueKey{j.team, j.queue.Name}
	load := p.teamQueues[key]
	if load == nil {
		load = &teamQueueLoad{}
		p.teamQueues[key] = load
	}
	return load
}

// recordEnd records the end of a job for the drain rate of its queue.
func (p *Pool) recordEnd(j *Job, now time.Time) {
	if j.team != "" {
		p.teamQueueLoad(j).addEnd(now)
	}
}

// checkOverload returns a TeamOverloadedError if a job that is not known yet is refused.
// All of the following have to be measured: the job is beyond the rate of its team, the
// team holds more than its fair part of the shard among the teams that use it, no
// worker has capacity for any of the steps with which the job begins, and the queue has
// been draining too slowly for the job to end in time. The caller must hold p.mu.
func (p *Pool) checkOverload(j *Job, now time.Time) error {
	if !j.beyondRate || p.shares == nil || now.Sub(p.shares.measuredAt) > maxMeasurementAge || j.endless() {
		return nil
	}
	share := p.shares.teams[j.team]
	if share == nil || share.weight <= 0 || !share.exceeded {
		return nil
	}
	load := p.teamQueueLoad(j)
	rate, ok := load.drainRate(now)
	if !ok || p.hasCapacityFor(j) {
		return nil
	}
	if now.Sub(load.countedAt) > backlogCacheTime {
		load.backlog, load.countedAt = p.countBacklog(j.team, j.queue.Name, now), now
	}
	_, objective := p.slack(j.occurrence(0).steps[0], now)
	expected := time.Duration(float64(load.backlog+1) / rate * float64(time.Second))
	if expected <= refusalMargin*objective {
		return nil
	}
	p.taskLog.Info("job refused", "job", j.id, "queue", j.queue.Name, "team", j.team, "backlog", load.backlog, "drain_per_s", rate, "expected_ms", expected.Milliseconds(), "objective_ms", objective.Milliseconds())
	return errors.WithStack(&TeamOverloadedError{Team: j.team, RetryAfter: retryAfter(expected-objective, rand.Float64())})
}

// retryAfter returns when a caller should try again if the backlog has drained far
// enough after the given time. random is between 0 and 1.
func retryAfter(drained time.Duration, random float64) time.Duration {
	estimate := min(max(drained, minRetryAfter), estimatedRetryLimit)
	spread := minRetrySpread + random*(maxRetrySpread-minRetrySpread)
	return min(max(time.Duration(float64(estimate)*spread), minRetryAfter), maxRetryAfter)
}

// endless reports whether the job has occurrences or long-running steps, to which no
// time to the end applies.
func (j *Job) endless() bool {
	if j.recurring() {
		return true
	}
	for n := range j.spec.Steps {
		if j.spec.Steps[n].LongRunning {
			return true
		}
	}
	return false
}

// hasCapacityFor reports whether a worker has capacity now, or once runs that are being
// stopped have ended, for a task of a step with which the job begins.
func (p *Pool) hasCapacityFor(j *Job) bool {
	for _, s := range j.occurrence(0).steps {
		if len(s.spec.DependsOn) > 0 {
			continue
		}
		for _, n := range p.nodes {
			if n.listed && p.eligible(s, n) && s.need().Fits(n.free().Add(n.stoppingResources)) {
				return true
			}
		}
	}
	return false
}

// countBacklog counts the jobs of a team in a queue that a new job has to wait for:
// those that have started, and those that are more urgent because they have waited
// longer and can still be in time. Jobs that are late already come after a new one.
func (p *Pool) countBacklog(team, queue string, now time.Time) int {
	count := 0
	for _, j := range p.openJobs {
		if j.team != team || j.queue.Name != queue || j.spec == nil || !j.active() || j.endless() {
			continue
		}
		if !j.mayHaveStarted() {
			if slack, _ := p.slack(j.occurrence(0).steps[0], now); slack < 0 {
				continue
			}
		}
		count++
	}
	return count
}
