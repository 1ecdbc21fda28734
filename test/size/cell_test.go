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

// cell is a platform in this process and the processes of the entry hosts.
type cell struct {
	b        *testing.B
	platform *dev.Platform
	settings []settings.Settings
	hosts    []*exec.Cmd
	killed   map[int]bool
}

// start starts all processes and waits until every worker is held.
func start(b *testing.B) *cell {
	began := time.Now()
	platform, err := dev.StartPlatform(nil, standin.WorkerOptions{})
	require.NoError(b, err)
	b.Cleanup(platform.Close)
	require.NoError(b, platform.Publish(sample()))
	c := &cell{b: b, platform: platform, killed: make(map[int]bool)}
	shape := dev.OrderDesk
	shape.Plain, shape.Accelerated = plainWorkers, acceleratedWorkers
	infos := shape.Workers(domains())
	for len(infos) > 0 {
		n := min(workersPerProcess, len(infos))
		c.startWorkers(infos[:n])
		infos = infos[n:]
	}
	c.settings, err = platform.Settings(domains())
	require.NoError(b, err)
	dir := b.TempDir()
	build := exec.Command("go", "build", "-o", dir, "./cmd/laburnumpassd")
	build.Dir = filepath.Join("..", "..")
	out, err := build.CombinedOutput()
	require.NoError(b, err, "%s", out)
	for _, s := range c.settings {
		c.startHost(dir, s)
	}
	require.NoError(b, dev.AwaitReady(b.Context(), c.callers()))
	figure("start.ready", time.Since(began).Seconds(), "s")
	c.await("all workers held", func() bool { return c.sum("laburnumpass_workers_held") == plainWorkers+acceleratedWorkers })
	figure("start.held", time.Since(began).Seconds(), "s")
	return c
}

// startWorkers starts a process of stand-ins and lists its workers.
func (c *cell) startWorkers(infos []worker.Info) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), workersVariable+"=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(c.b, err)
	out, err := cmd.StdoutPipe()
	require.NoError(c.b, err)
	require.NoError(c.b, cmd.Start())
	c.b.Cleanup(func() {
		_ = in.Close()
		_ = cmd.Wait()
	})
	require.NoError(c.b, json.NewEncoder(in).Encode(infos))
	var served []worker.Info
	require.NoError(c.b, json.NewDecoder(out).Decode(&served))
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

func (c *cell) kill(i int) {
	require.NoError(c.b, c.hosts[i].Process.Kill())
	c.killed[i] = true
}

func (c *cell) callers() []string {
	out := make([]string, len(c.settings))
	for i, s := range c.settings {
		out[i] = s.Listen.Callers
	}
	return out
}

// gauges returns a metric of all hosts, 0 for a killed one.
func (c *cell) gauges(name string) []float64 {
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
			values[i], err = metricOf(page, name)
			return err
		})
	}
	require.NoError(c.b, group.Wait())
	return values
}

// metricOf returns the sample of a metric without labels.
func metricOf(page []byte, name string) (float64, error) {
	lines := bufio.NewScanner(bytes.NewReader(page))
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return math.NaN(), fmt.Errorf("no metric %s", name)
}

func (c *cell) sum(name string) float64 {
	total := 0.0
	for _, v := range c.gauges(name) {
		total += v
	}
	return total
}

// usage is what each entry host has used since its start.
type usage struct {
	cpu    []time.Duration
	memory []int64 // resident bytes
}

// usage reads the processor time, in ticks of 10 ms, and the resident pages of
// each entry host from the proc file system.
func (c *cell) usage() usage {
	const tick = 10 * time.Millisecond
	var u usage
	for _, cmd := range c.hosts {
		f, err := os.Open(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
		require.NoError(c.b, err)
		data, err := io.ReadAll(f)
		require.NoError(c.b, err)
		_ = f.Close()
		// The fields after the name in parentheses begin with the third.
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
