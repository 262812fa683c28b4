package router

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// drainingZones are the halls that get no new work: those evacuated, and those of regions whose
// notice has begun, or begins so soon that the longest answer would outlast its window.
func (r *Router) drainingZones(view *config.View) []string {
	now, longestDeadline := r.clock.Now(), clock.Microseconds(0)
	for _, tenant := range view.Plan.Tenants {
		for _, template := range tenant.Kinds {
			longestDeadline = max(longestDeadline, template.TotalTimeout())
		}
	}
	zones := slices.Clone(view.Evacuated)
	for region := range r.maintenance.ClosedRegions(now, now+longestDeadline, false, "") {
		zones = append(zones, r.Settings.Regions().Zones(region)...)
	}
	return zones
}

// evacuateDrainingZones has every table leave out the halls that are to be left by now.
func (r *Router) evacuateDrainingZones() {
	view := r.configView.Load()
	if view == nil || !r.maintenance.HasActive() {
		return
	}
	zones := r.drainingZones(view)
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, table := range r.engineTables {
		table.SetEvacuatedZones(zones)
	}
}

// checkReady tells whether new callers may come: not from a notice's begin on to a router in
// its region, though whoever comes all the same is served.
func (r *Router) checkReady() error {
	if r.isDraining() {
		return errcode.New(errcode.RouterDraining, "%s: its region is drained", r.Node.Name)
	}
	return r.checkAcceptsWork()
}

// isDraining tells whether this router stands in a region whose notice has begun.
func (r *Router) isDraining() bool {
	return r.maintenance.HasStarted(r.clock.Now(), r.Settings.Regions().RegionOf(r.Node.Hall))
}
