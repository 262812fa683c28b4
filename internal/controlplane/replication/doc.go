// Package replication drives this server's replicas of the shards.
//
// A ShardReplica owns the consensus replica of one shard and its state machine. Its loop alone touches
// them: messages, echoes, memberships, proposals and reads are put into the loop, and what other goroutines
// read (status, membership, lease, store of reservations) is published in atomic pointers.
//
// NewShardReplica makes a replica; Run starts it from the log on disk and serves its loop until its context
// ends. All other methods may be called at any time, unless their comments say otherwise. What a replica
// needs of its server it asks through the Server interface.
package replication
