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

const (
	storeLatency   = 4 * time.Millisecond
	storePageItems = 500
	// rememberedAppends is how many of a producer's last appends are answered again
	// when they are repeated.
	rememberedAppends = 5
	// maxRecord and maxRequest are record-bytes and request-bytes.
	maxRecord, maxRequest = 262144, 2097152
)

// storeStandIn is the platform's store. It keeps the whole history of each topic, which
// has one partition.
type storeStandIn struct {
	// onRefused is told of each append that is too large: its topic, the size of the
	// record, or of one of its records, and its own size. It may be nil.
	onRefused func(topic string, record, request int)

	mu     sync.Mutex
	topics map[string]*topic
}

type storeRecord struct {
	offset int64
	raw    []byte
}

type topic struct {
	records   []storeRecord
	producers map[string]*producer
	changed   chan struct{}
}

type producer struct {
	epoch, next int64
	ends        map[int64][2]int64
}

func newStore() *storeStandIn { return &storeStandIn{topics: make(map[string]*topic)} }

// topic returns a topic. The caller must hold s.mu.
func (s *storeStandIn) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{producers: make(map[string]*producer), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return int64(len(t.records)) }

// put appends the newest record of a key for the platform itself. A nil value removes
// the key.
func (s *storeStandIn) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.topic(name).append([][]byte{append(raw, value...)})
}

func (t *topic) append(raw [][]byte) {
	for _, r := range raw {
		t.records = append(t.records, storeRecord{t.end(), r})
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *storeStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/log-append":
		s.serveAppend(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/log-read":
		s.serveRead(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *storeStandIn) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var raw [][]byte
	for size := len(body); len(body) >= 4; {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		if n > maxRecord || size > maxRequest {
			if s.onRefused != nil {
				s.onRefused(r.URL.Query().Get("topic"), n, size)
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		raw, body = append(raw, body[4:4+n]), body[4+n:]
	}
	if len(body) > 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	if query.Has("at") && number(r, "at") != t.end() {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": t.end()})
		return
	}
	var p *producer
	seq := number(r, "seq")
	if name := query.Get("producer"); name != "" {
		epoch := number(r, "epoch")
		p = t.producers[name]
		switch {
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, next: seq, ends: make(map[int64][2]int64)}
			t.producers[name] = p
		case epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if earlier, ok := p.ends[seq]; ok {
			reply(w, http.StatusOK, map[string]any{"offset": earlier[0], "end": earlier[1]})
			return
		}
		if seq != p.next {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next})
			return
		}
	}
	offset := t.end()
	t.append(raw)
	if p != nil && len(raw) > 0 {
		p.ends[seq] = [2]int64{offset, t.end()}
		delete(p.ends, seq-rememberedAppends)
		p.next++
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": t.end()})
}

func (s *storeStandIn) serveRead(w http.ResponseWriter, r *http.Request) {
	from, deadline := number(r, "from"), time.After(time.Duration(number(r, "wait-ms"))*time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		changed, end := t.changed, t.end()
		var records []storeRecord
		if from < end {
			records = t.records[from:]
		}
		s.mu.Unlock()
		if len(records) > 0 || expired || number(r, "wait-ms") == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record.raw)))
				body = append(body, record.raw...)
			}
			_, _ = w.Write(body) // the caller may be gone
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *storeStandIn) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	newest, end := make(map[string]storeRecord), t.end()
	for _, record := range t.records {
		n := 1 + int(record.raw[0])
		if key := string(record.raw[1:n]); len(record.raw) == n {
			delete(newest, key)
		} else {
			newest[key] = record
		}
	}
	s.mu.Unlock()
	var keys []string
	for key := range newest {
		if strings.Compare(key, r.URL.Query().Get("depends-on")) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > storePageItems
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), storePageItems)] {
		record := newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(record.raw[1+len(key):]), "offset": record.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "end": end})
}
