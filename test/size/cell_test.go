package size

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/dev"
	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/standin"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// cell consists of a simulated platform in the benchmark's own process and of one
// process for each entry host.
type cell struct {
	b        *testing.B
	platform *dev.Platform
	settings []settings.Settings
	hosts    []*exec.Cmd
	killed   map[int]bool // by index in hosts
}

// startCell starts all processes and waits until every worker has a holder.
func startCell(b *testing.B) *cell {
	began := time.Now()
	platform, err := dev.StartPlatform(nil, standin.WorkerOptions{})
	require.NoError(b, err)
	b.Cleanup(platform.Close)
	require.NoError(b, platform.Publish(designConfiguration()))
	c := &cell{b: b, platform: platform, killed: make(map[int]bool)}
	layout := dev.OrderDesk
	layout.Plain, layout.Accelerated = plainWorkers, acceleratedWorkers
	infos := layout.Workers(designDomains())
	for len(infos) > 0 {
		n := min(workersPerProcess, len(infos))
		c.startWorkers(infos[:n])
		infos = infos[n:]
	}
	c.settings, err = platform.Settings(designDomains())
	require.NoError(b, err)
	dir := b.TempDir()
	build := exec.Command("go", "build", "-o", dir, "./cmd/laburnumpassd")
	build.Dir = filepath.Join("..", "..")
	out, err := build.CombinedOutput()
	require.NoError(b, err, "%s", out)
	for _, s := range c.settings {
		c.startHost(dir, s)
	}
	require.NoError(b, dev.AwaitReady(b.Context(), c.callerAddresses()))
	printFigure("start.ready", time.Since(began).Seconds(), "s")
	c.await("all workers held", func() bool { return c.metricSum("laburnumpass_workers_held") == plainWorkers+acceleratedWorkers })
	printFigure("start.held", time.Since(began).Seconds(), "s")
	return c
}

// startWorkers starts a process that simulates workers and adds these to the host
// list.
func (c *cell) startWorkers(infos []worker.Info) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serveWorkersVariable+"=1")
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	require.NoError(c.b, err)
	stdout, err := cmd.StdoutPipe()
	require.NoError(c.b, err)
	require.NoError(c.b, cmd.Start())
	c.b.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Wait()
	})
	require.NoError(c.b, json.NewEncoder(stdin).Encode(infos))
	var served []worker.Info
	require.NoError(c.b, json.NewDecoder(stdout).Decode(&served))
	for _, info := range served {
		c.platform.HostList.Set(info)
	}
}

func (c *cell) startHost(dir string, s settings.Settings) {
	data, err := json.Marshal(s)
	require.NoError(c.b, err)
	path := filepath.Join(dir, s.Host+".json")
	require.NoError(c.b, os.WriteFile(path, data, 0o600))
	log, err := os.Create(filepath.Join(dir, s.Host+".log"))
	require.NoError(c.b, err)
	cmd := exec.Command(filepath.Join(dir, "laburnumpassd"), "--settings", path)
	cmd.Stderr = log
	require.NoError(c.b, cmd.Start())
	c.hosts = append(c.hosts, cmd)
	c.b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
	})
}

func (c *cell) killHost(i int) {
	require.NoError(c.b, c.hosts[i].Process.Kill())
	c.killed[i] = true
}

func (c *cell) callerAddresses() []string {
	out := make([]string, len(c.settings))
	for i, s := range c.settings {
		out[i] = s.Listen.Callers
	}
	return out
}

// metricValues returns the value of a metric on each host, 0 for a killed host.
func (c *cell) metricValues(name string) []float64 {
	values := make([]float64, len(c.settings))
	var group errgroup.Group
	for i, s := range c.settings {
		if c.killed[i] {
			continue
		}
		group.Go(func() error {
			_, page, err := fasthttp.GetTimeout(nil, "http://"+s.Listen.Operators+"/metrics", 5*time.Second)
			if err != nil {
				return err
			}
			values[i], err = parseMetric(page, name)
			return err
		})
	}
	require.NoError(c.b, group.Wait())
	return values
}

// parseMetric returns the value of a metric without labels from a metrics page.
func parseMetric(page []byte, name string) (float64, error) {
	lines := bufio.NewScanner(bytes.NewReader(page))
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return math.NaN(), fmt.Errorf("no metric %s", name)
}

func (c *cell) metricSum(name string) float64 {
	total := 0.0
	for _, v := range c.metricValues(name) {
		total += v
	}
	return total
}

// usage contains the resource usage of each entry host.
type usage struct {
	cpu    []time.Duration // processor time since the process started
	memory []int64         // resident bytes
}

// readUsage reads the processor time, which the kernel counts in ticks of 10 ms, and
// the resident pages of each entry host from /proc/PID/stat.
func (c *cell) readUsage() usage {
	const tick = 10 * time.Millisecond
	var u usage
	for _, cmd := range c.hosts {
		f, err := os.Open(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
		require.NoError(c.b, err)
		data, err := io.ReadAll(f)
		require.NoError(c.b, err)
		_ = f.Close()
		// The text after the process name in parentheses begins with the third field
		// of the line.
		fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
		user, err := strconv.Atoi(fields[11])
		require.NoError(c.b, err)
		system, err := strconv.Atoi(fields[12])
		require.NoError(c.b, err)
		pages, err := strconv.ParseInt(fields[21], 10, 64)
		require.NoError(c.b, err)
		u.cpu = append(u.cpu, time.Duration(user+system)*tick)
		u.memory = append(u.memory, pages*int64(os.Getpagesize()))
	}
	return u
}
