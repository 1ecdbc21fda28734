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
	// schedulerTick is the interval of Scheduler.Tick, which processes deadlines
	// and probes and expects to be called about every 100 ms.
	schedulerTick = 100 * time.Millisecond
	// quotaUpdateInterval is how often this host's shares of the quotas are adjusted
	// to the demand.
	quotaUpdateInterval = time.Second
	// hostListInterval is how often the host list is read. At the latest 3 s after a
	// worker is listed as leaving, it must get no new work.
	hostListInterval = 500 * time.Millisecond
	// hostListTimeout bounds one read of the host list.
	hostListTimeout = 2 * time.Second
	// maxHostListReads limits the concurrent reads. It is high enough to start one
	// at each interval even if all of them time out.
	maxHostListReads = int(hostListTimeout/hostListInterval) + 1
	// joinPageSize is the number of records fetched per call while joining.
	joinPageSize = 1000
	// joinRetryDelay is the pause between two attempts to join.
	joinRetryDelay = 200 * time.Millisecond
	// joinCallTimeout bounds the call that fetches one page of records.
	joinCallTimeout = 2 * time.Second
	// dispatchExpiryInterval is how often expired dispatches are removed.
	dispatchExpiryInterval = 5 * time.Second
)

// Addresses holds the addresses on which a host listens.
type Addresses struct {
	Callers   string
	Peers     string
	Operators string
}

// Run serves until a drain has finished, a listener fails or Abort is called. When
// ctx is cancelled, it drains the host first, for at most the configured time.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	defer h.endLifetime()
	callers, operators, peers := h.callersServer, h.operatorsServer, h.newPeersServer()
	group, groupCtx := errgroup.WithContext(h.lifetime)
	group.Go(func() error { return errors.Wrap(callers.Serve(listeners[0]), "serve callers") })
	group.Go(func() error { return errors.Wrap(operators.Serve(listeners[2]), "serve operators") })
	group.Go(func() error {
		if err := peers.Serve(listeners[1]); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve peers")
		}
		return nil
	})
	h.startBackground(groupCtx, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			h.Drain()
		case <-h.drained:
		case <-groupCtx.Done():
		}
		return h.shutdown(callers, operators, peers)
	})
	h.log.Info("entry host is listening", "callers", h.addresses.Callers, "peers", h.addresses.Peers, "operators", h.addresses.Operators)
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Abort ends Run without a drain, like a crash of the process.
func (h *Host) Abort() { h.endLifetime() }

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
		listeners[i] = retryingListener{opened, &h.acceptFailures}
	}
	h.addresses = Addresses{listeners[0].Addr().String(), listeners[1].Addr().String(), listeners[2].Addr().String()}
	return listeners, nil
}

// startBackground starts the background loops of the host and its components.
func (h *Host) startBackground(ctx context.Context, group *errgroup.Group) {
	for _, run := range []func(context.Context) error{
		h.links.Run, h.config.Run, h.holding.Run, h.keeper.Run,
		h.joinLoop, h.hostListLoop, h.membershipLoop, h.configurationLoop,
	} {
		group.Go(func() error { return run(ctx) })
	}
	h.runEvery(ctx, group, schedulerTick, h.scheduler.Tick)
	h.runEvery(ctx, group, schedulerTick, h.applyOverrunActions)
	h.runEvery(ctx, group, quotaUpdateInterval, func() {
		if c, ok := h.config.Current(); ok {
			h.setLocalQuotas(c)
		}
	})
	h.runEvery(ctx, group, dispatchExpiryInterval, h.dispatches.expire)
}

// runEvery starts a goroutine that calls f once per interval until ctx ends.
func (h *Host) runEvery(ctx context.Context, group *errgroup.Group, interval time.Duration, f func()) {
	group.Go(func() error {
		for pause(ctx, interval) {
			f()
		}
		return ctx.Err()
	})
}

// shutdown stops the servers and cancels the host's lifetime. It closes the
// operators' listener last: operators consider a host that does not listen there
// stopped, and start a new process on the same addresses.
func (h *Host) shutdown(callers, operators *fasthttp.Server, peers *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// The callers' server stops before the lifetime ends: calls in progress need
	// the host's components for a correct reply.
	err := callers.ShutdownWithContext(ctx)
	h.endLifetime()
	if e := peers.Shutdown(ctx); err == nil {
		err = e
	}
	operatorsCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if e := operators.ShutdownWithContext(operatorsCtx); err == nil {
		err = e
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// Peers keep idle connections open, which makes Shutdown time out. No call
		// is in progress on them.
		return nil
	}
	return err
}

// joinLoop joins the failure domain at the start, and again whenever this host
// was paused or a peer has declared it dead.
func (h *Host) joinLoop(ctx context.Context) error {
	for {
		if !h.join(ctx) {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.membership.RejoinNeeded():
			h.log.Info("rejoining the failure domain after a pause or after a peer declared this host dead")
			h.telemetry.count("membership.rejoins")
			h.recordEvent("rejoin", "", "", "")
		}
	}
}

// join copies the request records of the live peers and then changes this host's
// state to live. It retries until this succeeds, and returns false if ctx ends.
func (h *Host) join(ctx context.Context) bool {
	for ctx.Err() == nil {
		began := time.Now()
		since, err := h.membership.AwaitPeers(ctx)
		if err != nil {
			return false
		}
		if since.After(began) {
			// In a pause of this host, a peer that is now dead may have acted alone.
			began = since
		}
		horizon, err := h.copyRecords(ctx, began)
		if err == nil && h.membership.SetLive() {
			h.log.Info("joined the failure domain", "horizon", horizon, "live", h.membership.LiveHosts())
			h.recordEvent("joined", "", "", "")
			h.takeOver()
			h.holding.Rescan()
			return true
		}
		if err != nil {
			h.log.Info("copying records from peers failed; retrying", "error", err.Error())
		}
		pause(ctx, joinRetryDelay)
	}
	return false
}

// copyRecords loads the records of every live peer. It sets and returns the
// horizon, the time since which the records are complete: the earliest horizon of
// the peers, or the start of this join if there is no live peer. The horizon stays
// if no other host can have acted as record keeper.
func (h *Host) copyRecords(ctx context.Context, began time.Time) (time.Time, error) {
	if h.membership.IsOnlyKeeper() {
		return h.keeper.Horizon(), nil
	}
	horizon := time.Time{}
	if len(h.membership.LiveHosts()) > 0 {
		// Detached requests that were stored before a pause may have run since.
		h.detached.clear()
	}
	for _, peer := range h.membership.LiveHosts() {
		if peer == h.self.Name {
			continue
		}
		from, err := h.copyRecordsFrom(ctx, peer)
		if err != nil {
			return horizon, errors.Wrapf(err, "copy records from entry host %s", peer)
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

// copyRecordsFrom loads the records and detached requests of one peer, page by
// page, and returns the peer's horizon.
func (h *Host) copyRecordsFrom(ctx context.Context, peer string) (time.Time, error) {
	client, ok := h.links.Client(peer)
	if !ok {
		return time.Time{}, errors.New("no link to the entry host")
	}
	after := ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, joinCallTimeout)
		reply, err := client.FetchRecords(callCtx, &rpc.FetchRecordsRequest{After: after, Limit: joinPageSize})
		cancel()
		if err != nil {
			return time.Time{}, err
		}
		horizon := time.Unix(0, reply.Horizon)
		h.detached.store(reply.Detached)
		h.keeper.Load(reply.Records, horizon)
		h.detached.dropAnswered(reply.Records, nil)
		if !reply.More || len(reply.Records) == 0 {
			return horizon, nil
		}
		after = reply.Records[len(reply.Records)-1].Id
	}
}

// membershipLoop processes membership changes: it updates the watched peers and
// takes over the records and workers that this host is now responsible for.
func (h *Host) membershipLoop(ctx context.Context) error {
	changes := h.membership.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changes:
			h.peers.setServingHosts(h.membership.ServingHosts())
			h.log.V(1).Info("membership changed", "live", h.membership.LiveHosts())
			h.takeOver()
			h.holding.Rescan()
		}
	}
}

// configurationLoop applies each new configuration to the scheduler, also for
// jobs that are already queued.
func (h *Host) configurationLoop(ctx context.Context) error {
	for {
		changed := h.config.Changed()
		if c, ok := h.config.Current(); ok {
			h.scheduler.ConfigurationChanged()
			for _, service := range c.List(contract.KindService) {
				h.scheduler.TrackService(service.Name)
			}
			h.setLocalQuotas(c)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			h.addEvent(eventAtOffset("configuration", h.config.AppliedOffset()))
		}
	}
}

// hostListLoop reads the platform's host list at each interval. A slow read does
// not delay the next one.
func (h *Host) hostListLoop(ctx context.Context) error {
	var reads errgroup.Group
	reads.SetLimit(maxHostListReads)
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
		h.log.V(1).Info("reading the host list failed", "error", err.Error())
	} else {
		h.hostListReadAt.Store(time.Now().UnixNano())
		h.incarnations.update(list.Hosts)
		h.holding.SetHosts(list)
	}
	h.holding.RecordListRead(began)
}
