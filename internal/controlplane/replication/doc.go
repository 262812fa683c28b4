// Package replication runs this server's replicas of the shards.
//
// A ShardReplica owns the consensus replica and the state machine of one shard. Only the event loop of the
// ShardReplica accesses them: messages, echoes, memberships, proposals and reads are queued to the loop.
// Values that other goroutines read (status, membership, lease and reservation store) are published in
// atomic pointers.
//
// NewShardReplica creates a replica. Run starts the replica from the log on disk and runs its loop until the
// context ends. All other methods may be called at any time, unless their comments say otherwise. A replica
// calls its server through the Server interface.
package replication
