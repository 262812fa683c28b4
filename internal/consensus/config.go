package consensus

import (
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
)

// Config is the configuration of one replica. It does not change while the replica runs.
type Config struct {
	// Shard is the number of the shard.
	Shard int
	// Config is the configuration of the election: the slots and δ. StartReplica sets its Quorum to
	// a majority of the slots.
	election.Config
	lease.Timing
	// RetainedEntries is the maximum number of applied entries that the log holds before it is
	// compacted.
	RetainedEntries int
	// ChunkSize is the maximum size of the log content in one message, in bytes; 0 selects
	// DefaultChunkSize.
	ChunkSize int
	// Incarnation distinguishes this run of the replica from earlier runs. It is never 0.
	Incarnation uint64
	// LocalMember is the daemon that runs the replica.
	LocalMember Member
	// InitialMembership is the membership in effect as long as the stored log contains none of a
	// later epoch.
	InitialMembership Membership
}

// majority returns the number of slots that form a majority.
func (c Config) majority() int {
	return majority(c.Slots)
}

// majority returns the smallest number that is more than half of a count.
func majority(count int) int {
	return count/2 + 1
}

func (c Config) chunkSize() int {
	if c.ChunkSize > 0 {
		return c.ChunkSize
	}
	return DefaultChunkSize
}
