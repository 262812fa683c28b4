package router

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// gone are the halls that get no new work: those evacuated, and those of regions whose
// notice has begun, or begins so soon that the longest answer would outlast its window.
func (r *Router) gone(view *configuration.View) []string {
	now, longest := r.clock.Now(), schedule.Microseconds(0)
	for _, tenant := range view.Plan.Tenants {
		for _, template := range tenant.Kinds {
			longest = max(longest, template.Abandon())
		}
	}
	halls := slices.Clone(view.Evacuated)
	for region := range r.board.Shut(now, now+longest, false, "") {
		halls = append(halls, r.Settings.Regions().Halls(region)...)
	}
	return halls
}

// drain has every table leave out the halls that are to be left by now.
func (r *Router) drain() {
	view := r.view.Load()
	if view == nil || !r.board.Any() {
		return
	}
	gone := r.gone(view)
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, table := range r.tables {
		table.Evacuate(gone)
	}
}

// invites tells whether new callers may come: not from a notice's begin on to a router in
// its region, though whoever comes all the same is served.
func (r *Router) invites() error {
	if r.drained() {
		return mishap.New(mishap.RouterLeaving, "%s: its region is drained", r.Machine.Name)
	}
	return r.takes()
}

// drained tells whether this router stands in a region whose notice has begun.
func (r *Router) drained() bool {
	return r.board.Begun(r.clock.Now(), r.Settings.Regions().Of(r.Machine.Hall))
}
