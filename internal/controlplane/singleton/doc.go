// Package singleton makes the calls to the platform that one daemon of the fleet makes at a time: the leader
// of a service shard, under its lease.
//
// Each kind of call is a [Task]. What a task drafts is committed to the shard's outbox first and sent
// afterwards, so that a successor sends the same bytes.
package singleton
