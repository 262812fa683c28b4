package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
)

const (
	// majorityDivisor divides a number of slots: a majority is more than the quotient.
	majorityDivisor = 2
	// maintenanceCheckInterval is the time between two checks for phases that have to be committed.
	maintenanceCheckInterval = 500 * clock.Millisecond
	// phaseCommitTimeout is the timeout of the proposal of a maintenance phase.
	phaseCommitTimeout = clock.Second
)

// recordMaintenancePhases commits the start and the end of each maintenance window while this server leads shard 0.
// Without the committed phase, a server that learns of a window later would time the window from its start again.
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

// recordMaintenancePhase commits the phase of a window if the phase has advanced. It ignores a failure, because the
// next check tries again.
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

// zoneUnavailable reports whether the engines of a zone get no new work because the zone is evacuated or draining.
func (s *Server) zoneUnavailable(configuration *config.View, zone string) bool {
	return configuration.IsEvacuated(zone) || s.zoneDraining(zone)
}

// zoneDraining reports whether a maintenance window of the zone's region has begun.
func (s *Server) zoneDraining(zone string) bool {
	return s.maintenance.HasStarted(s.clock.Now(), s.Regions().RegionOf(zone))
}

// yieldsLeadership reports whether this server lets other members become leader. It does so if its own zone is
// draining and a majority of the members are in zones that are not draining: every majority then includes a candidate
// in one of those zones.
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
