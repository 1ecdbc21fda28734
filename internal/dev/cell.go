package dev

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/entryhost"
	"github.com/laburnumpass/laburnumpass/internal/settings"
)

const (
	// readyPollInterval is the interval between readiness checks of a host.
	readyPollInterval = 50 * time.Millisecond
	// readyCheckTimeout limits one readiness check.
	readyCheckTimeout = time.Second
)

// Cell is a set of entry hosts that run in this process.
type Cell struct {
	Settings []settings.Settings

	log   logr.Logger
	hosts []*runningHost
}

// runningHost is a started entry host of a cell. done receives the result of
// its Run method.
type runningHost struct {
	host   *entryhost.Host
	cancel context.CancelFunc
	done   chan error
}

// StartCell starts one entry host for each element of hostSettings and returns
// when every host is ready. It returns an error as soon as one of them exits, for
// example because an address is in use.
func StartCell(ctx context.Context, hostSettings []settings.Settings, log logr.Logger) (*Cell, error) {
	c := &Cell{Settings: hostSettings, log: log, hosts: make([]*runningHost, len(hostSettings))}
	for i := range hostSettings {
		if err := c.Start(i); err != nil {
			_ = c.Stop()
			return nil, err
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	for _, rh := range c.hosts {
		go rh.reportExit(ctx, cancel)
	}
	if err := AwaitReady(ctx, c.CallerAddresses()); err != nil {
		_ = c.Stop()
		return nil, err
	}
	return c, nil
}

// reportExit calls ended with the result of the entry host if the host exits
// before ctx ends.
func (rh *runningHost) reportExit(ctx context.Context, ended func(error)) {
	select {
	case err := <-rh.done:
		// Put the result back: Abort, Drain and Stop receive it too.
		rh.done <- err
		ended(err)
	case <-ctx.Done():
	}
}

// Start starts the entry host with the given index without waiting until it is
// ready.
func (c *Cell) Start(i int) error {
	s := c.Settings[i]
	h, err := entryhost.New(s, entryhost.Connect(s), c.log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	rh := &runningHost{host: h, cancel: cancel, done: make(chan error, 1)}
	c.hosts[i] = rh
	go func() {
		err := h.Run(ctx)
		if err != nil {
			c.log.Error(err, "entry host stopped", "host", s.Host)
		}
		rh.done <- err
	}()
	return nil
}

// Abort stops the entry host with the given index without a drain, like a killed
// process, and waits until it has exited.
func (c *Cell) Abort(i int) {
	rh := c.hosts[i]
	rh.host.Abort()
	<-rh.done
	rh.cancel()
	c.hosts[i] = nil
}

// Drain drains and stops the entry host with the given index and waits until it
// has exited.
func (c *Cell) Drain(i int) error {
	rh := c.hosts[i]
	rh.cancel()
	c.hosts[i] = nil
	return <-rh.done
}

// Stop drains and stops all entry hosts and returns the first error.
func (c *Cell) Stop() error {
	var group errgroup.Group
	for i, rh := range c.hosts {
		if rh != nil {
			group.Go(func() error { return c.Drain(i) })
		}
	}
	return group.Wait()
}

// CallerAddresses returns the address for callers of each entry host.
func (c *Cell) CallerAddresses() []string {
	addresses := make([]string, len(c.Settings))
	for i, s := range c.Settings {
		addresses[i] = s.Listen.Callers
	}
	return addresses
}

// OperatorAddresses returns the address for operators of each entry host.
func (c *Cell) OperatorAddresses() []string {
	addresses := make([]string, len(c.Settings))
	for i, s := range c.Settings {
		addresses[i] = s.Listen.Operators
	}
	return addresses
}

// ConfigOffset returns the configuration offset that the entry host with the
// given index has applied.
func (c *Cell) ConfigOffset(i int) uint64 { return c.hosts[i].host.ConfigOffset() }

// MeanControlBytes returns the heartbeat traffic, sent and received, since the
// start of an entry host, in bytes, averaged over the entry hosts.
func (c *Cell) MeanControlBytes() float64 {
	total := 0.0
	for _, rh := range c.hosts {
		total += float64(rh.host.ControlBytes())
	}
	return total / float64(len(c.hosts))
}

// TotalPeerBytes returns the traffic other than heartbeats between the entry
// hosts since their start, in bytes. Each message counts once.
func (c *Cell) TotalPeerBytes() float64 {
	total := 0.0
	for _, rh := range c.hosts {
		total += float64(rh.host.PeerBytes())
	}
	return total
}

// AwaitReady waits until the host at each of the given caller addresses reports
// that it is ready.
func AwaitReady(ctx context.Context, addresses []string) error {
	for _, address := range addresses {
		for !isReady(address) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(context.Cause(ctx), "entry host at %s is not ready", address)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func isReady(address string) bool {
	code, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/readyz", readyCheckTimeout)
	return err == nil && code == fasthttp.StatusOK
}
