package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"coursepass/internal/metrics/resources"
)

// Label names of the resource metrics, and the values of the direction label.
const (
	labelRole      = "role"
	labelKind      = "kind"
	labelZone      = "zone"
	labelSide      = "side"
	labelDirection = "direction"
	labelProcedure = "procedure"

	directionIn  = "in"
	directionOut = "out"
)

// resourceCollector exports the resource usage of a daemon.
type resourceCollector struct {
	read func() resources.Snapshot

	networkBytes      *prometheus.Desc
	openConnections   *prometheus.Desc
	connectionsOpened *prometheus.Desc
	controlCalls      *prometheus.Desc
	controlBytes      *prometheus.Desc
	loopWakeups       *prometheus.Desc
	cpuSeconds        *prometheus.Desc
	heapBytes         *prometheus.Desc
	residentBytes     *prometheus.Desc
	goroutines        *prometheus.Desc
}

// ResourceCollector returns a collector for the resource usage of a daemon. The collector calls read at each
// scrape. Each metric has the role of the daemon as a label.
func ResourceCollector(role string, read func() resources.Snapshot) prometheus.Collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("coursepass_"+name, help, labels, prometheus.Labels{labelRole: role})
	}
	return &resourceCollector{
		read: read,
		networkBytes: describe("network_bytes_total",
			"Bytes over connections, by what they carry, the zone of the other end and direction.",
			labelKind, labelZone, labelDirection),
		openConnections: describe("open_connections",
			"Connections that are open, by what they carry and the side that the daemon is.", labelKind, labelSide),
		connectionsOpened: describe("connections_opened_total",
			"Connections that were opened or accepted.", labelKind, labelSide),
		controlCalls: describe("control_calls_total",
			"Calls begun (client) or served (server), by procedure.", labelProcedure, labelSide),
		controlBytes: describe("control_bytes_total",
			"Bytes of calls on the wire, by procedure.", labelProcedure, labelSide, labelDirection),
		loopWakeups:   describe("loop_wakeups_total", "Runs of the daemon's periodic loops."),
		cpuSeconds:    describe("cpu_seconds_total", "Processor time of the process, user and system."),
		heapBytes:     describe("heap_bytes", "Memory of objects on the heap of the process."),
		residentBytes: describe("resident_bytes", "Resident memory of the process; 0 if unknown."),
		goroutines:    describe("goroutines", "Goroutines of the process."),
	}
}

// Describe sends the descriptions of all resource metrics.
func (r *resourceCollector) Describe(output chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		r.networkBytes,
		r.openConnections,
		r.connectionsOpened,
		r.controlCalls,
		r.controlBytes,
		r.loopWakeups,
		r.cpuSeconds,
		r.heapBytes,
		r.residentBytes,
		r.goroutines,
	} {
		output <- description
	}
}

// Collect takes a snapshot and sends the value of each resource metric.
func (r *resourceCollector) Collect(output chan<- prometheus.Metric) {
	counter := func(description *prometheus.Desc, value int64, labels ...string) {
		output <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	gauge := func(description *prometheus.Desc, value int64, labels ...string) {
		output <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value), labels...)
	}
	snapshot := r.read()
	for _, count := range snapshot.Traffic {
		counter(r.networkBytes, count.BytesIn, count.Kind, count.Zone, directionIn)
		counter(r.networkBytes, count.BytesOut, count.Kind, count.Zone, directionOut)
	}
	for _, count := range snapshot.Connections {
		gauge(r.openConnections, count.Open, count.Kind, count.Side)
		counter(r.connectionsOpened, count.Opened, count.Kind, count.Side)
	}
	for _, count := range snapshot.Procedures {
		counter(r.controlCalls, count.Calls, count.Procedure, count.Side)
		counter(r.controlBytes, count.BytesIn, count.Procedure, count.Side, directionIn)
		counter(r.controlBytes, count.BytesOut, count.Procedure, count.Side, directionOut)
	}
	counter(r.loopWakeups, snapshot.LoopWakeups)
	output <- prometheus.MustNewConstMetric(r.cpuSeconds, prometheus.CounterValue, snapshot.Process.CPUSeconds)
	gauge(r.heapBytes, snapshot.Process.HeapBytes)
	gauge(r.residentBytes, snapshot.Process.ResidentBytes)
	gauge(r.goroutines, snapshot.Process.Goroutines)
}
