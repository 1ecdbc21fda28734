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
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readyTimeout = 25 * time.Second
	// deadline is the time budget of a consumer's request.
	deadline = 3 * time.Second
	// consumerRetries is how often a consumer repeats a request, and retryPause the
	// least time before that.
	consumerRetries = 4
	retryPause      = 300 * time.Millisecond
)

// entryHosts are the project's entry hosts, one process each.
type entryHosts struct {
	cell   *standIns
	dir    string
	binary string
	hosts  []*entryHost
	next   atomic.Int64
}

type entryHost struct {
	name, callers, readiness, settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// freePorts returns different ports of a loopback address that are free.
func freePorts(ip string) (ports [3]int, err error) {
	for i := range ports {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return ports, err
		}
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// startHosts starts count entry hosts with the settings of the template and waits
// until all of them are ready.
func startHosts(s *standIns, binary string, count int) (*entryHosts, error) {
	dir, err := os.MkdirTemp("", "laburnumpass-review-")
	if err != nil {
		return nil, err
	}
	h := &entryHosts{cell: s, dir: dir, binary: binary}
	zones, region := []string{"ried-hall", "zwettl-shed", "braunau-loft"}, []string{"innviertel", "waldviertel", "innviertel"}
	// Outgoing connections have the address 127.0.0.1, so they cannot take a port of these
	// addresses before the entry host listens there.
	second, third := 2+rand.IntN(250), rand.IntN(256)
	for n := range count {
		ip := fmt.Sprintf("127.%d.%d.%d", second, third, n+1)
		ports, err := freePorts(ip)
		if err != nil {
			return h, err
		}
		e := &entryHost{name: fmt.Sprintf("frontend-%s-%d", zones[n%3], n/3+1), callers: fmt.Sprintf("%s:%d", ip, ports[0]), readiness: fmt.Sprintf("%s:%d", ip, ports[1])}
		settings, err := json.Marshal(map[string]any{
			"host": e.name, "region": region[n%3], "failure_domain": zones[n%3], "ip": ip, "callers": e.callers, "readiness": e.readiness,
			"peer_ports": []int{ports[2]}, "store": s.address, "policy_service": "", "max_lease_ms": 10000, "grace_seconds": 6,
			"retention_seconds": 120, "memory_mib": 284, "processor_share": 0.4, "remote_factor": 2, "log_level": 0,
		})
		if err != nil {
			return h, err
		}
		e.settings = filepath.Join(dir, e.name+".json")
		if err := os.WriteFile(e.settings, settings, 0o600); err != nil {
			return h, err
		}
		h.hosts = append(h.hosts, e)
		if err := h.start(e); err != nil {
			return h, err
		}
	}
	limit := time.Now().Add(readyTimeout)
	for _, e := range h.hosts {
		for !e.ready() {
			if time.Now().After(limit) {
				return h, fmt.Errorf("entry host %s does not become ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.add("%d entry hosts are ready", count)
	return h, nil
}

// start starts the process of an entry host with the command of the deploy file.
func (h *entryHosts) start(e *entryHost) error {
	log, err := os.OpenFile(filepath.Join(h.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.binary, "jobs")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir, "LANG=C.UTF-8", "LABURNUMPASS_SETTINGS=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel ends the process if this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	e.mu.Lock()
	e.cmd, e.exited = cmd, exited
	e.mu.Unlock()
	return nil
}

func (e *entryHost) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.readiness+"/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// kill ends the process of an entry host with SIGKILL and waits until it is gone.
func (e *entryHost) kill() {
	e.mu.Lock()
	cmd, exited := e.cmd, e.exited
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended already
	<-exited
}

// stop ends all processes and removes the temporary folder. LOGS names a folder to
// which the logs are copied before that.
func (h *entryHosts) stop() {
	for _, e := range h.hosts {
		e.kill()
	}
	if to := os.Getenv("LOGS"); to != "" {
		for _, e := range h.hosts {
			if b, err := os.ReadFile(filepath.Join(h.dir, e.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(to, e.name+".log"), b, 0o600)
			}
		}
	}
	_ = os.RemoveAll(h.dir)
}

// holder returns the entry host that schedules a service, by its record in the store.
func (h *entryHosts) holder(service string) *entryHost {
	h.cell.store.mu.Lock()
	defer h.cell.store.mu.Unlock()
	records := h.cell.store.topic("keyed.lead." + service).records
	if len(records) == 0 {
		return nil
	}
	for _, e := range h.hosts {
		if bytes.Contains(records[len(records)-1].raw, []byte(`"`+e.name+`"`)) {
			return e
		}
	}
	return nil
}

// call makes one request of a consumer at an entry host. The status is 0 if there was
// no whole answer.
func (h *entryHosts) call(e *entryHost, method, path string, body []byte) (status int, answerBody string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	q.Host = consumerHost
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	sent := time.Now()
	a, err := http.DefaultClient.Do(q)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(a.Body)
		_ = a.Body.Close()
		status, answerBody = a.StatusCode, strings.TrimSpace(string(b))
	}
	if err != nil {
		status, answerBody = 0, ""
	}
	h.cell.record.add("%s %s at %s -> %d %s (%d ms)", method, path, e.name, status, answerBody, time.Since(sent).Milliseconds())
	return status, answerBody
}

// any returns the entry hosts in turn, without those to leave out.
func (h *entryHosts) any(without ...*entryHost) *entryHost {
	for {
		e := h.hosts[int(h.next.Add(1))%len(h.hosts)]
		left := false
		for _, o := range without {
			left = left || o == e
		}
		if !left {
			return e
		}
	}
}

// submit hands a job in as a consumer does and reports whether it was accepted.
func (h *entryHosts) submit(q queue, id string, job any) bool {
	body, err := json.Marshal(job)
	if err != nil {
		panic(err) // plain fields can always be encoded
	}
	for range consumerRetries + 1 {
		status, _ := h.call(h.any(), http.MethodPost, q.prefix()+id, body)
		if status >= 200 && status < 300 {
			return true
		}
		if status == http.StatusNotFound || status == http.StatusBadRequest {
			return false
		}
		time.Sleep(retryPause)
	}
	return false
}

// state returns the state of a job, "unknown" after a 410 and empty without an answer.
func (h *entryHosts) state(q queue, id string) string {
	status, body := h.call(h.any(), http.MethodGet, q.prefix()+id, nil)
	switch status {
	case http.StatusOK:
		var reply struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal([]byte(body), &reply)
		return reply.State
	case http.StatusGone:
		return "unknown"
	}
	return ""
}

// awaitState waits until a job has one of the states and returns the last state.
func (h *entryHosts) awaitState(q queue, id string, limit time.Duration, states ...string) string {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if last = h.state(q, id); last == "" {
			continue
		}
		for _, s := range states {
			if s == last {
				return last
			}
		}
	}
	return last
}
