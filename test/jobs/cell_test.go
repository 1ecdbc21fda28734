// Package jobs runs "laburnumpassd jobs" as separate processes against a
// simulated platform and checks what callers and workers observe while these
// processes are killed, paused and stopped.
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
	"slices"
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
	// eventTimeout bounds each wait for an expected event.
	eventTimeout = 40 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 30 * time.Millisecond
	// taskDuration is the run time of every task, except those of lastingJob.
	taskDuration = 800 * time.Millisecond
	lastingJob   = "00000000000fffff"

	service, queueHost, queuePath = "desk", "jobs.example", "/desk/"

	peersPort, callersPort, readinessPort = 17001, 17002, 17004
)

// daemonBinary builds the daemon once for all tests and returns its path.
var daemonBinary = sync.OnceValues(func() (string, error) {
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
	if path, err := daemonBinary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// deployment consists of one process for each entry host and of a simulated
// platform in the test's own process.
type deployment struct {
	t        *testing.T
	store    *storetest.Memory
	recorder *celltest.RunRecorder
	network  *dev.Network
	dir      string
	// Addresses of the platform's services.
	storeAddress, policyServiceAddress string
	workers                            []*celltest.Worker
	hosts                              []jobhost.Settings
	// workersPerShard is set before startHosts; 0 is the default of the settings.
	workersPerShard int
	// adjust, if set before startHosts, changes the settings of host n.
	adjust func(n int, s *jobhost.Settings)

	mu        sync.Mutex
	processes []*process
	// lasting holds the IDs of further jobs like lastingJob.
	lasting []string
	// longestLease is the longest lease that workers added from now on grant; 0 for 6 s.
	longestLease time.Duration
}

// isLasting reports whether a task belongs to a job whose tasks do not end.
func (d *deployment) isLasting(task string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	return job == lastingJob || slices.Contains(d.lasting, job)
}

func (d *deployment) maxLease() time.Duration {
	if d.longestLease > 0 {
		return d.longestLease
	}
	return 6 * time.Second
}

// process is a started entry host. exited is closed when the process has ended.
type process struct {
	cmd    *exec.Cmd
	output *bytes.Buffer
	exited chan struct{}
}

// newDeployment starts a platform with workers, starts entry hosts and waits
// until they are ready.
func newDeployment(t *testing.T, workers, hosts int) *deployment {
	d := newDeploymentWithoutHosts(t, workers)
	d.startHosts(hosts, func(int) string { return d.storeAddress })
	return d
}

// newDeploymentWithoutHosts starts a platform with workers, but no entry hosts.
func newDeploymentWithoutHosts(t *testing.T, workers int) *deployment {
	d := &deployment{t: t, store: &storetest.Memory{Latency: 4 * time.Millisecond}, recorder: celltest.NewRunRecorder(), dir: t.TempDir()}
	var err error
	d.network, err = dev.ClaimNetwork()
	require.NoError(t, err)
	t.Cleanup(d.network.Release)
	d.storeAddress = d.serve(platformtest.NewStoreHandler(d.store))
	d.policyServiceAddress = d.serve(platformtest.NewPolicyHandler(20*time.Millisecond, map[string]bool{"w0": true}))
	d.publishConfiguration(1, true)
	for n := range workers {
		d.addWorker(fmt.Sprintf("w%d", n))
	}
	return d
}

// startHosts starts entry hosts and waits until they are ready. Host n connects
// to the store at the address store(n).
func (d *deployment) startHosts(hosts int, store func(n int) string) {
	d.processes = make([]*process, hosts)
	for n := range hosts {
		peers := d.network.Address(n, peersPort)
		d.hosts = append(d.hosts, jobhost.Settings{
			Host: fmt.Sprintf("host-%d", n), FailureDomain: "fd", Region: "r", IP: peers[:strings.LastIndex(peers, ":")],
			CallerAddress: d.network.Address(n, callersPort), ReadinessAddress: d.network.Address(n, readinessPort), PeerPorts: []int{peersPort},
			StoreAddress: store(n), PolicyServiceAddress: d.policyServiceAddress, MaxLeaseMS: 6000, GraceSeconds: 6, RetentionSeconds: 120,
			WorkersPerShard: d.workersPerShard,
		})
		if d.adjust != nil {
			d.adjust(n, &d.hosts[n])
		}
		d.startHost(n)
	}
	d.t.Cleanup(d.killAll)
	for n := range hosts {
		d.awaitReady(n)
	}
}

func (d *deployment) serve(handler http.Handler) string {
	address, err := platformtest.Serve(d.t.Context(), handler)
	require.NoError(d.t, err)
	return address
}

// publishConfiguration writes a version of the configuration, with or without
// the queue.
func (d *deployment) publishConfiguration(version int, withQueue bool) {
	d.appendRecord(platform.TopicOperator, d.configuration(version, withQueue))
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

func (d *deployment) appendRecord(topic string, r store.Record) {
	_, err := d.store.Append(context.Background(), store.Append{Topic: topic, Records: []store.Record{r}})
	require.NoError(d.t, err)
}

func (d *deployment) addWorker(id string) {
	w := &celltest.Worker{
		Entry:    cell.WorkerEntry{ID: id, Service: service, Capacity: worker.Resources{MilliCPU: 4000, MemoryMiB: 4096}, Labels: []string{"kind", fmt.Sprintf("rack-%d", len(d.workers))}},
		Recorder: d.recorder, MaxLease: d.maxLease(), RequireTickets: true,
		Demand: func(string) worker.Resources { return worker.Resources{MilliCPU: 1000, MemoryMiB: 100} },
		Duration: func(task string) time.Duration {
			if d.isLasting(task) {
				return time.Hour
			}
			return taskDuration
		},
	}
	w.Boot(d.t.Context())
	d.workers = append(d.workers, w)
	d.appendRecord(platform.TopicWorkers, platformtest.WorkerEntryRecord(w, d.serve(platformtest.NewWorkerHandler(w))))
}

func (d *deployment) startHost(n int) {
	path, err := daemonBinary()
	require.NoError(d.t, err)
	data, err := json.Marshal(d.hosts[n])
	require.NoError(d.t, err)
	settings := filepath.Join(d.dir, d.hosts[n].Host+".json")
	require.NoError(d.t, os.WriteFile(settings, data, 0o600))
	p := &process{cmd: exec.Command(path, "jobs", "--settings", settings), output: &bytes.Buffer{}, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	// The kernel kills the process when the test's own process ends, even if that
	// one is killed.
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

// process returns the most recently started process of a host.
func (d *deployment) process(n int) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[n]
}

func (d *deployment) signalHost(n int, s syscall.Signal) {
	require.NoError(d.t, d.process(n).cmd.Process.Signal(s))
}

func (d *deployment) killHost(n int) {
	d.signalHost(n, syscall.SIGKILL)
	<-d.process(n).exited
}

func (d *deployment) killAll() {
	for _, p := range d.processes {
		_ = p.cmd.Process.Kill() // fails if the process has ended already
		<-p.exited
		if d.t.Failed() {
			d.t.Logf("output of %s:\n%s", p.cmd.Args[len(p.cmd.Args)-1], tail(p.output.String()))
		}
	}
}

// tail returns the last part of a long output.
func tail(s string) string {
	const limit = 20_000
	return s[max(len(s)-limit, 0):]
}

func (d *deployment) await(what string, holds func() bool) {
	d.t.Helper()
	require.Eventually(d.t, holds, eventTimeout, pollInterval, what)
}

func (d *deployment) awaitReady(n int) {
	d.await("the host is ready", func() bool {
		status, _ := d.request(http.MethodGet, "http://"+d.hosts[n].ReadinessAddress+"/readyz", "", "")
		return status == http.StatusOK
	})
}

// request makes an HTTP request and returns the status and body of the
// response; the status is 0 if there is no response.
func (d *deployment) request(method, url, host, body string) (int, string) {
	status, reply, _ := d.tryRequest(method, url, host, body)
	return status, reply
}

// tryRequest is like request and also returns why there is no response.
func (d *deployment) tryRequest(method, url, host, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	require.NoError(d.t, err)
	if host != "" {
		r.Host = host
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer reply.Body.Close()
	var b bytes.Buffer
	_, _ = b.ReadFrom(reply.Body) // a truncated body is returned as far as it was read
	return reply.StatusCode, b.String(), nil
}

// callHost makes a caller's request through one host.
func (d *deployment) callHost(n int, method, path, body string) (int, string) {
	return d.request(method, "http://"+d.hosts[n].CallerAddress+path, queueHost, body)
}

// submit submits a job to one host after the other until one accepts it.
func (d *deployment) submit(id, body string) {
	next := 0
	d.await(id+" is accepted", func() bool {
		next++
		status, _ := d.callHost(next%len(d.hosts), http.MethodPost, queuePath+id, body)
		return status == http.StatusOK
	})
}

// awaitState waits until any host reports the state of a job.
func (d *deployment) awaitState(id, state string) {
	next := 0
	d.await(id+" is "+state, func() bool {
		next++
		_, body := d.callHost(next%len(d.hosts), http.MethodGet, queuePath+id, "")
		return strings.Contains(body, state)
	})
}

// schedulerIndex returns the index of the host that schedules the jobs of the
// service, which is not split.
func (d *deployment) schedulerIndex() int { return d.schedulerIndexOf(service) }

// schedulerIndexOf returns the index of the host that schedules the jobs of a shard.
func (d *deployment) schedulerIndexOf(shard string) int {
	page, err := d.store.ReadCompacted(context.Background(), "lead."+shard, "")
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
	require.Fail(d.t, "the holder of the shard is no entry host of this deployment")
	return -1
}
