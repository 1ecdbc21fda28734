package entryhost

import "sync"

// cancelTable holds the requests that were cancelled while an attempt of them
// runs here, so that a task that was stopped before it began is not placed
// again.
type cancelTable struct {
	mu sync.Mutex
	// running counts the attempts of each request; cancelled is a part of it.
	running   map[string]int
	cancelled map[string]bool
}

func newCancelTable() *cancelTable {
	return &cancelTable{running: make(map[string]int), cancelled: make(map[string]bool)}
}

func (t *cancelTable) begin(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[id]++
}

func (t *cancelTable) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[id]--; t.running[id] <= 0 {
		delete(t.running, id)
		delete(t.cancelled, id)
	}
}

// cancel notes that no further task of a request that runs here may start.
func (t *cancelTable) cancel(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[id] > 0 {
		t.cancelled[id] = true
	}
}

func (t *cancelTable) has(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cancelled[id]
}
