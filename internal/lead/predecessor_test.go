package lead

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// inSimulatedTime runs a test in which the boot clock shows simulated time.
func inSimulatedTime(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer cell.SetBootClock(func() time.Duration { return time.Hour + time.Since(base) })()
		test(t)
	})
}

func process(host string, number string) Holder {
	return Holder{Host: host, Address: host + ":1", Incarnation: host + number}
}

// succeed lets self claim after the record of previous, which passes through the store. The
// record of self is as it is once hosts that it does not name may have joined.
func succeed(t *testing.T, previous *Holder, self Holder) (*Term, *Holder) {
	if previous != nil {
		value, err := json.Marshal(previous)
		require.NoError(t, err)
		previous = new(Holder)
		require.NoError(t, json.Unmarshal(value, previous))
	}
	now := cell.BootTime()
	own := ClaimAfter(previous, self, now, now)
	own.WitnessesPending = false
	return BeginTerm(previous, own, now, now, func() {}), &own
}

// Guards against a wait for a process that has ended, and against evidence that a process
// that may still schedule has ended.
func TestEvidenceThatPredecessorHasStopped(t *testing.T) {
	const uptime = 2 * time.Second
	for name, c := range map[string]struct {
		report  HostReport
		stopped time.Duration // before the report
	}{
		"another process of its machine":       {HostReport{Host: "a", Address: "a:1", Incarnation: "a2", KnownEpoch: 2, Uptime: uptime}, uptime},
		"its own term has ended":               {HostReport{Host: "a", Address: "a:1", Incarnation: "a1", KnownEpoch: 2, Uptime: time.Hour, EndedEpoch: 1, EndedAgo: uptime}, uptime},
		"the process itself, in its term":      {HostReport{Host: "a", Address: "a:1", Incarnation: "a1", KnownEpoch: 2, Uptime: uptime}, 0},
		"an earlier process, delivered late":   {HostReport{Host: "a", Address: "a:1", Incarnation: "a0", KnownEpoch: 1, Uptime: time.Hour}, 0},
		"a machine with its name":              {HostReport{Host: "a", Address: "b:1", Incarnation: "a2", KnownEpoch: 2, Uptime: uptime}, 0},
		"another machine":                      {HostReport{Host: "c", Address: "c:1", Incarnation: "c1", KnownEpoch: 2, Uptime: uptime}, 0},
		"a version that does not say":          {HostReport{Host: "a", Address: "a:1"}, 0},
		"a later process that ended a term":    {HostReport{Host: "a", Address: "a:1", Incarnation: "a2", KnownEpoch: 3, Uptime: uptime, EndedEpoch: 3}, uptime},
		"its own process, another term before": {HostReport{Host: "a", Address: "a:1", Incarnation: "a1", KnownEpoch: 2, Uptime: time.Hour, EndedEpoch: 0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inSimulatedTime(t, func(t *testing.T) {
				_, first := succeed(t, nil, process("a", "1"))
				time.Sleep(5 * time.Second)
				term, _ := succeed(t, first, process("b", "1"))
				claimed := cell.BootTime()
				time.Sleep(3 * time.Second)
				stopped := term.NoteHost(c.report)
				predecessor := term.Predecessors()[0]
				if c.stopped == 0 {
					require.Empty(t, stopped)
					require.Equal(t, claimed+MaxConfirmationAge, predecessor.ActsUntil(MaxConfirmationAge))
					return
				}
				require.Equal(t, []Predecessor{predecessor}, stopped)
				require.Equal(t, cell.BootTime()-c.stopped, predecessor.ActsUntil(MaxConfirmationAge))
				require.Empty(t, term.NoteHost(c.report), "it is known")
			})
		})
	}
}

// Guards against a holder that is forgotten, or waited for anew, because another one
// scheduled for a moment between it and the present one.
func TestFormerHoldersAreHandedOn(t *testing.T) {
	inSimulatedTime(t, func(t *testing.T) {
		_, record := succeed(t, nil, process("a", "1"))
		time.Sleep(time.Minute)
		begin := cell.BootTime()
		term, record := succeed(t, record, process("b", "1"))
		time.Sleep(4 * time.Second)
		*record = term.Renewal(*record, cell.BootTime())
		require.Equal(t, (MaxConfirmationAge - 4*time.Second).Milliseconds(), record.EarlierBoundMS)
		time.Sleep(time.Second)
		term, record = succeed(t, record, process("c", "1"))
		first, second := term.Predecessors()[0], term.Predecessors()[1]
		require.Equal(t, begin+time.Second+MaxConfirmationAge, first.ActsUntil(MaxConfirmationAge), "the time since the last renewal is not known")
		require.Equal(t, cell.BootTime()+MaxConfirmationAge, second.ActsUntil(MaxConfirmationAge))
		require.Len(t, term.NoteHost(HostReport{Host: "a", Address: "a:1", Incarnation: "a2", KnownEpoch: 3, Uptime: 3 * time.Second}), 1)
		stoppedAt := cell.BootTime() - 3*time.Second

		time.Sleep(time.Second)
		*record = term.Renewal(*record, cell.BootTime())
		require.EqualValues(t, 9000, record.EarlierBoundMS, "b is not known to have stopped")
		term, record = succeed(t, record, process("b", "2"))
		require.Len(t, term.Predecessors(), 3)
		require.Equal(t, stoppedAt, term.Predecessors()[0].StoppedAt)
		require.Equal(t, cell.BootTime(), term.Predecessors()[1].StoppedAt, "an earlier process of this machine")
		require.Equal(t, NotStopped, term.Predecessors()[2].StoppedAt)

		time.Sleep(2 * time.Minute)
		*record = term.Renewal(*record, cell.BootTime())
		require.Empty(t, record.Former)
		require.Zero(t, record.EarlierBoundMS)
	})
}

// Guards against a wait that ends too early where the start of the process is not known.
func TestEarlierProcessOfTheMachine(t *testing.T) {
	inSimulatedTime(t, func(t *testing.T) {
		_, first := succeed(t, nil, process("a", "1"))
		startedAt := cell.BootTime()
		time.Sleep(3 * time.Second)
		now := cell.BootTime()
		for _, c := range []struct {
			self      Holder
			startedAt time.Duration
			stoppedAt time.Duration
		}{
			{process("a", "2"), startedAt, startedAt},
			{process("a", "2"), 0, now},
			{process("a", "1"), startedAt, now},
			{process("b", "1"), startedAt, NotStopped},
		} {
			own := ClaimAfter(first, c.self, c.startedAt, now)
			require.Equal(t, c.stoppedAt, BeginTerm(first, own, c.startedAt, now, func() {}).Predecessors()[0].StoppedAt)
		}
	})
}

// Guards against a holder that is forgotten because a version between did not name it.
func TestBoundOfARecordWithoutFormerHolders(t *testing.T) {
	inSimulatedTime(t, func(t *testing.T) {
		old := process("a", "1")
		old.Epoch, old.EarlierBoundMS, old.Resigned = 4, 6000, true
		term, record := succeed(t, &old, process("b", "1"))
		predecessors := term.Predecessors()
		require.Len(t, predecessors, 2)
		require.Equal(t, cell.BootTime()+6*time.Second, predecessors[0].ActsUntil(MaxConfirmationAge))
		require.Equal(t, cell.BootTime(), predecessors[1].ActsUntil(MaxConfirmationAge))
		require.EqualValues(t, 6000, record.EarlierBoundMS)
	})
}

// Guards against a wait that ends too early, or begins at the claim, where the last renewal
// was read before it.
func TestPredecessorIsConfirmedUntilItsLastRenewalWasRead(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		leader := c.start("a", 1)
		c.waitForLeader(0, time.Second)
		other := c.start("b", 1)
		time.Sleep(5 * time.Second)
		confirmed := cell.BootTime() - c.term("a").ConfirmationAge()
		leader.kill()
		c.waitForLeader(1, 5*time.Second)
		term := c.term("b")
		predecessor := term.Predecessors()[0]
		require.GreaterOrEqual(t, predecessor.ConfirmedAt, confirmed)
		require.Less(t, predecessor.ConfirmedAt, term.ClaimedAt-time.Second, "the renewal was read long before the claim")
		claimed := c.term("a").ClaimedAt
		require.GreaterOrEqual(t, term.PreviousClaimedBy, claimed)
		require.Less(t, term.PreviousClaimedBy, claimed+time.Second)
		stopAll(leader, other)
	})
}
