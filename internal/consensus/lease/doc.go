// Package lease implements the lease that allows the leader of a shard to send commands to engines:
// while it lasts, no other daemon may send them. A majority of the shard's slots grants the lease.
//
// Each slot has a Granter. A Granter grants the lease to one term at a time, and does not grant a
// later term before the grant of the earlier term has expired. The leader has a Lease, which
// records the grants of its term. Each daemon measures durations on its own monotonic clock. A
// safety margin on both sides compensates for the drift between these clocks: the granter keeps a
// grant longer than the lease duration, and the leader uses it for a shorter time.
//
// Invariant: at any time at most one term holds the grants of a majority. In addition, a new leader
// sends no command before one full lease duration has passed since it first held the grants of a
// majority, so that no command of an earlier leader can still arrive (UsableFrom).
//
// The types of this package are pure: they do no I/O, read no clock and are not safe for concurrent
// use. The leader requests the grant of each slot in its MsgAppend messages. It passes the time at
// which it sent the request, not the time of the answer, to Lease.RecordRenewal, and calls
// Lease.CoversCommand before each command.
package lease
