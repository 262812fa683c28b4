package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"coursepass/internal/dataplane/placement"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
)

// DataPlane is a data plane that replaces the router's own HTTP interface, such as the opaque proxy.
// The router passes the state of the control plane on to it. The router calls its methods
// concurrently.
type DataPlane interface {
	// Configure is called with each configuration that the router activates.
	Configure(config.View)
	// UpdateEngines is called with the engines of a shard and the number of routers.
	UpdateEngines(registry.View, int)
	// BusyTime returns the busy time that this router has caused at engines since its start.
	BusyTime() []registry.BusyTime
	// CounterValues returns the data plane's counters by their exported names.
	CounterValues() map[string]int64
	// Collectors returns the data plane's Prometheus collectors.
	Collectors() []prometheus.Collector
	// PendingCalls returns the number of running calls at engines in regions under maintenance, by
	// engine.
	PendingCalls() map[string]int
	// HandleSuspect is called when another router reports that an engine did not respond to it.
	HandleSuspect(service, incarnation string)
	// Place answers a placement query of another router.
	Place(query *placement.Query) (*placement.Answer, error)
	// HandleEngineReport is called with another router's report on an engine that this router owns.
	HandleEngineReport(report *placement.EngineReport)
}

// SetDataPlane sets the data plane that replaces the router's own HTTP interface. It must be called
// before Run.
func (r *Router) SetDataPlane(dataPlane DataPlane) { r.dataPlane = dataPlane }
