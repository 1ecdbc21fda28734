package request

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

var (
	errLinkFailed = errors.New("link failed")
	noReply       = Result{Outcome: api.Unknown, Reason: api.ReasonNoReply}
)

// testID returns an ID with the given creation time. uuid.NewV7 cannot be used
// in a synctest bubble, because it never returns to an earlier time.
func testID(created time.Time, tail ...byte) string {
	var u uuid.UUID
	if len(tail) == 0 {
		u = uuid.New()
	}
	copy(u[16-len(tail):], tail)
	ms := created.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8] = u[6]&15|0x70, u[8]&0x3f|0x80
	return "zone/" + u.String()
}

// fakeWorker is the single worker that all hosts share. It records starts and
// fences.
type fakeWorker struct {
	mu            sync.Mutex
	fenced, done  map[string]bool
	runs          map[string]int
	duplicates    int // starts of a task that had already started
	rejected      int
	unknownReason atomic.Pointer[api.Reason] // if set, why Resolve cannot learn the outcome
}

func (w *fakeWorker) start(task, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.done[task]:
		w.duplicates++
	case w.fenced[task]:
		w.rejected++
	default:
		w.done[task] = true
		w.runs[id]++
		return true
	}
	return false
}

func (w *fakeWorker) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// cluster holds the entry hosts of one failure domain. They share one view of
// the membership, except for hosts that are paused or must rejoin.
type cluster struct {
	mu      sync.Mutex
	ctx     context.Context
	hosts   []*fakeHost
	worker  fakeWorker
	options []func(*Options)
}

type fakeHost struct {
	c                         *cluster
	name                      string
	k                         *Keeper
	dead, paused              bool
	live, joining, mustRejoin bool
	stoppedAt                 time.Time
	changed                   chan struct{}
	blocked                   map[string]bool                         // points at which this host blocks, see waitAt
	acksToLose                int                                     // acknowledgements that Replicate still drops
	keeperOverride            func(id string) string                  // replaces this host's view of who is the keeper
	resultOverride            func(id string, attempt uint32) *Result // replaces the answer unless it returns nil
}

func newCluster(t testing.TB, n int, set ...func(*Options)) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c := &cluster{ctx: ctx, hosts: make([]*fakeHost, n), options: set}
	c.worker.fenced, c.worker.done, c.worker.runs = map[string]bool{}, map[string]bool{}, map[string]int{}
	for i := range c.hosts {
		c.hosts[i] = c.newHost(t, i)
		c.hosts[i].live = true
		c.hosts[i].k.SetHorizon(time.Now().Add(-time.Hour))
	}
	return c
}

func (c *cluster) newHost(t testing.TB, i int) *fakeHost {
	h := &fakeHost{c: c, name: fmt.Sprint("host", i), changed: make(chan struct{}), blocked: map[string]bool{}}
	o := Options{Self: h.name, Membership: h, Replicator: h, Runner: h, Resolver: h, RetryBurst: 1000}
	for _, f := range c.options {
		f(&o)
	}
	k, err := New(o)
	require.NoError(t, err)
	h.k = k
	go func() { _ = k.Run(c.ctx) }()
	return h
}

// locked calls f while holding the cluster's lock.
func (h *fakeHost) locked(f func()) {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	f()
}

// change modifies a host and wakes the goroutines that wait in waitAt.
func (h *fakeHost) change(f func()) {
	h.locked(func() {
		f()
		close(h.changed)
		h.changed = make(chan struct{})
	})
}

// waitAt blocks while the host is paused or the point is blocked. It returns
// false if the host died or ctx ended. The points are, in order: queued and
// placed (before the reservation), send (at the keeper, before a record is
// sent), receive (at a backup, before it stores the record), acked (at the
// keeper, before it learns the result), checked (after a check of the lease),
// dispatch (before the worker starts the task), answer (before the answer
// arrives), and resolve (before the worker is asked for the outcome).
func (h *fakeHost) waitAt(ctx context.Context, point string) bool {
	for {
		h.c.mu.Lock()
		changed, blocked, dead := h.changed, h.paused || h.blocked[point], h.dead
		h.c.mu.Unlock()
		if dead || ctx.Err() != nil {
			return false
		}
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-h.c.ctx.Done():
			return false
		}
	}
}

func (h *fakeHost) block(point string, wait bool) { h.change(func() { h.blocked[point] = wait }) }

// stop kills or pauses a host. Its peers declare it dead after 1,000 ms.
func (h *fakeHost) stop(kill bool) {
	h.change(func() { h.dead, h.paused, h.stoppedAt = kill, !kill, time.Now() })
	stopped := h.stoppedAt
	time.AfterFunc(time.Second, func() {
		h.locked(func() {
			if (h.dead || h.paused) && h.stoppedAt.Equal(stopped) {
				h.live, h.mustRejoin = false, !h.dead
			}
		})
		h.c.notifyMembershipChange()
	})
}

func (h *fakeHost) resume() {
	h.change(func() { h.paused = false })
	// The host acts on its outdated view until it learns that it must rejoin.
	time.Sleep(5 * time.Millisecond)
	rejoin := false
	h.locked(func() { rejoin = h.mustRejoin && !h.dead })
	if rejoin {
		h.join()
	}
}

// join copies the records of a live peer, or starts with a new horizon if there
// is none.
func (h *fakeHost) join() {
	h.change(func() { h.joining = true })
	var peer *fakeHost
	for alone := false; peer == nil && !alone; time.Sleep(time.Millisecond) {
		alone = true
		h.locked(func() {
			for _, p := range h.c.hosts {
				if p != h && p.live {
					if alone = false; !p.paused && !p.dead {
						peer = p
					}
				}
			}
		})
	}
	if peer == nil {
		h.k.SetHorizon(time.Now())
	}
	for after, more := "", peer != nil; more; {
		page := peer.k.Fetch(after, 3)
		h.k.Load(page.Records, time.Unix(0, page.Horizon))
		if more = page.More; more {
			after = page.Records[len(page.Records)-1].Id
		}
	}
	h.change(func() { h.joining, h.mustRejoin, h.live = false, false, true })
	h.c.notifyMembershipChange()
}

// restart replaces a dead host with a new process.
func (c *cluster) restart(t testing.TB, i int) *fakeHost {
	h := c.newHost(t, i)
	h.locked(func() { c.hosts[i] = h })
	h.join()
	return h
}

// notifyMembershipChange calls TakeOver on all live hosts that are not paused.
func (c *cluster) notifyMembershipChange() {
	c.mu.Lock()
	hosts := slices.DeleteFunc(slices.Clone(c.hosts), func(h *fakeHost) bool { return !h.live || h.dead || h.paused })
	c.mu.Unlock()
	for _, h := range hosts {
		h.k.TakeOver()
	}
}

// keeperName returns the name of the first live host in an order derived from
// the last byte of the ID. It counts self as live.
func (c *cluster) keeperName(id string, self *fakeHost) string {
	for i := range c.hosts {
		if h := c.hosts[(shardIndex(id)+i)%len(c.hosts)]; h.live || h == self {
			return h.name
		}
	}
	return ""
}

// keeperHost returns the keeper of id, or nil if no host is live.
func (c *cluster) keeperHost(id string) *fakeHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.find(c.keeperName(id, nil))
}

func (c *cluster) find(name string) *fakeHost {
	for _, h := range c.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (h *fakeHost) Keeper(id string) string {
	if h.keeperOverride != nil {
		return h.keeperOverride(id)
	}
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	return h.c.keeperName(id, h)
}

func (h *fakeHost) CheckKeeper(id string) error {
	if h.Keeper(id) != h.name {
		return ErrNotKeeper
	}
	var err error
	wait := false
	h.locked(func() {
		for _, p := range h.c.hosts {
			if p.live && (p.paused || p.dead) && time.Since(p.stoppedAt) >= 600*time.Millisecond || p == h && !p.live {
				err = errLinkFailed
			}
		}
		wait = h.blocked["checked"]
	})
	if wait {
		h.waitAt(context.Background(), "checked")
	}
	return err
}

func (h *fakeHost) AcceptsKeeper(id, from string) bool { return h.Keeper(id) == from }

func (h *fakeHost) Backups() []string {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	var names []string
	for _, p := range h.c.hosts {
		if p != h && (p.live || p.joining) {
			names = append(names, p.name)
		}
	}
	return names
}

func (h *fakeHost) Replicate(ctx context.Context, peer string, records []*rpc.Record) ([]uint32, error) {
	if !h.waitAt(ctx, "send") {
		return nil, errLinkFailed
	}
	var to *fakeHost
	h.locked(func() { to = h.c.find(peer) })
	if !to.waitAt(ctx, "receive") {
		return nil, errLinkFailed
	}
	req := proto.Clone(&rpc.ReplicateRequest{Keeper: h.name, Records: records}).(*rpc.ReplicateRequest)
	out := to.k.HandleReplicate(req)
	if !h.waitAt(context.Background(), "acked") {
		return nil, errLinkFailed
	}
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	if h.acksToLose > 0 {
		h.acksToLose--
		return nil, errLinkFailed
	}
	return out.Refused, nil
}

func notRun(r api.Reason) Result { return Result{Outcome: api.NotRun, Reason: r} }

func answered(body string) Result {
	return Result{Outcome: api.Answered, Body: []byte(body), Length: uint32(len(body)), Checksum: api.Checksum([]byte(body))}
}

func (h *fakeHost) Run(ctx context.Context, req *rpc.SubmitRequest, attempt uint32, reserve ReserveFunc) Result {
	task := fmt.Sprintf("%s#0.%d", req.Id, attempt)
	if !h.waitAt(ctx, "queued") {
		return notRun(api.ReasonCancelled)
	}
	h.waitAt(context.Background(), "placed")
	if err := reserve(ctx, h.name, []*rpc.Member{{Task: task, Worker: "w"}}); err != nil {
		return notRun(api.ReasonNotReady)
	}
	if !h.waitAt(context.Background(), "dispatch") {
		return noReply
	}
	if !h.c.worker.start(task, req.Id) {
		return notRun(api.ReasonWorkerFailed)
	}
	if !h.waitAt(context.Background(), "answer") {
		return noReply
	}
	if h.resultOverride == nil || h.resultOverride(req.Id, attempt) == nil {
		return answered("answer to " + req.Id)
	}
	return *h.resultOverride(req.Id, attempt)
}

func (h *fakeHost) Resolve(ctx context.Context, rec *rpc.Record) Result {
	worker := &h.c.worker
	if !h.waitAt(ctx, "resolve") || len(rec.Members) == 0 {
		return noReply
	}
	if why := worker.unknownReason.Load(); why != nil {
		return Result{Outcome: api.Unknown, Reason: *why}
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if task := rec.Members[0].Task; !worker.done[task] {
		worker.fenced[task] = true
		return notRun(api.ReasonWorkerFailed)
	}
	return answered("answer to " + rec.Id)
}

// Cancel lets the task end by unblocking its answer.
func (h *fakeHost) Cancel(context.Context, *rpc.Record) error { h.block("answer", false); return nil }

func submit(id string) *rpc.SubmitRequest {
	return &rpc.SubmitRequest{Id: id, Team: "t", Service: "s", DeadlineMs: 60_000, Body: []byte("work")}
}
