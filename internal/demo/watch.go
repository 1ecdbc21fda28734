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

// MetricsSampler reads the metrics of a running system during a load.
type MetricsSampler struct {
	client    *operator.Client
	addresses []string
	began     time.Time

	stop context.CancelFunc
	done chan struct{}
	// last is the control traffic of each entry host at the last reading, and
	// control what all together have added since the first, in bytes.
	last    map[string]float64
	control float64
	peak    float64
}

// StartMetricsSampler begins to read the metrics of the entry hosts at the given
// operators' addresses until Stop. It returns an error if one can't be read.
func StartMetricsSampler(ctx context.Context, client *operator.Client, addresses []string) (*MetricsSampler, error) {
	ctx, stop := context.WithCancel(ctx)
	w := &MetricsSampler{client: client, addresses: addresses, began: time.Now(), stop: stop, done: make(chan struct{}),
		last: make(map[string]float64)}
	if err := w.read(ctx); err != nil {
		stop()
		return nil, err
	}
	w.control = 0
	go w.run(ctx)
	return w, nil
}

func (w *MetricsSampler) run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// A host that can't be read now may be read the next time.
			_ = w.read(ctx)
		}
	}
}

// read takes in the control traffic of each host and the share of all slots
// that is in use. A counter that fell is that of a new process, which began at 0.
func (w *MetricsSampler) read(ctx context.Context) error {
	slots, inUse := 0.0, 0.0
	for _, address := range w.addresses {
		m, err := w.client.At(address).Metrics(ctx)
		if err != nil {
			return err
		}
		control := 0.0
		for _, name := range []string{"control_sent_bytes_total", "control_received_bytes_total", "control_served_bytes_total"} {
			control += m[name]
		}
		if control < w.last[address] {
			w.last[address] = 0
		}
		w.control += control - w.last[address]
		w.last[address] = control
		slots += m["workers_slots"]
		inUse += m["workers_slots_used"]
	}
	if slots == 0 {
		return errors.New("the entry hosts hold no workers")
	}
	w.peak = max(w.peak, inUse/slots)
	return nil
}

// Stop ends the reading and returns the largest share of all slots that was in
// use at one reading, in percent, and the mean control traffic of an entry host
// in bytes a second. It returns an error if the metrics can't be read now.
func (w *MetricsSampler) Stop(ctx context.Context) (packing, control float64, err error) {
	w.stop()
	<-w.done
	if err := w.read(ctx); err != nil {
		return 0, 0, err
	}
	control = w.control / time.Since(w.began).Seconds() / float64(len(w.addresses))
	return 100 * w.peak, control, nil
}
