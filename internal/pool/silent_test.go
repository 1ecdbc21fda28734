package pool

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// withSilentWorker runs a test on a scheduler in simulated time. Its worker has runs and has
// refused connections for silenceRecordDelay.
func withSilentWorker(t *testing.T, test func(t *testing.T, p *Pool, n *node, r *run)) {
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer cell.SetBootClock(func() time.Duration { return time.Hour + time.Since(base) })()
		p, n, r := poolWithRun(runActive, true)
		n.client, n.unresponsive, n.refusesConnections = &celltest.Worker{}, true, true
		n.extendLease(p.leaseDuration())
		p.sweepNodes()
		time.Sleep(silenceRecordDelay)
		p.term.Confirm(cell.BootTime())
		test(t, p, n, r)
	})
}

// takeStored removes the requests that wait for the store and returns the newest record of
// silent workers among them, nil if there is none. done reports the outcome to all of them.
func takeStored(t *testing.T, p *Pool) (newest *silentRecord, done func(error)) {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	pending := p.journal.pending
	p.journal.pending = nil
	for _, request := range pending {
		for _, record := range request.records {
			if record.Key == keySilent {
				newest = new(silentRecord)
				require.NoError(t, json.Unmarshal(record.Value, newest))
			}
		}
	}
	return newest, func(err error) {
		for _, request := range pending {
			if request.onDone != nil {
				request.onDone(err)
			}
		}
	}
}

// Guards against a lease or a start on a worker of which a record says that it gets none.
func TestWithheldLeases(t *testing.T) {
	withSilentWorker(t, func(t *testing.T, p *Pool, n *node, r *run) {
		n.unresponsive, n.repliedAt = false, time.Now()
		require.True(t, n.usable(time.Now()))
		require.False(t, p.startBarred(r))
		require.Positive(t, p.nextHold(n).LeaseUntilMS)

		n.leasesWithheld = true
		require.False(t, n.usable(time.Now()))
		require.True(t, p.startBarred(r))
		until := n.leaseUntilMS
		hold := p.nextHold(n)
		require.Zero(t, hold.LeaseUntilMS)
		require.LessOrEqual(t, hold.Wait, holdWaitWithheld, "the lease is due")
		require.Equal(t, until, n.leaseUntilMS)
	})
}

// Guards against a record of workers that are not silent, and against one that keeps a
// worker from its leases because the store, which has to drop it, does not reply.
func TestWhichWorkersAreRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(p *Pool, n *node, r *run)
		recorded bool
	}{
		"silent":                     {func(*Pool, *node, *run) {}, true},
		"not long enough":            {func(_ *Pool, n *node, _ *run) { n.silentSince = time.Now().Add(time.Millisecond - silenceRecordDelay) }, false},
		"no connections are refused": {func(_ *Pool, n *node, _ *run) { n.refusesConnections = false }, false},
		"no reply for long": {func(_ *Pool, n *node, _ *run) {
			n.refusesConnections, n.silentSince = false, time.Now().Add(-unansweredRecordDelay)
		}, true},
		"not reached in this term": {func(p *Pool, n *node, _ *run) {
			now := cell.BootTime()
			p.term = lead.NewTerm(1, func() {}, lead.Predecessor{ConfirmedAt: now, StoppedAt: now})
			n.hasReplied, n.silentSince = false, time.Now().Add(-unreachedRecordDelay)
		}, true},
		"no reply in this term": {func(p *Pool, n *node, _ *run) {
			now := cell.BootTime()
			p.term = lead.NewTerm(1, func() {}, lead.Predecessor{ConfirmedAt: now, StoppedAt: now})
			n.hasReplied, n.refusesConnections, n.silentSince = false, false, time.Now().Add(-unreachedRecordDelay)
		}, true},
		"the first call of the term is under way": {func(p *Pool, n *node, _ *run) {
			now := cell.BootTime()
			p.term = lead.NewTerm(1, func() {}, lead.Predecessor{ConfirmedAt: now, StoppedAt: now})
			n.hasReplied, n.unresponsive = false, false
		}, false},
		"replied since": {func(_ *Pool, n *node, _ *run) { n.unresponsive = false }, false},
		"no runs":       {func(_ *Pool, n *node, r *run) { n.removeRun(r) }, false},
		"the store does not reply": {func(p *Pool, _ *node, _ *run) {
			p.journal.busySince = time.Now().Add(-stallThreshold - time.Millisecond)
		}, false},
		"the term is not confirmed": {func(p *Pool, _ *node, _ *run) { p.term = lead.NewTerm(1, func() {}); time.Sleep(renewalOverdueAfter) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			withSilentWorker(t, func(t *testing.T, p *Pool, n *node, r *run) {
				c.change(p, n, r)
				p.sweepNodes()
				record, _ := takeStored(t, p)
				require.Equal(t, c.recorded, n.leasesWithheld)
				if !c.recorded {
					require.Nil(t, record)
					return
				}
				require.Contains(t, record.Workers, "w")
				require.EqualValues(t, 1, record.Epoch)
			})
		})
	}
}

// Guards against a recorded time that is shorter than the leases of the worker may last.
func TestRecordedLeases(t *testing.T) {
	for name, c := range map[string]struct {
		prepare        func(p *Pool, n *node, r *run)
		usual, longest time.Duration // at least; 1 s less is too short
	}{
		"listed run":            {func(*Pool, *node, *run) {}, leaseDuration, leaseDuration},
		"start without a reply": {func(_ *Pool, n *node, r *run) { r.listed, n.lastStartAt = false, cell.BootTime() }, leaseDuration, testMaxLease},
		"no reply in this term": {func(_ *Pool, n *node, _ *run) { n.hasReplied = false }, 8 * time.Second, 9 * time.Second},
		"recorded by predecessors": {func(_ *Pool, n *node, _ *run) {
			n.hasReplied, n.inheritedLeases = false, &leaseEnds{cell.BootTime() + time.Second, cell.BootTime() + 2*time.Second}
		}, time.Second, 2 * time.Second},
		"restarted": {func(p *Pool, n *node, _ *run) {
			n.inheritedLeases = &leaseEnds{}
			p.restartIncarnation(n)
		}, testMaxLease, testMaxLease},
	} {
		t.Run(name, func(t *testing.T) {
			withSilentWorker(t, func(t *testing.T, p *Pool, n *node, r *run) {
				n.clockAt = cell.BootTime()
				n.leaseUntilMS = 0
				n.extendLease(p.leaseDuration())
				if name != "restarted" {
					p.predecessorLeases = leaseEnds{cell.BootTime() + 8*time.Second, cell.BootTime() + 9*time.Second}
				}
				c.prepare(p, n, r)
				n.leasesWithheld = true
				p.storeSilentWorkers(nil)
				record, _ := takeStored(t, p)
				lease := record.Workers["w"]
				for _, at := range []struct {
					recorded int64
					least    time.Duration
				}{{lease.UsualMS, c.usual}, {lease.LongestMS, c.longest}} {
					require.GreaterOrEqual(t, milliseconds(at.recorded), at.least)
					require.Less(t, milliseconds(at.recorded), at.least+time.Second)
				}
			})
		})
	}
}

// awaitResumed waits until a record without the workers that have returned is to be stored.
func awaitResumed() {
	time.Sleep(commitInterval)
	synctest.Wait()
}

// Guards against a record for each of many workers that return at the same time.
func TestWorkersThatReturnTogetherShareARecord(t *testing.T) {
	withSilentWorker(t, func(t *testing.T, p *Pool, n *node, r *run) {
		p.mu.Lock()
		var all []*node
		for k := range 400 {
			n := p.node(fmt.Sprintf("w%03d", k))
			n.leasesWithheld = true
			all = append(all, n)
		}
		for _, n := range all {
			p.resumeLeases(n)
		}
		p.mu.Unlock()
		awaitResumed()
		require.Len(t, p.journal.pending, 1)
		record, done := takeStored(t, p)
		require.Empty(t, record.Workers)
		done(nil)
		for _, n := range all {
			require.False(t, n.leasesWithheld)
		}
	})
}

// Guards against a lease before the store has taken the record without the worker.
func TestLeasesResumeOnceTheRecordIsStored(t *testing.T) {
	withSilentWorker(t, func(t *testing.T, p *Pool, n *node, r *run) {
		p.sweepNodes()
		_, _ = takeStored(t, p)
		n.unresponsive = false
		reply := &cell.HoldReply{Incarnation: 1, ClockMS: 62_000, Running: []cell.RunningTask{{Task: r.task.name(), Run: 1}}}
		p.mu.Lock()
		p.applyHoldReply(n, reply, cell.BootTime())
		p.mu.Unlock()
		awaitResumed()
		record, done := takeStored(t, p)
		require.NotNil(t, record)
		require.NotContains(t, record.Workers, "w")
		require.Zero(t, p.nextHold(n).LeaseUntilMS)
		require.False(t, n.usable(time.Now()))

		p.applyHoldReply(n, reply, cell.BootTime())
		awaitResumed()
		repeated, _ := takeStored(t, p)
		require.Nil(t, repeated, "one request to the store is enough")
		n.unresponsive = true
		p.sweepNodes()
		time.Sleep(silenceRecordDelay)
		p.term.Confirm(cell.BootTime())
		p.sweepNodes()
		require.Zero(t, p.nextHold(n).LeaseUntilMS)
		n.unresponsive = false

		done(errors.New("not stored"))
		require.True(t, n.leasesWithheld)
		require.Zero(t, p.nextHold(n).LeaseUntilMS)
		done(nil)
		require.False(t, n.leasesWithheld)
		require.Positive(t, p.nextHold(n).LeaseUntilMS)
	})
}

// Guards against a lease that a successor sends to a worker of the record which has no runs
// or which it does not know.
func TestRecordedWorkerWithoutRuns(t *testing.T) {
	for _, id := range []string{"w", "unknown"} {
		t.Run(id, func(t *testing.T) {
			withSilentWorker(t, func(t *testing.T, p *Pool, n *node, r *run) {
				n.removeRun(r)
				p.restore([]store.Record{{Key: keySilent, Value: fmt.Appendf(nil, `{"epoch":1,"workers":{%q:{"usual_ms":2000,"longest_ms":2000}}}`, id)}}, cell.BootTime())
				p.mu.Lock()
				recorded := p.nodes[id]
				require.NotNil(t, recorded)
				recorded.hasReplied, recorded.listed = true, id == "w"
				recorded.unresponsive = false
				require.Zero(t, p.nextHold(recorded).LeaseUntilMS)
				require.False(t, recorded.usable(time.Now()))
				p.sweepNodes()
				require.Same(t, recorded, p.nodes[id], "an entry that is read now would begin without the obligation")
				p.mu.Unlock()
				awaitResumed()
				record, done := takeStored(t, p)
				require.NotNil(t, record)
				require.NotContains(t, record.Workers, id)
				require.Zero(t, p.nextHold(recorded).LeaseUntilMS)
				done(nil)
				require.False(t, recorded.leasesWithheld)
			})
		})
	}
}

// Guards against a record that is out of date because a scheduler since then has ignored it,
// and against leases of silent workers whose record is ignored without need.
func TestRecordOfSilentWorkersCounts(t *testing.T) {
	for _, c := range []struct {
		epoch, since int64
		counts       bool
	}{{3, 0, false}, {3, 1, true}, {3, 3, true}, {3, 4, false}} {
		t.Run(fmt.Sprintf("epoch %d, kept since %d", c.epoch, c.since), func(t *testing.T) {
			withSilentWorker(t, func(t *testing.T, p *Pool, n *node, _ *run) {
				n.hasReplied, p.term.LeaseRecordsSince = false, c.since
				p.predecessorLeases = leaseEnds{cell.BootTime() + time.Minute, cell.BootTime() + time.Minute}
				fencedAt := cell.BootTime() - time.Second
				p.restore([]store.Record{{Key: keySilent, Value: fmt.Appendf(nil, `{"epoch":%d,"workers":{"w":{"usual_ms":5000,"longest_ms":7000}}}`, c.epoch)}}, fencedAt)
				require.Equal(t, c.counts, n.leasesWithheld)
				want := p.predecessorLeases
				if c.counts {
					want = leaseEnds{fencedAt + 5*time.Second, fencedAt + 7*time.Second}
				}
				require.Equal(t, want, p.unrepliedLeaseEnds(n))
			})
		})
	}
}

// Guards against a second run beside one on a process that has started since the record.
func TestRestartEndsRecordedLeases(t *testing.T) {
	for name, restart := range map[string]func(p *Pool, n *node){
		"in the registry": func(p *Pool, n *node) {
			entry := n.entry
			entry.Incarnation = 2
			p.applyEntry(&entry)
		},
		"in a reply": func(p *Pool, n *node) {
			p.applyHoldReply(n, &cell.HoldReply{Incarnation: 2, ClockMS: 10}, cell.BootTime())
		},
	} {
		t.Run(name, func(t *testing.T) {
			withSilentWorker(t, func(t *testing.T, p *Pool, n *node, r *run) {
				n.hasReplied, r.listed, r.state = false, false, runInherited
				n.inheritedLeases, n.leasesWithheld = &leaseEnds{cell.BootTime(), cell.BootTime()}, true
				restart(p, n)
				require.Nil(t, n.inheritedLeases)
				require.GreaterOrEqual(t, p.runLeaseEnd(r), cell.BootTime()+testMaxLease)
				require.True(t, n.leasesWithheld, "the record still names the worker")
			})
		})
	}
}

// Guards against a term that ends because the store cannot take the record.
func TestRecordOfManySilentWorkersFitsTheStore(t *testing.T) {
	withSilentWorker(t, func(t *testing.T, p *Pool, _ *node, _ *run) {
		const workers = 350
		for n := range workers {
			p.node(fmt.Sprintf("7f9c24e8-3b12-4fcd-a5b6-%012d", n)).leasesWithheld = true
		}
		p.predecessorLeases = leaseEnds{cell.BootTime() + 10*time.Second, cell.BootTime() + 14*time.Second}
		p.storeSilentWorkers(nil)
		record := p.journal.pending[len(p.journal.pending)-1].records[0]
		require.Equal(t, keySilent, record.Key)
		t.Logf("%d workers take %d bytes", workers, recordBytes(record))
		require.Less(t, recordBytes(record), p.maxRecordBytes()/4)
	})
}
