// Package e2e runs the real binaries as separate processes against a simulated
// platform on loopback ports.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/dev"
	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// startTimeout bounds the start of all processes and each wait for a condition.
const startTimeout = 60 * time.Second

// binaries builds the two binaries once for all tests and returns their directory.
var binaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "laburnumpass-e2e-")
	if err != nil {
		return "", err
	}
	cmd := exec.Command("go", "build", "-o", dir, "./cmd/...")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", &exec.ExitError{Stderr: out}
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := binaries(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// cluster consists of a simulated platform and one process for each entry host.
type cluster struct {
	t        *testing.T
	platform *dev.Platform
	settings []settings.Settings
	dir      string

	mu        sync.Mutex
	processes map[string]*process
}

// process is a started entry host. exited is closed when the process has ended.
type process struct {
	cmd    *exec.Cmd
	output *bytes.Buffer
	exited chan struct{}
}

// newCluster starts entry hosts, entryHosts[i] of them in failure domain i, and
// waits until they are ready. adjust may change the settings of all hosts before
// they start.
func newCluster(t *testing.T, adjust func(hostSettings []settings.Settings), entryHosts ...int) *cluster {
	t.Helper()
	domains := dev.NewFailureDomains(entryHosts...)
	platform, err := dev.StartPlatform(dev.OrderDesk.Workers(domains), standin.WorkerOptions{})
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	require.NoError(t, platform.Publish(contract.Sample()))
	hostSettings, err := platform.Settings(domains)
	require.NoError(t, err)
	if adjust != nil {
		adjust(hostSettings)
	}
	c := &cluster{t: t, platform: platform, settings: hostSettings, dir: t.TempDir(), processes: make(map[string]*process)}
	t.Cleanup(c.killAll)
	for _, s := range hostSettings {
		c.start(s)
	}
	c.awaitReady(c.callerAddresses()...)
	return c
}

func (c *cluster) start(s settings.Settings) {
	c.t.Helper()
	bin, err := binaries()
	require.NoError(c.t, err)
	data, err := json.Marshal(s)
	require.NoError(c.t, err)
	path := filepath.Join(c.dir, s.Host+".json")
	require.NoError(c.t, os.WriteFile(path, data, 0o600))
	p := &process{cmd: exec.Command(filepath.Join(bin, "laburnumpassd"), "--settings", path), output: &bytes.Buffer{}, exited: make(chan struct{})}
	p.cmd.Stderr = p.output
	killWithTest(p.cmd)
	require.NoError(c.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	c.mu.Lock()
	c.processes[s.Host] = p
	c.mu.Unlock()
}

func (c *cluster) process(host string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[host]
}

func (c *cluster) signal(host string, sig syscall.Signal) {
	c.t.Helper()
	require.NoError(c.t, c.process(host).cmd.Process.Signal(sig))
}

// kill kills the process of a host and waits until it has exited.
func (c *cluster) kill(host string) {
	c.t.Helper()
	p := c.process(host)
	require.NoError(c.t, p.cmd.Process.Kill())
	<-p.exited
}

func (c *cluster) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.processes {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if c.t.Failed() {
			c.t.Logf("output of %s:\n%s", name, tail(p.output.String()))
		}
	}
}

// tail returns the last 4000 bytes of a process's output.
func tail(s string) string {
	const bytes = 4000
	if len(s) > bytes {
		return s[len(s)-bytes:]
	}
	return s
}

func (c *cluster) settingsFor(host string) settings.Settings {
	for _, s := range c.settings {
		if s.Host == host {
			return s
		}
	}
	c.t.Fatalf("no settings for %s", host)
	return settings.Settings{}
}

func (c *cluster) callerAddresses() []string {
	var out []string
	for _, s := range c.settings {
		out = append(out, s.Listen.Callers)
	}
	return out
}

func (c *cluster) awaitReady(addresses ...string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), startTimeout)
	defer cancel()
	require.NoError(c.t, dev.AwaitReady(ctx, addresses))
}

// awaitReady waits until one host reports readiness.
func awaitReady(ctx context.Context, s settings.Settings) error {
	return dev.AwaitReady(ctx, []string{s.Listen.Callers})
}

// salesQuotaVersion returns the version of the quota of the team "sales": the log
// offset of its last change.
func (c *cluster) salesQuotaVersion() uint64 {
	c.t.Helper()
	var changes []contract.Change
	c.callOperatorAPI(c.settings[0], http.MethodGet, "/v1/config/history?kind=quota&name=sales", nil, &changes)
	require.NotEmpty(c.t, changes)
	return changes[len(changes)-1].Offset
}

func (c *cluster) client() *api.Client {
	c.t.Helper()
	client, err := api.NewClient(api.ClientOptions{Addresses: c.callerAddresses()})
	require.NoError(c.t, err)
	c.t.Cleanup(client.Close)
	return client
}
