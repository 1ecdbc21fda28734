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
	errLink = errors.New("link failed")
	noReply = Result{Outcome: api.Unknown, Reason: api.ReasonNoReply}
)

// testID returns an ID with a chosen creation time. uuid.NewV7 is of no use
// in a synctest bubble, since it never goes back to an earlier time.
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

// journal is the one worker of all hosts. It remembers fences and starts.
type journal struct {
	mu           sync.Mutex
	fenced, done map[string]bool
	runs         map[string]int
	duplicates   int // starts of a task that has begun
	rejected     int
	unknown      atomic.Pointer[api.Reason] // why the worker does not tell
}

func (j *journal) start(task, id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.done[task]:
		j.duplicates++
	case j.fenced[task]:
		j.rejected++
	default:
		j.done[task] = true
		j.runs[id]++
		return true
	}
	return false
}

func (j *journal) ran(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[id]
}

// cluster is the entry hosts of one failure domain. The view of the
// membership is shared, apart from hosts that are paused or have to rejoin.
type cluster struct {
	mu     sync.Mutex
	ctx    context.Context
	hosts  []*fakeHost
	worker journal
	set    []func(*Options)
}

type fakeHost struct {
	c                      *cluster
	name                   string
	k                      *Keeper
	dead, paused           bool
	live, joining, rejoins bool
	stopped                time.Time
	wake                   chan struct{}
	closed                 map[string]bool // points at which this host waits
	lostAcks               int
	keeperOf               func(id string) string // replaces the own view
	result                 func(id string, attempt uint32) *Result
}

func newCluster(t testing.TB, n int, set ...func(*Options)) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c := &cluster{ctx: ctx, hosts: make([]*fakeHost, n), set: set}
	c.worker.fenced, c.worker.done, c.worker.runs = map[string]bool{}, map[string]bool{}, map[string]int{}
	for i := range c.hosts {
		c.hosts[i] = c.newHost(t, i)
		c.hosts[i].live = true
		c.hosts[i].k.SetHorizon(time.Now().Add(-time.Hour))
	}
	return c
}

func (c *cluster) newHost(t testing.TB, i int) *fakeHost {
	h := &fakeHost{c: c, name: fmt.Sprint("host", i), wake: make(chan struct{}), closed: map[string]bool{}}
	o := Options{Self: h.name, Membership: h, Replicator: h, Runner: h, Resolver: h, RetryBurst: 1000}
	for _, f := range c.set {
		f(&o)
	}
	k, err := New(o)
	require.NoError(t, err)
	h.k = k
	go func() { _ = k.Run(c.ctx) }()
	return h
}

// locked calls f under the cluster's lock.
func (h *fakeHost) locked(f func()) {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	f()
}

// change changes a host and wakes all that wait in it.
func (h *fakeHost) change(f func()) {
	h.locked(func() {
		f()
		close(h.wake)
		h.wake = make(chan struct{})
	})
}

// pass waits while the host is paused or the point is closed, and reports
// false if the host died or ctx ended.
func (h *fakeHost) pass(ctx context.Context, point string) bool {
	for {
		h.c.mu.Lock()
		wake, wait, dead := h.wake, h.paused || h.closed[point], h.dead
		h.c.mu.Unlock()
		if dead || ctx.Err() != nil {
			return false
		}
		if !wait {
			return true
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return false
		case <-h.c.ctx.Done():
			return false
		}
	}
}

func (h *fakeHost) hold(point string, wait bool) { h.change(func() { h.closed[point] = wait }) }

// stop pauses or kills a host; its peers declare it dead after 1,000 ms.
func (h *fakeHost) stop(kill bool) {
	h.change(func() { h.dead, h.paused, h.stopped = kill, !kill, time.Now() })
	stopped := h.stopped
	time.AfterFunc(time.Second, func() {
		h.locked(func() {
			if (h.dead || h.paused) && h.stopped.Equal(stopped) {
				h.live, h.rejoins = false, !h.dead
			}
		})
		h.c.changed()
	})
}

func (h *fakeHost) resume() {
	h.change(func() { h.paused = false })
	// The host acts on its old view until it learns that it has to rejoin.
	time.Sleep(5 * time.Millisecond)
	rejoin := false
	h.locked(func() { rejoin = h.rejoins && !h.dead })
	if rejoin {
		h.join()
	}
}

// join copies the records of a live peer, or begins anew without one.
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
	h.change(func() { h.joining, h.rejoins, h.live = false, false, true })
	h.c.changed()
}

// restart replaces a dead host by a new process.
func (c *cluster) restart(t testing.TB, i int) *fakeHost {
	h := c.newHost(t, i)
	h.locked(func() { c.hosts[i] = h })
	h.join()
	return h
}

func (c *cluster) changed() {
	c.mu.Lock()
	hosts := slices.DeleteFunc(slices.Clone(c.hosts), func(h *fakeHost) bool { return !h.live || h.dead || h.paused })
	c.mu.Unlock()
	for _, h := range hosts {
		h.k.TakeOver()
	}
}

// keeper returns the first live host in an order that the ID's last byte gives.
func (c *cluster) keeper(id string, self *fakeHost) string {
	for i := range c.hosts {
		if h := c.hosts[(shardIndex(id)+i)%len(c.hosts)]; h.live || h == self {
			return h.name
		}
	}
	return ""
}

// first returns the keeper of id, or nil.
func (c *cluster) first(id string) *fakeHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.find(c.keeper(id, nil))
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
	if h.keeperOf != nil {
		return h.keeperOf(id)
	}
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	return h.c.keeper(id, h)
}

func (h *fakeHost) CheckKeeper(id string) error {
	if h.Keeper(id) != h.name {
		return ErrNotKeeper
	}
	var err error
	wait := false
	h.locked(func() {
		for _, p := range h.c.hosts {
			if p.live && (p.paused || p.dead) && time.Since(p.stopped) >= 600*time.Millisecond || p == h && !p.live {
				err = errLink
			}
		}
		wait = h.closed["checked"]
	})
	if wait {
		h.pass(context.Background(), "checked")
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
	if !h.pass(ctx, "send") {
		return nil, errLink
	}
	var to *fakeHost
	h.locked(func() { to = h.c.find(peer) })
	if !to.pass(ctx, "receive") {
		return nil, errLink
	}
	req := proto.Clone(&rpc.ReplicateRequest{Keeper: h.name, Records: records}).(*rpc.ReplicateRequest)
	out := to.k.HandleReplicate(req)
	if !h.pass(context.Background(), "acked") {
		return nil, errLink
	}
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	if h.lostAcks > 0 {
		h.lostAcks--
		return nil, errLink
	}
	return out.Refused, nil
}

func notRun(r api.Reason) Result { return Result{Outcome: api.NotRun, Reason: r} }

func answered(body string) Result {
	return Result{Outcome: api.Answered, Body: []byte(body), Length: uint32(len(body)), Checksum: api.Checksum([]byte(body))}
}

func (h *fakeHost) Run(ctx context.Context, req *rpc.SubmitRequest, attempt uint32, reserve ReserveFunc) Result {
	task := fmt.Sprintf("%s#0.%d", req.Id, attempt)
	if !h.pass(ctx, "queued") {
		return notRun(api.ReasonCancelled)
	}
	h.pass(context.Background(), "placed")
	if err := reserve(ctx, h.name, []*rpc.Member{{Task: task, Worker: "w"}}); err != nil {
		return notRun(api.ReasonNotReady)
	}
	if !h.pass(context.Background(), "dispatch") {
		return noReply
	}
	if !h.c.worker.start(task, req.Id) {
		return notRun(api.ReasonWorkerFailed)
	}
	if !h.pass(context.Background(), "answer") {
		return noReply
	}
	if h.result == nil || h.result(req.Id, attempt) == nil {
		return answered("answer to " + req.Id)
	}
	return *h.result(req.Id, attempt)
}

func (h *fakeHost) Resolve(ctx context.Context, rec *rpc.Record) Result {
	j := &h.c.worker
	if !h.pass(ctx, "resolve") || len(rec.Members) == 0 {
		return noReply
	}
	if why := j.unknown.Load(); why != nil {
		return Result{Outcome: api.Unknown, Reason: *why}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if task := rec.Members[0].Task; !j.done[task] {
		j.fenced[task] = true
		return notRun(api.ReasonWorkerFailed)
	}
	return answered("answer to " + rec.Id)
}

// Cancel lets the task end.
func (h *fakeHost) Cancel(context.Context, *rpc.Record) error { h.hold("answer", false); return nil }

func submit(id string) *rpc.SubmitRequest {
	return &rpc.SubmitRequest{Id: id, Team: "t", Service: "s", DeadlineMs: 60_000, Body: []byte("work")}
}
