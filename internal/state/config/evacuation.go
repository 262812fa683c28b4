package config

import (
	"maps"
	"slices"

	"coursepass/internal/errcode"
)

// Observation is the revision that a server had applied when it took a request.
type Observation struct {
	Revision uint64
}

// isSuperseded reports whether a zone was evacuated or returned after the server
// that took the operation had observed it. Such an operation was delayed, in a
// paused process or behind a partition, while its caller gave it up and later ones
// were acknowledged; it must not undo them. An operation that asks for the present
// condition of the zone is never superseded.
func (s *State) isSuperseded(operation Operation) bool {
	if operation.Observed == nil || !operation.isZoneOperation() {
		return false
	}
	changes := s.IsEvacuated(operation.Zone) != (operation.Kind == OperationEvacuate)
	return changes && s.ZoneChanges[operation.Zone] > operation.Observed.Revision
}

func (s *State) newSupersededError(operation Operation) error {
	return errcode.New(
		errcode.RevisionStale,
		"hall %q changed at sequence %d, after this order was taken",
		operation.Zone, s.ZoneChanges[operation.Zone],
	)
}

func (s *State) evacuate(zone string) {
	if s.IsEvacuated(zone) {
		return
	}
	s.Evacuated = append(slices.Clone(s.Evacuated), zone)
	s.recordZoneChange(zone)
}

func (s *State) endEvacuation(zone string) {
	if s.IsEvacuated(zone) {
		s.recordZoneChange(zone)
	}
	s.retainEvacuations(func(evacuated string) bool { return evacuated != zone })
}

// dropUnknownEvacuations ends the evacuation of zones that the plan no longer names.
func (s *State) dropUnknownEvacuations() {
	s.retainEvacuations(s.Plan.HasZone)
}

func (s *State) retainEvacuations(retain func(zone string) bool) {
	s.Evacuated = slices.DeleteFunc(slices.Clone(s.Evacuated), func(zone string) bool { return !retain(zone) })
}

// recordZoneChange records the present revision as that of a zone's last change.
func (s *State) recordZoneChange(zone string) {
	changes := maps.Clone(s.ZoneChanges)
	if changes == nil {
		changes = map[string]uint64{}
	}
	changes[zone] = s.Revision
	s.ZoneChanges = changes
}
