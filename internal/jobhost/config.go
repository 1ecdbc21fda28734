package jobhost

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/platform"
)

const (
	// configWait is how long a read waits for a new version. It is short because
	// a connection may go silent, and a version must be in force after 2.5 s.
	configWait = 700 * time.Millisecond
	// configTimeout bounds a read beside the wait.
	configTimeout = 500 * time.Millisecond
	// configRetry is the pause after a failed read.
	configRetry = 150 * time.Millisecond
)

// configuration follows the operator's configuration.
type configuration struct {
	store store.Store
	log   logr.Logger

	mu      sync.Mutex
	current *cell.Configuration
	changed chan struct{}
	from    int64
	loaded  bool
}

func newConfiguration(s store.Store, log logr.Logger) *configuration {
	return &configuration{store: s, log: log, changed: make(chan struct{})}
}

// get returns the configuration in force, nil before the first, and a channel
// that is closed by the next version.
func (c *configuration) get() (*cell.Configuration, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.changed
}

func (c *configuration) version() int64 {
	current, _ := c.get()
	if current == nil {
		return 0
	}
	return current.Version
}

// run follows the configuration until ctx ends.
func (c *configuration) run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := c.refresh(ctx, configWait)
		if err != nil && ctx.Err() == nil && !lost {
			c.log.Info("configuration cannot be read", "version", c.version(), "error", err.Error())
		}
		if err == nil && lost {
			c.log.Info("configuration can be read again", "version", c.version())
		}
		lost = err != nil
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(configRetry):
			}
		}
	}
}

// refresh reads what has come since the last read.
func (c *configuration) refresh(ctx context.Context, wait time.Duration) error {
	c.mu.Lock()
	from, loaded := c.from, c.loaded
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+configTimeout)
	defer cancel()
	var records []store.Record
	var end int64
	var err error
	if loaded {
		records, end, err = c.store.Read(ctx, platform.TopicOperator, from, wait)
	}
	var truncated *store.TruncatedError
	if !loaded || errors.As(err, &truncated) {
		records, end, err = store.ReadAllCompacted(ctx, c.store, platform.TopicOperator)
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded, c.from = true, max(c.from, end)
	for _, r := range records {
		c.apply(r)
	}
	return nil
}

// atLeast reads the configuration until it has the version or ctx ends.
func (c *configuration) atLeast(ctx context.Context, version int64) {
	if c.version() >= version {
		return
	}
	if err := c.refresh(ctx, 0); err != nil {
		c.log.Info("configuration is older than a peer's", "version", c.version(), "peer_version", version, "error", err.Error())
	}
}

// apply needs c.mu.
func (c *configuration) apply(r store.Record) {
	if len(r.Value) == 0 {
		return
	}
	if r.Key == platform.KeyConfiguration {
		next, err := platform.DecodeConfiguration(r.Value)
		if err != nil {
			c.log.Error(err, "configuration skipped", "offset", r.Offset)
			return
		}
		if c.current != nil && next.Version <= c.current.Version {
			return
		}
		c.current = next
		close(c.changed)
		c.changed = make(chan struct{})
		c.log.Info("configuration", "version", next.Version, "queues", len(next.Queues), "services", len(next.Services), "offset", r.Offset)
		return
	}
	wave, err := platform.DecodeMaintenanceWave(r.Key, r.Value)
	if err != nil {
		c.log.Error(err, "record skipped", "key", r.Key, "offset", r.Offset)
		return
	}
	if wave != nil {
		c.log.Info("maintenance wave is not carried out: not supported yet", "wave", wave.Number, "machines", len(wave.Machines), "within", wave.Duration.String())
	}
}
