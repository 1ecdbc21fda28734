package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playLimit ends a play that hangs.
const playLimit = 110 * time.Second

// cellTest is one play: a store, runners, entry hosts and consumers.
type cellTest struct {
	trouble bool
	dir     string // for settings and logs of this play
	record  *os.File
	begun   time.Time
	store   *store
	address string // of the store
	hosts   []*host
	runners map[string]*runnerProcess

	mu     sync.Mutex
	events []event
	broken []string
}

type host struct {
	name, callers, ready, settings string
	cmd                            *exec.Cmd
	exited                         chan struct{}
}

type runnerProcess struct {
	id, address string
	args        []string
	cmd         *exec.Cmd
	exited      chan struct{}
}

// event is what a runner did.
type event struct {
	at                 int64 // Unix milliseconds
	runner, kind, task string
	run                int
	rest               string
}

// impossible ends a play that cannot run.
type impossible string

func run(folder string, play func(*cellTest)) (status int) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	c := &cellTest{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record, begun: time.Now(), runners: map[string]*runnerProcess{}}
	var once sync.Once
	end := func() { once.Do(c.killAll) }
	time.AfterFunc(playLimit, func() {
		c.note("the play took too long")
		end()
		os.RemoveAll(dir)
		os.Exit(2)
	})
	defer func() {
		p := recover()
		end()
		if why, ok := p.(impossible); ok {
			c.note("the case could not run: %s", string(why))
			fmt.Fprintln(os.Stderr, string(why))
			status = 2
		} else if p != nil {
			panic(p)
		}
	}()
	c.note("trouble=%v", c.trouble)
	c.startStore()
	play(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.broken {
		fmt.Fprintln(c.record, "RULE BROKEN:", b)
		fmt.Println("RULE BROKEN:", b)
	}
	if len(c.broken) > 0 {
		return 1
	}
	fmt.Fprintln(c.record, "the rule held")
	fmt.Println("the rule held")
	return 0
}

// note writes a line with the time into the record.
func (c *cellTest) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (c *cellTest) breaks(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// ip returns a loopback address that no other play uses at the same time.
func (c *cellTest) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8%200, os.Getpid()%256, n)
}

func freePort(ip string) int {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		panic(impossible(err.Error()))
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func (c *cellTest) startStore() {
	c.store = newStore()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(impossible(err.Error()))
	}
	c.address = l.Addr().String()
	go func() { _ = http.Serve(l, c.store) }()
}

// publish writes a manifest.
func (c *cellTest) publish(manifest map[string]any) {
	b, _ := json.Marshal(manifest)
	c.note("manifest %s", b)
	c.store.put("keyed.op", "config", b)
}

// startHosts starts entry hosts with what the template makes of the settings of a small
// deployment, and waits until they are ready.
func (c *cellTest) startHosts(count int) {
	for n := range count {
		ip := c.ip(20 + n)
		h := &host{name: fmt.Sprintf("frontend-%d", n), callers: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip))}
		port := freePort(ip)
		b, _ := json.Marshal(map[string]any{
			"host": h.name, "region": "r1", "failure_domain": "z1", "ip": ip, "callers": h.callers, "readiness": h.ready, "peer_ports": []int{port, port},
			"store": c.address, "store_record_bytes": 262144, "store_request_bytes": 2097152, "policy_service": "", "max_lease_ms": maxHold.Milliseconds(),
			"grace_seconds": 6, "retention_seconds": 120, "memory_mib": 284, "processor_share": 0.4, "remote_factor": 2, "log_level": 0,
		})
		h.settings = filepath.Join(c.dir, h.name+".json")
		if err := os.WriteFile(h.settings, b, 0o600); err != nil {
			panic(impossible(err.Error()))
		}
		c.hosts = append(c.hosts, h)
		c.startHost(h)
	}
	c.await("all hosts are ready", 30*time.Second, func() bool {
		for _, h := range c.hosts {
			if status, _ := c.call("GET", "http://"+h.ready+"/readyz", ""); status != 200 {
				return false
			}
		}
		return true
	})
}

func (c *cellTest) startHost(h *host) {
	log, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(impossible(err.Error()))
	}
	defer log.Close()
	h.cmd = exec.Command("target/laburnumpassd", "jobs")
	h.cmd.Env = []string{"LABURNUMPASS_SETTINGS=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		panic(impossible(err.Error()))
	}
	exited := make(chan struct{})
	h.exited = exited
	cmd := h.cmd
	go func() { _ = cmd.Wait(); close(exited) }()
}

// startRunner starts a runner, or starts it again at its address.
func (c *cellTest) startRunner(id string, args ...string) {
	p := c.runners[id]
	if p == nil {
		p = &runnerProcess{id: id, address: fmt.Sprintf("%s:%d", c.ip(2), freePort(c.ip(2)))}
		c.runners[id] = p
	}
	p.args = args
	self, err := os.Executable()
	if err != nil {
		panic(impossible(err.Error()))
	}
	p.cmd = exec.Command(self, append([]string{"runner", "-id", id, "-address", p.address, "-store", c.address}, args...)...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		panic(impossible(err.Error()))
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	up := func() int {
		return len(c.all(func(e event) bool { return e.runner == id && e.kind == "up" }))
	}
	before := up()
	go func() { c.follow(out); _ = cmd.Wait(); close(exited) }()
	c.await("runner "+id+" is up", 5*time.Second, func() bool { return up() > before })
}

// follow records what a runner tells.
func (c *cellTest) follow(out io.Reader) {
	for lines := bufio.NewScanner(out); lines.Scan(); {
		c.note("runner %s", lines.Text())
		f := strings.SplitN(lines.Text(), " ", 5)
		if len(f) < 4 {
			continue
		}
		e := event{runner: f[1], kind: f[2], task: f[3]}
		e.at, _ = strconv.ParseInt(f[0], 10, 64)
		if len(f) == 5 {
			e.rest = f[4]
			run, _, _ := strings.Cut(strings.TrimPrefix(f[4], "run="), " ")
			e.run, _ = strconv.Atoi(run)
		}
		c.mu.Lock()
		c.events = append(c.events, e)
		c.mu.Unlock()
	}
}

func (c *cellTest) crashRunner(id string) {
	c.note("runner %s crashes (SIGKILL)", id)
	p := c.runners[id]
	_ = p.cmd.Process.Kill()
	<-p.exited
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event{at: time.Now().UnixMilli(), runner: id, kind: "crash"})
}

func (c *cellTest) killAll() {
	for _, h := range c.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	for _, p := range c.runners {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range c.hosts {
			b, _ := os.ReadFile(filepath.Join(c.dir, h.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, h.name+".log"), b, 0o600)
		}
	}
}

func (c *cellTest) await(what string, limit time.Duration, holds func() bool) {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			panic(impossible("not in time: " + what))
		}
	}
}

var consumer = &http.Client{Timeout: 3 * time.Second}

// call makes a call of a consumer; the status is 0 without an answer.
func (c *cellTest) call(method, url, body string) (int, string) {
	q, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = "jobs.example"
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Ms", "3000")
	resp, err := consumer.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, b.String()
}

// submit hands a job in, with retries at other hosts, and reports whether it was accepted.
func (c *cellTest) submit(path, id, body string) bool {
	for n := range 5 {
		h := c.hosts[(n+int(id[15]))%len(c.hosts)]
		status, answer := c.call("POST", "http://"+h.callers+path+id, body)
		c.note("POST %s%s at %s: %d %s", path, id, h.name, status, strings.TrimSpace(answer))
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job at host n.
func (c *cellTest) state(n int, path, id string) (int, string) {
	status, answer := c.call("GET", "http://"+c.hosts[n%len(c.hosts)].callers+path+id, "")
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(answer), &b)
	return status, b.State
}

// all returns the events so far that fit.
func (c *cellTest) all(fits func(event) bool) []event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []event
	for _, e := range c.events {
		if fits(e) {
			found = append(found, e)
		}
	}
	return found
}

// last returns the last event of a task that fits.
func (c *cellTest) last(fits func(event) bool) (event, bool) {
	found := c.all(fits)
	if len(found) == 0 {
		return event{}, false
	}
	return found[len(found)-1], true
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0xa0000000+n) }
