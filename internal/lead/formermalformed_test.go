package lead

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// Guards against a malformed record that shortens a wait below what its holder could have
// written, or lengthens it for good.
func TestMalformedFormerHolders(t *testing.T) {
	stopped := func(ms int64) *int64 { return &ms }
	most := (formerRetention + MaxConfirmationAge).Milliseconds()
	for name, c := range map[string]struct {
		former FormerHolder
		acts   time.Duration // after the claim
	}{
		"well-formed":                {FormerHolder{Host: "a", Address: "a:1", Incarnation: "a1", Epoch: 3, ConfirmedAgoMS: 4000}, 6 * time.Second},
		"the oldest that is written": {FormerHolder{Host: "a", Address: "a:1", Incarnation: "a1", Epoch: 3, ConfirmedAgoMS: most}, -formerRetention},
		"nothing":                    {FormerHolder{}, MaxConfirmationAge},
		"negative":                   {FormerHolder{Host: "a", Epoch: 3, ConfirmedAgoMS: -1}, MaxConfirmationAge},
		"far in the future":          {FormerHolder{Host: "a", Epoch: 3, ConfirmedAgoMS: math.MinInt64}, MaxConfirmationAge},
		"older than any":             {FormerHolder{Host: "a", Epoch: 3, ConfirmedAgoMS: most + 1}, MaxConfirmationAge},
		"beyond a duration":          {FormerHolder{Host: "a", Epoch: 3, ConfirmedAgoMS: math.MaxInt64}, MaxConfirmationAge},
		"stops in the future":        {FormerHolder{Host: "a", Epoch: 3, StoppedAgoMS: stopped(-1)}, MaxConfirmationAge},
		"stopped before any":         {FormerHolder{Host: "a", Epoch: 3, StoppedAgoMS: stopped(most + 1)}, MaxConfirmationAge},
		"stopped beyond a duration":  {FormerHolder{Host: "a", Epoch: 3, StoppedAgoMS: stopped(math.MaxInt64)}, MaxConfirmationAge},
	} {
		t.Run(name, func(t *testing.T) {
			inSimulatedTime(t, func(t *testing.T) {
				previous := process("p", "1")
				previous.Epoch, previous.Resigned, previous.Former = 4, true, []FormerHolder{c.former}
				term, record := succeed(t, &previous, process("b", "1"))
				now := cell.BootTime()
				require.Equal(t, c.acts, term.Predecessors()[0].ActsUntil(MaxConfirmationAge)-now)
				require.LessOrEqual(t, record.EarlierBoundMS, MaxConfirmationAge.Milliseconds())
				require.Equal(t, now, term.Predecessors()[1].ActsUntil(MaxConfirmationAge))
			})
		})
	}
}

// Guards against evidence from the claim itself that a former holder on the claimant's machine
// has stopped earlier than it has.
func TestFormerHoldersOnTheMachineOfTheClaimant(t *testing.T) {
	const startedAt, claimedAt = time.Hour, 2 * time.Hour
	for name, c := range map[string]struct {
		host, address, incarnation string
		stoppedAt                  time.Duration
	}{
		"an earlier process":        {"b", "b:1", "b0", startedAt},
		"this process":              {"b", "b:1", "b1", claimedAt},
		"one of them":               {"b", "b:1", "", claimedAt},
		"another machine":           {"a", "b:1", "b0", NotStopped},
		"a machine with its name":   {"b", "a:1", "b0", NotStopped},
		"an address without a host": {"", "b:1", "b0", NotStopped},
	} {
		t.Run(name, func(t *testing.T) {
			former := FormerHolder{Host: c.host, Address: c.address, Incarnation: c.incarnation, Epoch: 2}
			previous := process("p", "1")
			previous.Epoch, previous.Former = 3, []FormerHolder{former}
			require.Equal(t, c.stoppedAt, predecessorsOf(&previous, process("b", "1"), claimedAt, startedAt)[0].StoppedAt)
			previous = Holder{Host: c.host, Address: c.address, Incarnation: c.incarnation, Epoch: 3}
			require.Equal(t, c.stoppedAt, predecessorsOf(&previous, process("b", "1"), claimedAt, startedAt)[0].StoppedAt)
		})
	}
}

// Guards against a bound without former holders that no later scheduler outlasts.
func TestMalformedEarlierBound(t *testing.T) {
	for _, bound := range []int64{-1, math.MinInt64, math.MaxInt64, MaxConfirmationAge.Milliseconds() + 1} {
		t.Run(fmt.Sprint(bound), func(t *testing.T) {
			inSimulatedTime(t, func(t *testing.T) {
				previous := process("p", "1")
				previous.Epoch, previous.EarlierBoundMS = 4, bound
				term, _ := succeed(t, &previous, process("b", "1"))
				for _, p := range term.Predecessors() {
					require.Equal(t, cell.BootTime()+MaxConfirmationAge, p.ActsUntil(MaxConfirmationAge))
				}
			})
		})
	}
}

// Guards against a process that is taken for another one since its record or report does not
// name it.
func TestProcessWithoutIncarnation(t *testing.T) {
	for name, c := range map[string]struct{ former, report string }{"in the record": {"", "a1"}, "in the report": {"a1", ""}} {
		t.Run(name, func(t *testing.T) {
			inSimulatedTime(t, func(t *testing.T) {
				previous := process("a", "1")
				previous.Epoch, previous.Incarnation = 1, c.former
				term, _ := succeed(t, &previous, process("b", "1"))
				require.Empty(t, term.NoteHost(HostReport{Host: "a", Address: "a:1", Incarnation: c.report, KnownEpoch: 2, Uptime: time.Minute}))
				require.Equal(t, NotStopped, term.Predecessors()[0].StoppedAt)
			})
		})
	}
}
