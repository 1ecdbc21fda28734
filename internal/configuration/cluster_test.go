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

// fakeLog is a platform log in memory.
type fakeLog struct {
	// mu guards the log and all injected faults of the cluster.
	mu sync.Mutex
	// records holds every record ever appended; those with an offset below
	// firstKept are dropped.
	records   []platform.Record
	firstKept uint64
	// appendErrs are returned by the next appends, one by each, whether or not
	// the append takes effect; see loseAppends.
	appendErrs []error
	// loseAppends makes an append that returns an error of appendErrs have no
	// effect. Without it, the record is appended and only the reply is lost.
	loseAppends bool
}

// append adds a record. l.mu must be held.
func (l *fakeLog) append(data []byte) uint64 {
	offset := uint64(len(l.records) + 1)
	l.records = append(l.records, platform.Record{Offset: offset, Appended: time.Now(), Data: data})
	return offset
}

// drop removes all but the newest records. l.mu must be held.
func (l *fakeLog) drop(keep int) {
	l.firstKept = max(l.firstKept, uint64(len(l.records)-min(keep, len(l.records))+1))
}

// snapshots returns the number of snapshots that were ever appended.
func (l *fakeLog) snapshots() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, rec := range l.records {
		if env, err := contract.Decode(rec.Data); err == nil && env.Snapshot != nil {
			n++
		}
	}
	return n
}

// hostLog is a host's client of the log, with the faults of that host.
type hostLog struct {
	*fakeLog
	readDown, appendDown bool
	delay                time.Duration
	// afterAppend is called after an append took effect.
	afterAppend func()
	// alterRecords changes the records of a read reply.
	alterRecords func([]platform.Record) []platform.Record
}

// lockAfterDelay waits for the host's delay and locks the log.
func (l *hostLog) lockAfterDelay(ctx context.Context) error {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	err := wait(ctx, delay)
	l.mu.Lock()
	return err
}

// Append implements platform.Log. An error of appendErrs is returned after the
// record was appended or, if loseAppends is set, without appending it.
func (l *hostLog) Append(ctx context.Context, data []byte) (uint64, error) {
	err := l.lockAfterDelay(ctx)
	defer l.mu.Unlock()
	if err != nil || l.appendDown {
		return 0, platform.ErrUnavailable
	}
	if len(l.appendErrs) > 0 {
		err, l.appendErrs = l.appendErrs[0], l.appendErrs[1:]
	}
	if err != nil && l.loseAppends {
		return 0, err
	}
	offset := l.append(data)
	if l.afterAppend != nil {
		l.afterAppend()
	}
	return offset, err
}

func (l *hostLog) Read(ctx context.Context, from uint64, limit int) (platform.ReadReply, error) {
	err := l.lockAfterDelay(ctx)
	defer l.mu.Unlock()
	if err != nil || l.readDown {
		return platform.ReadReply{}, platform.ErrUnavailable
	}
	first := max(l.firstKept, 1)
	if from < first {
		return platform.ReadReply{}, &platform.TruncatedError{First: first}
	}
	next := uint64(len(l.records) + 1)
	records := slices.Clone(l.records[min(from, next)-1 : min(from-1+uint64(limit), next-1)])
	if l.alterRecords != nil {
		records = l.alterRecords(records)
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

// host is one entry host.
type host struct {
	cluster *cluster
	name    string
	log     *hostLog
	reader  *Reader
	pub     *Publisher
	ctx     context.Context
	stop    context.CancelFunc
	done    chan struct{}
	// isolated cuts the host off from its peers. running is set between start
	// and stop.
	isolated, running bool
	// alterDelta changes the deltas that the host sends to its peers;
	// extraDelay delays its replies; calls counts the calls that it received.
	alterDelta     func(*Delta)
	extraDelay     time.Duration
	calls          int
	appliedOffsets *[]uint64
}

func (h *host) Name() string { return h.name }

func (h *host) ConfigSince(ctx context.Context, offset uint64, limit int) (Delta, error) {
	h.log.mu.Lock()
	delay := 2*time.Millisecond + h.extraDelay
	h.log.mu.Unlock()
	if err := wait(ctx, delay); err != nil {
		return Delta{}, err
	}
	h.log.mu.Lock()
	reachable, alter := h.running && !h.isolated, h.alterDelta
	h.calls++
	h.log.mu.Unlock()
	if !reachable {
		return Delta{}, errors.New("unreachable")
	}
	d := h.reader.Since(offset, limit)
	if alter != nil && limit > 0 {
		alter(&d)
	}
	return d, nil
}

// cluster is a set of hosts that share one log. Host 0 is the poller and, if
// retention is set, the snapshotter.
type cluster struct {
	t         require.TestingT
	log       *fakeLog
	retention time.Duration
	hosts     []*host
	seq       int
}

func newCluster(t require.TestingT, count int) *cluster {
	c := &cluster{t: t, log: &fakeLog{}}
	for i := range count {
		c.hosts = append(c.hosts, &host{cluster: c, name: fmt.Sprintf("host-%d", i), log: &hostLog{fakeLog: c.log}})
	}
	return c
}

// withLock calls change, which injects or ends faults or appends records, while
// the log is locked.
func (c *cluster) withLock(change func()) {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	change()
}

// setReads enables or disables reads of the log by hosts.
func (c *cluster) setReads(on bool, hosts ...*host) {
	c.withLock(func() {
		for _, h := range hosts {
			h.log.readDown = !on
		}
	})
}

// isolate cuts hosts off from their peers and from reads of the log.
func (c *cluster) isolate(hosts ...*host) {
	c.setReads(false, hosts...)
	c.withLock(func() {
		for _, h := range hosts {
			h.isolated = true
		}
	})
}

// leaveHost0Ahead lets only host 0 read five more records, appends a number of
// records that no host reads, and then drops all of them, so that the other
// hosts bridge the gap.
func (c *cluster) leaveHost0Ahead(more int) {
	c.isolate(c.hosts...)
	c.setReads(true, c.hosts[0])
	c.appendQuotas(5)
	c.runWithHeartbeats(time.Second)
	c.setReads(false, c.hosts[0])
	c.appendQuotas(more)
	c.withLock(func() { c.log.drop(0); c.hosts[1].isolated, c.hosts[2].isolated = false, false })
	c.setReads(true, c.hosts[1:]...)
	c.runWithHeartbeats(20 * time.Second)
}

func (c *cluster) start(hosts ...*host) {
	for _, h := range hosts {
		first := h == c.hosts[0]
		applied := &[]uint64{}
		h.reader = New(Options{Self: h.name, Log: h.log, Retention: c.retention,
			IsPoller:      func() bool { return first },
			IsSnapshotter: func() bool { return first && c.retention > 0 },
			Peers: func() (list []Peer) {
				c.log.mu.Lock()
				defer c.log.mu.Unlock()
				for _, o := range c.hosts {
					if o != h && o.running && !h.isolated {
						list = append(list, o)
					}
				}
				return list
			},
			OnApplied: func(offset uint64) { *applied = append(*applied, offset) }})
		h.pub = NewPublisher(h.reader, h.log)
		h.ctx, h.stop = context.WithCancel(context.Background())
		h.done, h.appliedOffsets = make(chan struct{}), applied
		c.withLock(func() { h.running = true })
		go func() { defer close(h.done); _ = h.reader.Run(h.ctx) }()
	}
}

func (c *cluster) stop(hosts ...*host) {
	for _, h := range hosts {
		if h.running {
			h.stop()
			<-h.done
			synctest.Wait() // For publishes that use h.ctx.
			c.withLock(func() { h.running = false })
			require.True(c.t, slices.IsSorted(*h.appliedOffsets), "the applied offset decreased: %v", *h.appliedOffsets)
		}
	}
}

// runWithHeartbeats lets time pass, with heartbeats every 100 ms.
func (c *cluster) runWithHeartbeats(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		synctest.Wait()
		for _, h := range c.hosts {
			for _, o := range c.hosts {
				if h != o && h.running && o.running && !h.isolated && !o.isolated {
					h.reader.ObservePeerOffset(o.name, o.reader.AppliedOffset())
				}
			}
		}
	}
	synctest.Wait()
}

// sleepWithoutHeartbeats lets time pass without heartbeats.
func (c *cluster) sleepWithoutHeartbeats(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// quotaRecord returns a record that sets a team's quota. basedOn is the version of
// the quota that it replaces; 0 creates the quota.
func (c *cluster) quotaRecord(team string, basedOn uint64, slots int) contract.Record {
	c.seq++
	return contract.Record{PublishID: fmt.Sprint("publish-", c.seq), Kind: contract.KindQuota, Name: team, BasedOn: basedOn,
		Value: fmt.Appendf(nil, `{"slots":%d,"weight":1}`, slots), Author: fmt.Sprint("author-", c.seq)}
}

// appendQuotas appends records of new quotas to the log without a publisher.
func (c *cluster) appendQuotas(count int) {
	for range count {
		data, err := c.quotaRecord(fmt.Sprint("team-", c.seq), 0, 1).Encode()
		require.NoError(c.t, err)
		c.withLock(func() { c.log.append(data) })
	}
}

// replay returns the configuration after all records that were ever appended.
func (c *cluster) replay() *contract.Configuration { return c.replayTo(uint64(len(c.log.records))) }

// replayTo returns the configuration after all records up to an offset.
func (c *cluster) replayTo(offset uint64) *contract.Configuration {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	state := contract.EmptyConfiguration()
	for _, rec := range c.log.records[:offset] {
		state, _ = state.Apply(rec.Offset, rec.Data)
	}
	return state
}

// requireState checks that the active configuration of hosts equals want, byte
// for byte.
func (c *cluster) requireState(want *contract.Configuration, hosts ...*host) {
	for _, h := range hosts {
		got, ok := h.reader.Current()
		require.True(c.t, ok, h.name)
		require.Equal(c.t, want.Offset(), got.Offset(), h.name)
		require.Equal(c.t, want.Snapshot(), got.Snapshot(), h.name)
	}
}
