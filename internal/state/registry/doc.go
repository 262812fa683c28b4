// Package registry keeps the registered engines, their role assignments and the data from
// which routers select engines. It has a replicated part and a part that is local to a router.
//
// [State] is the replicated part: the list of registered engines with their draining
// flags, and the role assignments. It is the state machine of a service shard.
// Each replica applies committed [Operation] entries in log order with [State.Apply],
// which is deterministic.
//
// [Table] is the local part. A router has one table in memory per service: the current
// engine list, the status reports of the engines, and the router's own observations.
// A router calls [Table.Update] for each new view and [Table.ApplyReport] for each
// report, and selects engines with [Table.Pick] or [Table.PickPair]. The caller must
// call the Done function of each result exactly once, when the run has ended. A Table
// is safe for concurrent use.
//
// Log entries, snapshots and calls between daemons contain the wire structs of the types
// ([OperationWire], [ViewWire], [ReportWire] …), whose field names are part of these formats.
// The types themselves are never encoded with gob.
package registry
