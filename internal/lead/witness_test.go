package lead

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// stored returns the record as another process reads it.
func stored(t *testing.T, h *Holder) *Holder {
	value, err := json.Marshal(h)
	require.NoError(t, err)
	read := new(Holder)
	require.NoError(t, json.Unmarshal(value, read))
	return read
}

// Guards against a wait for MaxConfirmationAge where the predecessor needed this host, and against a shorter one where it did not or may have had its reply.
func TestHowLongAPredecessorMayExtendLeases(t *testing.T) {
	const claimedAt, readAt, startedAt = time.Hour, time.Hour - time.Second, time.Minute
	named := []string{WitnessName("b", "b:1"), WitnessName("c", "c:1")}
	for name, c := range map[string]struct {
		witnesses              []string
		self                   Holder
		startedAt, witnessedAt time.Duration
		until                  time.Duration
	}{
		"it needs this host":               {named, process("b", "1"), startedAt, 0, readAt + SoleExtensionAge},
		"this host has confirmed it":       {named, process("b", "1"), startedAt, readAt + 300*time.Millisecond, readAt + 300*time.Millisecond + SoleExtensionAge},
		"confirmed before the renewal":     {named, process("b", "1"), startedAt, readAt - time.Second, readAt + SoleExtensionAge},
		"an earlier process may have":      {named, process("b", "1"), claimedAt - 500*time.Millisecond, 0, claimedAt - 500*time.Millisecond + SoleExtensionAge},
		"it does not need this host":       {named, process("d", "1"), startedAt, 0, readAt + MaxConfirmationAge},
		"a machine with a host's name":     {named, Holder{Host: "b", Address: "d:1", Incarnation: "b1"}, startedAt, 0, readAt + MaxConfirmationAge},
		"start of the process not known":   {named, process("b", "1"), 0, 0, readAt + MaxConfirmationAge},
		"it names no witnesses":            {nil, process("b", "1"), startedAt, 0, readAt + MaxConfirmationAge},
		"it names no witnesses, confirmed": {nil, process("b", "1"), startedAt, readAt + time.Millisecond, readAt + MaxConfirmationAge},
	} {
		t.Run(name, func(t *testing.T) {
			previous := process("a", "1")
			previous.Epoch, previous.Witnesses = 4, c.witnesses
			read := stored(t, &previous)
			read.ReadAt, read.WitnessedAt = readAt, c.witnessedAt
			own := ClaimAfter(read, c.self, c.startedAt, claimedAt)
			term := BeginTerm(read, own, c.startedAt, claimedAt, func() {})
			require.Equal(t, c.until, term.Predecessors()[0].ActsUntil(MaxConfirmationAge))
			require.Equal(t, min(c.until, readAt+500*time.Millisecond), min(term.Predecessors()[0].ActsUntil(500*time.Millisecond), readAt+500*time.Millisecond))

			next := stored(t, &own)
			next.ReadAt = claimedAt
			inherited := predecessorsOf(next, process("e", "1"), claimedAt+time.Second, startedAt)
			require.Equal(t, c.until, inherited[0].ActsUntil(MaxConfirmationAge), "the next successor learns it from the record")
		})
	}
}

// Guards against leases that are extended for longer than a witness that takes over expects.
func TestWhenAHolderMayExtendLeases(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		named, proposed []string
		confirmedAgo    time.Duration
		replies         map[string]time.Duration // ago
		may             bool
	}{
		"just renewed":                         {[]string{"b"}, nil, second, nil, true},
		"renewal overdue":                      {[]string{"b"}, nil, 2 * second, nil, false},
		"its only witness replied":             {[]string{"b"}, nil, 2 * second, map[string]time.Duration{"b": second}, true},
		"long ago":                             {[]string{"b"}, nil, 4 * second, map[string]time.Duration{"b": 2 * second}, false},
		"one of two replied":                   {[]string{"b", "c"}, nil, 2 * second, map[string]time.Duration{"b": second}, false},
		"another host replied":                 {[]string{"b"}, nil, 2 * second, map[string]time.Duration{"c": second}, false},
		"both replied":                         {[]string{"b", "c"}, nil, 2 * second, map[string]time.Duration{"b": second, "c": second}, true},
		"one of an unresolved renewal did not": {[]string{"b"}, []string{"c"}, 2 * second, map[string]time.Duration{"b": second}, false},
		"one that it dropped did not":          {[]string{"b", "c"}, []string{"b"}, 2 * second, map[string]time.Duration{"b": second}, false},
		"no witnesses":                         {nil, nil, 9 * second, nil, true},
		"no witnesses, too long":               {nil, nil, 10 * second, nil, false},
		"all replied, too long":                {[]string{"b"}, nil, 10 * second, map[string]time.Duration{"b": second}, false},
	} {
		t.Run(name, func(t *testing.T) {
			inSimulatedTime(t, func(t *testing.T) {
				term := NewTerm(3, func() {})
				term.witnesses.named, term.witnesses.proposed = c.named, c.proposed
				time.Sleep(c.confirmedAgo)
				for name, ago := range c.replies {
					term.NoteWitness(name, cell.BootTime()-ago)
				}
				require.Equal(t, c.may, term.MayExtendLeases())
			})
		})
	}
}

// Guards against witnesses that an unresolved renewal has named and that are not asked.
func TestWitnessesOfAnUnresolvedRenewalStay(t *testing.T) {
	inSimulatedTime(t, func(t *testing.T) {
		term := NewTerm(3, func() {})
		require.Equal(t, []string{"b"}, term.proposeWitnesses([]string{"b"}))
		term.Confirm(cell.BootTime())
		require.Equal(t, []string{"c"}, term.proposeWitnesses([]string{"c"}))
		require.Equal(t, []string{"c"}, term.proposeWitnesses([]string{"d"}), "the record that names c may be appended")
		require.Equal(t, []string{"b", "c"}, term.Witnesses())
		term.Confirm(cell.BootTime())
		require.Equal(t, []string{"c"}, term.Witnesses())
		require.Equal(t, []string{"d"}, term.proposeWitnesses([]string{"d"}))
	})
}

// Guards against a successor that is not asked since it has not joined the new holder yet.
func TestFirstWitnesses(t *testing.T) {
	previous := process("a", "1")
	previous.Epoch, previous.Witnesses = 1, []string{"b@b:1", "c@c:1"}
	own := ClaimAfter(&previous, process("b", "1"), time.Minute, time.Hour)
	require.Equal(t, []string{"a@a:1", "c@c:1"}, own.Witnesses)
	require.Equal(t, own.Witnesses, BeginTerm(&previous, own, time.Minute, time.Hour, func() {}).Witnesses())
	first := ClaimAfter(nil, process("b", "1"), time.Minute, time.Hour)
	require.Empty(t, first.Witnesses)

	inSimulatedTime(t, func(t *testing.T) {
		e := New(Options{Log: logr.Discard(), Self: process("b", "1"), Witnesses: func() []string { return []string{"d@d:1", "b@b:1"} }})
		term := NewTerm(2, func() {})
		require.Equal(t, []string{"a@a:1", "c@c:1", "d@d:1"}, e.liveWitnesses(term, own, own.Witnesses))
		time.Sleep(firstWitnessesPeriod)
		require.Equal(t, []string{"d@d:1"}, e.liveWitnesses(term, own, own.Witnesses))
	})
}

// Guards against a host that confirms a holder after it may have claimed, or that did so in an earlier process.
func TestWhichHolderAHostConfirms(t *testing.T) {
	for name, c := range map[string]struct {
		prepare   func(e *Elector)
		uptime    time.Duration
		confirmed bool
	}{
		"the newest holder":         {func(*Elector) {}, time.Hour, true},
		"a holder of another epoch": {func(e *Elector) { e.holder.Epoch = 5 }, time.Hour, false},
		"it has resigned":           {func(e *Elector) { e.holder.Resigned = true }, time.Hour, false},
		"none is known":             {func(e *Elector) { e.holder = nil }, time.Hour, false},
		"it is this process":        {func(e *Elector) { e.holder.Incarnation = "b1" }, time.Hour, false},
		"this process has claimed":  {func(e *Elector) { e.beginClaim(e.holder) }, time.Hour, false},
		"the claim was refused":     {func(e *Elector) { e.beginClaim(e.holder); e.withdrawClaim() }, time.Hour, true},
		"an earlier claim":          {func(e *Elector) { e.claimedEpoch = 4 }, time.Hour, true},
		"an earlier process may":    {func(*Elector) {}, MaxConfirmationAge - time.Millisecond, false},
		"start not known":           {func(e *Elector) { e.opts.StartedAt = 0 }, time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			inSimulatedTime(t, func(t *testing.T) {
				e := New(Options{Log: logr.Discard(), Self: process("b", "1"), StartedAt: cell.BootTime() - c.uptime + time.Nanosecond})
				holder := process("a", "1")
				holder.Epoch = 4
				e.holder = &holder
				c.prepare(e)
				require.Equal(t, c.confirmed, e.Confirms(4))
				if c.confirmed {
					time.Sleep(time.Second)
					require.Equal(t, cell.BootTime()-time.Second, e.beginClaim(e.holder).WitnessedAt)
				} else if e.holder != nil {
					require.Zero(t, e.beginClaim(e.holder).WitnessedAt)
				}
			})
		})
	}
}
