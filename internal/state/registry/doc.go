// Package registry holds what is known of engines. It has two halves.
//
// [State] is the durable half: the list of registered engines with their draining
// flags and the assignments of roles. It is the state machine of a service shard;
// each replica applies committed [Operation] entries with [State.Apply], in log order
// and deterministically.
//
// [Table] is the volatile half, one per router and service: the list in force, the
// reports that engines send of themselves, and what the router observed. A router
// calls [Table.Update] for each new view and [Table.ApplyReport] for each report, and
// selects engines with [Table.Pick] or [Table.PickPair]. The Done function of each
// result must be called exactly once, when the run has ended. A Table is safe for
// concurrent use.
//
// Log entries, snapshots and calls between daemons hold the wire structs of the types
// ([OperationWire], [ViewWire], [ReportWire] …), whose field names are part of these formats.
// The types themselves are never encoded with gob.
package registry
