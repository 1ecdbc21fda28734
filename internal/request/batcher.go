package request

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Limits of a Batcher.
const (
	// maxBatchRecords and maxBatchBytes bound one message, so that a record
	// does not wait long behind others.
	maxBatchRecords = 512
	maxBatchBytes   = 1 << 20
	// maxQueuedRecords bounds the queue for a peer that does not reply.
	maxQueuedRecords = 8192
)

var errQueueFull = errors.New("replication queue of the peer is full")

// Batcher sends records to one peer in batches: while a message is in transit,
// records accumulate for the next one. Its goroutine runs only while there are
// records to send. It is safe for concurrent use.
type Batcher struct {
	replicator Replicator
	peer       string
	timeout    time.Duration

	mu      sync.Mutex
	queue   []queuedRecord
	running bool
}

type queuedRecord struct {
	rec  *rpc.Record
	done func(error)
}

// NewBatcher returns a Batcher that sends records to peer through replicator.
// timeout bounds each message.
func NewBatcher(replicator Replicator, peer string, timeout time.Duration) *Batcher {
	return &Batcher{replicator: replicator, peer: peer, timeout: timeout}
}

// Replicate sends rec and waits until the peer has confirmed it. It returns
// errQueueFull if the queue is full, in which case nothing was sent,
// ErrRecordRefused if the peer refused the record, the Replicator's error or
// the error of ctx; in the latter two cases the peer may have stored it.
func (b *Batcher) Replicate(ctx context.Context, rec *rpc.Record) error {
	ack := make(chan error, 1)
	if !b.Enqueue(rec, func(err error) { ack <- err }) {
		return errQueueFull
	}
	select {
	case err := <-ack:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Enqueue queues rec and later calls done with the result from another
// goroutine. If the queue is full, it returns false and does not call done. rec
// must not be modified afterwards.
func (b *Batcher) Enqueue(rec *rpc.Record, done func(error)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= maxQueuedRecords {
		return false
	}
	b.queue = append(b.queue, queuedRecord{rec, done})
	if !b.running {
		b.running = true
		go b.sendBatches()
	}
	return true
}

// queueLength returns the number of queued records.
func (b *Batcher) queueLength() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

// sendBatches sends batches until the queue is empty.
func (b *Batcher) sendBatches() {
	for {
		batch := b.nextBatch()
		if batch == nil {
			return
		}
		records := make([]*rpc.Record, len(batch))
		for i := range batch {
			records[i] = batch[i].rec
		}
		ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
		refused, err := b.replicator.Replicate(ctx, b.peer, records)
		cancel()
		results := make([]error, len(batch))
		for i := range results {
			results[i] = err
		}
		for _, i := range refused {
			if err == nil && int(i) < len(results) {
				results[i] = ErrRecordRefused
			}
		}
		for i := range batch {
			batch[i].done(results[i])
		}
	}
}

// nextBatch removes the next batch from the queue. If the queue is empty, it
// returns nil and the sending goroutine must end.
func (b *Batcher) nextBatch() []queuedRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.queue) && n < maxBatchRecords && (n == 0 || size < maxBatchBytes) {
		size += len(b.queue[n].rec.Body)
		n++
	}
	if n == 0 {
		b.running, b.queue = false, nil
		return nil
	}
	batch := b.queue[:n:n]
	if b.queue = b.queue[n:]; len(b.queue) == 0 {
		b.queue = nil
	}
	return batch
}

// batcher returns the Batcher of a peer and creates it on first use.
func (k *Keeper) batcher(peer string) *Batcher {
	k.peersMu.Lock()
	defer k.peersMu.Unlock()
	b := k.peers[peer]
	if b == nil {
		b = NewBatcher(k.opts.Replicator, peer, k.opts.ReplicateTimeout)
		k.peers[peer] = b
	}
	return b
}

// removeStaleBatchers drops the Batchers of hosts that are no longer backups.
func (k *Keeper) removeStaleBatchers() {
	live := make(map[string]bool)
	for _, p := range k.opts.Membership.Backups() {
		live[p] = true
	}
	k.peersMu.Lock()
	defer k.peersMu.Unlock()
	for p := range k.peers {
		if !live[p] {
			delete(k.peers, p)
		}
	}
}
