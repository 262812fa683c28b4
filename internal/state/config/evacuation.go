package config

import (
	"maps"
	"slices"

	"coursepass/internal/errcode"
)

// Observation is the state that a server had applied when it received a request.
type Observation struct {
	// Revision is the latest revision that the server had applied.
	Revision uint64
}

// isSuperseded reports whether the zone was evacuated or returned after the revision
// that the operation's server had observed. Such an operation was delayed, in a paused
// process or behind a network partition. Meanwhile its caller gave up and later operations
// were acknowledged, which the delayed operation must not undo. An operation that requests
// the state which the zone already has is never superseded.
func (s *State) isSuperseded(operation Operation) bool {
	if operation.Observed == nil || !operation.isZoneOperation() {
		return false
	}
	changesZone := s.IsEvacuated(operation.Zone) != (operation.Kind == OperationEvacuate)
	return changesZone && s.ZoneChanges[operation.Zone] > operation.Observed.Revision
}

// newSupersededError returns the error of an operation for which isSuperseded is true.
func (s *State) newSupersededError(operation Operation) error {
	return errcode.New(
		errcode.RevisionStale,
		"hall %q changed at sequence %d, after this order was taken",
		operation.Zone, s.ZoneChanges[operation.Zone],
	)
}

// evacuate adds a zone to the evacuated ones.
func (s *State) evacuate(zone string) {
	if s.IsEvacuated(zone) {
		return
	}
	s.Evacuated = append(slices.Clone(s.Evacuated), zone)
	s.recordZoneChange(zone)
}

// endEvacuation removes a zone from the evacuated ones.
func (s *State) endEvacuation(zone string) {
	if s.IsEvacuated(zone) {
		s.recordZoneChange(zone)
	}
	s.retainEvacuations(func(evacuated string) bool { return evacuated != zone })
}

// dropUnknownEvacuations ends the evacuation of zones that the current plan no longer names.
func (s *State) dropUnknownEvacuations() {
	s.retainEvacuations(s.Plan.HasZone)
}

// retainEvacuations ends the evacuation of all zones for which retain returns false.
func (s *State) retainEvacuations(retain func(zone string) bool) {
	s.Evacuated = slices.DeleteFunc(slices.Clone(s.Evacuated), func(zone string) bool { return !retain(zone) })
}

// recordZoneChange records the current revision as the one at which a zone last changed.
func (s *State) recordZoneChange(zone string) {
	changes := maps.Clone(s.ZoneChanges)
	if changes == nil {
		changes = map[string]uint64{}
	}
	changes[zone] = s.Revision
	s.ZoneChanges = changes
}
