// Package config holds the replicated configuration of the fleet: the operators'
// CUE document with its parameters, the route table, the evacuated zones and the
// maintenance windows of regions. It is the state machine of shard 0.
//
// A change is made in two steps. The server that proposes a [Request] calls
// [View.Draft], which validates the request against the current view and expands
// the document; the expansion is the expensive part. The server proposes the
// resulting [Operation] to the consensus log, and each replica applies the committed
// entry with [State.Apply]. Apply is deterministic: it checks again, against the state
// at that log index, whether the operation is still applicable, and returns an encoded
// [Outcome].
//
// Three rules resolve conflicts between concurrent operations:
//   - An operation on the document, or on a zone without Request.AnyRevision, names the
//     revision that it builds on (Request.Expected). It is rejected as stale if another
//     operation has changed the revision since.
//   - An operation on routes names the label that it builds on (Routing.ParentLabel)
//     instead of a revision.
//   - Evacuations and returns with Request.AnyRevision, and maintenance operations,
//     commute with all others. They are rejected only if they are invalid by
//     themselves or conflict with the state of their zone or of the maintenance windows.
//
// An operation with a key takes effect at most once; [State.Outcome] returns its
// outcome later.
//
// Log entries, results, snapshots and calls between servers hold the wire structs of
// the types ([OperationWire], [OutcomeWire], [ViewWire] …), whose field names are part
// of these formats. The types themselves are never encoded with gob.
package config
