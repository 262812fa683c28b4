// Package metrics serves a daemon's counters, histograms and resource usage in the Prometheus text format.
// All metric names start with "coursepass_".
package metrics

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"coursepass/internal/clock"
)

// The upper bounds of the buckets of [TimeToFirstByte] double from 25 ms to 3.2 s.
const (
	firstBucketSeconds = 0.025
	bucketFactor       = 2
	bucketCount        = 8
)

// TimeToFirstByte is a histogram of the time from the arrival of a request to the head of its response.
type TimeToFirstByte struct{ prometheus.Histogram }

// NewTimeToFirstByte returns an empty histogram.
func NewTimeToFirstByte() TimeToFirstByte {
	return TimeToFirstByte{prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "coursepass_start_seconds",
		Help:    "Time from a request's arrival to the head of its answer.",
		Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount),
	})}
}

// Record adds the latency of one request to the histogram.
func (t TimeToFirstByte) Record(latency clock.Microseconds) {
	t.Observe(float64(latency) / float64(clock.Second))
}

// counterCollector exports the counters that the function returns. The set of counters may differ between
// scrapes.
type counterCollector func() map[string]int64

// Describe sends no descriptions because the set of counters is known only at a scrape.
func (counterCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current value of each counter.
func (c counterCollector) Collect(output chan<- prometheus.Metric) {
	for name, value := range c() {
		metricName := "coursepass_" + strings.ReplaceAll(name, "-", "_")
		description := prometheus.NewDesc(metricName, "See the page of counters.", nil, nil)
		output <- prometheus.MustNewConstMetric(description, prometheus.UntypedValue, float64(value))
	}
}

// Handler returns an HTTP handler that serves the counters of a daemon and the metrics of the given
// collectors. The handler calls readCounters at each scrape.
func Handler(readCounters func() map[string]int64, histograms ...prometheus.Collector) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(counterCollector(readCounters))
	registry.MustRegister(histograms...)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
