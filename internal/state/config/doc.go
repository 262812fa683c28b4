// Package config holds the replicated configuration of the fleet: the operators'
// CUE document with its parameters, the table of routes, the evacuated zones and
// the maintenance windows of regions. It is the state machine of shard 0.
//
// A change is made in two steps. The server that takes a [Request] calls
// [View.Draft], which validates it against the view in force and expands the
// document, the expensive part. The resulting [Operation] is proposed to the
// consensus log, and each replica applies the committed entry with [State.Apply].
// Apply is deterministic: it decides again, against the state at that log index,
// whether the operation still fits, and answers with an encoded [Outcome].
//
// Three rules decide between concurrent operations:
//   - A document operation names the revision it builds on (Request.Expected) and
//     is rejected as stale if another one was applied before it.
//   - An operation on routes names the label it builds on (Routing.On) instead.
//   - Evacuations with Request.AnyRevision and maintenance operations commute with
//     all others, and are rejected only if they make no sense by themselves.
//
// An operation with a key takes effect at most once; [State.Outcome] answers later
// what became of it.
//
// Log entries, results, snapshots and calls between servers hold the wire structs of
// the types ([OperationWire], [OutcomeWire], [ViewWire] …), whose field names are part
// of these formats. The types themselves are never encoded with gob.
package config
