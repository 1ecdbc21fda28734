package jobhost

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/platform"
)

const (
	// configReadWait is how long a read waits for a new record. It is short because
	// a connection may stop replying, and a new version must be in force within
	// 2.5 s.
	configReadWait = 700 * time.Millisecond
	// configReadTimeout is how long a read may take in addition to the wait before
	// anything of the reply arrives.
	configReadTimeout = store.ReadSilence
	// maxConfigReadTime limits the duration of a read in addition to the wait. It is
	// longer, since a reply may share a narrow link with those to all other hosts of a
	// region, and a read that is cut off starts again from nothing.
	maxConfigReadTime = 3 * time.Second
	// configRetryPause is the pause after a failed read.
	configRetryPause = 150 * time.Millisecond
)

// configFollower reads the operator's configuration from the store and keeps the
// newest version.
type configFollower struct {
	store store.Store
	log   logr.Logger

	mu sync.Mutex
	// current is nil before the first version.
	current *cell.Configuration
	// changed is closed and replaced when current changes.
	changed    chan struct{}
	nextOffset int64
	// loaded is set after the first complete read of the topic.
	loaded bool
	// lastRead is when the last successful read began, by cell.BootTime. The store may
	// have replied at any time since then.
	lastRead time.Duration
	// failing is set while the last read that has ended failed.
	failing bool

	// reads are the reads of refresh, and newestReads those of readNewest.
	reads, newestReads singleflight.Group
}

func newConfigFollower(s store.Store, log logr.Logger) *configFollower {
	return &configFollower{store: s, log: log, changed: make(chan struct{})}
}

// get returns the configuration in force, nil before the first version, and a
// channel that is closed when the next version takes effect.
func (c *configFollower) get() (*cell.Configuration, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.changed
}

// version returns the version in force, 0 before the first.
func (c *configFollower) version() int64 {
	config, _ := c.get()
	if config == nil {
		return 0
	}
	return config.Version
}

// age returns the time since the store last showed that there is no newer version than
// those that have been applied. It counts from the boot of the machine before the first
// read.
func (c *configFollower) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cell.BootTime() - c.lastRead
}

// run keeps the configuration up to date until ctx ends.
func (c *configFollower) run(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		err := c.refresh(ctx, configReadWait)
		if err != nil && ctx.Err() == nil && !failing {
			c.log.Info("configuration cannot be read", "version", c.version(), "error", err.Error())
		}
		if err == nil && failing {
			c.log.Info("configuration can be read again", "version", c.version())
		}
		failing = err != nil
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(configRetryPause):
			}
		}
	}
}

// refresh reads and applies the records since the last read. If there are none, it
// waits for up to wait. Calls at the same time share one read, that of the first.
func (c *configFollower) refresh(ctx context.Context, wait time.Duration) error {
	return (<-c.startRead(ctx, wait)).Err
}

// startRead starts a read for refresh unless one is under way. ctx ends the read.
func (c *configFollower) startRead(ctx context.Context, wait time.Duration) <-chan singleflight.Result {
	return c.reads.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(ctx, wait+maxConfigReadTime)
		defer cancel()
		err := c.readOnce(ctx, wait)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.failing = err != nil
		return nil, err
	})
}

// readOnce reads and applies the records since the last read. The first read, and one
// whose records have been truncated, covers the whole compacted topic.
func (c *configFollower) readOnce(ctx context.Context, wait time.Duration) error {
	c.mu.Lock()
	from, loaded := c.nextOffset, c.loaded
	c.mu.Unlock()
	begin := cell.BootTime()
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
	c.loaded, c.nextOffset, c.lastRead = true, max(c.nextOffset, end), max(c.lastRead, begin)
	for _, r := range records {
		c.apply(r)
	}
	return nil
}

// catchUp waits for the next read if the version in force is older than version, which
// another host uses. A read that is under way may have begun before that version, so a
// second one may follow. A read that has begun goes on when ctx ends. It returns an error
// if the store does not answer this host.
func (c *configFollower) catchUp(ctx context.Context, version int64) error {
	for range 2 {
		if c.version() >= version {
			return nil
		}
		var err error
		select {
		case r := <-c.startRead(context.WithoutCancel(ctx), 0):
			err = r.Err
		case <-ctx.Done():
			if !c.cannotRead() {
				return nil
			}
			err = errors.WithStack(ctx.Err())
		}
		if err != nil {
			c.log.Info("configuration is older than another host's and cannot be read", "version", c.version(), "peer_version", version, "error", err.Error())
			return err
		}
	}
	return nil
}

// cannotRead reports whether the last read that has ended failed.
func (c *configFollower) cannotRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failing
}

// apply puts a record in force. The caller holds c.mu.
func (c *configFollower) apply(r store.Record) {
	if len(r.Value) == 0 {
		return
	}
	if r.Key == platform.KeyConfiguration {
		next, err := platform.DecodeConfiguration(r.Value)
		if err != nil {
			c.log.Error(err, "invalid configuration ignored", "offset", r.Offset)
			return
		}
		if c.current != nil && next.Version <= c.current.Version {
			return
		}
		c.current = next
		close(c.changed)
		c.changed = make(chan struct{})
		c.log.Info("new configuration in force", "version", next.Version, "queues", len(next.Queues), "services", len(next.Services), "offset", r.Offset)
		return
	}
	wave, err := platform.DecodeMaintenanceWave(r.Key, r.Value)
	if err != nil {
		c.log.Error(err, "invalid operator record ignored", "key", r.Key, "offset", r.Offset)
		return
	}
	if wave != nil {
		c.log.Info("maintenance wave ignored: not supported yet", "wave", wave.Number, "machines", len(wave.Machines), "within", wave.Duration.String())
	}
}
