package router

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
)

// DrainingZones are the zones that get no new work: those that are evacuated, and those of regions
// whose maintenance has started, or starts so soon that the longest request would outlast the
// time before it.
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

// evacuateDrainingZones has the own interface leave out the zones that are draining by now.
func (r *Router) evacuateDrainingZones() {
	view := r.configView.Load()
	if view == nil || !r.maintenance.HasActive() {
		return
	}
	r.answers.SetEvacuatedZones(r.DrainingZones(view))
}

// isRegionDraining reports whether this router is in a region whose maintenance has started.
func (r *Router) isRegionDraining() bool {
	return r.maintenance.HasStarted(r.clock.Now(), r.Regions().RegionOf(r.Zone))
}
