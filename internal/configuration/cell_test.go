package configuration

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

// fakeLog is a log service in memory.
type fakeLog struct {
	// mu guards the log and all faults of the cell.
	mu sync.Mutex
	// all holds every record ever appended; those before first are dropped.
	all   []platform.Record
	first uint64
	// appendErrs are returned by the next appends instead of a reply; the
	// record is appended if the error is platform.ErrNoReply.
	appendErrs []error
	// lost makes the append with platform.ErrNoReply have no effect.
	lost bool
}

// append adds a record; l.mu is held.
func (l *fakeLog) append(data []byte) uint64 {
	offset := uint64(len(l.all) + 1)
	l.all = append(l.all, platform.Record{Offset: offset, Appended: time.Now(), Data: data})
	return offset
}

// drop removes all but the newest records; l.mu is held.
func (l *fakeLog) drop(keep int) {
	l.first = max(l.first, uint64(len(l.all)-min(keep, len(l.all))+1))
}

// snapshots counts the snapshots that were ever appended.
func (l *fakeLog) snapshots() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, rec := range l.all {
		if env, err := contract.Decode(rec.Data); err == nil && env.Snapshot != nil {
			n++
		}
	}
	return n
}

// nodeLog is a node's way to the log.
type nodeLog struct {
	*fakeLog
	readDown, appendDown bool
	delay                time.Duration
	// afterAppend is called after an append took effect.
	afterAppend func()
	// mangle changes the records of a reply.
	mangle func([]platform.Record) []platform.Record
}

// enter waits for the node's delay and locks the log.
func (l *nodeLog) enter(ctx context.Context) error {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	err := wait(ctx, delay)
	l.mu.Lock()
	return err
}

func (l *nodeLog) Append(ctx context.Context, data []byte) (uint64, error) {
	err := l.enter(ctx)
	defer l.mu.Unlock()
	if err != nil || l.appendDown {
		return 0, platform.ErrUnavailable
	}
	if len(l.appendErrs) > 0 {
		err, l.appendErrs = l.appendErrs[0], l.appendErrs[1:]
	}
	if err != nil && l.lost {
		return 0, err
	}
	offset := l.append(data)
	if l.afterAppend != nil {
		l.afterAppend()
	}
	return offset, err
}

func (l *nodeLog) Read(ctx context.Context, from uint64, limit int) (platform.ReadReply, error) {
	err := l.enter(ctx)
	defer l.mu.Unlock()
	if err != nil || l.readDown {
		return platform.ReadReply{}, platform.ErrUnavailable
	}
	first := max(l.first, 1)
	if from < first {
		return platform.ReadReply{}, &platform.TruncatedError{First: first}
	}
	next := uint64(len(l.all) + 1)
	records := slices.Clone(l.all[min(from, next)-1 : min(from-1+uint64(limit), next-1)])
	if l.mangle != nil {
		records = l.mangle(records)
	}
	return platform.ReadReply{Records: records, First: first, Next: next}, nil
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// node is one entry host.
type node struct {
	cell   *cell
	name   string
	log    *nodeLog
	reader *Reader
	pub    *Publisher
	ctx    context.Context
	stop   context.CancelFunc
	done   chan struct{}
	// isolated cuts the node off from its neighbours, running is false before
	// the start and after the stop.
	isolated, running bool
	// mangle changes what the node's neighbours get; calls counts their calls.
	mangle  func(*Delta)
	hang    time.Duration
	calls   int
	applied *[]uint64
}

func (n *node) Name() string { return n.name }

func (n *node) ConfigSince(ctx context.Context, offset uint64, limit int) (Delta, error) {
	n.log.mu.Lock()
	delay := 2*time.Millisecond + n.hang
	n.log.mu.Unlock()
	if err := wait(ctx, delay); err != nil {
		return Delta{}, err
	}
	n.log.mu.Lock()
	reachable, mangle := n.running && !n.isolated, n.mangle
	n.calls++
	n.log.mu.Unlock()
	if !reachable {
		return Delta{}, errors.New("unreachable")
	}
	d := n.reader.Since(offset, limit)
	if mangle != nil && limit > 0 {
		mangle(&d)
	}
	return d, nil
}

// cell is a set of nodes around one log. Node 0 is the poller and, if there
// is a retention time, the snapshotter.
type cell struct {
	t         require.TestingT
	log       *fakeLog
	retention time.Duration
	nodes     []*node
	seq       int
}

func newCell(t require.TestingT, n int) *cell {
	c := &cell{t: t, log: &fakeLog{}}
	for i := range n {
		c.nodes = append(c.nodes, &node{cell: c, name: fmt.Sprintf("host-%d", i), log: &nodeLog{fakeLog: c.log}})
	}
	return c
}

// do changes faults.
func (c *cell) do(change func()) {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	change()
}

// reads switches nodes' reads of the log on or off.
func (c *cell) reads(on bool, nodes ...*node) {
	c.do(func() {
		for _, n := range nodes {
			n.log.readDown = !on
		}
	})
}

// cut cuts nodes off from their neighbours and from reads of the log.
func (c *cell) cut(nodes ...*node) {
	c.reads(false, nodes...)
	c.do(func() {
		for _, n := range nodes {
			n.isolated = true
		}
	})
}

// lead lets only node 0 read five more records and then drops them, so that
// the others give them up.
func (c *cell) lead(more int) {
	c.cut(c.nodes...)
	c.reads(true, c.nodes[0])
	c.put(5)
	c.run(time.Second)
	c.reads(false, c.nodes[0])
	c.put(more)
	c.do(func() { c.log.drop(0); c.nodes[1].isolated, c.nodes[2].isolated = false, false })
	c.reads(true, c.nodes[1:]...)
	c.run(20 * time.Second)
}

func (c *cell) start(nodes ...*node) {
	for _, n := range nodes {
		first := n == c.nodes[0]
		applied := &[]uint64{}
		n.reader = New(Options{Self: n.name, Log: n.log, Retention: c.retention,
			IsPoller:      func() bool { return first },
			IsSnapshotter: func() bool { return first && c.retention > 0 },
			Peers: func() (list []Peer) {
				c.log.mu.Lock()
				defer c.log.mu.Unlock()
				for _, o := range c.nodes {
					if o != n && o.running && !n.isolated {
						list = append(list, o)
					}
				}
				return list
			},
			OnApplied: func(offset uint64) { *applied = append(*applied, offset) }})
		n.pub = NewPublisher(n.reader, n.log)
		n.ctx, n.stop = context.WithCancel(context.Background())
		n.done, n.applied = make(chan struct{}), applied
		c.do(func() { n.running = true })
		go func() { defer close(n.done); _ = n.reader.Run(n.ctx) }()
	}
}

func (c *cell) stop(nodes ...*node) {
	for _, n := range nodes {
		if n.running {
			n.stop()
			<-n.done
			synctest.Wait() // For publishes under n.ctx.
			c.do(func() { n.running = false })
			require.True(c.t, slices.IsSorted(*n.applied), "the applied offset fell: %v", *n.applied)
		}
	}
}

// run lets time pass, with heartbeats every 100 ms.
func (c *cell) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		synctest.Wait()
		for _, n := range c.nodes {
			for _, o := range c.nodes {
				if n != o && n.running && o.running && !n.isolated && !o.isolated {
					n.reader.ObservePeerOffset(o.name, o.reader.AppliedOffset())
				}
			}
		}
	}
	synctest.Wait()
}

// sleep lets time pass without heartbeats.
func (c *cell) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// quota returns a record for a team's quota that is based on a version.
func (c *cell) quota(team string, basedOn uint64, slots int) contract.Record {
	c.seq++
	return contract.Record{PublishID: fmt.Sprint("publish-", c.seq), Kind: contract.KindQuota, Name: team, BasedOn: basedOn,
		Value: fmt.Appendf(nil, `{"slots":%d,"weight":1}`, slots), Author: fmt.Sprint("author-", c.seq)}
}

// put appends a new quota to the log without a publisher.
func (c *cell) put(count int) {
	for range count {
		data, err := c.quota(fmt.Sprint("team-", c.seq), 0, 1).Encode()
		require.NoError(c.t, err)
		c.do(func() { c.log.append(data) })
	}
}

// fold returns the fold of everything that was ever in the log.
func (c *cell) fold() *contract.Configuration { return c.foldTo(uint64(len(c.log.all))) }

// foldTo returns the fold of everything up to an offset.
func (c *cell) foldTo(offset uint64) *contract.Configuration {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	state := contract.EmptyConfiguration()
	for _, rec := range c.log.all[:offset] {
		state, _ = state.Apply(rec.Offset, rec.Data)
	}
	return state
}

// requireEqual checks that nodes have the same state, to the byte.
func (c *cell) requireEqual(want *contract.Configuration, nodes ...*node) {
	for _, n := range nodes {
		got, ok := n.reader.Current()
		require.True(c.t, ok, n.name)
		require.Equal(c.t, want.Offset(), got.Offset(), n.name)
		require.Equal(c.t, want.Snapshot(), got.Snapshot(), n.name)
	}
}
