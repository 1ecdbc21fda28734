package cli

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/api"
)

// TestRequestCommands guards against output or exit codes from which a script
// would read a wrong outcome, and against sending malformed requests.
func TestRequestCommands(t *testing.T) {
	placeholders := startedCell(t).placeholders(t)
	placeholders["DOWN"] = closedAddress
	id, err := api.NewID("fd-a")
	require.NoError(t, err)
	placeholders["NEW_ID"] = id
	detached, err := api.NewID("fd-b")
	require.NoError(t, err)
	placeholders["DETACHED"] = detached
	batch := `{"team": "research", "service": "batch", "deadline_ms": 600000, "body": "eyJydW5fbXMiOiA2MDAwMH0="}`
	runTable(t, placeholders, []commandCase{
		{name: "answered", line: "submit --id NEW_ID --team sales --service order-desk --body {} -a CALLERS",
			stdout: []string{"answered", "worker", id}},
		{name: "status", line: "status NEW_ID -a CALLERS", stdout: []string{"answered"}},
		{name: "status as JSON", line: "status NEW_ID --output json -a CALLERS", stdout: []string{`"outcome": "answered"`}},
		{name: "cancel after the answer", line: "cancel NEW_ID -a CALLERS", stdout: []string{"answered"}},
		{name: "failed task", line: `submit --team sales --service order-desk --body {"fail":true} -a CALLERS`, code: exitFailed,
			stdout: []string{"answered, the task failed"}},
		{name: "not run", line: "submit --team sales --service none -a CALLERS", code: exitFailed, stdout: []string{"not_run", "invalid"}},
		{name: "detached from stdin", line: "submit -f - --id DETACHED --detach -a CALLERS", stdin: batch, stdout: []string{"pending"}},
		{name: "pending", line: "status DETACHED -a CALLERS", code: exitUnknown, stdout: []string{"pending"}},
		{name: "unknown field", line: "submit -f - -a CALLERS", stdin: `{"crew": "x"}`, code: exitUsage, stderr: []string{"crew"}},
		{name: "text after the request", line: "submit -f - -a CALLERS", stdin: `{}}`, code: exitUsage, stderr: []string{"after the end"}},
		{name: "no team", line: "submit --service order-desk -a CALLERS", code: exitUsage, stderr: []string{"team is"}},
		{name: "two readers of stdin", line: "submit -f - --body-file - -a CALLERS", code: exitUsage, stderr: []string{"both be stdin"}},
		{name: "large body", line: "submit --body-file - --team a --service b -a CALLERS", stdin: strings.Repeat("x", api.MaxBodyBytes+1),
			code: exitUsage, stderr: []string{"more than 1048576 bytes"}},
		{name: "malformed ID", line: "status nope -a CALLERS", code: exitUsage, stderr: []string{"request ID"}},
		{name: "malformed ID to cancel", line: "cancel nope -a CALLERS", code: exitUsage, stderr: []string{"request ID"}},
		{name: "no entry host", line: "cancel NEW_ID -a DOWN", code: exitUnreachable, stderr: []string{"no entry host"}},
	})
}

// TestCancelled guards against an exit code that reports a successful cancel as a
// failure, or a request that was not run for another reason as cancelled.
func TestCancelled(t *testing.T) {
	id, err := api.NewID("fd-a")
	require.NoError(t, err)
	for reason, code := range map[api.Reason]int{api.ReasonCancelled: exitOK, api.ReasonDeadline: exitFailed} {
		address := serveFakeAPI(t, func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == api.PathHome {
				ctx.SetBodyString(`{"failure_domain": "fd-a"}`)
				return
			}
			data, _ := json.Marshal(api.Response{ID: id, Outcome: api.NotRun, Reason: reason, RetryAfterMS: 7, Detail: "a\x1b[2Jb"})
			ctx.SetBody(data)
		})
		got := runLine(t, "", "cancel "+id+" -a "+address, nil)
		require.Equal(t, code, got.code)
		require.Contains(t, got.stdout, "retry after  7 ms")
		require.NotContains(t, got.stdout, "\x1b", "control characters reach the terminal")
	}
}

// FuzzParseRequest guards against request files that crash the command, and
// against requests that change when they are encoded and parsed again.
func FuzzParseRequest(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := parseRequest(data)
		if err != nil {
			return
		}
		_ = r.Validate()
		encoded, err := json.Marshal(r)
		require.NoError(t, err)
		decoded, err := parseRequest(encoded)
		require.NoError(t, err)
		reencoded, err := json.Marshal(decoded)
		require.NoError(t, err)
		require.Equal(t, string(encoded), string(reencoded))
	})
}
