package jobhost

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/platform"
)

const (
	// topicShards is the compacted topic with the number of shards of each service.
	topicShards = "shards"
	// shardCallTimeout limits a call to the store about shards, in addition to its
	// wait.
	shardCallTimeout = 900 * time.Millisecond
	// shardRetryPause is the pause after a failed call.
	shardRetryPause = 200 * time.Millisecond
	// shardReadWait is how long a read waits for another host's decision.
	shardReadWait = 800 * time.Millisecond
	// maxStoreAttempts bounds the attempts to store a decision before it is made anew.
	maxStoreAttempts = 20
	// maxDecisionDelay bounds the random wait before a host decides. All hosts start
	// at the same moment, and one of them is enough.
	maxDecisionDelay = 500 * time.Millisecond
	// decisionTimeout is how long the others wait for a host that has begun to decide.
	decisionTimeout = maxWorkerWait + 2*time.Second
	// workerSettleTime is how long the number of a service's workers must stay the
	// same before it counts, and maxWorkerWait how long a host waits for that. When a
	// whole deployment starts, its workers register over several seconds.
	workerSettleTime, maxWorkerWait = 1500 * time.Millisecond, 6 * time.Second
	// workerCountTimeout limits one count, which reads the whole registry, maybe over a
	// narrow link. The store client ends a read that is silent.
	workerCountTimeout = 3 * time.Second
	// workerCountInterval is the time between two counts.
	workerCountInterval = 750 * time.Millisecond
)

// shardRecord says into how many shards a service is split. It is written once: the
// shard of a job and of a worker follows from it.
type shardRecord struct {
	// Count is 0 while a host decides.
	Count int `json:"count"`
	// DecidedBy is the host that has decided or decides.
	DecidedBy string `json:"decided_by"`
}

// shardDirectory knows into how many shards each service is split. The first host that
// misses the number decides it by the number of workers and stores it.
type shardDirectory struct {
	store store.Store
	log   logr.Logger
	host  string
	// workersPerShard is how many workers a shard should have.
	workersPerShard int

	mu     sync.Mutex
	counts map[string]int
	// changed is closed and replaced when a number becomes known.
	changed chan struct{}
}

func newShardDirectory(s store.Store, host string, workersPerShard int, log logr.Logger) *shardDirectory {
	return &shardDirectory{store: s, host: host, workersPerShard: workersPerShard, log: log, counts: make(map[string]int), changed: make(chan struct{})}
}

// ofJob returns the shard of a job. It waits until the number of shards of the service
// is known; ok is false if ctx ends before.
func (d *shardDirectory) ofJob(ctx context.Context, service, id string) (s shard.Shard, ok bool) {
	for {
		d.mu.Lock()
		count, ok := d.counts[service]
		changed := d.changed
		d.mu.Unlock()
		if ok {
			return shard.OfJob(service, id, count), true
		}
		select {
		case <-ctx.Done():
			return shard.Shard{}, false
		case <-changed:
		}
	}
}

// known reports whether the number of shards of a service is known.
func (d *shardDirectory) known(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts[service] > 0
}

// all returns the shards of a service, nil while their number is not known.
func (d *shardDirectory) all(service string) []shard.Shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	if count, ok := d.counts[service]; ok {
		return shard.All(service, count)
	}
	return nil
}

// services returns the names of the services whose shards are known.
func (d *shardDirectory) services() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range maps.Keys(d.counts) {
		names = append(names, name)
	}
	return names
}

// learn waits until the number of shards of a service is known. It decides the number
// if no other host does. It returns an error only if ctx ends.
func (d *shardDirectory) learn(ctx context.Context, service string) error {
	var deciderSince time.Time
	decider, delayed := "", false
	for ctx.Err() == nil {
		record, end, err := d.read(ctx, service)
		if err != nil {
			d.log.Info("number of shards cannot be read", "service", service, "error", err.Error())
			pauseFor(ctx, shardRetryPause)
			continue
		}
		if record.Count > 0 {
			d.mu.Lock()
			d.counts[service] = record.Count
			close(d.changed)
			d.changed = make(chan struct{})
			d.mu.Unlock()
			d.log.Info("number of shards known", "service", service, "shards", record.Count, "decided_by", record.DecidedBy)
			return nil
		}
		if record.DecidedBy != decider {
			decider, deciderSince = record.DecidedBy, time.Now()
		}
		if decider != "" && decider != d.host && time.Since(deciderSince) < decisionTimeout {
			d.awaitChange(ctx, end)
			continue
		}
		if !delayed {
			delayed = true
			pauseFor(ctx, rand.N(maxDecisionDelay))
			continue // another host may have begun meanwhile
		}
		d.decide(ctx, service, end)
	}
	return errors.WithStack(ctx.Err())
}

// read returns the record of a service, which is empty if there is none, and the end
// of the topic.
func (d *shardDirectory) read(ctx context.Context, service string) (shardRecord, int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, shardCallTimeout)
	defer cancel()
	var found shardRecord
	records, end, err := store.ReadAllCompacted(callCtx, d.store, topicShards)
	if err != nil {
		return found, 0, err
	}
	for _, r := range records {
		if r.Key != service {
			continue
		}
		if err := json.Unmarshal(r.Value, &found); err != nil || found.Count < 0 || found.Count > shard.MaxCount {
			return shardRecord{}, 0, errors.Errorf("record of service %s is invalid: %.100q", service, r.Value)
		}
	}
	return found, end, nil
}

// awaitChange waits until the topic has a record from offset from on, for at most
// shardReadWait.
func (d *shardDirectory) awaitChange(ctx context.Context, from int64) {
	callCtx, cancel := context.WithTimeout(ctx, shardReadWait+shardCallTimeout)
	defer cancel()
	if _, _, err := d.store.Read(callCtx, topicShards, from, shardReadWait); err != nil {
		pauseFor(ctx, shardRetryPause)
	}
}

// decide announces that this host decides, counts the workers of the service and
// stores the number of shards, unless another host is faster. end is the end of the
// topic as this host has read it.
func (d *shardDirectory) decide(ctx context.Context, service string, end int64) {
	if err := d.append(ctx, service, shardRecord{DecidedBy: d.host}, end); err != nil {
		return // another host was faster, or the next read tells
	}
	workers, err := d.countWorkers(ctx, service)
	if err != nil {
		d.log.Info("workers cannot be counted", "service", service, "error", err.Error())
		pauseFor(ctx, shardRetryPause)
		return
	}
	count := shard.CountFor(workers, d.workersPerShard)
	for range maxStoreAttempts {
		// Other services have records in the same topic, so its end has changed.
		record, end, err := d.read(ctx, service)
		if err == nil && (record.Count > 0 || record.DecidedBy != d.host) {
			return // another host has decided meanwhile
		}
		if err == nil {
			err = d.append(ctx, service, shardRecord{Count: count, DecidedBy: d.host}, end)
		}
		if err == nil {
			d.log.Info("number of shards decided", "service", service, "workers", workers, "shards", count)
			return
		}
		d.log.Info("number of shards not stored yet", "service", service, "error", err.Error())
		pauseFor(ctx, rand.N(shardRetryPause))
	}
}

// append stores a record on the condition that the topic ends at end.
func (d *shardDirectory) append(ctx context.Context, service string, r shardRecord, end int64) error {
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode the number of shards")
	}
	callCtx, cancel := context.WithTimeout(ctx, shardCallTimeout)
	defer cancel()
	_, err = d.store.Append(callCtx, store.Append{Topic: topicShards, Records: []store.Record{{Key: service, Value: value}}, ExpectedEnd: &end})
	return err
}

// countWorkers returns the number of workers of a service once it has stayed the same
// for workerSettleTime, or after maxWorkerWait.
func (d *shardDirectory) countWorkers(ctx context.Context, service string) (int, error) {
	begin := time.Now()
	last, changedAt := -1, begin
	for {
		callCtx, cancel := context.WithTimeout(ctx, workerCountTimeout)
		records, _, err := store.ReadAllCompacted(callCtx, d.store, platform.TopicWorkers)
		cancel()
		if err != nil {
			return 0, err
		}
		count := 0
		for _, r := range records {
			// Entries of other writers are none of a worker.
			if e, err := platform.DecodeWorker(r.Key, r.Value); err == nil && e.Service == service {
				count++
			}
		}
		if count != last {
			last, changedAt = count, time.Now()
		}
		settled := count > 0 && time.Since(changedAt) >= workerSettleTime
		if settled || time.Since(begin) > maxWorkerWait || ctx.Err() != nil {
			return count, nil
		}
		pauseFor(ctx, workerCountInterval)
	}
}

// pauseFor waits for d or until ctx ends.
func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
