package consensus

import (
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
)

// Config describes one replica. It does not change while the replica runs.
type Config struct {
	// Shard is the number of the shard.
	Shard int
	// Config gives slots and δ of the election. StartReplica sets its Quorum to a majority.
	election.Config
	lease.Timing
	// RetainedEntries is how many applied entries the log keeps before it is compacted.
	RetainedEntries int
	// ChunkSize is the most bytes of content in one message; 0 is DefaultChunkSize.
	ChunkSize int
	// Incarnation tells this run of the replica from earlier ones; it is never 0.
	Incarnation uint64
	// LocalMember is the daemon that runs the replica.
	LocalMember Member
	// InitialMembership counts as long as the disk has no later one.
	InitialMembership Membership
}

// majority returns how many slots are a majority of all.
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
