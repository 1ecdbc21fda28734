// Package storetest provides an in-memory store with fault injection, and the
// contract tests that every implementation of store.Store must pass.
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

// Fault determines how the store handles a call.
type Fault int

const (
	// NoFault executes the call and replies.
	NoFault Fault = iota
	// Refuse does not execute the call and replies with store.ErrNotApplied.
	Refuse
	// DropRequest does not execute the call and does not reply.
	DropRequest
	// DropReply executes an append and does not reply. Reads reply as usual.
	DropReply
)

// pageSize is small so that a few records fill several pages.
const pageSize = 50

type partition struct {
	records     []store.Record
	firstOffset int64
	latest      map[string]store.Record
	producers   map[string]*producer
	changed     chan struct{}
}

type producer struct {
	epoch, nextSequence int64
	// endBySequence contains the result of each append of the epoch by its sequence
	// number, which is returned again for a duplicate.
	endBySequence map[int64]int64
}

// Memory is an in-memory store. Its zero value is ready for use.
type Memory struct {
	// Latency delays each call, and ReadLatency the reads besides, as if their replies
	// arrived slowly.
	Latency, ReadLatency time.Duration

	mu         sync.Mutex
	partitions map[string]*partition
	fault      func(call, topic string) Fault
	// rejects and the two limits are those of SetRejects and SetLimits.
	rejects                        func(store.Record) bool
	maxRecordBytes, maxAppendBytes int
	appendCount                    int
}

var _ store.Store = (*Memory)(nil)

// SetFault sets the function that chooses the fault of each call ("append", "read"
// or "newest", which is ReadCompacted). nil ends all faults.
func (m *Memory) SetFault(fault func(call, topic string) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

// SetLimits limits the size of a record, which is its key, its value and one byte, and
// that of an append, which is its records with 4 bytes of framing each. 0 means no limit.
func (m *Memory) SetLimits(recordBytes, appendBytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxRecordBytes, m.maxAppendBytes = recordBytes, appendBytes
}

// SetRejects sets the function that chooses the records whose appends are rejected. nil
// ends that.
func (m *Memory) SetRejects(rejects func(store.Record) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rejects = rejects
}

// checkRecords returns a wrapped store.ErrRejected if an append is rejected for its
// records. The caller must hold m.mu.
func (m *Memory) checkRecords(records []store.Record) error {
	size := 0
	for _, r := range records {
		record := 1 + len(r.Key) + len(r.Value)
		size += 4 + record
		if len(r.Key) > 255 || m.maxRecordBytes > 0 && record > m.maxRecordBytes || m.rejects != nil && m.rejects(r) {
			return errors.Wrapf(store.ErrRejected, "record of %d bytes", record)
		}
	}
	if m.maxAppendBytes > 0 && size > m.maxAppendBytes {
		return errors.Wrapf(store.ErrRejected, "append of %d bytes", size)
	}
	return nil
}

// AppendCount returns the number of appends that were executed.
func (m *Memory) AppendCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.appendCount
}

// Truncate drops the history of a topic. ReadCompacted still returns the newest
// record of each key.
func (m *Memory) Truncate(topic string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.partition(topic)
	p.firstOffset += int64(len(p.records))
	p.records = nil
	p.notifyReaders()
}

func (p *partition) end() int64 { return p.firstOffset + int64(len(p.records)) }

func (p *partition) notifyReaders() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (m *Memory) partition(topic string) *partition {
	if m.partitions == nil {
		m.partitions = make(map[string]*partition)
	}
	p := m.partitions[topic]
	if p == nil {
		p = &partition{latest: make(map[string]store.Record), producers: make(map[string]*producer), changed: make(chan struct{})}
		m.partitions[topic] = p
	}
	return p
}

// beginCall waits for the latency and returns the fault of a call. It returns an
// error if the call must not be executed; with DropRequest it first waits until
// ctx is done or, if silence is not 0, for that long.
func (m *Memory) beginCall(ctx context.Context, call, topic string, silence time.Duration) (Fault, error) {
	latency := m.Latency
	if call != "append" {
		latency += m.ReadLatency
	}
	if latency > 0 {
		time.Sleep(latency)
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
		var silent <-chan time.Time
		if silence > 0 {
			silent = time.After(silence)
		}
		select {
		case <-ctx.Done():
		case <-silent:
		}
		return f, errors.Wrap(store.ErrOutcomeUnknown, "injected")
	}
	if ctx.Err() != nil {
		return f, errors.Wrap(store.ErrNotApplied, ctx.Err().Error())
	}
	return f, nil
}

// Append implements store.Store.
func (m *Memory) Append(ctx context.Context, a store.Append) (int64, error) {
	fault, err := m.beginCall(ctx, "append", a.Topic, 0)
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
	p := m.partition(a.Topic)
	if err := m.checkRecords(a.Records); err != nil {
		return 0, err
	}
	if a.ExpectedEnd != nil && *a.ExpectedEnd != p.end() {
		return 0, errors.WithStack(&store.ConditionError{End: p.end()})
	}
	if a.Producer != "" {
		end, duplicate, err := p.checkSequence(a)
		if duplicate || err != nil {
			return end, err
		}
	}
	for _, r := range a.Records {
		r.Offset = p.end()
		p.records = append(p.records, r)
		if len(r.Value) == 0 {
			delete(p.latest, r.Key)
		} else {
			p.latest[r.Key] = r
		}
	}
	m.appendCount++
	if a.Producer != "" {
		p.producers[a.Producer].endBySequence[a.Sequence] = p.end()
	}
	p.notifyReaders()
	return p.end(), nil
}

// checkSequence checks the epoch and the sequence number of an append. duplicate
// means that the append was executed before, with the result end.
func (p *partition) checkSequence(a store.Append) (end int64, duplicate bool, err error) {
	pr := p.producers[a.Producer]
	switch {
	case pr == nil || a.Epoch > pr.epoch:
		pr = &producer{epoch: a.Epoch, nextSequence: a.Sequence, endBySequence: make(map[int64]int64)}
		p.producers[a.Producer] = pr
	case a.Epoch < pr.epoch:
		return 0, false, errors.WithStack(store.ErrFenced)
	}
	if end, ok := pr.endBySequence[a.Sequence]; ok {
		return end, true, nil
	}
	if a.Sequence != pr.nextSequence {
		return 0, false, errors.WithStack(&store.SequenceError{Expected: pr.nextSequence})
	}
	pr.nextSequence++
	return 0, false, nil
}

// Read implements store.Store.
func (m *Memory) Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]store.Record, int64, error) {
	if _, err := m.beginCall(ctx, "read", topic, wait+store.ReadSilence); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		p := m.partition(topic)
		if from < p.firstOffset {
			first := p.firstOffset
			m.mu.Unlock()
			return nil, 0, errors.WithStack(&store.TruncatedError{First: first})
		}
		records, end, changed := slices.Clone(p.records[min(from, p.end())-p.firstOffset:]), p.end(), p.changed
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
	if _, err := m.beginCall(ctx, "newest", topic, store.ReadSilence); err != nil {
		return store.Page{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.partition(topic)
	page := store.Page{End: p.end()}
	for key, r := range p.latest {
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
