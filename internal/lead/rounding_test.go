package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// Guards against a wait that is shorter than a predecessor may act since times are rounded.
func TestAgesAreRoundedTowardsWaitingLonger(t *testing.T) {
	for _, since := range []time.Duration{1, time.Millisecond - 1, time.Millisecond, 1700*time.Microsecond + 1, 4999*time.Millisecond + 999*time.Microsecond} {
		t.Run(fmt.Sprint(since), func(t *testing.T) {
			inSimulatedTime(t, func(t *testing.T) {
				_, record := succeed(t, nil, process("a", "1"))
				term, record := succeed(t, record, process("b", "1"))
				claimed := cell.BootTime()
				require.Len(t, term.NoteHost(HostReport{Host: "a", Address: "a:1", Incarnation: "a2", KnownEpoch: 2, Uptime: time.Second}), 1)
				*record = term.Renewal(*record, cell.BootTime())
				term, record = succeed(t, record, process("c", "1"))
				require.NotEqual(t, NotStopped, term.Predecessors()[0].StoppedAt)
				time.Sleep(since)
				*record = term.Renewal(*record, cell.BootTime())
				acts := term.Predecessors()[1].ActsUntil(MaxConfirmationAge)
				require.Equal(t, claimed+MaxConfirmationAge, acts)
				bound := milliseconds(record.EarlierBoundMS)
				require.GreaterOrEqual(t, cell.BootTime()+bound, acts, "for a version that does not know Former")
				require.Less(t, cell.BootTime()+bound, acts+time.Millisecond)

				next, _ := succeed(t, record, process("d", "1"))
				for n, p := range next.Predecessors()[:2] {
					exact := term.Predecessors()[n]
					require.GreaterOrEqual(t, p.ActsUntil(MaxConfirmationAge), exact.ActsUntil(MaxConfirmationAge))
					require.Less(t, p.ActsUntil(MaxConfirmationAge), exact.ActsUntil(MaxConfirmationAge)+time.Millisecond)
				}
			})
		})
	}
}
