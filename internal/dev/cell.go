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
	// readyPoll is the pause between two readiness checks.
	readyPoll = 50 * time.Millisecond
	// readyCall bounds one readiness check.
	readyCall = time.Second
)

// Cell is a set of entry hosts in this process.
type Cell struct {
	Settings []settings.Settings

	log     logr.Logger
	members []*member
}

// member is one entry host of a cell.
type member struct {
	host   *entryhost.Host
	cancel context.CancelFunc
	done   chan error
}

// StartCell starts an entry host for each of the settings and returns when all
// are ready. It returns an error as soon as one of them ends, for example
// because an address is in use.
func StartCell(ctx context.Context, all []settings.Settings, log logr.Logger) (*Cell, error) {
	c := &Cell{Settings: all, log: log, members: make([]*member, len(all))}
	for i := range all {
		if err := c.Start(i); err != nil {
			_ = c.Stop()
			return nil, err
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	for _, m := range c.members {
		go m.watch(ctx, cancel)
	}
	if err := AwaitReady(ctx, c.CallerAddresses()); err != nil {
		_ = c.Stop()
		return nil, err
	}
	return c, nil
}

// watch calls ended with the error of an entry host that ends before ctx.
func (m *member) watch(ctx context.Context, ended func(error)) {
	select {
	case err := <-m.done:
		// Abort, Drain and Stop read it again.
		m.done <- err
		ended(err)
	case <-ctx.Done():
	}
}

// Start starts the entry host with the given index. It does not wait until the
// host is ready.
func (c *Cell) Start(i int) error {
	s := c.Settings[i]
	h, err := entryhost.New(s, entryhost.Connect(s), c.log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{host: h, cancel: cancel, done: make(chan error, 1)}
	c.members[i] = m
	go func() {
		err := h.Run(ctx)
		if err != nil {
			c.log.Error(err, "entry host stopped", "host", s.Host)
		}
		m.done <- err
	}()
	return nil
}

// Abort ends the entry host with the given index without a drain, as a killed
// process, and waits until it is gone.
func (c *Cell) Abort(i int) {
	m := c.members[i]
	m.host.Abort()
	<-m.done
	m.cancel()
	c.members[i] = nil
}

// Drain stops the entry host with the given index as planned and waits until
// it is gone.
func (c *Cell) Drain(i int) error {
	m := c.members[i]
	m.cancel()
	c.members[i] = nil
	return <-m.done
}

// Stop drains and stops all entry hosts. It returns the first error of any.
func (c *Cell) Stop() error {
	var group errgroup.Group
	for i, m := range c.members {
		if m != nil {
			group.Go(func() error { return c.Drain(i) })
		}
	}
	return group.Wait()
}

// CallerAddresses returns the callers' addresses.
func (c *Cell) CallerAddresses() []string {
	addresses := make([]string, len(c.Settings))
	for i, s := range c.Settings {
		addresses[i] = s.Listen.Callers
	}
	return addresses
}

// OperatorAddresses returns the operators' addresses.
func (c *Cell) OperatorAddresses() []string {
	addresses := make([]string, len(c.Settings))
	for i, s := range c.Settings {
		addresses[i] = s.Listen.Operators
	}
	return addresses
}

// ConfigOffset returns the configuration offset that a host has applied.
func (c *Cell) ConfigOffset(i int) uint64 { return c.members[i].host.ConfigOffset() }

// MeanControlBytes returns the mean heartbeat traffic of an entry host since its
// start, sent and received, in bytes.
func (c *Cell) MeanControlBytes() float64 {
	total := 0.0
	for _, m := range c.members {
		total += float64(m.host.ControlBytes())
	}
	return total / float64(len(c.members))
}

// TotalPeerBytes returns the traffic between all entry hosts since their start other
// than heartbeats, each message counted once, in bytes.
func (c *Cell) TotalPeerBytes() float64 {
	total := 0.0
	for _, m := range c.members {
		total += float64(m.host.PeerBytes())
	}
	return total
}

// AwaitReady returns when every callers' address reports readiness.
func AwaitReady(ctx context.Context, addresses []string) error {
	for _, address := range addresses {
		for !ready(address) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(context.Cause(ctx), "entry host at %s is not ready", address)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func ready(address string) bool {
	code, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/readyz", readyCall)
	return err == nil && code == fasthttp.StatusOK
}
