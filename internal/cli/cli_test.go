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

// samplesDir is the sample configuration of the repository.
const samplesDir = "../../samples/configuration"

// startTimeout bounds the start of the cell.
const startTimeout = 30 * time.Second

// cell is a running cell that the tests of all commands share.
type cell struct {
	platform             *dev.Platform
	entryHosts           *dev.Cell
	callers, operators   string
	token, failureDomain string
}

// sharedCell starts the cell on the first call and returns it.
var sharedCell = sync.OnceValues(func() (*cell, error) {
	domains := dev.NewFailureDomains(1, 1, 1)
	platform, err := dev.StartPlatform(dev.OrderDesk.Workers(domains), standin.WorkerOptions{})
	if err != nil {
		return nil, err
	}
	if err := platform.Publish(contract.Sample()); err != nil {
		return nil, err
	}
	hostSettings, err := platform.Settings(domains)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	running, err := dev.StartCell(ctx, hostSettings, logr.Discard())
	if err != nil {
		return nil, err
	}
	var operators []string
	for _, s := range hostSettings {
		operators = append(operators, s.Listen.Operators)
	}
	return &cell{platform, running, strings.Join(running.CallerAddresses(), ","), strings.Join(operators, ","),
		hostSettings[0].OperatorToken, hostSettings[0].EntryHosts[0].FailureDomain}, nil
})

// cellStarted tells TestMain whether a test has started the cell.
var cellStarted bool

func startedCell(t *testing.T) *cell {
	t.Helper()
	cellStarted = true
	c, err := sharedCell()
	require.NoError(t, err)
	return c
}

func TestMain(m *testing.M) {
	code := m.Run()
	if cellStarted {
		if c, err := sharedCell(); err == nil {
			_ = c.entryHosts.Stop()
			c.platform.Close()
		}
	}
	os.Exit(code)
}

// result is the exit code and the output of a command.
type result struct {
	code           int
	stdout, stderr string
}

// runLine runs a command line, whose arguments are separated by spaces, after
// replacing the placeholders in them.
func runLine(t *testing.T, stdin, line string, placeholders map[string]string) result {
	t.Helper()
	t.Setenv("LABURNUMPASS_AUTHOR", "alice")
	args := strings.Fields(line)
	for i, a := range args {
		for placeholder, value := range placeholders {
			a = strings.ReplaceAll(a, placeholder, value)
		}
		args[i] = a
	}
	var stdout, stderr bytes.Buffer
	code := run(globals{ctx: t.Context(), stdin: strings.NewReader(stdin), stdout: &stdout, stderr: &stderr}, args)
	return result{code, stdout.String(), stderr.String()}
}

// placeholders returns the values of the placeholders that all command lines may
// contain.
func (c *cell) placeholders(t *testing.T) map[string]string {
	return map[string]string{"CALLERS": c.callers, "OPERATORS": c.operators, "TOKEN": c.token,
		"SAMPLES": samplesDir, "TMP": t.TempDir()}
}

// commandCase is one case of a table: a command line, its exit code, and texts that
// its stdout and stderr must contain.
type commandCase struct {
	name, line, stdin string
	code              int
	stdout, stderr    []string
}

func runTable(t *testing.T, placeholders map[string]string, table []commandCase) {
	t.Helper()
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			got := runLine(t, c.stdin, c.line, placeholders)
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

// serveFakeAPI starts a fake entry host API on a loopback address, which it
// returns.
func serveFakeAPI(t *testing.T, handler func(*fasthttp.RequestCtx)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: handler}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return l.Addr().String()
}

// closedAddress is an address on which nothing listens. Port 1 is used because
// another listener could take a port that was opened and closed again.
const closedAddress = "127.0.0.1:1"

// configurationDir copies the sample configuration to a temporary directory and
// writes the given files; a file with empty content is removed.
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

// TestUsage guards against commands that can't be parsed or whose help has no
// example, and against another exit code than 2 for a wrong command line.
func TestUsage(t *testing.T) {
	for _, name := range []string{"validate", "settings", "submit", "status", "cancel", "diff", "publish", "list",
		"history", "hosts", "workers", "drain", "timeline", "dev", "standins", "demo", "bench", "completion"} {
		help := captureHelp(t, name)
		require.Regexp(t, "Examples?:", help, name)
		require.Contains(t, help, "laburnumpass "+name, name)
	}
	runTable(t, nil, []commandCase{
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

// TestCompletion guards against a command tree that the completion library can't
// process. The command itself can't be run here, because the library exits the
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
