package config

import (
	"maps"
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/route"
)

// View is the configuration in force. Its maps and slices are replaced, never
// changed in place, so that a copy stays as it was.
type View struct {
	// Revision rises by one with each operation that takes effect.
	Revision uint64
	// Document and Changes are the CUE text in force and the parameters set since,
	// Plan is what they expand to.
	Document string
	Changes  map[string]string
	// Evacuated are the zones that get no new work.
	Evacuated []string
	// MaintenanceWindows are the maintenance windows of the regions that are being drained.
	MaintenanceWindows []maintenance.Window
	Plan               Plan
	// Label is the operator's own number of the routing in force, and RouteTable the table
	// of routes made from it.
	Label      uint64
	RouteTable route.Table
	// Items are the items of the routing as they were sent, by collection, and Others
	// what was sent outside the collections.
	Items  map[string][]Item
	Others []Item
}

// IsEvacuated reports whether a zone is evacuated.
func (v *View) IsEvacuated(zone string) bool { return slices.Contains(v.Evacuated, zone) }

// canEvacuate reports whether a zone may be evacuated. A table of routes names no
// zones: where no document is in force, the server that takes the request has to
// know which zones exist.
func (v *View) canEvacuate(zone string) bool {
	if v.Plan.HasZone(zone) {
		return true
	}
	routesOnly := v.Label > 0 && len(v.Plan.Zones) == 0
	return zone != "" && routesOnly
}

// Draft validates a request against the view and expands its document, before the
// operation is proposed to the log.
func (v *View) Draft(request Request) (Operation, error) {
	operation := Operation{Request: request}
	if request.isRouting() {
		return operation, request.Routing.validateDraft()
	}
	if request.isMaintenance() {
		return operation, v.validateMaintenance(request)
	}
	if !request.Commutes() && request.Expected != v.Revision {
		return operation, newStaleError(request.Expected, v.Revision)
	}
	var err error
	switch request.Kind {
	case OperationApply:
		operation.Plan, err = Expand(request.Document, nil)
	case OperationPatch:
		operation.Changes = v.mergeChanges(request.Changes)
		operation.Plan, err = Expand(v.Document, operation.Changes)
	case OperationRollback:
	case OperationEvacuate, OperationReturn:
		if !v.canEvacuate(request.Zone) {
			err = errcode.New(errcode.UnknownZone, "zone %q", request.Zone)
		}
	default:
		err = errcode.New(errcode.Malformed, "operation kind %q", request.Kind)
	}
	return operation, err
}

// mergeChanges adds changed parameters to those in force.
func (v *View) mergeChanges(changes map[string]string) map[string]string {
	merged := maps.Clone(v.Changes)
	if merged == nil {
		merged = map[string]string{}
	}
	maps.Copy(merged, changes)
	return merged
}
