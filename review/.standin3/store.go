package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// entryExpiry is how long the registry keeps the entry of a runner that is silent: three
// heartbeat intervals.
const entryExpiry = 3 * heartbeat

type record struct {
	key   string
	value []byte
	at    int64
}

type producer struct {
	epoch, next int64
	answers     map[int64][2]int64
}

type topic struct {
	records   []record // all records; nothing expires within a test
	newest    map[string]record
	producers map[string]*producer
	changed   chan struct{}
}

// store is the platform's log store.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	seen   map[string]time.Time // last heartbeat of each registry entry
	// silent, if set, reports whether a call of a host gets no answer and is not executed.
	silent func(r *http.Request) bool
}

func newStore() *store {
	s := &store{topics: map[string]*topic{}, seen: map[string]time.Time{}}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.mu.Lock()
			for id, at := range s.seen {
				if time.Since(at) > entryExpiry {
					delete(s.seen, id)
					s.append("keyed.servers", []record{{key: id}})
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (s *store) append(name string, records []record) (first int64) {
	t := s.topic(name)
	first = int64(len(t.records))
	for _, r := range records {
		r.at = int64(len(t.records))
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

// put is a write of the operator or of a runner.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "keyed.servers" {
		s.seen[key] = time.Now()
	}
	s.append(name, []record{{key: key, value: value}})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent != nil && s.silent(r)
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	time.Sleep(storeLatency)
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, name)
	case "/log-read":
		s.serveRead(w, r, name)
	case "/log-newest":
		s.serveNewest(w, r, name)
	case "/runner": // only runners call this
		b, _ := io.ReadAll(r.Body)
		s.put("keyed.servers", r.URL.Query().Get("id"), b)
		reply(w, 200, map[string]int{})
	default:
		w.WriteHeader(404)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	if name == "keyed.op" || name == "keyed.servers" || !strings.HasPrefix(name, "keyed.") {
		w.WriteHeader(403)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []record
	for len(body) > 0 {
		if len(body) < 4 {
			w.WriteHeader(400)
			return
		}
		n := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; n < 1 || n > len(body) || n > 262144 || int(body[0]) >= n {
			w.WriteHeader(400)
			return
		}
		k := 1 + int(body[0])
		records = append(records, record{key: string(body[1:k]), value: append([]byte(nil), body[k:n]...)})
		body = body[n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := int64(len(t.records))
	if r.URL.Query().Has("at") && number(r, "at") != end {
		reply(w, 412, map[string]int64{"end": end})
		return
	}
	if id := r.URL.Query().Get("producer"); id != "" {
		epoch, seq := number(r, "epoch"), number(r, "seq")
		p := t.producers[id]
		switch {
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, next: seq, answers: map[int64][2]int64{}}
			t.producers[id] = p
		case epoch < p.epoch:
			reply(w, 409, map[string]any{"reason": "fenced"})
			return
		}
		if a, known := p.answers[seq]; known && seq < p.next && seq >= p.next-5 {
			reply(w, 200, map[string]int64{"offset": a[0], "end": a[1]})
			return
		}
		if seq != p.next {
			reply(w, 409, map[string]any{"reason": "seq", "seq": p.next})
			return
		}
		if len(records) > 0 {
			p.next++
			p.answers[seq] = [2]int64{end, end + int64(len(records))}
		}
	}
	first := s.append(name, records)
	reply(w, 200, map[string]int64{"offset": first, "end": first + int64(len(records))})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, deadline := number(r, "from"), time.After(time.Duration(number(r, "wait-ms"))*time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(name)
		records, changed := t.records, t.changed
		s.mu.Unlock()
		waiting := int64(len(records)) <= from
		if waiting {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
			}
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		body = binary.BigEndian.AppendUint64(body, 0)
		for n := from; n < int64(len(records)) && len(body) < 1<<20; n++ {
			x := records[n]
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(x.key)+len(x.value)))
			body = append(append(append(body, byte(len(x.key))), x.key...), x.value...)
		}
		_, _ = w.Write(body)
		return
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, name string) {
	after := r.URL.Query().Get("depends-on")
	s.mu.Lock()
	t := s.topic(name)
	end := int64(len(t.records))
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > 500
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), 500)] {
		x := t.newest[k]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(x.value), "offset": x.at})
	}
	s.mu.Unlock()
	reply(w, 200, map[string]any{"items": items, "truncated": truncated, "end": end})
}

// holder returns the host that schedules a service, by its newest record.
func (s *store) holder(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var h struct {
		Host string `json:"host"`
	}
	_ = json.Unmarshal(s.topic("keyed.lead." + service).newest["holder"].value, &h)
	return h.Host
}
