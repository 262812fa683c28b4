package httpapi

import (
	"sync/atomic"

	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/state/registry"
)

// engineTable returns the table of a service's engines. It creates the table if there is none.
func (h *Handler) engineTable(service string) *registry.Table {
	h.lock.Lock()
	defer h.lock.Unlock()
	table, ok := h.engineTables[service]
	if !ok {
		table = registry.NewTable(service, h.node.Name)
		if view := h.control.ConfigView(); view != nil {
			table.SetEvacuatedZones(h.control.DrainingZones(view))
		}
		h.engineTables[service] = table
	}
	return table
}

// UpdateEngines updates the tables of a shard's services with the shard's engines and assignments.
func (h *Handler) UpdateEngines(view registry.View) {
	services := map[string]bool{}
	for _, engine := range view.Engines {
		services[engine.Service] = true
	}
	for service := range services {
		h.engineTable(service).Update(view)
	}
}

// ApplyLoadReports updates the tables with the engines' load reports, which the leaders have passed on.
func (h *Handler) ApplyLoadReports(reports []registry.Report) {
	now := h.clock.Now()
	for _, report := range reports {
		h.engineTable(report.Service).ApplyReport(now, report)
	}
}

// SetEvacuatedZones sets the zones whose engines get no new work, in all tables.
func (h *Handler) SetEvacuatedZones(zones []string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	for _, table := range h.engineTables {
		table.SetEvacuatedZones(zones)
	}
}

// budgetAndQueueDepth returns the retry budget of a tenant and the counter of a service's requests in
// flight. It creates them if there are none.
func (h *Handler) budgetAndQueueDepth(tenant, service string) (*lifecycle.RetryBudget, *atomic.Int64) {
	h.lock.Lock()
	defer h.lock.Unlock()
	retryBudget, ok := h.retryBudgets[tenant]
	if !ok {
		retryBudget = &lifecycle.RetryBudget{}
		h.retryBudgets[tenant] = retryBudget
	}
	queueDepth, ok := h.queueDepths[service]
	if !ok {
		queueDepth = &atomic.Int64{}
		h.queueDepths[service] = queueDepth
	}
	return retryBudget, queueDepth
}
