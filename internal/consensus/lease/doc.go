// Package lease implements the lease by which the leader of a shard may command engines: for
// its duration no other daemon may. A majority of the shard's slots grants it.
//
// Each slot has a Granter, which grants the lease to one term at a time and waits until the
// lease of one term has expired before it grants that of a later one. The leader has a Lease,
// which counts the grants of its term. Durations are measured on each daemon's own monotonic
// clock, so a safety margin on both sides covers their drift: the granter keeps a grant longer,
// and the leader uses it shorter, than it lasts.
//
// Invariant: at any time at most one term holds the grants of a majority. Besides, a new leader
// sends no command before one full lease duration has passed since its first majority, so that
// no command of an earlier leader can still arrive (UsableFrom).
//
// The types are pure: they do no I/O, read no clock and are not safe for concurrent use. The
// leader asks each slot in its Append messages, passes the time at which it had sent the
// request, not that of the answer, to Lease.RecordRenewal, and asks Lease.CoversCommand before
// each command.
package lease
