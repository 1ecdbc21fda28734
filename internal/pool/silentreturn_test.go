package pool

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// withholdLeases submits a long-running job of two tasks, cuts off a worker with one of them
// and returns it once the store has a record of it.
func (tc *testCluster) withholdLeases() (id string) {
	tc.submit("a", longRunning(2))
	tc.waitFor("both tasks run", func() bool { return len(tc.running("a")) == 2 })
	time.Sleep(settledAfter)
	id = tc.workersOf("a")[0]
	tc.worker(id).SetPartitioned(true)
	tc.waitFor("the record names the worker", func() bool {
		_, named := tc.storedSilentWorkers().Workers[id]
		return named
	})
	return id
}

// storedSilentWorkers returns the record of silent workers in the store.
func (tc *testCluster) storedSilentWorkers() silentRecord {
	page, err := tc.store.ReadCompacted(tc.t.Context(), testJobsTopic, "")
	require.NoError(tc.t, err)
	var record silentRecord
	for _, r := range page.Records {
		if r.Key == keySilent {
			require.NoError(tc.t, json.Unmarshal(r.Value, &record))
		}
	}
	return record
}

// failJobAppends injects a fault into all appends to the topic of the jobs.
func (tc *testCluster) failJobAppends(fault storetest.Fault) {
	tc.store.SetFault(func(call, topic string) storetest.Fault {
		if call == "append" && topic == testJobsTopic {
			return fault
		}
		return storetest.NoFault
	})
}

// inspect calls check with the state that the newest scheduler has of a worker.
func (tc *testCluster) inspect(id string, check func(p *Pool, n *node)) {
	p := tc.currentPool()
	p.mu.Lock()
	defer p.mu.Unlock()
	check(p, p.nodes[id])
}

// Guards against a second run: a worker that returns gets a lease while the record in the
// store, on which a successor that does not reach the worker relies, still names it.
func TestWorkerReturnsWhileTheStoreFails(t *testing.T) {
	for name, fault := range map[string]storetest.Fault{"it refuses": storetest.Refuse, "its replies are lost": storetest.DropReply, "it is down": storetest.DropRequest} {
		t.Run(name, func(t *testing.T) {
			inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
				id := tc.withholdLeases()
				tc.failJobAppends(fault)
				tc.worker(id).SetPartitioned(false)
				time.Sleep(1500 * time.Millisecond)
				tc.inspect(id, func(_ *Pool, n *node) {
					require.False(t, n.unresponsive)
					require.True(t, n.leasesWithheld)
				})
				tc.cutForNext = map[string]bool{id: true}
				tc.stop()
				tc.store.SetFault(nil)
				tc.takeOver(0)
				tc.waitFor("the task of the worker runs elsewhere", func() bool {
					workers := tc.workersOf("a")
					return len(workers) == 2 && workers[0] != id && workers[1] != id
				})
			})
		})
	}
}

// Guards against a worker that stays without leases once the store replies again, and against
// a run that is started again although its worker has returned in time.
func TestWorkerReturnsInTime(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
		id := tc.withholdLeases()
		starts := tc.recorder.Starts("a.0.0.0") + tc.recorder.Starts("a.0.0.1")
		tc.worker(id).SetPartitioned(false)
		tc.waitFor("the worker gets leases", func() (resumed bool) {
			tc.inspect(id, func(_ *Pool, n *node) { resumed = !n.leasesWithheld })
			return resumed
		})
		require.Empty(t, tc.storedSilentWorkers().Workers)
		time.Sleep(2 * testMaxLease)
		require.Contains(t, tc.workersOf("a"), id)
		require.Equal(t, starts, tc.recorder.Starts("a.0.0.0")+tc.recorder.Starts("a.0.0.1"))
	})
}

// Guards against a recorded time that counts from the claim of a successor: its predecessor
// may bring the record up to date until it is fenced.
func TestRecordedTimeCountsFromTheFence(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
		const delay = 1100 * time.Millisecond
		id := tc.withholdLeases()
		tc.stop()
		recorded := tc.storedSilentWorkers().Workers[id]
		claimedAt := cell.BootTime()
		tc.failJobAppends(storetest.Refuse)
		time.AfterFunc(delay, func() { tc.store.SetFault(nil) })
		tc.takeOver(0)
		tc.inspect(id, func(_ *Pool, n *node) {
			require.GreaterOrEqual(t, n.inheritedLeases.usual, claimedAt+delay+milliseconds(recorded.UsualMS))
			require.GreaterOrEqual(t, n.inheritedLeases.longest, claimedAt+delay+milliseconds(recorded.LongestMS))
		})
	})
}
