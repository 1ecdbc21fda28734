package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// pendingRecords removes the requests that wait for the store and returns the last value of
// each key.
func pendingRecords(p *Pool) map[string]string {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	values := make(map[string]string)
	for _, request := range p.journal.pending {
		for _, record := range request.records {
			values[record.Key] = string(record.Value)
		}
	}
	p.journal.pending = nil
	return values
}

// Guards against a run that counts as settled though its process is not known to have it, and
// against records that nothing needs.
func TestWhichRunsSettle(t *testing.T) {
	for name, c := range map[string]struct {
		prepare          func(n *node, r *run)
		settled, process bool
	}{
		"listed and long-running": {func(*node, *run) {}, true, true},
		"not listed":              {func(_ *node, r *run) { r.listed = false }, false, true},
		"short":                   {func(_ *node, r *run) { r.task.step.spec.LongRunning = false }, true, true},
		"a copy":                  {func(_ *node, r *run) { r.task.currentRun, r.task.copyRun = nil, r }, false, true},
		"not wanted":              {func(_ *node, r *run) { r.task.currentRun = nil }, false, true},
		"of a job that ends":      {func(_ *node, r *run) { r.task.step.job.final = api.JobCompleted }, false, true},
		"process not known":       {func(n *node, _ *run) { n.entry.Incarnation = 0 }, false, false},
		"first lease in force":    {func(n *node, _ *run) { n.leaseUntilMS = n.firstLeaseUntilMS }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, n, r := poolWithRun(runActive, true)
			r.task.step.spec.LongRunning = true
			n.firstLeaseUntilMS, n.leaseUntilMS = 66_000, 66_001
			c.prepare(n, r)
			p.settleProcess(n)
			require.Equal(t, c.settled, r.settled)
			require.Equal(t, c.process, n.settledProcess != 0)
			p.storeSettledRuns()
			stored := pendingRecords(p)
			require.Equal(t, c.settled, stored[keyTaskPrefix+r.task.name()] != "")
			require.Equal(t, c.process, stored[keySettledPrefix+"w"] != "")
			p.settleProcess(n)
			require.Empty(t, pendingRecords(p), "it is stored once")
		})
	}
}

// Guards against calls to the store for short runs alone, and against settled runs that are never stored.
func TestSettledShortRunsWaitForOtherRecords(t *testing.T) {
	for name, c := range map[string]struct {
		then   func(p *Pool, r *run)
		stored bool
	}{
		"nothing else":     {func(*Pool, *run) {}, false},
		"an empty request": {func(p *Pool, _ *run) { p.storeRecords(nil, nil) }, false},
		"another record":   {func(p *Pool, _ *run) { p.storeRecords([]store.Record{{Key: "other"}}, nil) }, true},
		"a while": {func(p *Pool, _ *run) {
			p.unstoredSince = time.Now().Add(-maxSettledDelay - time.Millisecond)
			p.sweepNodes()
		}, true},
		"its end, another record": {func(p *Pool, r *run) { r.task.currentRun = nil; p.storeRecords([]store.Record{{Key: "other"}}, nil) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, n, r := poolWithRun(runActive, true)
			n.settledProcess, n.leaseUntilMS = 1, 70_000
			p.settleRun(r)
			require.True(t, r.settled)
			require.Empty(t, pendingRecords(p))
			c.then(p, r)
			stored := pendingRecords(p)
			require.Equal(t, c.stored, stored[keyTaskPrefix+r.task.name()] != "")
			if c.stored {
				require.Contains(t, stored[keyTaskPrefix+r.task.name()], `"settled":true`)
			}
		})
	}
}

// Guards against a successor that takes a run for settled after its process has ended.
func TestUnsettledRunIsStored(t *testing.T) {
	p, _, r := poolWithRun(runActive, true)
	r.settled = true
	p.unsettle(r)
	record := pendingRecords(p)[keyTaskPrefix+r.task.name()]
	require.Contains(t, record, `"worker":"w"`)
	require.NotContains(t, record, "settled")
	p.unsettle(r)
	require.Empty(t, pendingRecords(p))
	r.settled, r.task.step.job.final = true, api.JobCompleted
	p.unsettle(r)
	require.Empty(t, pendingRecords(p), "the job's records are removed")
}

// Guards against a process without an incarnation that counts as settled.
func TestFirstReplyWithoutIncarnation(t *testing.T) {
	p, n, _ := poolWithRun(runInherited, false)
	n.hasReplied, n.entry.Incarnation, n.settledProcess = false, 0, 0
	p.applyHoldReply(n, &cell.HoldReply{ClockMS: 100}, cell.BootTime())
	require.GreaterOrEqual(t, n.leaseUntilMS, 100+testMaxLease.Milliseconds())
}

// Guards against records of settled processes that pile up.
func TestSettledProcessOfRemovedWorkerIsForgotten(t *testing.T) {
	p, n, r := poolWithRun(runActive, true)
	n.removeRun(r)
	n.listed, n.settledProcess, p.settledProcesses["w"] = false, 1, 1
	p.sweepNodes()
	p.sweepNodes()
	require.Empty(t, p.nodes)
	require.Empty(t, pendingRecords(p), "a start for the worker may still be carried out late")
	p.goneSince["w"] = p.goneSince["w"].Add(-p.processRecordRetention() - time.Millisecond)
	p.sweepNodes()
	value, stored := pendingRecords(p)[keySettledPrefix+"w"]
	require.True(t, stored)
	require.Empty(t, value)
	require.Empty(t, p.settledProcesses)
	require.Empty(t, p.goneSince)
}

// Guards against a wait for the last predecessor only, or for usual leases only.
func TestLeasesOfAllPredecessorsCount(t *testing.T) {
	p, _, _ := poolWithRun(runActive, true)
	now := cell.BootTime()
	acting := lead.Predecessor{ConfirmedAt: now, StoppedAt: lead.NotStopped}
	stopped := lead.Predecessor{ConfirmedAt: now, StoppedAt: now}
	for name, c := range map[string]struct {
		predecessors   []lead.Predecessor
		usual, longest time.Duration
	}{
		"stopped after acting": {[]lead.Predecessor{acting, stopped}, lead.MaxConfirmationAge + leaseDuration, lead.MaxConfirmationAge + leaseDuration},
		"acting after stopped": {[]lead.Predecessor{stopped, acting}, lead.MaxConfirmationAge + leaseDuration, lead.MaxConfirmationAge + leaseDuration},
		"all stopped":          {[]lead.Predecessor{stopped, stopped}, leaseDuration, testMaxLease},
	} {
		t.Run(name, func(t *testing.T) {
			p.term = lead.NewTerm(3, func() {}, c.predecessors...)
			ends := p.endOfPredecessorLeases()
			for got, least := range map[time.Duration]time.Duration{ends.usual - now: c.usual, ends.longest - now: c.longest} {
				require.GreaterOrEqual(t, got, least)
				require.Less(t, got, least+time.Second)
			}
		})
	}
}
