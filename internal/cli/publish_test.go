package cli

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/internal/configuration"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/operator"
)

const operatorArgs = " --operator OPERATORS --token TOKEN"

// TestConfigurationCommands guards against changes that are lost, made twice or
// made by a dry run, and against deleting objects without --delete. Each case
// depends on the ones before it, and the last publish puts the samples back in
// force.
func TestConfigurationCommands(t *testing.T) {
	cell := startedCell(t)
	placeholders := cell.placeholders(t)
	placeholders["CHANGED"] = configurationDir(t, map[string]string{
		"quotas/sales.json":    "",
		"quotas/new.json":      `{"slots": 5, "weight": 1}`,
		"quotas/research.json": `{"slots": 81, "weight": 10}`,
	})
	placeholders["INVALID"] = configurationDir(t, map[string]string{"quotas/sales.json": `{"slots": -1, "weight": 1}`})
	placeholders["EMPTY"] = t.TempDir()
	runTable(t, placeholders, []commandCase{
		{name: "list", line: "list" + operatorArgs, stdout: []string{"order-desk", "urgent", "applied offset:"}},
		{name: "list a kind", line: "list --kind quota --output json" + operatorArgs, stdout: []string{`"kind": "quota"`, `"version":`}},
		{name: "equal", line: "diff SAMPLES" + operatorArgs, stdout: []string{"no differences"}},
		{name: "equal as JSON", line: "diff SAMPLES --output json" + operatorArgs, stdout: []string{"[]"}},
		{name: "different", line: "diff CHANGED" + operatorArgs, code: exitFailed,
			stdout: []string{"slots: 80 -> 81", "create", "delete  quota  sales"}},
		{name: "dry run", line: "publish CHANGED --dry-run" + operatorArgs,
			stdout: []string{"keep    quota  sales", "2 changes; nothing was published"}},
		{name: "still different", line: "diff CHANGED" + operatorArgs, code: exitFailed},
		{name: "without deletes", line: "publish CHANGED" + operatorArgs, stdout: []string{"2 of 2 changes were accepted"},
			stderr: []string{"is in force on 3 of 3 given entry hosts"}},
		{name: "nothing left", line: "publish CHANGED" + operatorArgs, stdout: []string{"nothing was published"}},
		{name: "with deletes", line: "publish CHANGED --delete -m gone --output json" + operatorArgs,
			stdout: []string{`"action": "delete"`, `"status": "accepted"`}},
		{name: "history", line: "history quota sales" + operatorArgs, stdout: []string{"alice", "gone", "deleted"}},
		{name: "publish samples again", line: "publish SAMPLES --delete -m back" + operatorArgs, stdout: []string{"3 of 3 changes"}},
		{name: "publish a deleted object again", line: "publish CHANGED --delete -m gone" + operatorArgs, stdout: []string{"3 of 3 changes"}},
		{name: "in force again", line: "diff CHANGED" + operatorArgs},
		{name: "restore samples", line: "publish SAMPLES --delete -m back" + operatorArgs, stdout: []string{"3 of 3 changes"}},
		{name: "no history", line: "history quota none" + operatorArgs, code: exitFailed, stderr: []string{"no history of quota/none"}},
		{name: "invalid", line: "publish INVALID" + operatorArgs, code: exitFailed, stderr: []string{"quota/sales: slots: got -1"}},
		{name: "not a configuration", line: "diff EMPTY" + operatorArgs, code: exitFailed, stderr: []string{"has none of the directories"}},
		{name: "wrong token", line: "list --operator OPERATORS --token wrong", code: exitFailed, stderr: []string{"token is missing or wrong"}},
	})
}

// publishServer is a fake operators' API with an empty configuration.
type publishServer struct {
	mu      sync.Mutex
	reports []string
	history string
	ids     []string
}

func (s *publishServer) serve(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch string(ctx.Path()) {
	case "/v1/config":
		ctx.SetBodyString(`{"offset": 9, "objects": []}`)
	case "/v1/config/history":
		ctx.SetBodyString(s.history)
	case "/v1/publish":
		var r contract.Record
		_ = json.Unmarshal(ctx.PostBody(), &r)
		s.ids = append(s.ids, r.PublishID)
		ctx.SetBodyString(s.reports[min(len(s.ids), len(s.reports))-1])
	}
}

// TestPublishOutcomes guards against a misleading message or exit code for a
// change that was not accepted, and against publishing further changes after it.
func TestPublishOutcomes(t *testing.T) {
	accepted, unknown := `{"status":"accepted","offset":10}`, `{"status":"unknown","message":"no reply"}`
	for name, c := range map[string]struct {
		reports []string
		code    int
		text    string
		calls   int
	}{
		"lost race":              {[]string{accepted, `{"status":"lost_race","winner_offset":12,"winner_author":"bob"}`}, exitFailed, "bob published version 12 first", 2},
		"lost to a delete":       {[]string{`{"status":"lost_race"}`}, exitFailed, "another operator deleted", 1},
		"invalid":                {[]string{`{"status":"invalid","fields":[{"object":"quota/a","path":"slots","allowed":"1"}]}`}, exitFailed, "quota/a: slots", 1},
		"log down":               {[]string{`{"status":"unavailable","message":"log is down"}`}, exitFailed, "nothing was published; run publish again later: log is down", 1},
		"unknown":                {[]string{unknown}, exitUnknown, "run the same command again", maxPublishAttempts},
		"unknown, then accepted": {[]string{unknown, accepted}, exitOK, "3 of 3 changes", 4},
		"an old record":          {[]string{`{"status":"accepted","offset":5}`}, exitFailed, "published before and has been replaced", 1},
	} {
		t.Run(name, func(t *testing.T) {
			server := &publishServer{reports: c.reports, history: "null"}
			dir := configurationDir(t, nil)
			quotasDir := t.TempDir()
			require.NoError(t, copyQuotas(dir, quotasDir))
			got := runLine(t, "", "publish "+quotasDir+" --token x --operator "+serveFakeAPI(t, server.serve), nil)
			require.Equal(t, c.code, got.code, got.stdout+got.stderr)
			require.Contains(t, got.stdout, c.text)
			require.Len(t, server.ids, c.calls)
			if c.code != exitOK {
				require.Contains(t, got.stdout, "not_tried")
			}
		})
	}
}

// TestPublishID guards against a publish ID that changes in a retry, and against
// one that stays the same when a deleted object is created again.
func TestPublishID(t *testing.T) {
	r := contract.Record{Kind: contract.KindQuota, Name: "a", Value: json.RawMessage(`{"slots":1,"weight":1}`), Author: "alice"}
	again := r
	again.PublishID = "other"
	id := publishID(r, 4)
	require.Equal(t, id, publishID(again, 4))
	require.LessOrEqual(t, len(id), 64)
	require.NotEqual(t, id, publishID(r, 5))
	again.Comment = "why"
	require.NotEqual(t, id, publishID(again, 4))
	ch := change{record: r}
	require.Equal(t, configuration.StatusAccepted, newPublishResult(ch, operator.PublishReport{Status: "accepted", Offset: 6}, 5).Status)
}

// TestWorkersAndHosts guards against merged reports in which the report of a
// host that does not hold a worker hides its holder, and against commands that
// fail because one host is down.
func TestWorkersAndHosts(t *testing.T) {
	placeholders := startedCell(t).placeholders(t)
	placeholders["DOWN"] = closedAddress
	placeholders["FIRST"], _, _ = strings.Cut(placeholders["OPERATORS"], ",")
	runTable(t, placeholders, []commandCase{
		{name: "workers", line: "workers --failure-domain fd-b" + operatorArgs, stdout: []string{"fd-b-1  yes"}},
		{name: "leaving", line: "workers --leaving --output json" + operatorArgs, stdout: []string{"[]"}},
		{name: "one host's view", line: "workers --failure-domain fd-b --operator FIRST --token TOKEN", stdout: []string{"no"}},
		{name: "hosts", line: "hosts" + operatorArgs, stdout: []string{"fd-a-1  region-1  fd-a            live", "fd-c-1  region-2  fd-c            live"}},
		{name: "one host's view of hosts", line: "hosts --output json --operator FIRST --token TOKEN", stdout: []string{`"reachable"`}},
		{name: "one host is down", line: "hosts --operator DOWN,FIRST --token TOKEN", stdout: []string{"live"}, stderr: []string{"no answer: 127.0.0.1"}},
		{name: "all are down", line: "workers --operator DOWN --token TOKEN", code: exitUnreachable, stderr: []string{"no entry host answered"}},
	})
	held := operator.WorkerStatus{Holder: "b", Held: true, Epoch: 2, Tasks: 3}
	old := operator.WorkerStatus{Holder: "a", Held: true, Epoch: 1, Leaving: true}
	want := held
	want.Leaving = true
	assert.Equal(t, want, mergeWorker(old, held))
	assert.Equal(t, want, mergeWorker(held, old))
}
