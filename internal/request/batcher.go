package request

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Bounds of a Batcher.
const (
	// maxBatchRecords and maxBatchBytes bound one message, so that a record
	// does not wait long behind others.
	maxBatchRecords = 512
	maxBatchBytes   = 1 << 20
	// maxQueuedRecords bounds what waits for a peer that does not reply.
	maxQueuedRecords = 8192
)

var errQueueFull = errors.New("too many records wait for the peer")

// Batcher sends records to one peer. While a message is in transit, records
// accumulate for the next one. Its goroutine runs only while there are records
// to send. It is safe for concurrent use.
type Batcher struct {
	to      Replicator
	peer    string
	timeout time.Duration

	mu      sync.Mutex
	queue   []queued
	running bool
}

type queued struct {
	rec  *rpc.Record
	done func(error)
}

// NewBatcher returns a Batcher for peer. timeout bounds one message.
func NewBatcher(to Replicator, peer string, timeout time.Duration) *Batcher {
	return &Batcher{to: to, peer: peer, timeout: timeout}
}

// Replicate sends rec and waits until the peer has confirmed it. It returns
// ErrRecordRefused if the peer refused it, the Replicator's error, or the error of
// ctx; after the latter two the peer may have stored it.
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

// Enqueue sends rec later and calls done with the result from another
// goroutine. It reports false, without a call of done, if too many records
// wait. rec must not be changed any more.
func (b *Batcher) Enqueue(rec *rpc.Record, done func(error)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= maxQueuedRecords {
		return false
	}
	b.queue = append(b.queue, queued{rec, done})
	if !b.running {
		b.running = true
		go b.send()
	}
	return true
}

// length returns the number of records that wait.
func (b *Batcher) length() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

func (b *Batcher) send() {
	for {
		batch := b.next()
		if batch == nil {
			return
		}
		records := make([]*rpc.Record, len(batch))
		for i := range batch {
			records[i] = batch[i].rec
		}
		ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
		refused, err := b.to.Replicate(ctx, b.peer, records)
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

// next takes the next batch; nil stops the goroutine.
func (b *Batcher) next() []queued {
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

// batcher returns the Batcher of a peer.
func (k *Keeper) batcher(peer string) *Batcher {
	k.peersMu.Lock()
	defer k.peersMu.Unlock()
	b := k.peers[peer]
	if b == nil {
		b = NewBatcher(k.o.Replicator, peer, k.o.ReplicateTimeout)
		k.peers[peer] = b
	}
	return b
}

// forgetPeers drops the Batchers of hosts that are no longer backups.
func (k *Keeper) forgetPeers() {
	live := make(map[string]bool)
	for _, p := range k.o.Membership.Backups() {
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
