// Package singleton makes the platform calls that only one daemon of the fleet may make at a time: the leader
// of a service shard, while it holds the shard's lease.
//
// Each kind of call is implemented by a [Task]. An entry that a task drafts is first committed to the shard's
// replicated outbox and only then sent, so that the next leader sends the same bytes if this one fails.
package singleton
