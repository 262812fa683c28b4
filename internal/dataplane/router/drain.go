package router

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// gone are the halls that get no new work: those evacuated, and those of regions whose
// notice has begun, or begins so soon that the longest answer would outlast its window.
func (router *Router) gone(view *configuration.View) []string {
	now, longest := router.clock.Now(), schedule.Microseconds(0)
	for _, tenant := range view.Plan.Tenants {
		for _, template := range tenant.Kinds {
			longest = max(longest, template.Abandon())
		}
	}
	halls := slices.Clone(view.Evacuated)
	for region := range router.board.Shut(now, now+longest, false, "") {
		halls = append(halls, router.Settings.Regions().Halls(region)...)
	}
	return halls
}

// drain has every table leave out the halls that are to be left by now.
func (router *Router) drain() {
	view := router.view.Load()
	if view == nil || !router.board.Any() {
		return
	}
	gone := router.gone(view)
	router.lock.Lock()
	defer router.lock.Unlock()
	for _, table := range router.tables {
		table.Evacuate(gone)
	}
}

// invites tells whether new callers may come: not from a notice's begin on to a router in
// its region, though whoever comes all the same is served.
func (router *Router) invites() error {
	if router.drained() {
		return mishap.New(mishap.RouterLeaving, "%s: its region is drained", router.Machine.Name)
	}
	return router.takes()
}

// drained tells whether this router stands in a region whose notice has begun.
func (router *Router) drained() bool {
	return router.board.Begun(router.clock.Now(), router.Settings.Regions().Of(router.Machine.Hall))
}
