package router

import (
	"sync/atomic"

	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/state/registry"
)

// engineTable returns the table of a service's engines, a new one if there is none.
func (r *Router) engineTable(service string) *registry.Table {
	r.lock.Lock()
	defer r.lock.Unlock()
	table, ok := r.engineTables[service]
	if !ok {
		table = registry.NewTable(service, r.Name)
		if view := r.configView.Load(); view != nil {
			table.SetEvacuatedZones(r.drainingZones(view))
		}
		r.engineTables[service] = table
	}
	return table
}

// updateEngines gives each service's table the engines and the assignment of a shard.
func (r *Router) updateEngines(view registry.View) {
	now := r.clock.Now()
	services := map[string]bool{}
	for _, engine := range view.Engines {
		services[engine.Service] = true
	}
	for service := range services {
		r.engineTable(service).Update(now, view)
	}
}

// applyLoadReports gives the tables the engines' load as their leaders passed it on.
func (r *Router) applyLoadReports(reports []registry.Report) {
	now := r.clock.Now()
	for _, report := range reports {
		r.engineTable(report.Service).ApplyReport(now, report)
	}
}

// setEvacuatedZones has all tables leave out the engines of these zones.
func (r *Router) setEvacuatedZones(zones []string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, table := range r.engineTables {
		table.SetEvacuatedZones(zones)
	}
}

// budgetAndQueue returns the retry budget of a tenant and the number of requests of a service that
// are in flight.
func (r *Router) budgetAndQueue(tenant, service string) (*lifecycle.RetryBudget, *atomic.Int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	retryBudget, ok := r.retryBudgets[tenant]
	if !ok {
		retryBudget = &lifecycle.RetryBudget{}
		r.retryBudgets[tenant] = retryBudget
	}
	queueDepth, ok := r.queueDepths[service]
	if !ok {
		queueDepth = &atomic.Int64{}
		r.queueDepths[service] = queueDepth
	}
	return retryBudget, queueDepth
}
