package pool

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
)

// randomStep returns a step of any shape that the platform allows.
func randomStep(rng *rand.Rand, index int, lasting bool) api.Step {
	s := api.Step{
		Count: 1 + rng.IntN(5), MilliCPU: int64(250 * (1 + rng.IntN(8))), MemoryMiB: int64(100 * rng.IntN(10)),
		EstimateMS: int64(100 + rng.IntN(6000)), Image: fmt.Sprintf("image-%d", rng.IntN(4)),
	}
	for d := range index {
		if rng.IntN(2) == 0 {
			s.DependsOn = append(s.DependsOn, d)
		}
	}
	chance := func(n int) bool { return rng.IntN(n) == 0 }
	s.Checkpointable, s.Speculative = chance(2), chance(6)
	if chance(5) {
		s.Accelerators = 1
	}
	if chance(4) {
		s.PreferredRack = fmt.Sprintf("rack-%d", rng.IntN(generatedWorkers+1))
	}
	if chance(8) {
		s.RequiredLabel = "kind-" + []string{"a", "b"}[rng.IntN(2)]
	}
	if chance(4) {
		s.MaxPerWorker = 1 + rng.IntN(2)
		s.Count = min(s.Count, 2)
	}
	switch {
	case lasting:
		s.LongRunning, s.MayMiss = true, rng.IntN(2)
		if chance(2) {
			s.TargetMS = 100
		}
	case chance(3):
		s.Gang, s.SameRack, s.Speculative = true, chance(3), false
		s.Count = min(s.Count, 3)
	case chance(5):
		s.Filler = true
	}
	return s
}

// allowManyCopies lets the tasks of the job's steps have copies, where the platform allows
// that, and makes the steps wide enough to tell a slow run from the others.
func allowManyCopies(job *api.Job) {
	for n := range job.Steps {
		if s := &job.Steps[n]; !s.Gang && !s.LongRunning && !s.Filler {
			s.Speculative, s.Checkpointable = true, false
			if s.MaxPerWorker == 0 {
				s.Count = max(s.Count, 5)
			}
		}
	}
}

// randomJob returns a job and whether it can ever run.
func randomJob(rng *rand.Rand, now time.Time) (job *api.Job, feasible bool) {
	job, feasible = &api.Job{Payload: fmt.Sprintf("payload-%d", rng.IntN(1000))}, true
	lasting := rng.IntN(6) == 0
	for index := range 1 + rng.IntN(4) {
		if lasting && index > 0 {
			break
		}
		job.Steps = append(job.Steps, randomStep(rng, index, lasting))
	}
	if !lasting && rng.IntN(4) == 0 {
		job.Occurrences, job.FirstRunUnixMS, job.IntervalMS = 1+rng.IntN(3), now.Add(time.Duration(rng.IntN(3000))*time.Millisecond).UnixMilli(), int64(200+rng.IntN(4000))
	}
	if rng.IntN(12) == 0 {
		job.Steps[rng.IntN(len(job.Steps))].RequiredLabel = "none"
		feasible = false
	}
	return job, feasible
}
