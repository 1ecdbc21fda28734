// Package jobs runs laburnumpassd as separate processes against stand-ins of
// the users' platform, and checks what callers and workers see while processes
// are killed, paused and stopped.
package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/dev"
	"github.com/laburnumpass/laburnumpass/internal/jobhost"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
	"github.com/laburnumpass/laburnumpass/internal/worker"
	"github.com/laburnumpass/laburnumpass/platform"
	"github.com/laburnumpass/laburnumpass/platform/platformtest"
)

const (
	// patience bounds the real time in which something must happen.
	patience = 40 * time.Second
	// pollInterval is the time between two looks.
	pollInterval = 30 * time.Millisecond
	// taskTime is how long tasks run.
	taskTime = 800 * time.Millisecond

	service, queueHost, queuePath = "desk", "jobs.example", "/desk/"

	peersPort, callersPort, readinessPort = 17001, 17002, 17004
)

// binary builds the daemon once for all tests.
var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "laburnumpass-jobs-")
	if err != nil {
		return "", err
	}
	cmd := exec.Command("go", "build", "-o", dir, "./cmd/laburnumpassd")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return filepath.Join(dir, "laburnumpassd"), nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// deployment is entry hosts as processes and a platform in this process.
type deployment struct {
	t       *testing.T
	store   *storetest.Memory
	ledger  *celltest.RunRecorder
	network *dev.Network
	dir     string
	// storeAddress and advisor are the addresses of the platform's services.
	storeAddress, advisor string
	workers               []*celltest.Worker
	hosts                 []jobhost.Settings

	mu        sync.Mutex
	processes []*process
}

type process struct {
	cmd    *exec.Cmd
	output *bytes.Buffer
	exited chan struct{}
}

// newDeployment starts a platform with workers and entry hosts that are ready.
func newDeployment(t *testing.T, workers, hosts int) *deployment {
	d := prepare(t, workers)
	d.startHosts(hosts, func(int) string { return d.storeAddress })
	return d
}

// prepare starts a platform with workers and without entry hosts.
func prepare(t *testing.T, workers int) *deployment {
	d := &deployment{t: t, store: &storetest.Memory{Latency: 4 * time.Millisecond}, ledger: celltest.NewRunRecorder(), dir: t.TempDir()}
	var err error
	d.network, err = dev.ClaimNetwork()
	require.NoError(t, err)
	t.Cleanup(d.network.Release)
	d.storeAddress = d.serve(platformtest.NewStoreHandler(d.store))
	d.advisor = d.serve(platformtest.NewPolicyHandler(20*time.Millisecond, map[string]bool{"w0": true}))
	d.publish(1, true)
	for n := range workers {
		d.addWorker(fmt.Sprintf("w%d", n))
	}
	return d
}

// startHosts starts entry hosts that reach the store at the address that store
// returns, and waits until they are ready.
func (d *deployment) startHosts(hosts int, store func(n int) string) {
	d.processes = make([]*process, hosts)
	for n := range hosts {
		peers := d.network.Address(n, peersPort)
		d.hosts = append(d.hosts, jobhost.Settings{
			Host: fmt.Sprintf("host-%d", n), FailureDomain: "fd", Region: "r", IP: peers[:strings.LastIndex(peers, ":")],
			CallerAddress: d.network.Address(n, callersPort), ReadinessAddress: d.network.Address(n, readinessPort), PeerPorts: []int{peersPort},
			StoreAddress: store(n), PolicyServiceAddress: d.advisor, MaxLeaseMS: 6000, GraceSeconds: 6, RetentionSeconds: 120,
		})
		d.start(n)
	}
	d.t.Cleanup(d.killAll)
	for n := range hosts {
		d.untilReady(n)
	}
}

func (d *deployment) serve(handler http.Handler) string {
	address, err := platformtest.Serve(d.t.Context(), handler)
	require.NoError(d.t, err)
	return address
}

// publish writes a version of the configuration, with or without the queue.
func (d *deployment) publish(version int, withQueue bool) {
	d.put(platform.TopicOperator, d.configuration(version, withQueue))
}

func (d *deployment) configuration(version int, withQueue bool) store.Record {
	routes := []map[string]any{}
	if withQueue {
		routes = append(routes, map[string]any{
			"name": "q", "host": queueHost, "path-prefix": queuePath, "service": service, "max-attempts": 3, "stretch": 2, "timeout-ms": 3000,
			"target-latency-ms": 500, "advice": map[string]any{"decide-ms": 20, "per-worker-ms": 1, "valid-ms": 2000},
		})
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": []map[string]any{{"name": service}}})
	require.NoError(d.t, err)
	return store.Record{Key: platform.KeyConfiguration, Value: value}
}

func (d *deployment) put(topic string, r store.Record) {
	_, err := d.store.Append(context.Background(), store.Append{Topic: topic, Records: []store.Record{r}})
	require.NoError(d.t, err)
}

func (d *deployment) addWorker(id string) {
	w := &celltest.Worker{
		Entry:    cell.WorkerEntry{ID: id, Service: service, Capacity: worker.Resources{MilliCPU: 4000, MemoryMiB: 4096}, Labels: []string{"kind", "rack"}},
		Recorder: d.ledger, MaxLease: 6 * time.Second, RequireTickets: true,
		Demand:   func(string) worker.Resources { return worker.Resources{MilliCPU: 1000, MemoryMiB: 100} },
		Duration: func(string) time.Duration { return taskTime },
	}
	w.Boot(d.t.Context())
	d.workers = append(d.workers, w)
	d.put(platform.TopicWorkers, platformtest.WorkerEntryRecord(w, d.serve(platformtest.NewWorkerHandler(w))))
}

func (d *deployment) start(n int) {
	path, err := binary()
	require.NoError(d.t, err)
	data, err := json.Marshal(d.hosts[n])
	require.NoError(d.t, err)
	settings := filepath.Join(d.dir, d.hosts[n].Host+".json")
	require.NoError(d.t, os.WriteFile(settings, data, 0o600))
	p := &process{cmd: exec.Command(path, "jobs", "--settings", settings), output: &bytes.Buffer{}, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	// A process must not outlive a test that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(d.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	d.mu.Lock()
	d.processes[n] = p
	d.mu.Unlock()
}

// process returns the newest process of a host.
func (d *deployment) process(n int) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[n]
}

func (d *deployment) signal(n int, s syscall.Signal) {
	require.NoError(d.t, d.process(n).cmd.Process.Signal(s))
}

func (d *deployment) kill(n int) {
	d.signal(n, syscall.SIGKILL)
	<-d.process(n).exited
}

func (d *deployment) killAll() {
	for _, p := range d.processes {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.exited
		if d.t.Failed() {
			d.t.Logf("output of %s:\n%s", p.cmd.Args[len(p.cmd.Args)-1], tail(p.output.String()))
		}
	}
}

// tail keeps the end of a long output.
func tail(s string) string {
	const limit = 20_000
	return s[max(len(s)-limit, 0):]
}

func (d *deployment) until(what string, holds func() bool) {
	d.t.Helper()
	require.Eventually(d.t, holds, patience, pollInterval, what)
}

func (d *deployment) untilReady(n int) {
	d.until("ready", func() bool {
		status, _ := d.request(http.MethodGet, "http://"+d.hosts[n].ReadinessAddress+"/readyz", "", "")
		return status == http.StatusOK
	})
}

// request returns the status and body of an answer, 0 if there is none.
func (d *deployment) request(method, url, host, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	require.NoError(d.t, err)
	if host != "" {
		r.Host = host
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer reply.Body.Close()
	var b bytes.Buffer
	_, _ = b.ReadFrom(reply.Body) // a cut answer has no status for the test either
	return reply.StatusCode, b.String()
}

// call makes a caller's request to one host.
func (d *deployment) call(n int, method, path, body string) (int, string) {
	return d.request(method, "http://"+d.hosts[n].CallerAddress+path, queueHost, body)
}

// submit hands a job in, at any host, until it is accepted.
func (d *deployment) submit(id, body string) {
	next := 0
	d.until(id+" is accepted", func() bool {
		next++
		status, _ := d.call(next%len(d.hosts), http.MethodPost, queuePath+id, body)
		return status == http.StatusOK
	})
}

// untilState waits until some host shows the state.
func (d *deployment) untilState(id, state string) {
	next := 0
	d.until(id+" is "+state, func() bool {
		next++
		_, body := d.call(next%len(d.hosts), http.MethodGet, queuePath+id, "")
		return strings.Contains(body, state)
	})
}

// scheduler returns the index of the host that holds the service.
func (d *deployment) scheduler() int {
	page, err := d.store.ReadCompacted(context.Background(), "lead."+service, "")
	require.NoError(d.t, err)
	require.NotEmpty(d.t, page.Records)
	var holder struct {
		Host string `json:"host"`
	}
	require.NoError(d.t, json.Unmarshal(page.Records[0].Value, &holder))
	for n, s := range d.hosts {
		if s.Host == holder.Host {
			return n
		}
	}
	require.Fail(d.t, "no scheduler")
	return -1
}
