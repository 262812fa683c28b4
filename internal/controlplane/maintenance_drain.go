package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
)

const (
	// majorityDivisor divides a number of slots: more than the quotient is a majority.
	majorityDivisor          = 2
	maintenanceCheckInterval = 500 * clock.Millisecond
	// phaseCommitTimeout limits the proposal of a maintenance phase.
	phaseCommitTimeout = clock.Second
)

// recordMaintenancePhases makes the leader of shard 0 commit when a maintenance window has begun and
// when it is over, so that servers that learn of the window later don't count from its start again.
func (s *Server) recordMaintenancePhases(ctx context.Context) {
	clock.Every(ctx, maintenanceCheckInterval, func() {
		status := s.shards[0].PublishedStatus()
		if status == nil || !status.Owner || !s.maintenance.HasActive() {
			return
		}
		var view config.View
		if !s.shards[0].RunInLoop(ctx, func() { view = s.configuration.View() }) {
			return
		}
		for _, window := range view.MaintenanceWindows {
			s.recordMaintenancePhase(ctx, window)
		}
	})
}

// recordMaintenancePhase commits the phase of a window if it has advanced. A failure is not reported:
// the next check tries again.
func (s *Server) recordMaintenancePhase(parent context.Context, window maintenance.Window) {
	phase := s.maintenance.Phase(s.clock.Now(), window.Region)
	if phase <= window.Phase {
		return
	}
	phaseUpdate := maintenance.Window{Region: window.Region, Revision: window.Revision, Phase: phase}
	request := config.Request{Kind: config.OperationAdvanceMaintenance, Window: phaseUpdate}
	operation := config.Operation{Request: request}
	ctx, cancel := context.WithTimeout(parent, phaseCommitTimeout.Duration())
	defer cancel()
	_, _ = s.shards[0].Propose(ctx, func() ([]byte, error) { return operation.Encode(), nil })
}

// zoneUnavailable tells whether engines of a zone get no new work: it is evacuated or draining.
func (s *Server) zoneUnavailable(configuration *config.View, zone string) bool {
	return configuration.IsEvacuated(zone) || s.zoneDraining(zone)
}

// zoneDraining tells whether a maintenance window of the zone's region has begun.
func (s *Server) zoneDraining(zone string) bool {
	return s.maintenance.HasStarted(s.clock.Now(), s.Regions().RegionOf(zone))
}

// yieldsLeadership tells whether this server lets others become leader: its own zone is draining, and
// the other zones have a majority of the members, so that every majority has a candidate there.
func (s *Server) yieldsLeadership(membership consensus.Membership) bool {
	if !s.maintenance.HasActive() || !s.zoneDraining(s.Zone) {
		return false
	}
	otherZones := 0
	for _, member := range membership.Members {
		if !member.Vacant() && member.Zone != "" && !s.zoneDraining(member.Zone) {
			otherZones++
		}
	}
	return otherZones > len(membership.Members)/majorityDivisor
}
