package entryhost

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// sampleSize and sampleAlpha are the usual parameters of an exponentially
// decaying sample that favours the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// telemetry holds an entry host's metrics. Names are
// "<subject>.<event>[.<label value>]"; durations are in seconds.
type telemetry struct {
	registry metrics.Registry
}

func newTelemetry() *telemetry {
	return &telemetry{registry: metrics.NewRegistry()}
}

func (t *telemetry) count(name string) {
	metrics.GetOrRegisterCounter(name, t.registry).Inc(1)
}

func (t *telemetry) gauge(name string, value func() int64) {
	t.registry.Register(name, metrics.NewFunctionalGauge(value))
}

func (t *telemetry) observe(name string, d time.Duration) {
	h := t.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	h.Update(int64(d))
}

func (t *telemetry) outcome(r *rpc.SubmitReply, took time.Duration) {
	name := "requests.outcome." + r.Outcome
	if r.Reason != "" {
		name += "." + r.Reason
	}
	t.count(name)
	t.observe("requests.duration", took)
}

func (t *telemetry) refused(reason api.Reason) {
	t.count("requests.refused." + string(reason))
}

// writeText writes all metrics in the text exposition format of common
// scrapers, one sample a line.
func (t *telemetry) writeText(w io.Writer) {
	samples := make(map[string]string)
	t.registry.Each(func(name string, metric any) {
		id := "laburnumpass_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch m := metric.(type) {
		case metrics.Counter:
			samples[id+"_total"] = fmt.Sprint(m.Count())
		case metrics.Gauge:
			samples[id] = fmt.Sprint(m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			for _, q := range []float64{0.5, 0.9, 0.99} {
				key := fmt.Sprintf("%s_seconds{quantile=\"%g\"}", id, q)
				samples[key] = fmt.Sprintf("%.6f", s.Percentile(q)/float64(time.Second))
			}
			samples[id+"_seconds_count"] = fmt.Sprint(s.Count())
		}
	})
	names := make([]string, 0, len(samples))
	for name := range samples {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s %s\n", name, samples[name])
	}
}
