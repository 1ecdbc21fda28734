package pool

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/quota"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// The scheduler keeps each team within the part of its quota that this shard holds, and
// borrows more from the schedulers of other shards when work waits for it. The ledger
// of package quota guarantees that all parts together never exceed the quota.

// teamUsage is what the runs of each team hold on the workers of this shard. A run
// counts from its placement until it can no longer be on its worker.
type teamUsage map[string]worker.Resources

func (u teamUsage) add(t *task) {
	if team := t.step.job.team; team != "" && u != nil {
		u[team] = u[team].Add(t.step.quotaNeed())
	}
}

func (u teamUsage) remove(t *task) {
	if team := t.step.job.team; team != "" && u != nil {
		u[team] = u[team].Sub(t.step.quotaNeed())
	}
}

// quotaNeed returns what a task of the step takes of its team's quota. Unlike on a
// worker, the processor time of a filler counts.
func (s *step) quotaNeed() worker.Resources {
	return worker.Resources{MilliCPU: s.spec.MilliCPU, MemoryMiB: s.spec.MemoryMiB, Accelerators: s.spec.Accelerators}
}

// teamQuotas is what a scheduler knows about the quotas of all teams. The pool's mutex
// guards it.
type teamQuotas struct {
	ledger *quota.Ledger
	used   teamUsage
	// shortages are what the last pass could not start because of quotas, by team.
	shortages map[string]*quotaShortage
	// claims are what other shards wait for, by team and shard.
	claims map[string]map[string]quotaClaim
	// emptyUntil is until when other shards that had nothing left to lend, or did not
	// reply, are not asked, by shard.
	emptyUntil map[string]time.Time
	// borrowing is set while calls to other shards are in progress, and learning while
	// the initial parts are read.
	borrowing, learning bool
	// nextBorrowing is when other shards may be asked again.
	nextBorrowing time.Time
	// idle tells since when teams with waiting work use less than half of the shard's part of
	// their quotas, and underHalf of the whole quotas, by team.
	idle, underHalf map[string]idleTime
	// exclusive holds the teams of which this shard or another one wants exclusive use.
	exclusive map[string]*exclusiveUse
}

func newTeamQuotas(shard string) teamQuotas {
	return teamQuotas{
		ledger: quota.NewLedger(shard), used: make(teamUsage), shortages: make(map[string]*quotaShortage),
		claims: make(map[string]map[string]quotaClaim), emptyUntil: make(map[string]time.Time),
		idle: make(map[string]idleTime), underHalf: make(map[string]idleTime), exclusive: make(map[string]*exclusiveUse),
	}
}

// quotaShortage is work of a team that waits for a larger part of the team's quota.
type quotaShortage struct {
	lack worker.Resources
	// urgency is that of the most urgent step that waits.
	urgency urgency
	// since is when the team was first held by its quota.
	since time.Time
}

// quotaClaim is what another shard lacks of a team's quota.
type quotaClaim struct {
	units   quota.Units
	urgency urgency
	expires time.Time
}

// urgency orders waiting steps of a team across shards: by priority, then by the time
// for which they have waited.
type urgency struct {
	priority int
	readyAt  time.Time
}

// before reports whether u is more urgent than o.
func (u urgency) before(o urgency) bool {
	return u.priority < o.priority || u.priority == o.priority && u.readyAt.Before(o.readyAt)
}

func (s *step) urgency() urgency { return urgency{s.job.queue.Priority, s.readyAt} }

// teams returns the teams of the configuration in force.
func (p *Pool) teams() map[string]cell.Team {
	if p.opts.Teams == nil {
		return nil
	}
	return p.opts.Teams()
}

// quotaAllowsCopy reports whether the quota of the step's team leaves room for a copy of
// one of its tasks. No copy is started while other work of the team waits for its quota.
func (p *Pool) quotaAllowsCopy(s *step) bool {
	team, ok := p.teams()[s.job.team]
	if !ok || !quota.Limited(team.Quota) {
		return true
	}
	limit := quota.Limit(team.Quota, p.quotas.ledger.Held(team.Name))
	return p.quotas.shortages[team.Name] == nil && !p.quotas.hasPledged(team.Name, time.Now()) && len(p.quotas.claims[team.Name]) == 0 && p.quotas.used[team.Name].Add(s.quotaNeed()).Fits(limit)
}

// fitting returns how many times need fits into room.
func fitting(need, room worker.Resources) int {
	count := int64(math.MaxInt32)
	for _, d := range [][2]int64{{need.MilliCPU, room.MilliCPU}, {need.MemoryMiB, room.MemoryMiB}, {need.Accelerators, room.Accelerators}} {
		if d[0] > 0 {
			count = min(count, max(d[1], 0)/d[0])
		}
	}
	return int(count)
}

func times(r worker.Resources, n int) worker.Resources {
	return worker.Resources{MilliCPU: r.MilliCPU * int64(n), MemoryMiB: r.MemoryMiB * int64(n), Accelerators: r.Accelerators * int64(n)}
}

// countThatFit returns how many tasks of the step the workers have capacity for now,
// at most limit.
func (c *capacityTracker) countThatFit(s *step, limit int) int {
	count := 0
	for _, n := range c.nodes {
		if count >= limit {
			return limit
		}
		if c.pool.eligible(s, n) {
			count += c.tasksThatFit(s, n)
		}
	}
	return min(count, limit)
}

// exceedsQuota reports whether a job has a task or a gang that is larger than the whole
// quota of its team. Such a job is refused; one that was accepted under a larger quota runs
// by quotaPass.overdraft.
func (p *Pool) exceedsQuota(j *Job) bool {
	team, ok := p.teams()[j.team]
	if !ok || !quota.Limited(team.Quota) {
		return false
	}
	limit := quota.Limit(team.Quota, quota.Units{quota.Whole, quota.Whole, quota.Whole})
	for index := range j.spec.Steps {
		s := step{job: j, spec: &j.spec.Steps[index]}
		need := s.quotaNeed()
		if s.spec.Gang {
			need = times(need, s.spec.Count)
		}
		if !need.Fits(limit) {
			return true
		}
	}
	return false
}

// quotaRecord is stored in the shard's journal when its totals of a team with another
// shard change.
type quotaRecord struct {
	Team  string `json:"team"`
	Shard string `json:"shard"`
	quota.Totals
}

func (p *Pool) quotaRecord(team, other string) store.Record {
	return encodeRecord(quotaKey(team, other), quotaRecord{team, other, p.quotas.ledger.Totals(team, other)})
}

// maxKeyBytes is the longest key that the store takes.
const maxKeyBytes = 255

// quotaKey returns the key of a quotaRecord. Names that are too long for a key are
// replaced by their hash; the record contains them.
func quotaKey(team, other string) string {
	key := keyQuotaPrefix + other + "/" + team
	if len(key) > maxKeyBytes {
		hash := sha256.Sum256([]byte(key))
		return keyQuotaPrefix + hex.EncodeToString(hash[:])
	}
	return key
}
