package replication

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/errcode"
)

// pendingRead is a read that waits until a majority has confirmed that this server leads.
type pendingRead struct {
	consensus.PendingRead
	query func()
	done  chan error
}

// LinearizableRead runs a query in the shard's loop once a majority that was asked after this call began
// has confirmed that this server still leads the shard. The query thus sees all that was acknowledged
// before the call. After an error the query was not run, or its result must not be used.
func (r *ShardReplica) LinearizableRead(ctx context.Context, query func()) error {
	read := &pendingRead{query: query, done: make(chan error, 1)}
	queued := r.loop.Put(ctx, func() { r.beginRead(read) })
	if !queued {
		return errcode.New(errcode.NoQuorum, "shard %d", r.options.Shard)
	}
	select {
	case err := <-read.done:
		return err
	case <-ctx.Done():
		return errcode.New(errcode.NoQuorum, "shard %d: no majority has confirmed the leader", r.options.Shard)
	}
}

// beginRead runs in the shard's loop. What the replica sends outlives the call that reads.
func (r *ShardReplica) beginRead(read *pendingRead) {
	if r.replica == nil {
		read.done <- r.notLeaderError()
		return
	}
	consensusRead, isLeader, output := r.replica.BeginRead(r.options.Clock.Now())
	if !isLeader {
		read.done <- r.notLeaderError()
		return
	}
	read.PendingRead = consensusRead
	r.pendingReads = append(r.pendingReads, read)
	r.processOutput(r.runContext, output)
}

func (r *ShardReplica) notLeaderError() error {
	return errcode.New(errcode.NotLeader, "shard %d", r.options.Shard)
}

// completeReads answers the reads that have been confirmed, and fails those that can't be any more.
func (r *ShardReplica) completeReads() {
	pending := r.pendingReads
	r.pendingReads = nil
	for _, read := range pending {
		state := consensus.ReadAborted
		if r.replica != nil {
			state = r.replica.CheckRead(r.options.Clock.Now(), read.PendingRead)
		}
		switch state {
		case consensus.ReadReady:
			read.query()
			read.done <- nil
		case consensus.ReadAborted:
			read.done <- r.notLeaderError()
		default:
			r.pendingReads = append(r.pendingReads, read)
		}
	}
}

// Echo returns what this server tells a leader that asks for confirmation; false without a slot.
func (r *ShardReplica) Echo() (consensus.Echo, bool) {
	status := r.status.Load()
	if status == nil || status.Slot < 0 {
		return consensus.Echo{}, false
	}
	echo := consensus.Echo{
		Shard:        r.options.Shard,
		Slot:         status.Slot,
		PromisedTerm: status.PromisedTerm,
		Recovering:   status.CatchingUp,
	}
	return echo, true
}

// ReceiveEcho hands the echo to a message that this server sent at the given time to the replica.
func (r *ShardReplica) ReceiveEcho(
	ctx context.Context, sentAt clock.Microseconds, address string, echo consensus.Echo,
) {
	r.loop.Put(ctx, func() {
		if r.replica != nil {
			r.processOutput(ctx, r.replica.ReceiveEcho(r.options.Clock.Now(), sentAt, address, echo))
		}
	})
}
