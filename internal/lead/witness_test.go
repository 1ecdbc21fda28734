package lead

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
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
			read.SentBy, read.WitnessedAt = readAt, c.witnessedAt
			own := ClaimAfter(read, c.self, c.startedAt, claimedAt)
			term := BeginTerm(read, own, c.startedAt, claimedAt, func() {})
			require.Equal(t, c.until, term.Predecessors()[0].ActsUntil(MaxConfirmationAge))
			require.Equal(t, min(c.until, readAt+500*time.Millisecond), min(term.Predecessors()[0].ActsUntil(500*time.Millisecond), readAt+500*time.Millisecond))

			next := stored(t, &own)
			next.SentBy = claimedAt
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
		propose := func(live ...string) []string {
			own := process("a", "1")
			term.proposeWitnesses(&own, live)
			require.False(t, own.WitnessesPending)
			return own.Witnesses
		}
		require.Equal(t, []string{"b"}, propose("b"))
		term.Confirm(cell.BootTime())
		require.Equal(t, []string{"c"}, propose("c"))
		require.Equal(t, []string{"c"}, propose("d"), "the record that names c may be appended")
		require.Equal(t, []string{"b", "c"}, term.Witnesses())
		term.Confirm(cell.BootTime())
		require.Equal(t, []string{"c"}, term.Witnesses())
		require.Equal(t, []string{"d"}, propose("d"))
	})
}

// Guards against a wait for MaxConfirmationAge after a holder that nobody has joined yet, and against leases that such a holder extends.
func TestPendingWitnesses(t *testing.T) {
	inSimulatedTime(t, func(t *testing.T) {
		claimedAt := cell.BootTime()
		own := ClaimAfter(nil, process("a", "1"), time.Minute, claimedAt)
		require.True(t, own.WitnessesPending)
		term := BeginTerm(nil, own, time.Minute, claimedAt, func() {})
		until := func(h *Holder) time.Duration {
			read := stored(t, h)
			read.SentBy = claimedAt
			return predecessorsOf(read, process("b", "1"), claimedAt+time.Second, time.Minute)[0].ActsUntil(MaxConfirmationAge)
		}
		require.Equal(t, claimedAt+SoleExtensionAge, until(&own), "any host may count on that")

		renew := func() { term.proposeWitnesses(&own, []string{"c@c:1"}) }
		renew()
		require.True(t, own.WitnessesPending, "other hosts have yet to join")
		term.Confirm(cell.BootTime())
		time.Sleep(firstWitnessesPeriod)
		renew()
		require.False(t, own.WitnessesPending)
		require.Equal(t, claimedAt+MaxConfirmationAge, until(&own))
		require.Equal(t, []string{"c@c:1"}, term.Witnesses())
		term.NoteWitness("c@c:1", cell.BootTime())
		require.False(t, term.MayExtendLeases(), "the last record that was appended may be the one before")
		term.Confirm(cell.BootTime())
		time.Sleep(2 * time.Second)
		term.NoteWitness("c@c:1", cell.BootTime())
		require.True(t, term.MayExtendLeases())

		second := ClaimAfter(stored(t, &own), process("b", "1"), time.Minute, cell.BootTime())
		require.False(t, second.WitnessesPending)
	})
}

// Guards against a host that confirms the holder before a claim of its own that may be appended.
func TestClaimEndsConfirmations(t *testing.T) {
	for name, c := range map[string]struct {
		fault     storetest.Fault
		renewed   bool
		confirmed bool
	}{
		"the reply is lost":      {storetest.DropReply, false, false},
		"the request is lost":    {storetest.DropRequest, false, false},
		"the holder has renewed": {storetest.NoFault, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			inSimulatedTime(t, func(t *testing.T) {
				m := &storetest.Memory{}
				holder := process("a", "1")
				holder.Epoch, holder.Witnesses = 4, []string{"b@b:1"}
				write := func() {
					value, err := json.Marshal(holder)
					require.NoError(t, err)
					_, err = m.Append(t.Context(), store.Append{Topic: "lead", Records: []store.Record{{Key: recordKey, Value: value}}})
					require.NoError(t, err)
				}
				write()
				e := New(Options{Log: logr.Discard(), Store: m, Topic: "lead", Self: process("b", "1"), StartedAt: cell.BootTime() - time.Hour + time.Nanosecond})
				e.load(t.Context())
				require.True(t, e.Confirms(4))
				m.SetFault(func(call, _ string) storetest.Fault {
					if call != "append" {
						return storetest.NoFault
					}
					if c.renewed {
						m.SetFault(nil)
						write()
					} else {
						m.SetFault(func(string, string) storetest.Fault { return storetest.DropRequest })
					}
					return c.fault
				})
				own, _, _ := e.claim(t.Context())
				require.Nil(t, own)
				m.SetFault(nil)
				require.Equal(t, c.confirmed, e.Confirms(4))
			})
		})
	}
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

// Guards against workers that count as newcomers after holders that kept no records of processes.
func TestSeriesOfProcessRecords(t *testing.T) {
	for name, c := range map[string]struct {
		previous *Holder
		since    int64
	}{
		"first holder":              {nil, 1},
		"after one of the series":   {&Holder{Host: "a", Epoch: 4, ProcessRecordsSince: 2}, 2},
		"after one that keeps none": {&Holder{Host: "a", Epoch: 4}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			own := ClaimAfter(c.previous, process("b", "1"), time.Minute, time.Hour)
			require.Equal(t, c.since, own.ProcessRecordsSince)
			require.Equal(t, c.since, BeginTerm(c.previous, own, time.Minute, time.Hour, func() {}).ProcessRecordsSince)
		})
	}
}

// Guards against holder records that grow with the number of hosts.
func TestFewWitnessesAreNamed(t *testing.T) {
	var names []string
	for n := range 3 * maxWitnesses {
		names = append(names, WitnessName(fmt.Sprintf("host-%02d", 99-n), "x"))
	}
	selected := selectWitnesses(append(names, names...), Holder{Host: "host-99", Address: "x"})
	require.Len(t, selected, maxWitnesses)
	require.Equal(t, names[maxWitnesses], selected[0])
	require.Equal(t, names[1], selected[maxWitnesses-1])
}
