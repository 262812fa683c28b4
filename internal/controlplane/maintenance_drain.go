package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
)

const maintenanceCheckInterval = 500 * clock.Millisecond

// recordMaintenancePhases has the owner of part 0 note when a notice has begun and when its window is over,
// so that whoever hears of it late doesn't count from the start again.
func (s *Server) recordMaintenancePhases(parent context.Context) {
	clock.Every(parent, maintenanceCheckInterval, func() {
		status := s.shards[0].status.Load()
		if status == nil || !status.Owner || !s.maintenance.HasActive() {
			return
		}
		var view config.View
		if !s.shards[0].runInLoop(parent, func() { view = s.configuration.View() }) {
			return
		}
		for _, window := range view.Notices {
			phase := s.maintenance.Phase(s.clock.Now(), window.Region)
			if phase <= window.Phase {
				continue
			}
			phaseUpdate := maintenance.Window{Region: window.Region, Sequence: window.Sequence, Phase: phase}
			operation := config.Operation{Request: config.Request{Kind: config.OperationAdvanceMaintenance, Notice: phaseUpdate}}
			ctx, cancel := context.WithTimeout(parent, clock.Second.Duration())
			_, _ = s.shards[0].propose(ctx, func() ([]byte, error) { return config.Encode(operation), nil })
			cancel()
		}
	})
}

// zoneUnavailable tells whether engines of a hall get no new work.
func (s *Server) zoneUnavailable(plan *config.View, zone string) bool {
	return plan.IsEvacuated(zone) || s.zoneDraining(zone)
}

// zoneDraining tells whether a hall stands in a region whose notice has begun.
func (s *Server) zoneDraining(zone string) bool {
	return s.maintenance.HasStarted(s.clock.Now(), s.Settings.Regions().RegionOf(zone))
}

// yieldsLeadership tells whether this core gives way as a candidate: it stands in a region whose
// notice has begun, and a majority of seats stands in others, so that every majority that
// can be heard has a candidate there.
func (s *Server) yieldsLeadership(membership consensus.Membership) bool {
	if !s.maintenance.HasActive() || !s.zoneDraining(s.Node.Hall) {
		return false
	}
	otherZones := 0
	for _, member := range membership.Seats {
		if !member.Vacant() && member.Hall != "" && !s.zoneDraining(member.Hall) {
			otherZones++
		}
	}
	return otherZones > len(membership.Seats)/2
}
