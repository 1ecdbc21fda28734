// Command review2 plays the cases of the second review: it starts entry hosts as
// separate processes against a stand-in of the platform, and judges what callers and
// runners see. It ends with 1 if a rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
	"github.com/laburnumpass/laburnumpass/platform/platformtest"
)

// Figures of a small deployment, as in the example of the deploy page.
const (
	serviceName = "desk"
	queueHost   = "jobs.example"
	queuePath   = "/desk/"
	maxHoldMS   = 10_000
)

// world is the platform, the runners and the entry hosts of one play.
type world struct {
	begun   time.Time
	trouble bool
	// ip is a loopback address of this play's own, since several may run at once.
	ip      string
	dir     string
	memory  *storetest.Memory
	store   string
	runners []*runner
	hosts   []*host
	client  *http.Client

	mu      sync.Mutex
	record  *os.File
	runs    []*runRecord
	entries map[string]time.Time
	// demands are what the tasks of jobs take, by job and step.
	demands map[string][]int
	broken  []string

	// usedAddresses are those that freeAddress has returned.
	usedAddresses map[string]bool
}

// host is one entry host, with its present process.
type host struct {
	w                          *world
	name                       string
	callers, readiness, config string
	mu                         sync.Mutex
	cmd                        *exec.Cmd
	exited                     chan struct{}
	stopping                   bool
}

// runRecord is one run of a task on a runner.
type runRecord struct {
	w            *world
	task, runner string
	run          int
	begun        time.Time
	ended        time.Time
	how          string
	acked        time.Time
}

func (r *runRecord) end(how string) {
	r.w.mu.Lock()
	r.ended, r.how = time.Now(), how
	r.w.mu.Unlock()
	r.w.note("run %s#%d on %s ends: %s", r.task, r.run, r.runner, how)
}

func (r *runRecord) acknowledge() {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.acked = time.Now()
}

func (w *world) beginRun(o order, id string) *runRecord {
	r := &runRecord{w: w, task: o.Task, runner: id, run: o.Run, begun: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, r)
	w.mu.Unlock()
	w.note("run %s#%d begins on %s (fence %d)", o.Task, o.Run, id, o.Fence)
	return r
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.begun).Seconds()}, args...)...)
}

// breaks notes that a rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// cannotRun ends the play with 2.
func (w *world) cannotRun(format string, args ...any) {
	w.note("CANNOT RUN: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	w.stopHosts()
	os.Exit(2)
}

func newWorld(recordPath string, trouble bool) *world {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Println("cannot write the record:", err)
		os.Exit(2)
	}
	w := &world{
		begun: time.Now(), trouble: trouble, ip: fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/250%250, 1+os.Getpid()%250), record: record, memory: &storetest.Memory{Latency: 4 * time.Millisecond}, entries: make(map[string]time.Time), demands: make(map[string][]int), usedAddresses: make(map[string]bool),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if w.dir, err = os.MkdirTemp("", "review2-"); err != nil {
		w.cannotRun("no temporary folder: %v", err)
	}
	if w.store, err = platformtest.Serve(context.Background(), platformtest.NewStoreHandler(w.memory)); err != nil {
		w.cannotRun("store: %v", err)
	}
	go w.expireEntries()
	return w
}

// freeAddress returns a loopback address that is free now. Its port is below those that
// the kernel gives to outgoing connections.
func (w *world) freeAddress() string {
	for range 200 {
		address := fmt.Sprintf("%s:%d", w.ip, 15_000+rand.IntN(17_000))
		l, err := net.Listen("tcp4", address)
		if err != nil || w.usedAddresses[address] {
			continue
		}
		_ = l.Close()
		w.usedAddresses[address] = true
		return address
	}
	w.cannotRun("no free port")
	return ""
}

// put writes a record of the operator or a runner, whatever the store does for others.
func (w *world) put(topic, key string, value []byte) {
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		_, err := w.memory.Append(ctx, store.Append{Topic: topic, Records: []store.Record{{Key: key, Value: value}}})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.note("store takes no record of %s in %s", key, topic)
}

// putEntry writes a runner's registry entry.
func (w *world) putEntry(id string, value []byte) {
	w.mu.Lock()
	w.entries[id] = time.Now()
	w.mu.Unlock()
	w.put("servers", id, value)
}

// expireEntries drops the entries of runners that are silent.
func (w *world) expireEntries() {
	for {
		time.Sleep(100 * time.Millisecond)
		var gone []string
		w.mu.Lock()
		for id, at := range w.entries {
			if time.Since(at) > entryLifetime {
				gone = append(gone, id)
				delete(w.entries, id)
			}
		}
		w.mu.Unlock()
		for _, id := range gone {
			w.note("registry drops %s", id)
			w.put("servers", id, nil)
		}
	}
}

// publish writes a manifest with the one queue.
func (w *world) publish(version int, route map[string]any) {
	r := map[string]any{"name": "q", "host": queueHost, "path-prefix": queuePath, "service": serviceName, "priority": 1, "max-attempts": 4, "stretch": 2.2, "target-latency-ms": 2500, "timeout-ms": 3000}
	for k, v := range route {
		r[k] = v
	}
	value, _ := json.Marshal(map[string]any{"version": version, "routes": []any{r}, "services": []any{map[string]any{"name": serviceName, "rejects-overload": false}}, "limits": map[string]any{"max-body-bytes": 262144}})
	w.put("op", "config", value)
}

// addRunners starts n runners.
func (w *world) addRunners(n, cpu int) {
	for range n {
		index := len(w.runners)
		r := &runner{w: w, index: index, address: w.freeAddress(), labels: []string{"a", fmt.Sprintf("r1-%d", index/2)}, cpu: cpu, memMB: 65536, conns: make(map[net.Conn]bool)}
		w.runners = append(w.runners, r)
		r.start(fmt.Sprintf("i-%04d", index))
	}
}

// addHosts starts n entry hosts and waits until they are ready.
func (w *world) addHosts(n int) {
	binary, err := filepath.Abs("target/laburnumpassd")
	if err != nil {
		w.cannotRun("%v", err)
	}
	if _, err := os.Stat(binary); err != nil {
		w.cannotRun("the build of the deploy file is missing: %v", err)
	}
	for k := range n {
		peers := w.freeAddress()
		_, port, _ := net.SplitHostPort(peers)
		h := &host{w: w, name: fmt.Sprintf("frontend-%d", k+1), callers: w.freeAddress(), readiness: w.freeAddress()}
		h.config = filepath.Join(w.dir, h.name+".json")
		settings := fmt.Sprintf(`{"host":%q,"region":"r","failure_domain":"z1","ip":%q,"callers":%q,"readiness":%q,"peer_ports":[%s],"store":%q,"policy_service":"","max_lease_ms":%d,"grace_seconds":6,"retention_seconds":120,"memory_mib":284,"processor_share":0.4,"remote_factor":2,"log_level":0}`,
			h.name, w.ip, h.callers, h.readiness, port, w.store, maxHoldMS)
		if err := os.WriteFile(h.config, []byte(settings), 0o600); err != nil {
			w.cannotRun("%v", err)
		}
		w.hosts = append(w.hosts, h)
		h.start(binary)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range w.hosts {
		for {
			if status, _ := w.get("http://"+h.readiness+"/readyz", ""); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				w.cannotRun("host %s does not become ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("%d entry hosts ready", n)
}

func (h *host) start(binary string) {
	cmd := exec.Command(binary, "jobs")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.w.dir, "LANG=C", "LABURNUMPASS_SETTINGS=" + h.config}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		if f, err := os.OpenFile(filepath.Join(dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
			cmd.Stdout, cmd.Stderr = f, f
		}
	}
	exited := make(chan struct{})
	h.mu.Lock()
	if h.stopping {
		h.mu.Unlock()
		return
	}
	err := cmd.Start()
	if err == nil {
		h.cmd, h.exited = cmd, exited
	}
	h.mu.Unlock()
	if err != nil {
		h.w.cannotRun("start %s: %v", h.name, err)
	}
	go func() {
		err := cmd.Wait()
		close(exited)
		h.w.note("host %s process ended: %v", h.name, err)
		h.mu.Lock()
		stopping := h.stopping
		h.mu.Unlock()
		if !stopping {
			time.Sleep(300 * time.Millisecond)
			h.start(binary)
		}
	}()
}

func (w *world) stopHosts() {
	for _, h := range w.hosts {
		h.mu.Lock()
		h.stopping = true
		exited := h.exited
		if h.cmd != nil {
			_ = h.cmd.Process.Kill() // fails if the process has ended already
		}
		h.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) get(url, hostHeader string) (int, string) {
	return w.call(http.MethodGet, url, hostHeader, "")
}

func (w *world) call(method, url, hostHeader, body string) (int, string) {
	q, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	return w.send(q, hostHeader)
}

// send sends a request and returns the status and body of the answer, 0 if there is none
// within 3 s.
func (w *world) send(q *http.Request, hostHeader string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	q = q.WithContext(ctx)
	if hostHeader != "" {
		q.Host = hostHeader
		q.Header.Set("Content-Type", "application/json")
		q.Header.Set("X-Deadline-Ms", "3000")
	}
	reply, err := w.client.Do(q)
	if err != nil {
		return 0, ""
	}
	defer reply.Body.Close()
	var b bytes.Buffer
	_, _ = io.Copy(&b, reply.Body)
	return reply.StatusCode, b.String()
}

// submit hands a job in, at one host after the other, until it is accepted.
func (w *world) submit(id, body string) time.Time {
	w.noteJob(id, body)
	for n := 0; n < 40; n++ {
		h := w.hosts[n%len(w.hosts)]
		status, _ := w.call(http.MethodPost, "http://"+h.callers+queuePath+id, queueHost, body)
		w.note("POST %s at %s: %d %s", id, h.name, status, body)
		if status/100 == 2 {
			return time.Now()
		}
		time.Sleep(250 * time.Millisecond)
	}
	w.cannotRun("job %s is not accepted", id)
	return time.Time{}
}

// finish ends the play with its result.
func (w *world) finish() {
	w.stopHosts()
	for _, r := range w.runners {
		r.mu.Lock()
		r.closeLocked()
		r.mu.Unlock()
	}
	if len(w.broken) > 0 {
		fmt.Printf("broken: %s (%d in all)\n", w.broken[0], len(w.broken))
		os.Exit(1)
	}
	w.note("held")
	fmt.Println("held")
	os.Exit(0)
}
