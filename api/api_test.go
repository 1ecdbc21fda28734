package api

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const uuid7 = "0192f0c1-0a2b-7c3d-8e4f-0123456789ab"

// TestParseID guards against accepting two spellings of one ID, and UUIDs that
// do not contain a creation time.
func TestParseID(t *testing.T) {
	for _, test := range []struct {
		id, home string
		err      error
	}{
		{"zone-1/" + uuid7, "zone-1", nil},
		{uuid7, "", nil},
		{"", "", ErrIDForm},
		{"zone/", "", ErrIDForm},
		{"/" + uuid7, "", ErrIDHome},
		{"zone/x/" + uuid7, "", ErrIDForm},
		{"zo#ne/" + uuid7, "", ErrIDHome},
		{"-zone/" + uuid7, "", ErrIDHome},
		{strings.Repeat("z", 64) + "/" + uuid7, "", ErrIDHome},
		{"zone/" + strings.ToUpper(uuid7), "", ErrIDForm},
		{"zone/{" + uuid7 + "}", "", ErrIDForm},
		{"zone/" + strings.ReplaceAll(uuid7, "-", ""), "", ErrIDForm},
		{"zone/" + strings.Replace(uuid7, "7c3d", "4c3d", 1), "", ErrIDVersion},
		{"zone/" + strings.Replace(uuid7, "8e4f", "1e4f", 1), "", ErrIDVersion},
	} {
		id, err := ParseID(test.id)
		require.ErrorIs(t, err, test.err, test.id)
		if test.err == nil {
			require.Equal(t, ID{test.home, time.UnixMilli(0x0192f0c10a2b)}, id)
		}
	}
	before := time.Now().Truncate(time.Millisecond)
	s, err := NewID("zone")
	require.NoError(t, err)
	id, err := ParseID(s)
	require.NoError(t, err)
	require.Equal(t, "zone", id.Home)
	require.WithinRange(t, id.Created, before, time.Now().Add(time.Second))
	_, err = NewID("zo/ne")
	require.ErrorIs(t, err, ErrIDHome)
}

// FuzzParseID guards against a panic and against accepting an ID that is not in
// the canonical form.
func FuzzParseID(f *testing.F) {
	for _, s := range []string{"", "/", uuid7, "zone/" + uuid7, "a/b/" + uuid7, "zone/" + strings.ToUpper(uuid7)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseID(s)
		if err != nil {
			var typed *IDError
			require.ErrorAs(t, err, &typed)
			require.LessOrEqual(t, len(typed.ID), MaxIDBytes)
			return
		}
		require.LessOrEqual(t, len(s), MaxIDBytes)
		uuidText := strings.TrimPrefix(s, id.Home+"/")
		require.Len(t, uuidText, uuidBytes)
		require.Equal(t, strings.ToLower(uuidText), uuidText)
		require.False(t, id.Created.Before(time.UnixMilli(0)))
	})
}

// TestValidate guards against limits that are off by one, against reporting only
// some of the invalid fields, and against a message without the allowed range.
func TestValidate(t *testing.T) {
	good := Request{ID: uuid7, Team: "t", Service: "s", DeadlineMS: MaxDeadlineMS, Members: MaxMembers,
		Resources: Resources{MaxMilliCPU, MaxMemoryMiB, MaxAccelerators}, RunTimeMS: MaxRunTimeMS, Body: make([]byte, MaxBodyBytes)}
	require.NoError(t, good.Validate())
	require.NoError(t, (&Request{ID: uuid7, Team: "t", Service: "s", DeadlineMS: MinDeadlineMS}).Validate())
	for _, bad := range []Request{
		{ID: "x", Team: "", Service: strings.Repeat("s", MaxNameBytes+1), DeadlineMS: 0, Members: -1,
			Resources: Resources{-1, -1, -1}, RunTimeMS: -1, Body: make([]byte, MaxBodyBytes+1)},
		{ID: "x", Team: "a b", Service: "/", DeadlineMS: MaxDeadlineMS + 1, Members: MaxMembers + 1,
			Resources: Resources{MaxMilliCPU + 1, MaxMemoryMiB + 1, MaxAccelerators + 1}, RunTimeMS: MaxRunTimeMS + 1, Body: make([]byte, MaxBodyBytes+1)},
	} {
		var list ValidationError
		require.ErrorAs(t, bad.Validate(), &list)
		var fields []string
		for _, f := range list {
			fields = append(fields, f.Field)
			require.NotEmpty(t, f.Allowed)
		}
		require.Equal(t, []string{"id", "team", "service", "deadline_ms", "resources.milli_cpu", "resources.memory_mib",
			"resources.accelerators", "members", "run_time_ms", "body"}, fields)
		require.ErrorContains(t, bad.Validate(), "1..86400000 ms")
	}
}

// TestVerify guards against accepting an answer that belongs to another request
// or is not complete.
func TestVerify(t *testing.T) {
	body := []byte("answer")
	whole := Response{ID: uuid7, Outcome: Answered, Body: body, Length: len(body), Checksum: Checksum(body)}
	for _, test := range []struct {
		name   string
		change func(*Response)
		err    error
	}{
		{"whole", func(*Response) {}, nil},
		{"body dropped", func(r *Response) { r.Body, r.BodyDropped = nil, true }, nil},
		{"not run", func(r *Response) { *r = Response{ID: uuid7, Outcome: NotRun, Reason: ReasonQuota} }, nil},
		{"other ID", func(r *Response) { r.ID = "zone/" + uuid7 }, ErrOtherRequest},
		{"truncated", func(r *Response) { r.Body = r.Body[:3] }, ErrIncomplete},
		{"truncated to nothing", func(r *Response) { r.Body = nil }, ErrIncomplete},
		{"damaged", func(r *Response) { r.Body = []byte("answeR") }, ErrIncomplete},
		{"no outcome", func(r *Response) { r.Outcome = "" }, ErrOutcome},
		{"not run with a body", func(r *Response) { r.Outcome = NotRun }, ErrOutcome},
	} {
		r := whole
		test.change(&r)
		require.ErrorIs(t, r.Verify(uuid7), test.err, test.name)
	}
}
