package config

import (
	"coursepass/internal/errcode"
	"coursepass/internal/state/maintenance"
)

// OperationKind is the kind of change that an operator requests.
type OperationKind string

// The kinds of operations on the document, on zones and on maintenance windows.
// The values are part of the log format.
const (
	// OperationApply replaces the document and discards all changed parameters.
	OperationApply OperationKind = "apply"
	// OperationPatch changes some parameters of the current document.
	OperationPatch OperationKind = "change"
	// OperationEvacuate evacuates a zone: it receives no new requests.
	OperationEvacuate OperationKind = "evacuate"
	// OperationReturn ends the evacuation of a zone.
	OperationReturn OperationKind = "return"
	// OperationRollback restores the previous document and its changed parameters.
	OperationRollback OperationKind = "turn-back"
	// OperationStartMaintenance schedules a maintenance window, in which a region is drained.
	OperationStartMaintenance OperationKind = "notice"
	// OperationCancelMaintenance removes the maintenance window of a region.
	OperationCancelMaintenance OperationKind = "notice-end"
	// OperationAdvanceMaintenance records the phase that a maintenance window has reached.
	OperationAdvanceMaintenance OperationKind = "notice-phase"
)

// Request is a change as an operator sends it.
type Request struct {
	Kind OperationKind `json:"kind"`
	// Key is the idempotency key: with it, a retried request takes effect once, and the
	// operator can look up its outcome later. It is optional.
	Key string `json:"key"`
	// Expected is the revision that the request builds on. Operations that commute and
	// operations on routes ignore it.
	Expected uint64 `json:"expected"`
	// AnyRevision makes an evacuation or a return apply to any revision that is current
	// when it commits, so that it never conflicts with a concurrent operation.
	AnyRevision bool `json:"whichever,omitempty"`
	// Observed, if set, is the state that the server had applied when it received the
	// request. An evacuation or a return is rejected if its zone changed after that.
	Observed *Observation `json:"-"`
	// Document is the CUE source of an OperationApply.
	Document string `json:"document,omitempty"`
	// Changes maps the path of a parameter, relative to the document's field
	// "parameters", to a JSON value.
	Changes map[string]string `json:"changes,omitempty"`
	// Zone is the zone to evacuate or return.
	Zone string `json:"hall,omitempty"`
	// Window is the maintenance window of a maintenance operation.
	Window maintenance.Window `json:"notice,omitzero"`
	// Regions holds the names of all regions of the fleet, as known to the server that drafts
	// the operation.
	Regions []string `json:"-"`
	// Routing is the content of an operation on routes, which builds on a label and not
	// on a revision.
	Routing *Routing `json:"routing,omitempty"`
}

// Commutes reports whether the operation has the same effect before and after any
// other operation, so that it needs no expected revision.
func (r Request) Commutes() bool {
	return r.isMaintenance() || r.AnyRevision && r.isZoneOperation()
}

// NeedsExpansion reports whether a document must be evaluated before the operation
// can be proposed.
func (r Request) NeedsExpansion() bool {
	return r.Kind == OperationApply || r.Kind == OperationPatch
}

// isZoneOperation reports whether the request evacuates or returns a zone.
func (r Request) isZoneOperation() bool {
	return r.Kind == OperationEvacuate || r.Kind == OperationReturn
}

// isMaintenance reports whether the request changes a maintenance window.
func (r Request) isMaintenance() bool {
	switch r.Kind {
	case OperationStartMaintenance, OperationCancelMaintenance, OperationAdvanceMaintenance:
		return true
	default:
		return false
	}
}

// isRouting reports whether the request changes the routing.
func (r Request) isRouting() bool {
	return r.Kind == OperationReplaceRoutes || r.Kind == OperationPatchRoutes
}

// Outcome is the result of an operation. Code is errcode.OK if the operation took
// effect; Revision is the revision after the operation. Outcomes are replicated and
// stored in snapshots, and replicas of different builds must agree on them: the texts
// that State.Apply generates must be the same in all builds, byte for byte.
type Outcome struct {
	Code     errcode.Code `json:"code"`
	Revision uint64       `json:"sequence"`
	Text     string       `json:"text"`
}

// Operation is a validated request, as it is proposed to the log. Plan is the expanded
// document if the kind needs expansion, and empty otherwise.
type Operation struct {
	Request
	Plan Plan
}

// newStaleError returns the error of an operation that builds on a revision which is no
// longer the current one.
func newStaleError(expected, current uint64) error {
	return errcode.New(errcode.RevisionStale, "built on sequence %d, but %d is in force", expected, current)
}
