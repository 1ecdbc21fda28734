// Package storetest has a store in memory with faults, and the contract that
// every client of a store must meet.
package storetest

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/store"
)

// Fault is how the store treats a call.
type Fault int

const (
	// NoFault: the call is carried out and answered.
	NoFault Fault = iota
	// Refuse: the call is not carried out and the caller is told so.
	Refuse
	// DropRequest: the call is not carried out and not answered.
	DropRequest
	// DropReply: the call is carried out and not answered.
	DropReply
)

// pageSize is small so that few records make several pages.
const pageSize = 50

type partition struct {
	records   []store.Record
	first     int64
	newest    map[string]store.Record
	producers map[string]*producer
	changed   chan struct{}
}

type producer struct {
	epoch, next int64
	// last has the first answers of the last appends by sequence number.
	last map[int64]int64
}

// Memory is a store in memory. Its zero value is ready for use.
type Memory struct {
	// Latency is the time that each call takes.
	Latency time.Duration

	mu     sync.Mutex
	parts  map[string]*partition
	fault  func(call, topic string) Fault
	writes int
}

var _ store.Store = (*Memory)(nil)

// SetFault sets how calls ("append", "read", "newest") on a topic are treated;
// nil ends all faults.
func (m *Memory) SetFault(fault func(call, topic string) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

// AppendCount returns the number of appends that were carried out.
func (m *Memory) AppendCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}

// Truncate drops the history of a topic; the newest records of the keys stay.
func (m *Memory) Truncate(topic string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.part(topic)
	p.first += int64(len(p.records))
	p.records = nil
	p.wake()
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

func (p *partition) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (m *Memory) part(topic string) *partition {
	if m.parts == nil {
		m.parts = make(map[string]*partition)
	}
	p := m.parts[topic]
	if p == nil {
		p = &partition{newest: make(map[string]store.Record), producers: make(map[string]*producer), changed: make(chan struct{})}
		m.parts[topic] = p
	}
	return p
}

// enter waits for the latency and returns the fault of a call. A silent call
// ends with its context.
func (m *Memory) enter(ctx context.Context, call, topic string) (Fault, error) {
	if m.Latency > 0 {
		time.Sleep(m.Latency)
	}
	m.mu.Lock()
	fault := m.fault
	m.mu.Unlock()
	f := NoFault
	if fault != nil {
		f = fault(call, topic)
	}
	switch f {
	case Refuse:
		return f, errors.Wrap(store.ErrNotApplied, "injected")
	case DropRequest:
		<-ctx.Done()
		return f, errors.Wrap(store.ErrOutcomeUnknown, "injected")
	}
	if ctx.Err() != nil {
		return f, errors.Wrap(store.ErrNotApplied, ctx.Err().Error())
	}
	return f, nil
}

// Append implements store.Store.
func (m *Memory) Append(ctx context.Context, a store.Append) (int64, error) {
	fault, err := m.enter(ctx, "append", a.Topic)
	if err != nil {
		return 0, err
	}
	end, err := m.append(a)
	if fault == DropReply {
		<-ctx.Done()
		return 0, errors.Wrap(store.ErrOutcomeUnknown, "injected")
	}
	return end, err
}

func (m *Memory) append(a store.Append) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.part(a.Topic)
	if a.ExpectedEnd != nil && *a.ExpectedEnd != p.end() {
		return 0, errors.WithStack(&store.ConditionError{End: p.end()})
	}
	if a.Producer != "" {
		end, done, err := p.sequence(a)
		if done || err != nil {
			return end, err
		}
	}
	for _, r := range a.Records {
		r.Offset = p.end()
		p.records = append(p.records, r)
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
		} else {
			p.newest[r.Key] = r
		}
	}
	m.writes++
	if a.Producer != "" {
		p.producers[a.Producer].last[a.Sequence] = p.end()
	}
	p.wake()
	return p.end(), nil
}

// sequence checks the producer of an append; done means that it is a repeat.
func (p *partition) sequence(a store.Append) (end int64, done bool, err error) {
	pr := p.producers[a.Producer]
	switch {
	case pr == nil || a.Epoch > pr.epoch:
		pr = &producer{epoch: a.Epoch, next: a.Sequence, last: make(map[int64]int64)}
		p.producers[a.Producer] = pr
	case a.Epoch < pr.epoch:
		return 0, false, errors.WithStack(store.ErrFenced)
	}
	if end, ok := pr.last[a.Sequence]; ok {
		return end, true, nil
	}
	if a.Sequence != pr.next {
		return 0, false, errors.WithStack(&store.SequenceError{Expected: pr.next})
	}
	pr.next++
	return 0, false, nil
}

// Read implements store.Store.
func (m *Memory) Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]store.Record, int64, error) {
	if _, err := m.enter(ctx, "read", topic); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		p := m.part(topic)
		if from < p.first {
			first := p.first
			m.mu.Unlock()
			return nil, 0, errors.WithStack(&store.TruncatedError{First: first})
		}
		records, end, changed := slices.Clone(p.records[min(from, p.end())-p.first:]), p.end(), p.changed
		m.mu.Unlock()
		if len(records) > 0 || wait <= 0 {
			return records, end, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, end, nil
		case <-ctx.Done():
			return nil, 0, errors.Wrap(store.ErrOutcomeUnknown, ctx.Err().Error())
		}
	}
}

// ReadCompacted implements store.Store.
func (m *Memory) ReadCompacted(ctx context.Context, topic, after string) (store.Page, error) {
	if _, err := m.enter(ctx, "newest", topic); err != nil {
		return store.Page{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.part(topic)
	page := store.Page{End: p.end()}
	for key, r := range p.newest {
		if key > after {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b store.Record) int { return cmp.Compare(a.Key, b.Key) })
	if len(page.Records) > pageSize {
		page.Records = page.Records[:pageSize]
		page.Next = page.Records[pageSize-1].Key
	}
	return page, nil
}
