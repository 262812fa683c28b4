// Package metrics serves a daemon's counters and histograms in the Prometheus text format.
// All names are prefixed with "coursepass_".
package metrics

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"coursepass/internal/clock"
)

// The buckets of the time to first byte double from 25 ms to 3.2 s.
const (
	firstBucketSeconds = 0.025
	bucketFactor       = 2
	bucketCount        = 8
)

// TimeToFirstByte is a histogram of the time from a request's arrival to the head of its answer.
type TimeToFirstByte struct{ prometheus.Histogram }

// NewTimeToFirstByte returns an empty histogram.
func NewTimeToFirstByte() TimeToFirstByte {
	return TimeToFirstByte{prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "coursepass_start_seconds",
		Help:    "Time from a request's arrival to the head of its answer.",
		Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount),
	})}
}

// Record adds one request with its latency.
func (t TimeToFirstByte) Record(latency clock.Microseconds) {
	t.Observe(float64(latency) / float64(clock.Second))
}

// counterCollector exports the counters that the function returns, which may be others at each
// scrape.
type counterCollector func() map[string]int64

// Describe sends no description: which counters there are is only known at a scrape.
func (counterCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the present value of each counter.
func (c counterCollector) Collect(output chan<- prometheus.Metric) {
	for name, value := range c() {
		metricName := "coursepass_" + strings.ReplaceAll(name, "-", "_")
		description := prometheus.NewDesc(metricName, "See the page of counters.", nil, nil)
		output <- prometheus.MustNewConstMetric(description, prometheus.UntypedValue, float64(value))
	}
}

// Handler returns an HTTP handler that serves a daemon's counters, read anew at each scrape, and
// the given histograms.
func Handler(readCounters func() map[string]int64, histograms ...prometheus.Collector) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(counterCollector(readCounters))
	registry.MustRegister(histograms...)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
