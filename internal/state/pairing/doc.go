// Package pairing assigns roles to the engines of a service and pairs those that prefill
// prompts with those that decode responses.
//
// The leader of a service's shard decides with a [RoleBalancer] how many engines prefill,
// builds an [Assignment] from the live engines with [AssignPairs] or [AssignAffinityGroups],
// adds the routers that share the engines, and commits it to the shard's log when it differs
// from the committed one. The package is pure: it does no I/O and is given the time.
//
// Log entries and snapshots hold an [AssignmentWire]. Its field names and those of [Pair] are part
// of these formats and must not change.
package pairing
