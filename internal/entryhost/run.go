package entryhost

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

const (
	// schedulerTick drives deadlines and probes; the scheduler asks for about
	// 100 ms.
	schedulerTick = 100 * time.Millisecond
	// quotaInterval is how often the parts of the quotas follow demand.
	quotaInterval = time.Second
	// hostListInterval is how often the host list is read. A leaving worker
	// must get no new work within 3 s of being listed.
	hostListInterval = 500 * time.Millisecond
	// hostListTimeout bounds one read of the host list.
	hostListTimeout = 2 * time.Second
	// hostListReads is the number of reads that may be under way at one time,
	// enough for one to begin at each interval while all of them time out.
	hostListReads = int(hostListTimeout/hostListInterval) + 1
	// joinPage is the number of records fetched in one call while joining.
	joinPage = 1000
	// joinRetry is the pause before another try to join.
	joinRetry = 200 * time.Millisecond
	// joinCall bounds one page of records.
	joinCall = 2 * time.Second
	// expireInterval is how often kept dispatches are looked through.
	expireInterval = 5 * time.Second
)

// Addresses are the addresses on which a host listens.
type Addresses struct {
	Callers   string
	Peers     string
	Operators string
}

// Run serves until ctx ends or a drain has finished. When ctx ends it drains
// first, for at most the drain time of the settings.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	defer h.end()
	callers, operators, peers := h.callers, h.operators, h.newPeersServer()
	group, life := errgroup.WithContext(h.life)
	group.Go(func() error { return errors.Wrap(callers.Serve(listeners[0]), "callers' listener") })
	group.Go(func() error { return errors.Wrap(operators.Serve(listeners[2]), "operators' listener") })
	group.Go(func() error {
		if err := peers.Serve(listeners[1]); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "peers' listener")
		}
		return nil
	})
	h.background(life, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			h.Drain()
		case <-h.drained:
		case <-life.Done():
		}
		return h.shutdown(callers, operators, peers)
	})
	h.log.Info("entry host listens", "callers", h.listening.Callers, "peers", h.listening.Peers, "operators", h.listening.Operators)
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Abort ends Run without a drain, as the death of the process would.
func (h *Host) Abort() { h.end() }

// ConfigOffset returns the configuration offset that this host has applied.
func (h *Host) ConfigOffset() uint64 { return h.config.AppliedOffset() }

func (h *Host) listen() ([3]net.Listener, error) {
	var listeners [3]net.Listener
	l := h.settings.Listen
	for i, address := range []string{l.Callers, l.Peers, l.Operators} {
		opened, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners[:i] {
				_ = open.Close()
			}
			return listeners, errors.WithStack(err)
		}
		listeners[i] = listener{opened, &h.acceptFailures}
	}
	h.listening = Addresses{listeners[0].Addr().String(), listeners[1].Addr().String(), listeners[2].Addr().String()}
	return listeners, nil
}

// background starts the parts of the host.
func (h *Host) background(ctx context.Context, group *errgroup.Group) {
	for _, run := range []func(context.Context) error{
		h.links.Run, h.config.Run, h.holding.Run, h.keeper.Run,
		h.joinLoop, h.hostListLoop, h.changesLoop, h.configurationLoop,
	} {
		group.Go(func() error { return run(ctx) })
	}
	h.every(ctx, group, schedulerTick, h.scheduler.Tick)
	h.every(ctx, group, schedulerTick, h.actOnOverruns)
	h.every(ctx, group, quotaInterval, func() {
		if c, ok := h.config.Current(); ok {
			h.setQuotaParts(c)
		}
	})
	h.every(ctx, group, expireInterval, h.dispatches.expire)
}

func (h *Host) every(ctx context.Context, group *errgroup.Group, interval time.Duration, f func()) {
	group.Go(func() error {
		for pause(ctx, interval) {
			f()
		}
		return ctx.Err()
	})
}

// shutdown stops the listeners and ends the host's life. It closes the
// operators' listener last: operators take a host that doesn't listen there for
// stopped, and start a process on the same addresses.
func (h *Host) shutdown(callers, operators *fasthttp.Server, peers *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// Callers still get true replies, which need the host's parts.
	err := callers.ShutdownWithContext(ctx)
	h.end()
	if e := peers.Shutdown(ctx); err == nil {
		err = e
	}
	last, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if e := operators.ShutdownWithContext(last); err == nil {
		err = e
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// Idle connections of peers stay open; nothing is in progress on them.
		return nil
	}
	return err
}

// joinLoop joins the failure domain at the start and after each pause that
// made the peers declare this host dead.
func (h *Host) joinLoop(ctx context.Context) error {
	for {
		if !h.join(ctx) {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.membership.RejoinNeeded():
			h.log.Info("rejoining the failure domain after a pause")
			h.telemetry.count("membership.rejoins")
			h.event("rejoin", "", "", "")
		}
	}
}

// join copies the records of the live peers and then makes this host live. It
// returns false if ctx ended.
func (h *Host) join(ctx context.Context) bool {
	for ctx.Err() == nil {
		began := time.Now()
		if err := h.membership.AwaitPeers(ctx); err != nil {
			return false
		}
		horizon, err := h.copyRecords(ctx, began)
		if err == nil && h.membership.SetLive() {
			h.log.Info("joined the failure domain", "horizon", horizon, "live", h.membership.LiveHosts())
			h.event("joined", "", "", "")
			h.takeOver()
			h.holding.Rescan()
			return true
		}
		if err != nil {
			h.log.Info("records of peers were not copied; trying again", "error", err.Error())
		}
		pause(ctx, joinRetry)
	}
	return false
}

// copyRecords loads the records of every live peer. Without a live peer the
// records begin now, or earlier if this host was live before and lost nothing.
func (h *Host) copyRecords(ctx context.Context, began time.Time) (time.Time, error) {
	horizon := time.Time{}
	if len(h.membership.LiveHosts()) > 0 {
		// What was stored before a pause may have run since.
		h.detached.clear()
	}
	for _, peer := range h.membership.LiveHosts() {
		if peer == h.self.Name {
			continue
		}
		from, err := h.copyFrom(ctx, peer)
		if err != nil {
			return horizon, errors.Wrapf(err, "copy records of %s", peer)
		}
		if horizon.IsZero() || from.Before(horizon) {
			horizon = from
		}
	}
	if horizon.IsZero() {
		horizon = began
	}
	h.keeper.SetHorizon(horizon)
	return horizon, nil
}

func (h *Host) copyFrom(ctx context.Context, peer string) (time.Time, error) {
	client, ok := h.links.Client(peer)
	if !ok {
		return time.Time{}, errors.New("no link")
	}
	after := ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, joinCall)
		reply, err := client.FetchRecords(callCtx, &rpc.FetchRecordsRequest{After: after, Limit: joinPage})
		cancel()
		if err != nil {
			return time.Time{}, err
		}
		horizon := time.Unix(0, reply.Horizon)
		h.detached.store(reply.Detached)
		h.keeper.Load(reply.Records, horizon)
		h.detached.answered(reply.Records, nil)
		if !reply.More || len(reply.Records) == 0 {
			return horizon, nil
		}
		after = reply.Records[len(reply.Records)-1].Id
	}
}

// changesLoop follows changes of the membership.
func (h *Host) changesLoop(ctx context.Context) error {
	changes := h.membership.Changes()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changes:
			h.peers.update(h.membership.LiveHosts())
			h.log.V(1).Info("membership changed", "live", h.membership.LiveHosts())
			h.takeOver()
			h.holding.Rescan()
		}
	}
}

// configurationLoop makes a new configuration take hold for queued work too.
func (h *Host) configurationLoop(ctx context.Context) error {
	for {
		changed := h.config.Changed()
		if c, ok := h.config.Current(); ok {
			h.scheduler.ConfigurationChanged()
			for _, service := range c.List(contract.KindService) {
				h.scheduler.TrackService(service.Name)
			}
			h.setQuotaParts(c)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			h.addEvent(eventOffset("configuration", h.config.AppliedOffset()))
		}
	}
}

// hostListLoop reads the platform's host list. A slow read does not hold up
// the next one.
func (h *Host) hostListLoop(ctx context.Context) error {
	var reads errgroup.Group
	reads.SetLimit(hostListReads)
	for {
		reads.TryGo(func() error {
			h.readHostList(ctx)
			return nil
		})
		if !pause(ctx, hostListInterval) {
			_ = reads.Wait()
			return ctx.Err()
		}
	}
}

func (h *Host) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	began := time.Now()
	list, err := h.platform.Hosts.List(ctx)
	if err != nil {
		h.telemetry.count("host_list.errors")
		h.log.V(1).Info("host list was not read", "error", err.Error())
	} else {
		h.listRead.Store(time.Now().UnixNano())
		h.sightings.note(list.Hosts)
		h.holding.SetHosts(list)
	}
	h.holding.RecordListRead(began)
}

// Drain stops this host without cutting off a request: it leaves the
// balancer's rotation, gives up its records and workers, and waits for what
// runs. It returns when nothing is in progress or the drain time has passed.
func (h *Host) Drain() {
	h.drainOnce.Do(func() {
		defer close(h.drained)
		h.draining.Store(true)
		h.log.Info("draining")
		h.event("drain_begin", "", "", "")
		ctx, cancel := context.WithTimeout(h.life, time.Duration(h.settings.Limits.DrainSeconds)*time.Second)
		defer cancel()
		h.membership.Leave()
		h.runner.stop(errHandover)
		if err := h.holding.Handover(ctx); err != nil {
			h.log.Error(err, "some workers were not released; their leases expire")
		}
		if err := h.keeper.Drain(ctx); err != nil {
			h.log.Error(err, "requests were still in progress at the end of the drain time")
		}
		for h.inProgress.Load() > 0 {
			if !pause(ctx, schedulerTick) {
				break
			}
		}
		// Peers learn of the leaving by two more heartbeats, and callers'
		// connections that the balancer still opens are answered meanwhile.
		pause(ctx, leaveDelay)
		h.log.Info("drained", "in_progress", h.inProgress.Load())
	})
	<-h.drained
}

// leaveDelay covers the balancer's health check interval.
const leaveDelay = time.Second
