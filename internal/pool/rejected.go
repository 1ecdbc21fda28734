package pool

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/store"
)

// rejectedPlacementPause is how long a placement that the store rejected is kept, so that
// it is not repeated in each pass.
const rejectedPlacementPause = time.Second

// releaseRejected releases planned runs that the store rejected, after a pause.
func (p *Pool) releaseRejected(runs []*run) {
	time.AfterFunc(rejectedPlacementPause, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, r := range runs {
			if p.holdsCapacity(r) {
				p.release(r, "not_stored")
			}
		}
	})
}

// tryStoreRecords is storeRecords for records that may be rejected: onDone is then called
// with a wrapped ErrRecordRejected, and the term goes on.
func (p *Pool) tryStoreRecords(records []store.Record, onDone func(error)) {
	p.journal.add(appendRequest{records: records, onDone: p.locked(onDone), mayBeRejected: true})
}

// locked returns a function that calls onDone with p.mu held and then triggers a
// scheduling pass.
func (p *Pool) locked(onDone func(error)) func(error) {
	return func(err error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		onDone(err)
		p.requestPass()
	}
}
