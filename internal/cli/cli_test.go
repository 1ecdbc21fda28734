package cli

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	kongcompletion "github.com/jotaen/kong-completion"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/dev"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// samplesDir is the sample configuration in version control.
const samplesDir = "../../samples/configuration"

// startTimeout bounds the start of the cell.
const startTimeout = 30 * time.Second

// cell is a running system that the tests of all commands share.
type cell struct {
	platform             *dev.Platform
	cell                 *dev.Cell
	callers, operators   string
	token, failureDomain string
}

// sharedCell starts the cell at its first use.
var sharedCell = sync.OnceValues(func() (*cell, error) {
	domains := dev.NewFailureDomains(1, 1, 1)
	platform, err := dev.StartPlatform(dev.OrderDesk.Workers(domains), standin.WorkerOptions{})
	if err != nil {
		return nil, err
	}
	if err := platform.Publish(contract.Sample()); err != nil {
		return nil, err
	}
	all, err := platform.Settings(domains)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	running, err := dev.StartCell(ctx, all, logr.Discard())
	if err != nil {
		return nil, err
	}
	var operators []string
	for _, s := range all {
		operators = append(operators, s.Listen.Operators)
	}
	return &cell{platform, running, strings.Join(running.CallerAddresses(), ","), strings.Join(operators, ","),
		all[0].OperatorToken, all[0].EntryHosts[0].FailureDomain}, nil
})

// started tells TestMain whether there is a cell to stop.
var started bool

func startedCell(t *testing.T) *cell {
	t.Helper()
	started = true
	c, err := sharedCell()
	require.NoError(t, err)
	return c
}

func TestMain(m *testing.M) {
	code := m.Run()
	if started {
		if c, err := sharedCell(); err == nil {
			_ = c.cell.Stop()
			c.platform.Close()
		}
	}
	os.Exit(code)
}

// result is what a command left behind.
type result struct {
	code           int
	stdout, stderr string
}

// runWith runs a command line, whose words are separated by spaces. The words
// CALLERS, OPERATORS, TOKEN, SAMPLES and TMP are replaced.
func runWith(t *testing.T, stdin, line string, words map[string]string) result {
	t.Helper()
	t.Setenv("LABURNUMPASS_AUTHOR", "alice")
	args := strings.Fields(line)
	for i, a := range args {
		for word, value := range words {
			a = strings.ReplaceAll(a, word, value)
		}
		args[i] = a
	}
	var stdout, stderr bytes.Buffer
	code := run(globals{ctx: t.Context(), stdin: strings.NewReader(stdin), stdout: &stdout, stderr: &stderr}, args)
	return result{code, stdout.String(), stderr.String()}
}

func (c *cell) words(t *testing.T) map[string]string {
	return map[string]string{"CALLERS": c.callers, "OPERATORS": c.operators, "TOKEN": c.token,
		"SAMPLES": samplesDir, "TMP": t.TempDir()}
}

// command is one case of a table: a command line, its exit code, and texts that
// standard output and standard error contain.
type command struct {
	name, line, stdin string
	code              int
	stdout, stderr    []string
}

func runTable(t *testing.T, words map[string]string, table []command) {
	t.Helper()
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			got := runWith(t, c.stdin, c.line, words)
			require.Equal(t, c.code, got.code, "stdout: %s\nstderr: %s", got.stdout, got.stderr)
			for _, text := range c.stdout {
				require.Contains(t, got.stdout, text)
			}
			for _, text := range c.stderr {
				require.Contains(t, got.stderr, text)
			}
		})
	}
}

// fake serves an operators' or callers' API and returns its address.
func fake(t *testing.T, handler func(*fasthttp.RequestCtx)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: handler}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return l.Addr().String()
}

// closedAddress is an address on which nothing listens. A port that was only
// closed could be given to another listener.
const closedAddress = "127.0.0.1:1"

// configurationDir copies the samples and applies changes: a file with empty
// content is removed.
func configurationDir(t *testing.T, changes map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(samplesDir)))
	for path, content := range changes {
		path = filepath.Join(dir, path)
		if content == "" {
			require.NoError(t, os.Remove(path))
			continue
		}
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	}
	return dir
}

// TestUsage guards against commands that can't be parsed, lack an example, or
// report a wrong command line with another code than 2.
func TestUsage(t *testing.T) {
	for _, name := range []string{"validate", "settings", "submit", "status", "cancel", "diff", "publish", "list",
		"history", "hosts", "workers", "drain", "timeline", "dev", "standins", "demo", "bench", "completion"} {
		help := captureHelp(t, name)
		require.Regexp(t, "Examples?:", help, name)
		require.Contains(t, help, "laburnumpass "+name, name)
	}
	runTable(t, nil, []command{
		{name: "unknown command", line: "nothing", code: exitUsage, stderr: []string{"unexpected argument nothing"}},
		{name: "no address", line: "list --token x", code: exitUsage, stderr: []string{"--operator"}},
		{name: "host name", line: "list --token x --operator localhost:1", code: exitUsage, stderr: []string{"not an IP address"}},
		{name: "unknown kind", line: "history task x --token x --operator 127.0.0.1:1", code: exitUsage, stderr: []string{"kind"}},
		{name: "negative limit", line: "timeline --limit=-1 --token x --operator 127.0.0.1:1", code: exitUsage, stderr: []string{"limit"}},
		{name: "unknown shell", line: "completion csh", code: exitUsage, stderr: []string{"shell"}},
		{name: "unknown sample", line: "settings --sample none-such", code: exitUsage, stderr: []string{"laptop"}},
		{name: "defaults", line: "settings", stdout: []string{`"log_retention_seconds": 86400`}},
		{name: "sample", line: "settings --sample laptop", stdout: []string{`"host": "fd-a-1"`}},
		{name: "other host", line: "settings --sample order-desk --host muehlviertel-a-2",
			stdout: []string{`"host": "muehlviertel-a-2"`, `"callers": "192.0.2.17:7101"`, `"operators": "192.0.2.17:7103"`}},
		{name: "other host of a file", line: "settings --from ../../samples/laptop.json --host fd-c-2", stdout: []string{`"callers": "127.0.0.6:7101"`}},
		{name: "two sources", line: "settings --from ../../samples/laptop.json --sample laptop", code: exitUsage, stderr: []string{"can't be used together"}},
		{name: "host of no source", line: "settings --host fd-c-2", code: exitUsage, stderr: []string{"--host needs"}},
		{name: "host of no deployment", line: "settings --sample laptop --host x", code: exitUsage, stderr: []string{"not in entry_hosts"}},
		{name: "dev on other addresses", line: "dev --settings ../../samples/order-desk/innviertel-a-1.json", code: exitFailed,
			stderr: []string{"192.0.2.111:7201 is not a loopback address"}},
	})
}

// TestCompletion guards against a command tree that the completion library does
// not understand. The command itself can't be run here: the library ends the
// process.
func TestCompletion(t *testing.T) {
	parser, err := newParser(&commands{}, io.Discard, io.Discard)
	require.NoError(t, err)
	tree, err := kongcompletion.Command(parser)
	require.NoError(t, err)
	require.Contains(t, tree.Sub, "publish")
	require.Contains(t, tree.Sub["publish"].GlobalFlags, "--dry-run")
}

// captureHelp returns the help of a command without ending the process.
func captureHelp(t *testing.T, name string) string {
	t.Helper()
	var out bytes.Buffer
	parser, err := newParser(&commands{}, &out, &out)
	require.NoError(t, err)
	parser.Exit = func(int) {}
	_, _ = parser.Parse([]string{name, "--help"})
	return out.String()
}

func copyQuotas(from, to string) error {
	if err := os.Mkdir(filepath.Join(to, "quotas"), 0o700); err != nil {
		return err
	}
	for _, name := range []string{"planning.json", "quality.json", "sales.json"} {
		data, err := os.ReadFile(filepath.Join(from, "quotas", name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, "quotas", name), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}
