package cli

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/operator"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

// TestTimeline guards against filters that lose events, and against a timeline
// that looks complete although hosts are missing or have dropped events.
func TestTimeline(t *testing.T) {
	placeholders := startedCell(t).placeholders(t)
	id, err := api.NewID("fd-a")
	require.NoError(t, err)
	placeholders["NEW_ID"] = id
	placeholders["INCOMPLETE"] = serveFakeAPI(t, func(ctx *fasthttp.RequestCtx) {
		data, err := json.Marshal(operator.Timeline{Missing: []string{"fd-c-1"}, Dropped: map[string]uint64{"fd-a-1": 12},
			Events: []timeline.Event{{Clock: 1 << 16, Host: "fd-a-1", Kind: "joined"}, {Clock: 2 << 16, Host: "fd-b-1", Kind: "rejoin"}}})
		assert.NoError(t, err)
		ctx.SetBody(data)
	})
	runTable(t, placeholders, []commandCase{
		{name: "a request to look at", line: "submit --id NEW_ID --team sales --service order-desk -a CALLERS"},
		{name: "by request", line: "timeline --request NEW_ID" + operatorArgs, stdout: []string{"dispatched", "task_ended", id}},
		{name: "by worker", line: "timeline --worker plain-01" + operatorArgs, stdout: []string{"worker_held"}},
		{name: "by failure domain", line: "timeline --failure-domain fd-c --output json" + operatorArgs, stdout: []string{`"host": "fd-c-1"`}},
		{name: "none", line: "timeline --worker none --output json" + operatorArgs, stdout: []string{`"events": []`}},
		{name: "newest", line: "timeline --limit 1" + operatorArgs, stderr: []string{"older events are not shown"}},
		{name: "incomplete", line: "timeline --token x --operator INCOMPLETE", stdout: []string{"1970-01-01T00:00:00.001Z  fd-a-1  joined"},
			stderr: []string{"could not be asked: fd-c-1", "fd-a-1 has dropped its 12 oldest events"}},
		{name: "unwritable page", line: "timeline --token x --operator INCOMPLETE --html TMP/none/page.html", code: exitFailed, stderr: []string{"write page"}},
	})
	got := runLine(t, "", "timeline --failure-domain fd-c --output json"+operatorArgs, placeholders)
	require.NotContains(t, got.stdout, `"fd-a-1"`)
}

// TestTimelinePage guards against a page that needs other files, interprets text
// from events as markup, or loses the order of events.
func TestTimelinePage(t *testing.T) {
	events := []timeline.Event{
		{Clock: 1 << 16, Host: "b-1", FailureDomain: "b", Kind: "dispatched", Request: "r", Task: "r#0.1", Worker: "w"},
		{Clock: 2 << 16, Host: "a-1", FailureDomain: "a", Kind: "worker_held", Worker: "w", Epoch: 4, Detail: "<script>alert(1)</script>"},
		{Clock: 3 << 16, Host: "b-1", FailureDomain: "b", Kind: "configuration", Offset: 5},
		{Clock: 4 << 16, Host: "b-1", FailureDomain: "b", Kind: "rejoin"},
	}
	path := filepath.Join(t.TempDir(), "page.html")
	require.NoError(t, writePage(path, events, []string{"could not be asked: c-1"}))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	text := string(data)
	require.Equal(t, 2, strings.Count(text, "<line "), "one row for each process")
	require.Equal(t, 4, strings.Count(text, "<circle "))
	require.Less(t, strings.Index(text, ">a-1</text>"), strings.Index(text, ">b-1</text>"))
	require.Less(t, strings.Index(text, "<td>dispatched"), strings.Index(text, "<td>worker_held"))
	require.Contains(t, text, "could not be asked: c-1")
	for _, class := range []string{"task", "lease", "configuration", "host"} {
		require.Contains(t, text, `class="`+class+`"`)
	}
	for _, forbidden := range []string{"<script", "src=", `href="http`, "url(", "ZgotmplZ"} {
		require.NotContains(t, text, forbidden)
	}
}

// TestDrain guards against draining another host than the given one, and against
// a wait that ends before the host has stopped or does not end.
func TestDrain(t *testing.T) {
	drained := make(chan struct{}, 3)
	stops := serveFakeAPI(t, func(ctx *fasthttp.RequestCtx) {
		if len(drained) > 0 {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) { _ = c.Close() })
			return
		}
		assert.Equal(t, "/v1/drain", string(ctx.Path()))
		assert.True(t, ctx.IsPost())
		drained <- struct{}{}
		ctx.SetStatusCode(fasthttp.StatusAccepted)
		ctx.SetConnectionClose()
	})
	stays := serveFakeAPI(t, func(ctx *fasthttp.RequestCtx) {
		if ctx.IsPost() {
			ctx.SetStatusCode(fasthttp.StatusAccepted)
			return
		}
		ctx.SetBodyString("[]")
	})
	runTable(t, map[string]string{"STOPS": stops, "STAYS": stays, "DOWN": closedAddress}, []commandCase{
		{name: "accepted", line: "drain STAYS --token x", stdout: []string{": draining"}},
		{name: "stopped", line: "drain STOPS --token x --wait", stdout: []string{": stopped"}},
		{name: "still draining at timeout", line: "drain STAYS --token x --wait --wait-timeout 1ms --output json", code: exitFailed, stdout: []string{`"draining"`}},
		{name: "down", line: "drain DOWN --token x", code: exitUnreachable},
		{name: "host name", line: "drain localhost:1 --token x", code: exitUsage},
	})
}
