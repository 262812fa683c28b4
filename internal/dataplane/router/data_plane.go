package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"coursepass/internal/dataplane/placement"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
)

// DataPlane is an implementation of the data plane that follows the control plane through a router,
// in place of the router's own interface. The router calls its methods concurrently.
type DataPlane interface {
	// Configure receives each configuration that is activated.
	Configure(config.View)
	// UpdateEngines receives the engines of a shard, and how many routers there are.
	UpdateEngines(registry.View, int)
	// BusyTime is the work that engines were given by this router since its start.
	BusyTime() []registry.BusyTime
	// CounterValues are the counters by the names that operators see.
	CounterValues() map[string]int64
	// Collectors are the metrics that operators see.
	Collectors() []prometheus.Collector
	// PendingCalls counts the running calls at engines of regions under maintenance, by engine.
	PendingCalls() map[string]int
	// HandleSuspect receives that an engine did not answer another router.
	HandleSuspect(service, incarnation string)
	// Place answers another router's query for a placement.
	Place(query *placement.Query) (*placement.Answer, error)
	// HandleEngineReport receives another router's report about an engine that this router owns.
	HandleEngineReport(report *placement.EngineReport)
}

// SetDataPlane has a data plane follow the control plane. It comes before Run.
func (r *Router) SetDataPlane(dataPlane DataPlane) { r.dataPlane = dataPlane }
