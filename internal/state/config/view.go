package config

import (
	"maps"
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/route"
)

// View is the current configuration. Its maps and slices are replaced on a change and
// never modified in place, so that a copy of a View stays unchanged.
type View struct {
	// Revision increases by one with each operation that takes effect.
	Revision uint64
	// Document is the current CUE document, Changes the parameters that were changed since
	// it was applied, and Plan the expansion of both.
	Document string
	Changes  map[string]string
	// Evacuated holds the evacuated zones, which receive no new requests.
	Evacuated []string
	// MaintenanceWindows holds the announced, started and ended maintenance windows, at most
	// one per region.
	MaintenanceWindows []maintenance.Window
	Plan               Plan
	// Label is the operator's number of the current routing, and RouteTable the route table
	// built from it.
	Label      uint64
	RouteTable route.Table
	// Items holds the items of the routing as they were sent, by collection, and Others
	// what was sent outside the collections.
	Items  map[string][]Item
	Others []Item
}

// IsEvacuated reports whether a zone is evacuated.
func (v *View) IsEvacuated(zone string) bool { return slices.Contains(v.Evacuated, zone) }

// canEvacuate reports whether a zone may be evacuated. A route table names no zones:
// without a document any name is accepted here, and the server that receives the request
// has to check that the zone exists.
func (v *View) canEvacuate(zone string) bool {
	if v.Plan.HasZone(zone) {
		return true
	}
	routesOnly := v.Label > 0 && len(v.Plan.Zones) == 0
	return zone != "" && routesOnly
}

// Draft validates a request against the view and expands its document. The resulting
// operation can be proposed to the log.
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

// mergeChanges returns the current changed parameters, overridden by these changes.
func (v *View) mergeChanges(changes map[string]string) map[string]string {
	merged := maps.Clone(v.Changes)
	if merged == nil {
		merged = map[string]string{}
	}
	maps.Copy(merged, changes)
	return merged
}
