// Package pairing assigns roles to the engines of a service and pairs the engines that prefill
// prompts with the engines that decode responses.
//
// The leader of the service's shard determines the number of prefill engines with a
// [RoleBalancer], builds an [Assignment] of the live engines with [AssignPairs] or
// [AssignAffinityGroups], and adds the routers that share the engines. If the result differs
// from the committed assignment, the leader commits it to the shard's log. The package does no
// I/O and doesn't read a clock: its callers pass the time.
//
// Log entries and snapshots hold an [AssignmentWire]. The field names of AssignmentWire and of
// [Pair] are part of these formats and must not change.
package pairing
