// Package metrics serves a daemon's counters and histograms in the usual text form.
package metrics

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"coursepass/internal/clock"
)

// TimeToFirstByte is a histogram of how long requests waited for the head of their answer.
type TimeToFirstByte struct{ prometheus.Histogram }

// NewTimeToFirstByte is an empty histogram with buckets from 25 ms to 3.2 s.
func NewTimeToFirstByte() TimeToFirstByte {
	return TimeToFirstByte{prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "coursepass_start_seconds", Help: "Time from a request's arrival to the head of its answer.",
		Buckets: prometheus.ExponentialBuckets(0.025, 2, 8),
	})}
}

// Record adds one request.
func (t TimeToFirstByte) Record(latency clock.Microseconds) {
	t.Observe(float64(latency) / float64(clock.Second))
}

// counterCollector are a daemon's counts by the names that operators see.
type counterCollector func() map[string]int64

// Describe tells nothing beforehand: the names are known when they are asked for.
func (counterCollector) Describe(chan<- *prometheus.Desc) {}

// Collect gives each count under its name.
func (c counterCollector) Collect(output chan<- prometheus.Metric) {
	for name, value := range c() {
		description := prometheus.NewDesc("coursepass_"+strings.ReplaceAll(name, "-", "_"), "See the page of counters.", nil, nil)
		output <- prometheus.MustNewConstMetric(description, prometheus.UntypedValue, float64(value))
	}
}

// Handler serves a daemon's counts and the given histograms.
func Handler(readCounters func() map[string]int64, histograms ...prometheus.Collector) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(counterCollector(readCounters))
	registry.MustRegister(histograms...)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
