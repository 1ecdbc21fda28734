package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// Guards against a record that grows until the store cannot take it, while each holder ends
// before it has renewed.
func TestRecordOfShortTermsIsBounded(t *testing.T) {
	inSimulatedTime(t, func(t *testing.T) {
		const machines = 3
		var record *Holder
		for n := range 200 {
			_, record = succeed(t, record, process(string(rune('a'+n%machines)), fmt.Sprint(n)))
			require.LessOrEqual(t, len(record.Former), machines)
			time.Sleep(2500 * time.Millisecond)
		}
	})
}

// Guards against a predecessor that is left out although no later one on its machine bounds
// its actions.
func TestWhichFormerHoldersAreLeftOut(t *testing.T) {
	inSimulatedTime(t, func(t *testing.T) {
		previous := process("b", "2")
		previous.Epoch = 6
		for n, h := range []Holder{process("a", "1"), process("b", "1"), {Host: "a", Address: "a:2", Incarnation: "a9"}, process("a", "2"), {Host: "b", Address: "b:1", Incarnation: "b9"}} {
			previous.Former = append(previous.Former, FormerHolder{Host: h.Host, Address: h.Address, Incarnation: h.Incarnation, Epoch: int64(n + 1), ConfirmedAgoMS: int64(1000 * (5 - n))})
		}
		unnamed := FormerHolder{ConfirmedAgoMS: 500}
		previous.Former = append([]FormerHolder{unnamed, unnamed}, previous.Former...)
		previous.Former[6].Epoch = 99 // a malformed entry does not replace the record's holder
		term, _ := succeed(t, &previous, process("c", "1"))
		var kept []string
		for _, p := range term.Predecessors() {
			kept = append(kept, p.Incarnation)
		}
		require.Equal(t, []string{"", "", "a9", "a2", "b2"}, kept)
		require.Equal(t, cell.BootTime(), term.Predecessors()[4].ConfirmedAt)
		require.Len(t, term.NoteHost(HostReport{Host: "a", Address: "a:1", Incarnation: "a3", KnownEpoch: 7, Uptime: time.Second}), 1)
	})
}
