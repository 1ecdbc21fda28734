package demo

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/operator"
)

// watchInterval is the time between two readings of the metrics, short against
// the seconds of a load.
const watchInterval = 200 * time.Millisecond

// Watch reads the metrics of a running system during a load.
type Watch struct {
	client    *operator.Client
	addresses []string
	began     time.Time
	// control is the control traffic of all entry hosts at the beginning, in
	// bytes.
	control float64

	stop context.CancelFunc
	done chan struct{}
	peak float64
}

// StartWatch begins to read the metrics of the entry hosts at the given
// operators' addresses until Stop. It returns an error if one can't be read.
func StartWatch(ctx context.Context, client *operator.Client, addresses []string) (*Watch, error) {
	ctx, stop := context.WithCancel(ctx)
	w := &Watch{client: client, addresses: addresses, began: time.Now(), stop: stop, done: make(chan struct{})}
	control, _, err := w.read(ctx)
	if err != nil {
		stop()
		return nil, err
	}
	w.control = control
	go w.run(ctx)
	return w, nil
}

func (w *Watch) run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// A host that can't be read now may be read the next time.
			if _, used, err := w.read(ctx); err == nil {
				w.peak = max(w.peak, used)
			}
		}
	}
}

// read returns the control traffic of all hosts in bytes and the share of all
// slots that are in use.
func (w *Watch) read(ctx context.Context) (control, used float64, err error) {
	slots, inUse := 0.0, 0.0
	for _, address := range w.addresses {
		m, err := w.client.At(address).Metrics(ctx)
		if err != nil {
			return 0, 0, err
		}
		for _, name := range []string{"control_sent_bytes_total", "control_received_bytes_total", "control_served_bytes_total"} {
			control += m[name]
		}
		slots += m["workers_slots"]
		inUse += m["workers_slots_used"]
	}
	if slots == 0 {
		return control, 0, errors.New("the entry hosts hold no workers")
	}
	return control, inUse / slots, nil
}

// Stop ends the reading and returns the largest share of all slots that was in
// use at one reading, in percent, and the mean control traffic of an entry host
// in bytes a second. It returns an error if the metrics can't be read now.
func (w *Watch) Stop(ctx context.Context) (packing, control float64, err error) {
	w.stop()
	<-w.done
	end, _, err := w.read(ctx)
	if err != nil {
		return 0, 0, err
	}
	control = (end - w.control) / time.Since(w.began).Seconds() / float64(len(w.addresses))
	return 100 * w.peak, control, nil
}
