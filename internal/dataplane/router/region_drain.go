package router

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
)

// DrainingZones returns the zones that get no new work under a configuration: the evacuated zones, and
// the zones of regions that the maintenance tracker has closed to requests. The tracker closes a
// region some time before its maintenance window starts, and earlier if the longest request that the
// templates allow could run beyond the end of the window.
func (r *Router) DrainingZones(view *config.View) []string {
	now := r.clock.Now()
	longestTimeout := clock.Microseconds(0)
	for _, tenant := range view.Plan.Tenants {
		for _, template := range tenant.Kinds {
			longestTimeout = max(longestTimeout, template.TotalTimeout())
		}
	}
	zones := slices.Clone(view.Evacuated)
	longestWork := maintenance.Work{EndsBy: now + longestTimeout}
	for region := range r.maintenance.ClosedRegions(now, longestWork) {
		zones = append(zones, r.Regions().Zones(region)...)
	}
	return zones
}

// evacuateDrainingZones updates the zones to which the router's own HTTP interface sends no new work,
// as maintenance windows progress.
func (r *Router) evacuateDrainingZones() {
	view := r.configView.Load()
	if view == nil || !r.maintenance.HasActive() {
		return
	}
	r.httpHandler.SetEvacuatedZones(r.DrainingZones(view))
}

// isRegionDraining reports whether the maintenance window of this router's region has started.
func (r *Router) isRegionDraining() bool {
	return r.maintenance.HasStarted(r.clock.Now(), r.Regions().RegionOf(r.Zone))
}
