package pool

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// Keys and key prefixes in a service's job topic.
const (
	// keyTerm holds a termRecord with the scheduler that last fenced its
	// predecessors.
	keyTerm = "term"
	// keyJobPrefix + job ID holds a jobRecord.
	keyJobPrefix = "job/"
	// keyCancelPrefix + job ID exists for a cancelled job.
	keyCancelPrefix = "cancel/"
	// keyEndPrefix + job ID holds an endRecord, which replaces the job's other
	// records.
	keyEndPrefix = "end/"
	// keyTaskPrefix + task name holds a taskRecord.
	keyTaskPrefix = "task/"
	// keyQuotaPrefix + shard + "/" + team holds a quotaRecord.
	keyQuotaPrefix = "quota/"
	// keySilent holds a silentRecord.
	keySilent = "silent"
	// keySettledPrefix + worker ID holds a settledRecord.
	keySettledPrefix = "settled/"
)

type termRecord struct {
	Host  string `json:"host"`
	Epoch int64  `json:"epoch"`
}

type jobRecord struct {
	Queue    cell.Queue `json:"queue"`
	Accepted int64      `json:"accepted_unix_ms"`
	Job      *api.Job   `json:"job"`
	// Team is empty for a job without a team.
	Team string `json:"team,omitempty"`
	// BeyondRate is stored so that the excess of a team does not count as within its
	// rate after a change of scheduler.
	BeyondRate bool `json:"beyond_rate,omitempty"`
	// Portion is set for a portion of a job of another shard.
	Portion *shard.Portion `json:"portion,omitempty"`
}

type endRecord struct {
	State api.JobState `json:"state"`
	Queue string       `json:"queue"`
	Ended int64        `json:"ended_unix_ms"`
	Team  string       `json:"team,omitempty"`
}

// taskRecord is stored before a start request is sent and before the end of a
// run is acknowledged to the worker.
type taskRecord struct {
	// Run is the number of the last run.
	Run int `json:"run,omitempty"`
	// Worker is set while the run may be on that worker. Address is that to which its
	// start requests are sent, for a successor that finds no registry entry.
	Worker      string `json:"worker,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"`
	Address     string `json:"address,omitempty"`
	Failures    int    `json:"failures,omitempty"`
	// GangFailures is the number of the gang's failed runs, and LastFailedRun the
	// last of them.
	GangFailures  int `json:"gang_failures,omitempty"`
	LastFailedRun int `json:"last_failed_run,omitempty"`
	// FailedRuns holds the numbers of the failed runs of the task, or of its gang.
	FailedRuns []int  `json:"failed_runs,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Done       bool   `json:"done,omitempty"`
	// Crashes counts the workers that crashed while they ran the task, and
	// PossibleCrashes those that may have run it. Suspect and GivenUp are the
	// conclusions from them.
	Crashes         int  `json:"crashes,omitempty"`
	PossibleCrashes int  `json:"possible_crashes,omitempty"`
	Suspect         bool `json:"suspect,omitempty"`
	// Started is set once a worker is known to have begun a run of the task.
	Started bool `json:"started,omitempty"`
	// Begun is set once a worker has accepted the run of a suspect.
	Begun bool `json:"begun,omitempty"`
	// Settled is set once the run is known to be on the process of Incarnation, and that
	// process to have no longer lease than hold calls request.
	Settled bool `json:"settled,omitempty"`
	GivenUp bool `json:"given_up,omitempty"`
	// WorkerRun is the number of the run on Worker if it is not Run, because a copy
	// was started later. Copy is set while the task has a copy.
	WorkerRun int         `json:"worker_run,omitempty"`
	Copy      *copyRecord `json:"copy,omitempty"`
}

func encodeRecord(key string, v any) store.Record {
	b, err := json.Marshal(v)
	if err != nil {
		panic("encode a record: " + err.Error()) // records hold only plain fields
	}
	return store.Record{Key: key, Value: b}
}

// record returns the record of the job. It returns a wrapped ErrRecordRejected if the
// store, which takes records of up to limit bytes, cannot take it.
func (j *Job) record(limit int) (store.Record, error) {
	r := jobRecord{Queue: j.queue, Accepted: j.accepted.UnixMilli(), Job: j.spec, Team: j.team, BeyondRate: j.beyondRate}
	if !j.portion.Whole() && !j.spread {
		r.Portion = &j.portion
	}
	return encodeCompactly(keyJobPrefix+j.id, r, limit)
}

func (t *task) record() store.Record {
	r := taskRecord{
		Run: t.lastRun, Started: t.started, Failures: t.failures, Checkpoint: t.checkpoint, Done: t.done,
		Crashes: t.crashes, PossibleCrashes: t.possibleCrashes, Suspect: t.suspect, GivenUp: t.givenUp,
	}
	r.FailedRuns, _ = t.countedFailures()
	if t.step.spec.Gang {
		r.GangFailures, r.LastFailedRun = t.step.gangFailures, t.step.lastFailedRun
	}
	if t.currentRun != nil {
		r.Worker, r.Incarnation, r.Address = t.currentRun.node.entry.ID, t.currentRun.node.entry.Incarnation, t.currentRun.address
		r.Begun, r.Settled = t.currentRun.begunAsProbe(), t.currentRun.settled
	}
	t.recordCopy(&r)
	return encodeRecord(keyTaskPrefix+t.name(), r)
}

// begunAsProbe reports whether a worker has begun r, which is still a probe. Of these
// runs only, a successor takes a crash of the worker for certain: other runs may have
// ended long before, while no scheduler reached the worker.
func (r *run) begunAsProbe() bool { return r.begun && r.probe }

// endRecords returns the records that replace those of a job that has ended.
func (j *Job) endRecords(state api.JobState, now time.Time) []store.Record {
	records := []store.Record{
		encodeRecord(keyEndPrefix+j.id, endRecord{State: state, Queue: j.queue.Name, Ended: now.UnixMilli(), Team: j.team}),
		{Key: keyJobPrefix + j.id},
	}
	if j.cancelled {
		records = append(records, store.Record{Key: keyCancelPrefix + j.id})
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.lastRun > 0 {
					records = append(records, store.Record{Key: keyTaskPrefix + t.name()})
				}
			}
		}
	}
	return records
}

// parseTask parses a task name of the form "<job>.<occurrence>.<step>.<index>".
func parseTask(name string) (api.TaskName, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return api.TaskName{}, errors.Errorf("task name %q has %d parts, want 4", name, len(parts))
	}
	var numbers [3]int
	for n := range numbers {
		v, err := strconv.Atoi(parts[n+1])
		if err != nil || v < 0 {
			return api.TaskName{}, errors.Errorf("task name %q: occurrence, step and index must be non-negative integers", name)
		}
		numbers[n] = v
	}
	return api.TaskName{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// restore rebuilds the jobs from the newest records of a service's topic.
// Records that cannot be read are logged and skipped. fencedAt is the reading of the boot
// clock at which predecessors were fenced.
func (p *Pool) restore(records []store.Record, fencedAt time.Duration) {
	var tasks []store.Record
	var silent []byte
	cancelled := make(map[string]bool)
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		var err error
		if id, ok := strings.CutPrefix(r.Key, keyJobPrefix); ok {
			err = p.restoreJob(id, r.Value)
		} else if id, ok := strings.CutPrefix(r.Key, keyEndPrefix); ok {
			err = p.restoreEnd(id, r.Value)
		} else if id, ok := strings.CutPrefix(r.Key, keyCancelPrefix); ok {
			cancelled[id] = true
		} else if strings.HasPrefix(r.Key, keyTaskPrefix) {
			tasks = append(tasks, r)
		} else if strings.HasPrefix(r.Key, keyQuotaPrefix) {
			err = p.restoreQuota(r.Value)
		} else if id, ok := strings.CutPrefix(r.Key, keySettledPrefix); ok {
			err = p.restoreSettledProcess(id, r.Value)
		} else if r.Key == keySilent {
			silent = r.Value
		}
		if err != nil {
			p.log.Error(err, "record cannot be read", "key", r.Key, "offset", r.Offset)
		}
	}
	for _, r := range tasks {
		if err := p.restoreTask(strings.TrimPrefix(r.Key, keyTaskPrefix), r.Value); err != nil {
			p.log.Error(err, "record cannot be read", "key", r.Key, "offset", r.Offset)
		}
	}
	for id := range cancelled {
		if j := p.jobs[id]; j != nil {
			j.cancelled = true
		}
	}
	if err := p.restoreSilentWorkers(silent, fencedAt); err != nil {
		p.log.Error(err, "record cannot be read", "key", keySilent)
	}
	p.forgetSettledProcesses()
	p.connectUnlisted()
}

func (p *Pool) restoreQuota(value []byte) error {
	var r quotaRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.WithStack(err)
	}
	p.quotas.ledger.Restore(r.Team, r.Shard, r.Totals)
	return nil
}

func (p *Pool) restoreJob(id string, value []byte) error {
	var r jobRecord
	if err := decodeCompact(value, &r); err != nil {
		return err
	}
	if r.Job == nil || r.Job.Validate() != nil {
		return errors.New("the record contains no job or an invalid one")
	}
	var portion shard.Portion
	if r.Portion != nil {
		portion = *r.Portion
	}
	j := p.newShardJob(id, r.Queue, r.Team, r.Job, time.UnixMilli(r.Accepted), portion)
	j.stored, j.beyondRate = true, r.BeyondRate
	p.jobs[id], p.openJobs[id] = j, j
	return nil
}

func (p *Pool) restoreEnd(id string, value []byte) error {
	var r endRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.WithStack(err)
	}
	delete(p.openJobs, id)
	p.jobs[id] = &Job{id: id, queue: cell.Queue{Name: r.Queue}, team: r.Team, state: r.State, endedAt: time.UnixMilli(r.Ended), started: true, stored: true}
	return nil
}

func (p *Pool) restoreTask(name string, value []byte) error {
	var r taskRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.WithStack(err)
	}
	t, err := p.findTask(name)
	if err != nil || t == nil {
		// If the name is valid, the job has ended, and the scheduler that ended
		// it did not remove this record.
		return err
	}
	t.lastRun, t.checkpoint = r.Run, r.Checkpoint
	t.restoreFailures(r)
	t.crashes, t.possibleCrashes, t.suspect, t.givenUp = r.Crashes, r.PossibleCrashes, r.Suspect, r.GivenUp
	if t.suspectSince = time.Now(); t.step.spec.LongRunning {
		t.suspectSince = time.Time{} // a predecessor has made it wait
	}
	t.step.job.placedBefore = t.step.job.placedBefore || r.Run > 0
	// Records of earlier versions do not hold Started.
	if r.Started || r.Begun || r.Done || r.Failures+r.GangFailures > 0 || r.Checkpoint != "" {
		t.started, t.step.job.started = true, true
	}
	if r.Done {
		t.step.markDone(t)
		return nil
	}
	if r.Worker != "" {
		number := r.Run
		if r.WorkerRun > 0 {
			number = r.WorkerRun
		}
		t.currentRun = p.restoreRun(t, copyRecord{Run: number, Worker: r.Worker, Incarnation: r.Incarnation, Address: r.Address, Begun: r.Begun})
		t.currentRun.settled = r.Settled && r.Incarnation == t.currentRun.node.entry.Incarnation
	}
	if r.Copy != nil {
		t.copyRun = p.restoreRun(t, *r.Copy)
		t.copyRun.isCopy = true
	}
	return nil
}

// findTask returns the task with the name, or nil if its job is unknown or has
// ended. It creates the occurrence of the task, and earlier ones, if they do not
// exist yet. An error means that the name is invalid: it is malformed, or the job
// has no such task. The caller must hold p.mu.
func (p *Pool) findTask(name string) (*task, error) {
	parsed, err := parseTask(name)
	if err != nil {
		return nil, err
	}
	j := p.jobs[parsed.Job]
	if j == nil || j.spec == nil {
		return nil, nil
	}
	if parsed.Occurrence >= j.occurrenceCount() || parsed.Step >= len(j.spec.Steps) || parsed.Index >= j.spec.Steps[parsed.Step].Count {
		return nil, errors.Errorf("task %q does not exist in its job", name)
	}
	if !j.portion.Includes(parsed.Index) {
		return nil, errors.Errorf("task %q belongs to another portion of its job", name)
	}
	return j.occurrence(parsed.Occurrence).steps[parsed.Step].tasks[j.portion.Position(parsed.Index)], nil
}
