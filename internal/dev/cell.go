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

	hosts  []*entryhost.Host
	cancel context.CancelFunc
	group  *errgroup.Group
}

// StartCell starts an entry host for each of the settings and returns when all
// are ready.
func StartCell(ctx context.Context, all []settings.Settings, log logr.Logger) (*Cell, error) {
	runCtx, cancel := context.WithCancel(context.Background())
	group, runCtx := errgroup.WithContext(runCtx)
	c := &Cell{Settings: all, cancel: cancel, group: group}
	for _, s := range all {
		h, err := entryhost.New(s, entryhost.Connect(s), log)
		if err != nil {
			cancel()
			return nil, err
		}
		c.hosts = append(c.hosts, h)
		group.Go(func() error { return h.Run(runCtx) })
	}
	if err := AwaitReady(ctx, c.Callers()); err != nil {
		_ = c.Stop()
		return nil, err
	}
	return c, nil
}

// Stop drains and stops all entry hosts. It returns the first error of any.
func (c *Cell) Stop() error {
	c.cancel()
	return c.group.Wait()
}

// Callers returns the callers' addresses.
func (c *Cell) Callers() []string {
	addresses := make([]string, len(c.Settings))
	for i, s := range c.Settings {
		addresses[i] = s.Listen.Callers
	}
	return addresses
}

// ControlBytes returns the mean heartbeat traffic of an entry host since its
// start, sent and received, in bytes.
func (c *Cell) ControlBytes() float64 {
	total := 0.0
	for _, h := range c.hosts {
		total += float64(h.ControlBytes())
	}
	return total / float64(len(c.hosts))
}

// AwaitReady returns when every callers' address reports readiness.
func AwaitReady(ctx context.Context, addresses []string) error {
	for _, address := range addresses {
		for !ready(address) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "entry host at %s is not ready", address)
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
