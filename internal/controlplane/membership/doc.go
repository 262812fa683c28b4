// Package membership assigns the slots of the shards to servers.
//
// A server that has no slot in a shard, or is isolated in a shard, asks the servers that it knows for the
// memberships of all shards and for a slot. The leader of a shard assigns the shard's slots: a vacant slot, or
// the slot of a member that has been silent for long enough. A standby takes any slot that is vacant or not
// served, as long as the loss of the standby's zone would leave a majority of the slots.
//
// NewService registers the handler of join requests. Run then sends join requests until its context ends. The
// service only chooses slots; the replicas of the shards change the memberships.
package membership
