package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a record of silent workers that counts although a scheduler since then has
// ignored it, and against one that never counts again after a mix of versions.
func TestSinceWhichEpochLeaseRecordsAreKept(t *testing.T) {
	for _, c := range []struct {
		previous             int64 // lease_records_since of the holder before, -1 if there is none
		inTerm, own, afterIt int64
	}{{-1, 0, 1, 1}, {0, 0, 6, 6}, {1, 1, 1, 1}, {4, 4, 4, 4}} {
		t.Run(fmt.Sprint(c.previous), func(t *testing.T) {
			inSimulatedTime(t, func(t *testing.T) {
				var previous *Holder
				if c.previous >= 0 {
					h := process("a", "1")
					h.Epoch, h.LeaseRecordsSince = 5, c.previous
					previous = &h
				}
				term, record := succeed(t, previous, process("b", "1"))
				require.Equal(t, c.inTerm, term.LeaseRecordsSince, "schedulers before this one")
				require.Equal(t, c.own, record.LeaseRecordsSince)
				term, _ = succeed(t, record, process("c", "1"))
				require.Equal(t, c.afterIt, term.LeaseRecordsSince)
			})
		})
	}
}

// Guards against a report that is taken as evidence about a machine that has its address, or
// about a predecessor that is not known.
func TestReportsAboutOthers(t *testing.T) {
	for name, c := range map[string]struct {
		former FormerHolder
		report HostReport
	}{
		"another host with its address": {FormerHolder{Host: "a", Address: "a:1", Incarnation: "a1", Epoch: 3}, HostReport{Host: "b", Address: "a:1"}},
		"unknown predecessor":           {FormerHolder{Incarnation: "a1"}, HostReport{}},
	} {
		t.Run(name, func(t *testing.T) {
			inSimulatedTime(t, func(t *testing.T) {
				previous := process("p", "1")
				previous.Epoch, previous.Former = 4, []FormerHolder{c.former}
				term, _ := succeed(t, &previous, process("c", "1"))
				c.report.Incarnation, c.report.KnownEpoch, c.report.Uptime = "a2", 5, time.Second
				require.Empty(t, term.NoteHost(c.report))
			})
		})
	}
}
