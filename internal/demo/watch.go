package demo

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/operator"
)

// sampleInterval is the time between two samples of the metrics. It is short
// compared with a load, which takes seconds.
const sampleInterval = 200 * time.Millisecond

// MetricsSampler samples the metrics of a running system during a load.
type MetricsSampler struct {
	client    *operator.Client
	addresses []string
	startedAt time.Time

	stop context.CancelFunc
	done chan struct{}
	// lastControlBytes is the control traffic counter of each entry host in the
	// last sample. controlBytes is the traffic that all hosts together have
	// counted since the first sample.
	lastControlBytes map[string]float64
	controlBytes     float64
	peakSlotShare    float64
}

// StartMetricsSampler samples the metrics of the entry hosts at the given operator
// addresses until Stop. It returns an error if the first sample fails.
func StartMetricsSampler(ctx context.Context, client *operator.Client, addresses []string) (*MetricsSampler, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &MetricsSampler{client: client, addresses: addresses, startedAt: time.Now(), stop: stop, done: make(chan struct{}),
		lastControlBytes: make(map[string]float64)}
	if err := s.sample(ctx); err != nil {
		stop()
		return nil, err
	}
	s.controlBytes = 0
	go s.run(ctx)
	return s, nil
}

func (s *MetricsSampler) run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// Ignore the error: a host that can't be read now may reply next time.
			_ = s.sample(ctx)
		}
	}
}

// sample adds the control traffic of each host and updates the peak share of the
// slots in use. A counter below its last value belongs to a restarted process,
// whose counters start at 0.
func (s *MetricsSampler) sample(ctx context.Context) error {
	slots, inUse := 0.0, 0.0
	for _, address := range s.addresses {
		m, err := s.client.At(address).Metrics(ctx)
		if err != nil {
			return err
		}
		control := 0.0
		for _, name := range []string{"control_sent_bytes_total", "control_received_bytes_total", "control_served_bytes_total"} {
			control += m[name]
		}
		if control < s.lastControlBytes[address] {
			s.lastControlBytes[address] = 0
		}
		s.controlBytes += control - s.lastControlBytes[address]
		s.lastControlBytes[address] = control
		slots += m["workers_slots"]
		inUse += m["workers_slots_used"]
	}
	if slots == 0 {
		return errors.New("the entry hosts hold no workers")
	}
	s.peakSlotShare = max(s.peakSlotShare, inUse/slots)
	return nil
}

// Stop takes a last sample and returns the largest share of all slots in use in
// any sample, in percent, and the mean control traffic of an entry host in bytes
// per second. It returns an error if the last sample fails.
func (s *MetricsSampler) Stop(ctx context.Context) (peakSlotPercent, controlBytesPerSecond float64, err error) {
	s.stop()
	<-s.done
	if err := s.sample(ctx); err != nil {
		return 0, 0, err
	}
	controlBytesPerSecond = s.controlBytes / time.Since(s.startedAt).Seconds() / float64(len(s.addresses))
	return 100 * s.peakSlotShare, controlBytesPerSecond, nil
}
