package config

import (
	"coursepass/internal/errcode"
	"coursepass/internal/state/maintenance"
)

// OperationKind is the type of change that an operator requests.
type OperationKind string

// The kinds of operations on the document, on zones and on maintenance windows.
// The values are part of the log format.
const (
	// OperationApply replaces the document and resets its parameters.
	OperationApply OperationKind = "apply"
	// OperationPatch sets some parameters of the document in force.
	OperationPatch OperationKind = "change"
	// OperationEvacuate keeps new work away from a zone.
	OperationEvacuate OperationKind = "evacuate"
	// OperationReturn ends the evacuation of a zone.
	OperationReturn OperationKind = "return"
	// OperationRollback restores the previous document and its parameters.
	OperationRollback OperationKind = "turn-back"
	// OperationStartMaintenance schedules the drain of a region.
	OperationStartMaintenance OperationKind = "notice"
	// OperationCancelMaintenance removes the maintenance window of a region.
	OperationCancelMaintenance OperationKind = "notice-end"
	// OperationAdvanceMaintenance records the phase that a maintenance window has reached.
	OperationAdvanceMaintenance OperationKind = "notice-phase"
)

// Request is a change as an operator sends it.
type Request struct {
	Kind OperationKind `json:"kind"`
	// Key identifies the request, so that a retry takes effect once and the operator
	// can look up its outcome later. It is optional.
	Key string `json:"key"`
	// Expected is the revision that the request builds on.
	Expected uint64 `json:"expected"`
	// AnyRevision applies an evacuation or a return to whatever revision is in force
	// when it commits, so that it never conflicts with a concurrent operation.
	AnyRevision bool `json:"whichever,omitempty"`
	// Observed, if set, rejects an evacuation or a return whose zone was changed
	// after the server that took the request had observed it.
	Observed *Observation `json:"-"`
	// Document is the CUE text of an OperationApply.
	Document string `json:"document,omitempty"`
	// Changes maps a path below the document's parameters to a JSON value.
	Changes map[string]string `json:"changes,omitempty"`
	// Zone is the one to evacuate or return.
	Zone string `json:"hall,omitempty"`
	// Window is the maintenance window of a maintenance operation.
	Window maintenance.Window `json:"notice,omitzero"`
	// Regions are all regions of the fleet, as known to the server that takes the request.
	Regions []string `json:"-"`
	// Routing is the content of an operation on routes. It builds on a label, not on
	// a revision.
	Routing *Routing `json:"routing,omitempty"`
}

// Commutes reports whether the operation has the same effect before and after any
// other, so that it needs no expected revision.
func (r Request) Commutes() bool {
	return r.isMaintenance() || r.AnyRevision && r.isZoneOperation()
}

// NeedsExpansion reports whether a document must be evaluated before the operation
// can be proposed.
func (r Request) NeedsExpansion() bool {
	return r.Kind == OperationApply || r.Kind == OperationPatch
}

func (r Request) isZoneOperation() bool {
	return r.Kind == OperationEvacuate || r.Kind == OperationReturn
}

func (r Request) isMaintenance() bool {
	switch r.Kind {
	case OperationStartMaintenance, OperationCancelMaintenance, OperationAdvanceMaintenance:
		return true
	default:
		return false
	}
}

func (r Request) isRouting() bool {
	return r.Kind == OperationReplaceRoutes || r.Kind == OperationPatchRoutes
}

// Outcome is the result of an operation. Code is errcode.OK if it took effect;
// Revision is the one after it. Outcomes are replicated and stand in snapshots, so
// that the texts that State.Apply makes are kept byte for byte from build to build.
type Outcome struct {
	Code     errcode.Code `json:"code"`
	Revision uint64       `json:"sequence"`
	Text     string       `json:"text"`
}

// Operation is a validated request as it stands in the log. Plan is the expanded
// document of the kinds that need expansion.
type Operation struct {
	Request
	Plan Plan
}

func newStaleError(expected, current uint64) error {
	return errcode.New(errcode.RevisionStale, "built on sequence %d, but %d is in force", expected, current)
}
