package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["tenant"] = playTenant }

const (
	tenantKey   = "key-5f0c"
	otherKey    = "key-77d1"
	urgentPath  = "/urgent/"
	batchPath   = "/batch/"
	unmetKind   = "z" // no runner is of this kind
	tenantCores = 100
)

// playTenant lets one of twenty urgent jobs of a tenant be one that can never be done: its
// tasks require a kind of runner that does not exist. The tenant's other jobs have to run:
// the runners are idle, and the tenant has nothing running.
func playTenant(w *world) {
	w.publishTenants(1, tenantCores)
	w.addRunners(8, 32000)
	w.addHosts(3)
	urgent := func(n int) string { return fmt.Sprintf("e0000000000000%02x", n) }
	batch := func(n int) string { return fmt.Sprintf("f0000000000000%02x", n) }
	const small = `{"spec":"run 500ms","steps":[{"count":2,"cpu":2000,"mem-mb":512,"estimate-ms":500}]}`
	for n := range 20 {
		body := small
		if n == 10 && w.trouble {
			body = fmt.Sprintf(`{"spec":"run 500ms","steps":[{"count":60,"cpu":4000,"mem-mb":512,"estimate-ms":500,"requires":%q}]}`, unmetKind)
		}
		w.submitAs(urgentPath, urgent(n), tenantKey, body)
		time.Sleep(150 * time.Millisecond)
	}
	for n := range 10 {
		w.submitAs(batchPath, batch(n), tenantKey, small)
		w.submitAs(batchPath, batch(0x40+n), otherKey, small)
		time.Sleep(150 * time.Millisecond)
	}
	w.note("end of the traffic")
	end := time.Now()
	var tasks, first, second []string // of both tenants, and the jobs of each
	for n := range 20 {
		first = append(first, urgent(n))
		if n != 10 {
			tasks = append(tasks, urgent(n)+".0.0.0")
		}
	}
	for n := range 10 {
		tasks = append(tasks, batch(n)+".0.0.0")
		first, second = append(first, batch(n)), append(second, batch(0x40+n))
	}
	judgeTenant(w, tasks, first, 1000*tenantCores, end, 30*time.Second)
	for n := range 10 {
		w.stateAs(batchPath, batch(n), tenantKey)
		if state := w.stateAs(batchPath, second[n], otherKey); state != "completed" {
			w.cannotRun("job %s of the other tenant is %q", second[n], state)
		}
	}
}

// publishTenants writes a manifest with an urgent and a batch queue of one service, and two
// tenants, the first of which may have that many cores running.
func (w *world) publishTenants(version, cores int) {
	route := func(name, path string, priority int) map[string]any {
		return map[string]any{"name": name, "host": queueHost, "path-prefix": path, "service": serviceName, "priority": priority, "max-attempts": 4, "stretch": 2, "target-latency-ms": 400, "timeout-ms": 3000}
	}
	tenant := func(name, key string, cores int) map[string]any {
		return map[string]any{"name": name, "api-keys": []string{key}, "weight": 10, "max-count": map[string]int{"cpu": 1000 * cores, "mem-mb": 0, "gpu": 0}}
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": []any{route("urgent", urgentPath, 0), route("batch", batchPath, 2)},
		"services": []any{map[string]any{"name": serviceName, "rejects-overload": false}}, "limits": map[string]any{"max-body-bytes": 262144},
		"tenants": []any{tenant("t1", tenantKey, cores), tenant("t2", otherKey, tenantCores)},
	})
	w.put("op", "config", value)
	w.note("manifest %d: t1 may have %d cores", version, cores)
}

func (w *world) callAs(method, url, key, body string) (int, string) {
	q, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	q.Header.Set("Authorization", "Bearer "+key)
	return w.send(q, queueHost)
}

// submitAs is submit with a path prefix and a tenant's key.
func (w *world) submitAs(path, id, key, body string) {
	w.noteJob(id, body)
	for n := 0; n < 40; n++ {
		h := w.hosts[n%len(w.hosts)]
		status, _ := w.callAs(http.MethodPost, "http://"+h.callers+path+id, key, body)
		w.note("POST %s%s at %s: %d %s", path, id, h.name, status, body)
		if status/100 == 2 {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	w.cannotRun("job %s is not accepted", id)
}

func (w *world) stateAs(path, id, key string) string {
	for n := 0; n < 6; n++ {
		h := w.hosts[n%len(w.hosts)]
		status, body := w.callAs(http.MethodGet, "http://"+h.callers+path+id, key, "")
		w.note("GET %s%s at %s: %d %s", path, id, h.name, status, strings.TrimSpace(body))
		if status == http.StatusOK {
			var s struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(body), &s)
			return s.State
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}
