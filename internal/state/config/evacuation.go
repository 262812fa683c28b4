package config

import (
	"maps"

	"coursepass/internal/errcode"
)

// Observation is what the core that took an order from its caller had applied at that
// moment.
type Observation struct {
	Sequence uint64
}

// isSuperseded tells whether a hall has been evacuated or taken back after the core that took
// the order had last heard of it. Such an order has waited somewhere, in a frozen machine
// or a link that was cut, while its caller gave it up and others were acknowledged: it must
// not undo them. An order for what already holds does no harm, and is never overtaken.
func (s *State) isSuperseded(operation Operation) bool {
	if operation.Observed == nil || operation.Kind != OperationEvacuate && operation.Kind != OperationReturn {
		return false
	}
	changes := s.IsEvacuated(operation.Hall) != (operation.Kind == OperationEvacuate)
	return changes && s.HallChanges[operation.Hall] > operation.Observed.Sequence
}

// rejectSuperseded is the outcome of an order that was overtaken; it leaves all as it is.
func (s *State) rejectSuperseded(operation Operation) Outcome {
	err := errcode.New(errcode.RevisionStale, "hall %q changed at sequence %d, after this order was taken", operation.Hall, s.HallChanges[operation.Hall])
	return Outcome{Code: errcode.RevisionStale, Sequence: s.Sequence, Text: errcode.Text(err)}
}

// recordZoneChange remembers the present sequence as that of a hall's last change.
func (s *State) recordZoneChange(zone string) {
	changes := maps.Clone(s.HallChanges)
	if changes == nil {
		changes = map[string]uint64{}
	}
	changes[zone] = s.Sequence
	s.HallChanges = changes
}
