package pool

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// bodyLimit is the largest body of a caller's request, in bytes.
const bodyLimit = 256 << 10

// chainOfSteps returns steps that run one after another.
func chainOfSteps(count int) []api.Step {
	steps := make([]api.Step, count)
	for n := range steps {
		steps[n] = api.Step{Count: 1, MilliCPU: 2000, MemoryMiB: 1024, EstimateMS: 1000}
		if n > 0 {
			steps[n].DependsOn = []int{n - 1}
		}
	}
	return steps
}

// randomText returns a text that takes up to bodyLimit bytes in a JSON body, of parts
// that next returns.
func randomText(next func(r *rand.Rand) string) string {
	r := rand.New(rand.NewPCG(1, 2))
	var b strings.Builder
	for b.Len() < bodyLimit-8 {
		b.WriteString(next(r))
	}
	return b.String()
}

func randomASCII(r *rand.Rand) string {
	c := byte(' ' + r.IntN(95))
	if c == '"' || c == '\\' {
		c = 'x'
	}
	return string(rune(c))
}

func randomTwoBytes(r *rand.Rand) string { return string(rune(0x80 + r.IntN(0x800-0x80))) }

// either returns a part of a in the given share of cases, and otherwise of b.
func either(share float64, a, b func(r *rand.Rand) string) func(r *rand.Rand) string {
	return func(r *rand.Rand) string {
		if r.Float64() < share {
			return a(r)
		}
		return b(r)
	}
}

// Guards against jobs within the limit for bodies that are refused because their record
// exceeds the limit of the store.
func TestLargestJobsFitTheStore(t *testing.T) {
	malformed := func(*rand.Rand) string { return "\xff" } // decoded as three bytes
	markup := func(r *rand.Rand) string { return "<>&"[r.IntN(3):][:1] }
	text := func(next func(r *rand.Rand) string) []api.Step {
		decoded := strings.ToValidUTF8(strings.ReplaceAll(randomText(next), "\xff", "\ufffd"), "")
		return []api.Step{{Count: 1, LongRunning: true, Image: decoded}}
	}
	queue := cell.Queue{Name: strings.Repeat("q", 100), PathPrefix: strings.Repeat("/", 100), Service: strings.Repeat("s", 100)}
	for name, steps := range map[string][]api.Step{
		"chain of 3,300 steps":         chainOfSteps(3300),
		"ASCII":                        text(randomASCII),
		"two bytes a character":        text(randomTwoBytes),
		"ASCII and two bytes":          text(either(0.4, randomTwoBytes, randomASCII)),
		"malformed characters":         text(malformed),
		"malformed beside the others":  text(either(0.1, malformed, either(0.2, randomTwoBytes, randomASCII))),
		"markup that JSON may escape":  text(either(0.3, markup, either(0.3, randomTwoBytes, randomASCII))),
		"characters of line separator": text(either(0.2, func(*rand.Rand) string { return "\u2028" }, randomASCII)),
	} {
		t.Run(name, func(t *testing.T) {
			j := newJob("5c0e7a21d94b36f8", queue, strings.Repeat("t", 100), &api.Job{Payload: "p", Steps: steps}, time.Now())
			begin := time.Now()
			const limit = defaultMaxRecordBytes - portionReserve
			r, err := j.record(limit)
			require.NoError(t, err)
			require.LessOrEqual(t, recordBytes(r), limit)
			t.Logf("plain %d bytes, stored %d, took %s", len(encodeRecord("", jobRecord{Job: j.spec}).Value), recordBytes(r), time.Since(begin))
			var decoded jobRecord
			require.NoError(t, decodeCompact(r.Value, &decoded))
			require.Equal(t, j.spec, decoded.Job)
		})
	}
}

// Guards against records of usual jobs that the version before cannot read, and against
// a version that cannot read its records.
func TestUsualJobRecordIsPlainJSON(t *testing.T) {
	j := newJob("5c0e7a21d94b36f8", cell.Queue{Name: "q"}, "", &api.Job{Payload: "p", Steps: chainOfSteps(2500)}, time.Now())
	r, err := j.record(defaultMaxRecordBytes)
	require.NoError(t, err)
	require.Greater(t, len(r.Value), 150_000)
	var plain, decoded jobRecord
	require.NoError(t, json.Unmarshal(r.Value, &plain))
	require.NoError(t, decodeCompact(r.Value, &decoded))
	require.Equal(t, plain, decoded)
	require.Equal(t, j.spec, decoded.Job)
}

// Guards against a large job that is lost with its scheduler or keeps others waiting.
func TestLargeJobSurvivesItsScheduler(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
		tc.limitStore(16<<10, 0)
		tc.submit("large", chainOfSteps(400)...)
		tc.stop()
		tc.takeOver(0)
		tc.submit("other", smallStep)
		tc.waitForState("other", api.JobCompleted)
		tc.waitFor("the large job runs", func() bool { return tc.recorder.Starts("large.0.5.0") > 0 })
	})
}

// Guards against an accepted job whose record, or that of a portion in another shard, the
// store cannot take: it must be rejected at once, not be stored and never run.
func TestJobThatCannotBeStoredIsRejected(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
		tc.limitStore(16<<10, 0)
		steps := []api.Step{{Count: 1, MilliCPU: 1000, MemoryMiB: 100, Image: randomText(randomASCII)[:40_000]}}
		appends := tc.store.AppendCount()
		tc.define("large", &api.Job{Steps: steps})
		begin := time.Now()
		err := tc.trySubmit("large")
		require.ErrorIs(t, err, ErrRecordRejected)
		require.ErrorContains(t, err, "at most 16384")
		require.Zero(t, time.Since(begin))
		require.Empty(t, tc.state("large"))
		tc.submit("other", smallStep)
		tc.waitForState("other", api.JobCompleted)
		require.Zero(t, tc.recorder.Starts("large.0.0.0"))
		require.Greater(t, tc.store.AppendCount(), appends)
	})
	portion := newJob("5c0e7a21d94b36f8", cell.Queue{}, "", &api.Job{Steps: chainOfSteps(10)}, time.Now())
	whole, err := portion.record(defaultMaxRecordBytes)
	require.NoError(t, err)
	portion.portion = shard.Portion{Offset: 999, Count: 1000}
	part, err := portion.record(defaultMaxRecordBytes)
	require.NoError(t, err)
	require.Less(t, len(part.Value), len(whole.Value)+portionReserve)
	require.Equal(t, defaultMaxRecordBytes-portionReserve, (&Pool{}).jobRecordLimit(&Job{spread: true}))
	require.Equal(t, 100_000-4, (&Pool{opts: Options{MaxAppendBytes: 100_000}}).jobRecordLimit(&Job{}))
}

// Guards against records that the store rejects although they are within its limit.
func TestRecordBytes(t *testing.T) {
	require.Equal(t, 1+3+2, recordBytes(store.Record{Key: "abc", Value: []byte("12")}))
}

// Guards against a task whose end and next placement are never stored because a worker
// reports a checkpoint that is larger than a record.
func TestCheckpointThatCannotBeStored(t *testing.T) {
	for _, c := range []struct {
		name    string
		padding int
		resumes bool
	}{{"largest", 11_000, true}, {"too large", 20_000, false}} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
				tc.limitStore(16<<10, 0)
				tc.taskDuration = 4 * time.Second
				for _, w := range tc.workers {
					w.CheckpointPadding, w.Checkpointable = c.padding, func(string) bool { return true }
				}
				step := smallStep
				step.Checkpointable = true
				tc.submit("a", step)
				tc.waitFor("it runs", func() bool { return len(tc.running("a")) == 1 })
				time.Sleep(3 * time.Second)
				moved := time.Now()
				tc.setDraining(tc.workersOf("a")[0], true)
				tc.waitForState("a", api.JobCompleted)
				require.Equal(t, 2, tc.recorder.Starts("a.0.0.0"))
				require.Equal(t, c.resumes, time.Since(moved) < tc.taskDuration)
			})
		})
	}
}
