package entryhost

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// sampleSize and sampleAlpha are the usual parameters for an exponentially decaying
// sample that favours the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// telemetry holds the metrics of an entry host. Metric names have the form
// "<subject>.<event>[.<detail>]"; durations are exposed in seconds.
type telemetry struct {
	registry metrics.Registry
	// counterFuncs and labeledGauges are only written before the host serves, so
	// they need no lock.
	counterFuncs  map[string]func() uint64
	labeledGauges map[string]labeledGauge
}

// labeledGauge is a gauge with one sample for each value of a label.
type labeledGauge struct {
	label  string
	values func() map[string]float64
}

func newTelemetry() *telemetry {
	return &telemetry{
		registry:      metrics.NewRegistry(),
		counterFuncs:  make(map[string]func() uint64),
		labeledGauges: make(map[string]labeledGauge),
	}
}

// count increments a counter.
func (t *telemetry) count(name string) {
	metrics.GetOrRegisterCounter(name, t.registry).Inc(1)
}

// declareCounters registers counters with the value 0 before their first event. An
// alarm could not detect the first event of a counter that only appears with it,
// because there is no increase from 0.
func (t *telemetry) declareCounters(prefix string, names ...string) {
	for _, name := range names {
		metrics.GetOrRegisterCounter(prefix+name, t.registry)
	}
}

func (t *telemetry) gauge(name string, value func() int64) {
	t.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// durationGauge adds a gauge of a duration; its name gets the suffix ".seconds".
func (t *telemetry) durationGauge(name string, value func() time.Duration) {
	t.registry.Register(name+".seconds", metrics.NewFunctionalGaugeFloat64(func() float64 { return value().Seconds() }))
}

// counterFunc adds a counter whose value a function returns, for counts that are
// kept elsewhere.
func (t *telemetry) counterFunc(name string, value func() uint64) { t.counterFuncs[name] = value }

// gaugePerLabel adds a gauge with one sample for each value of a label.
func (t *telemetry) gaugePerLabel(name, label string, values func() map[string]float64) {
	t.labeledGauges[name] = labeledGauge{label, values}
}

// observeDuration adds a duration to a histogram.
func (t *telemetry) observeDuration(name string, d time.Duration) {
	h := t.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	h.Update(int64(d))
}

// recordOutcome counts the outcome of a caller's request and records its duration.
func (t *telemetry) recordOutcome(r *rpc.SubmitReply, elapsed time.Duration) {
	t.count(outcomeMetric(r.Outcome, r.Reason))
	t.observeDuration("requests.duration", elapsed)
}

func outcomeMetric(outcome, reason string) string {
	name := "requests.outcome." + outcome
	if reason != "" {
		name += "." + reason
	}
	return name
}

// countRefusal counts a request that was refused without asking its record keeper.
func (t *telemetry) countRefusal(reason api.Reason) {
	t.count("requests.refused." + string(reason))
}

// writeText writes all metrics in the Prometheus text exposition format, one sample
// per line.
func (t *telemetry) writeText(w io.Writer) {
	samples := make(map[string]string)
	t.registry.Each(func(name string, metric any) {
		exposed := exposedMetricName(name)
		switch m := metric.(type) {
		case metrics.Counter:
			samples[exposed+"_total"] = fmt.Sprint(m.Count())
		case metrics.Gauge:
			samples[exposed] = fmt.Sprint(m.Value())
		case metrics.GaugeFloat64:
			samples[exposed] = fmt.Sprintf("%.3f", m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			for _, q := range []float64{0.5, 0.9, 0.99} {
				key := fmt.Sprintf("%s_seconds{quantile=\"%g\"}", exposed, q)
				samples[key] = fmt.Sprintf("%.6f", s.Percentile(q)/float64(time.Second))
			}
			samples[exposed+"_seconds_count"] = fmt.Sprint(s.Count())
		}
	})
	for name, value := range t.counterFuncs {
		samples[exposedMetricName(name)+"_total"] = fmt.Sprint(value())
	}
	for name, s := range t.labeledGauges {
		for label, value := range s.values() {
			samples[fmt.Sprintf("%s{%s=%q}", exposedMetricName(name), s.label, label)] = strconv.FormatFloat(value, 'f', -1, 64)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(samples)) {
		fmt.Fprintf(w, "%s %s\n", name, samples[name])
	}
}

var metricNameReplacer = strings.NewReplacer(".", "_", "-", "_")

func exposedMetricName(name string) string { return "laburnumpass_" + metricNameReplacer.Replace(name) }
