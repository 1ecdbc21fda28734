package contract

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// applyRecord applies a record as the next one of the log.
func applyRecord(t require.TestingT, c *Configuration, r Record) (*Configuration, Result) {
	data, err := r.Encode()
	require.NoError(t, err)
	return c.Apply(c.Offset()+1, data)
}

// configurationOf returns an empty configuration to which the records of a set
// were applied.
func configurationOf(t require.TestingT, s ObjectSet) *Configuration {
	c := EmptyConfiguration()
	records, err := Diff(c, s)
	require.NoError(t, err)
	for i, r := range records {
		r.PublishID = fmt.Sprint("sample-", i)
		var result Result
		c, result = applyRecord(t, c, r)
		require.Equal(t, StatusAccepted, result.Status, result.Fields)
	}
	return c
}

// TestCheckReportsEveryField guards against invalid values that are accepted,
// in whole or in part, and against validation that reports only the first
// error.
func TestCheckReportsEveryField(t *testing.T) {
	quota := `{"slots": 10, "weight": 5}`
	profile := string(marshal(Sample().Profiles["batch"]))
	for _, tc := range []struct {
		kind        Kind
		name, value string
		paths       string
	}{
		{KindQuota, "sales", quota, ""},
		{KindQuota, "sales", `{"slots": 0, "weight": 1001, "extra": 1}`, "extra slots weight"},
		{KindQuota, "sales", `{"Slots": 5, "slots": 5, "weight": 1}`, "Slots"},
		{KindQuota, "sales", `{"slots": 5, "slots": 6, "weight": 1}`, "slots"},
		{KindQuota, "sales", `{"slots": "5", "weight": 1.5}`, "slots weight"},
		{KindQuota, "sales", `{"slots": null, "weight": 1}`, "slots"},
		{KindQuota, "sales", quota + "x", "- slots weight"},
		{KindQuota, "sales", quota + strings.Repeat(" ", maxValueBytes), "-"},
		{KindService, "desk", `{"kind": "batch", "profile": "batch", "run_time_ms": 1,
			"resources": {"milli_cpu": 1, "memory_mib": 1, "accelerators": null}}`, "resources.accelerators"},
		{KindQuota, "../sales", quota, "name"},
		{"team", "sales", quota, "kind"},
		{KindService, "desk", `{"kind": "request", "profile": "none", "resources": {"milli_cpu": 0, "gpus": 1}, "run_time_ms": 1}`,
			"resources.gpus resources.milli_cpu resources.memory_mib profile"},
		{KindProfile, "batch", profile, ""},
		{KindProfile, "batch", strings.Replace(profile, `"guaranteed_percent":10`, `"guaranteed_percent":31`, 1), "queue.guaranteed_percent"},
		{KindProfile, "batch", strings.NewReplacer(`"priority":10`, `"priority":101`, `"limit":50000`, `"limit":0`,
			`"pack"`, `"heap"`, `"checkpoint"`, `"throttle"`).Replace(profile), "placement.strategy queue.priority queue.limit overrun[1]"},
	} {
		err := configurationOf(t, Sample()).Check(Record{PublishID: "p", Kind: tc.kind, Name: tc.name, Value: json.RawMessage(tc.value)})
		var paths []string
		if err != nil {
			for _, f := range err.(*ValidationError).Fields {
				require.NotEmpty(t, f.Allowed)
				paths = append(paths, cmp.Or(f.Path, "-"))
			}
		}
		require.Equal(t, tc.paths, strings.Join(paths, " "), "%s", tc.value)
	}
}

// TestApplyRejectedRecords guards against rejected or repeated records that change
// an object, and against a lost race that is reported with the wrong winner.
func TestApplyRejectedRecords(t *testing.T) {
	base := configurationOf(t, Sample())
	v := base.Version(KindQuota, "sales")
	good := Record{PublishID: "p1", Kind: KindQuota, Name: "sales", BasedOn: v, Value: []byte(`{"slots":7,"weight":1}`), Author: "ada"}
	base, result := applyRecord(t, base, good)
	require.Equal(t, StatusAccepted, result.Status)
	now := base.Version(KindQuota, "sales")
	for name, tc := range map[string]struct {
		change func(r *Record)
		status Status
	}{
		"old base":             {func(r *Record) { r.PublishID = "p2" }, StatusLostRace},
		"no base":              {func(r *Record) { r.PublishID, r.BasedOn = "p2", 0 }, StatusLostRace},
		"invalid":              {func(r *Record) { r.PublishID, r.BasedOn, r.Value = "p2", now, []byte(`{}`) }, StatusInvalid},
		"repeated":             {func(r *Record) {}, StatusAccepted},
		"ID of another record": {func(r *Record) { r.BasedOn = now }, StatusInvalid},
		"delete of a referenced profile": {func(r *Record) {
			*r = Record{PublishID: "p2", Kind: KindProfile, Name: "batch", Delete: true, BasedOn: base.Version(KindProfile, "batch")}
		}, StatusInvalid},
		"delete of a missing object": {func(r *Record) { *r = Record{PublishID: "p2", Kind: KindQuota, Name: "none", Delete: true} }, StatusInvalid},
		"author too long":            {func(r *Record) { r.PublishID, r.BasedOn, r.Author = "p2", now, strings.Repeat("a", 129) }, StatusInvalid},
	} {
		r := good
		tc.change(&r)
		next, result := applyRecord(t, base, r)
		require.Equal(t, tc.status, result.Status, name)
		require.Equal(t, base.Offset()+1, next.Offset(), name)
		require.Equal(t, base.List(""), next.List(""), name)
		if tc.status == StatusLostRace {
			require.Equal(t, now, result.WinnerOffset, name)
			require.Equal(t, "ada", result.WinnerAuthor, name)
		}
	}
	// A rejected creation must stay rejected when it is repeated after the object
	// was deleted, because its author was told that it lost the race.
	late := Record{PublishID: "late", Kind: KindQuota, Name: "sales", Value: good.Value}
	c, _ := applyRecord(t, base, late)
	c, result = applyRecord(t, c, Record{PublishID: "del", Kind: KindQuota, Name: "sales", BasedOn: now, Delete: true})
	require.Equal(t, StatusAccepted, result.Status)
	c, result = applyRecord(t, c, late)
	require.Equal(t, StatusLostRace, result.Status)
	require.Zero(t, c.Version(KindQuota, "sales"))
	require.Len(t, c.History(KindQuota, "sales"), 3)
}

// TestApplyNeverFails guards against Apply failing, panicking or depending on
// anything but the record's bytes. The records are random data, truncated
// snapshots and snapshots of a later offset, some of them after a gap in the
// offsets.
func TestApplyNeverFails(t *testing.T) {
	base := configurationOf(t, Sample())
	laterSnapshot := base.SkipTo(base.Offset() + 5).Snapshot().Encode()
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.OneOf(rapid.SliceOf(rapid.Byte()), rapid.Just(laterSnapshot), rapid.Custom(func(t *rapid.T) []byte {
			valid := Snapshot{Offset: 1, State: base.Snapshot().State}.Encode()
			cut := rapid.IntRange(0, len(valid)).Draw(t, "cut")
			return append(valid[:cut:cut], rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "tail")...)
		})).Draw(t, "data")
		next, _ := base.Apply(base.Offset()+1, data)
		require.Equal(t, base.Offset()+1, next.Offset())
		require.Equal(t, base.List(""), next.List(""))
		same, result := base.Apply(base.Offset()+2, data)
		require.Equal(t, StatusOutOfOrder, result.Status)
		require.Same(t, base, same)
	})
}

// TestSnapshotChecks guards against a snapshot that brings in a state that
// Apply would never accept.
func TestSnapshotChecks(t *testing.T) {
	object := func(kind Kind, value any) snapshotObject {
		return snapshotObject{kind, "x", []Change{{Offset: 3, Value: marshal(value)}}}
	}
	quota := object(KindQuota, Quota{1, 1})
	tooNew := Outcome{PublishID: "p", Offset: 9}
	for name, tc := range map[string]struct {
		offset uint64
		state  snapshotState
		ok     bool
	}{
		"good":                         {8, snapshotState{Objects: []snapshotObject{quota}}, true},
		"offset not before its record": {9, snapshotState{}, false},
		"repeated object":              {8, snapshotState{Objects: []snapshotObject{quota, quota}}, false},
		"invalid value":                {8, snapshotState{Objects: []snapshotObject{object(KindQuota, Quota{0, 1})}}, false},
		"unknown key":                  {8, snapshotState{Objects: []snapshotObject{object(KindQuota, map[string]int{"slots": 1, "weight": 1, "x": 1})}}, false},
		"unknown profile":              {8, snapshotState{Objects: []snapshotObject{object(KindService, Sample().Services["batch"])}}, false},
		"version too high":             {2, snapshotState{Objects: []snapshotObject{quota}}, false},
		"history empty":                {8, snapshotState{Objects: []snapshotObject{{Kind: KindQuota, Name: "x"}}}, false},
		"publish ID too new":           {8, snapshotState{Published: []Outcome{tooNew}}, false},
	} {
		s := Snapshot{Offset: tc.offset, State: compress(marshal(tc.state))}
		_, err := DecodeSnapshot(9, s.Encode())
		require.Equal(t, tc.ok, err == nil, "%s: %v", name, err)
		bridged := EmptyConfiguration().SkipTo(8)
		_, result := bridged.Apply(9, s.Encode())
		require.Equal(t, tc.ok, result.Base != nil, name)
	}
}

// TestReplayProperties guards against two records based on the same version that
// both win, and against a snapshot that loses or changes something on which a
// later record depends.
func TestReplayProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := EmptyConfiguration()
		records := [][]byte{}
		winners := map[string]int{}
		states := []*Configuration{c}
		sent := []Record{}
		for i := range rapid.IntRange(1, 40).Draw(t, "records") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			r := Record{PublishID: fmt.Sprint("p", i), Kind: KindQuota, Name: name, Author: "ada",
				// The operator may have read the object at any earlier offset.
				BasedOn: rapid.SampledFrom(states).Draw(t, "seen").Version(KindQuota, name),
				Value:   marshal(Quota{Slots: rapid.IntRange(0, 5).Draw(t, "slots"), Weight: 1})}
			if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
				r.Delete, r.Value = true, nil
			}
			if len(sent) > 0 && rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
				r = rapid.SampledFrom(sent).Draw(t, "repeated")
			}
			sent = append(sent, r)
			data, err := r.Encode()
			require.NoError(t, err)
			before := c.Version(KindQuota, r.Name)
			next, result := c.Apply(c.Offset()+1, data)
			if changed := next.Version(KindQuota, r.Name) != before; changed {
				require.Equal(t, StatusAccepted, result.Status)
				require.False(t, result.Duplicate)
				require.Equal(t, r.BasedOn, before)
				if r.BasedOn > 0 {
					winners[fmt.Sprint(r.Name, r.BasedOn)]++
				}
			} else {
				require.True(t, result.Duplicate || result.Status != StatusAccepted)
			}
			c = next
			records = append(records, data)
			states = append(states, c)
		}
		for base, n := range winners {
			require.Equal(t, 1, n, base)
		}
		snapshotIndex := rapid.IntRange(0, len(records)).Draw(t, "snapshot")
		restored, err := DecodeSnapshot(0, states[snapshotIndex].Snapshot().Encode())
		require.NoError(t, err)
		for _, data := range records[snapshotIndex:] {
			restored, _ = restored.Apply(restored.Offset()+1, data)
		}
		require.Equal(t, string(c.Snapshot().Encode()), string(restored.Snapshot().Encode()))
	})
}

// TestMemoryIsBounded guards against publish IDs and deleted objects that are
// kept forever, and against a configuration restored from a snapshot that
// forgets other ones than the original.
func TestMemoryIsBounded(t *testing.T) {
	c := EmptyConfiguration()
	for i := range publishWindow + 300 {
		c, _ = applyRecord(t, c, Record{PublishID: fmt.Sprint("p", i), Kind: KindQuota, Name: fmt.Sprint("q", i), Value: []byte(`{"slots":1,"weight":1}`)})
		c, _ = applyRecord(t, c, Record{PublishID: fmt.Sprint("d", i), Kind: KindQuota, Name: fmt.Sprint("q", i), BasedOn: c.Offset(), Delete: true})
	}
	var s snapshotState
	gz, err := gzip.NewReader(bytes.NewReader(c.Snapshot().State))
	require.NoError(t, err)
	require.NoError(t, json.NewDecoder(gz).Decode(&s))
	require.Len(t, s.Objects, maxDeleted)
	require.Len(t, s.Published, publishWindow)
	restored, err := DecodeSnapshot(0, c.Snapshot().Encode())
	require.NoError(t, err)
	require.Equal(t, c.Snapshot(), restored.Snapshot())
	for i := range publishWindow + 300 {
		_, before := c.Published(fmt.Sprint("p", i))
		_, after := restored.Published(fmt.Sprint("p", i))
		require.Equal(t, before, after, i)
	}
	kept := 0
	for range c.published.all {
		kept++
	}
	require.Less(t, kept, 2*publishWindow)
}

// TestDiff guards against a diff that leaves differences, repeats changes or
// orders records so that one is rejected.
func TestDiff(t *testing.T) {
	c := configurationOf(t, Sample())
	unchanged, err := Diff(c, Sample())
	require.NoError(t, err)
	require.Empty(t, unchanged)

	desired := Sample()
	changedProfile := desired.Profiles["urgent"]
	changedProfile.Queue.GuaranteedPercent = 20
	desired.Profiles["urgent"] = changedProfile
	changedProfile.Queue.GuaranteedPercent = 50
	desired.Profiles["a-new"] = changedProfile
	changedService := desired.Services["inspection"]
	changedService.Profile = "a-new"
	desired.Services["inspection"], desired.Services["die-imaging"] = changedService, changedService
	delete(desired.Profiles, "interactive")
	delete(desired.Quotas, "sales")
	_, err = Diff(c, desired)
	require.ErrorContains(t, err, "a sum of 110", "the new and the old profile together exceed 100 in every order")
	changedProfile.Queue.GuaranteedPercent = 30
	desired.Profiles["a-new"] = changedProfile
	records, err := Diff(c, desired)
	require.NoError(t, err)
	for i, r := range records {
		var result Result
		r.PublishID = fmt.Sprint("roll-", i)
		c, result = applyRecord(t, c, r)
		require.Equal(t, StatusAccepted, result.Status, "%+v %v", r, result.Fields)
	}
	unchanged, err = Diff(c, desired)
	require.NoError(t, err)
	require.Empty(t, unchanged)
	require.Len(t, records, 6)
}

// TestLoadDir guards against files that are skipped, and against a set that is
// loaded in part when a file is invalid.
func TestLoadDir(t *testing.T) {
	dir := t.TempDir()
	write := func(path string, data string) {
		require.NoError(t, os.MkdirAll(filepath.Dir(filepath.Join(dir, path)), 0o700))
		require.NoError(t, os.WriteFile(filepath.Join(dir, path), []byte(data), 0o600))
	}
	for _, r := range Sample().records() {
		write(fmt.Sprintf("%ss/%s.json", r.Kind, r.Name), string(r.Value))
	}
	got, err := LoadDir(dir)
	require.NoError(t, err)
	records, err := Diff(configurationOf(t, Sample()), got)
	require.NoError(t, err)
	require.Empty(t, records)

	write("quotas/planning.json", `{"slots": -1, "weight": 1, "colour": 2}`)
	write("services/batch.json", `{"kind": "batch", "profile": "none", "resources": {"milli_cpu": 1, "memory_mib": 1}, "run_time_ms": 1}`)
	got, err = LoadDir(dir)
	for _, want := range []string{"quota/planning: slots: got -1, allowed: 1 to 1000000", "quota/planning: colour", `service/batch: profile: got "none"`} {
		require.ErrorContains(t, err, want)
	}
	require.Empty(t, got)
}

// BenchmarkApply applies publishes to a configuration with 570 quotas and 300
// services, whose window of publish IDs is full in the end.
func BenchmarkApply(b *testing.B) {
	s := Sample()
	for i := range 570 {
		s.Quotas[fmt.Sprint("team-", i)] = Quota{Slots: 100, Weight: 10}
		s.Services[fmt.Sprint("service-", i%300)] = s.Services["batch"]
	}
	c := configurationOf(b, s)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		team := fmt.Sprint("team-", i%570)
		c, _ = applyRecord(b, c, Record{PublishID: fmt.Sprintf("0190c1a2-7d3e-7f00-8000-%012d", i), Kind: KindQuota, Name: team,
			BasedOn: c.Version(KindQuota, team), Value: marshal(Quota{Slots: 1 + i%1000, Weight: 1}), Author: "ada"})
	}
	b.ReportMetric(float64(len(c.Snapshot().Encode())), "snapshot-bytes")
}
