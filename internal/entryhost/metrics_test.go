package entryhost

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/samples"
)

// TestMetricsShowEveryReason guards against a refusal reason that callers can get
// but that has no metric.
func TestMetricsShowEveryReason(t *testing.T) {
	page := metricsPage(t, newTestHost(t))
	reasons := apiReasons(t)
	require.NotEmpty(t, reasons)
	for _, reason := range reasons {
		require.Regexp(t, `(?m)^laburnumpass_requests_outcome_(not_run|unknown)_`+reason+`_total 0$`, page)
	}
}

// TestMetricsAreDocumented guards against a metric that is missing from the
// documentation, and against a documented metric or an alarm on one that no entry
// host exposes.
func TestMetricsAreDocumented(t *testing.T) {
	h := newTestHost(t)
	h.telemetry.observeDuration("requests.duration", 0)
	names := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(metricsPage(t, h)), "\n") {
		names[regexp.MustCompile(`^laburnumpass_([a-z_]+)`).FindStringSubmatch(line)[1]] = true
	}
	for name := range h.telemetry.labeledGauges {
		names[strings.TrimPrefix(exposedMetricName(name), "laburnumpass_")] = true
	}
	require.Equal(t, names, metricsIn(t, "../../docs/metrics.md"))
	for name := range metricsIn(t, "../../docs/OPERATIONS.md") {
		require.True(t, names[name], "there is an alarm on the unknown metric %s", name)
	}
}

// metricsIn returns the metric names in the first column of the tables of a page.
func metricsIn(t *testing.T, path string) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	names := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| (`[^|]+)\\|").FindAllStringSubmatch(string(text), -1) {
		for _, name := range regexp.MustCompile("`([a-z_]+)[`{]").FindAllStringSubmatch(row[1], -1) {
			names[name[1]] = true
		}
	}
	require.NotEmpty(t, names)
	return names
}

func newTestHost(t *testing.T) *Host {
	t.Helper()
	data, err := samples.Settings("laptop")
	require.NoError(t, err)
	s, err := settings.Parse(data)
	require.NoError(t, err)
	h, err := New(s, Platform{}, logr.Discard())
	require.NoError(t, err)
	return h
}

func metricsPage(t *testing.T, h *Host) string {
	t.Helper()
	var page bytes.Buffer
	h.telemetry.writeText(&page)
	return page.String()
}

// apiReasons returns the values of all constants of type Reason in package api.
func apiReasons(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../../api/*.go")
	require.NoError(t, err)
	var out []string
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok {
				return true
			}
			if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Reason" && len(spec.Values) == 1 {
				value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
				require.NoError(t, err)
				out = append(out, value)
			}
			return true
		})
	}
	return out
}
