package replication

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/errcode"
)

// pendingRead is a linearizable read that waits until a majority has confirmed that this server still leads.
type pendingRead struct {
	consensus.PendingRead
	query func()
	// done receives nil after the query has run, or the error because of which it was not run.
	done chan error
}

// LinearizableRead runs a query in the shard's loop once a majority has confirmed that this server still
// leads the shard. The confirmation answers requests that were sent after this call began, so the query
// sees every write that was acknowledged before the call. If LinearizableRead returns an error, the query
// was not run or its result must not be used.
func (r *ShardReplica) LinearizableRead(ctx context.Context, query func()) error {
	read := &pendingRead{query: query, done: make(chan error, 1)}
	queued := r.loop.Put(ctx, func() { r.beginRead(read) })
	if !queued {
		return errcode.New(errcode.NoQuorum, "shard %d: the context ended before the read was queued", r.options.Shard)
	}
	select {
	case err := <-read.done:
		return err
	case <-ctx.Done():
		return errcode.New(errcode.NoQuorum, "shard %d: no majority confirmed the leader in time", r.options.Shard)
	}
}

// beginRead starts a read. It runs in the shard's loop. Messages that the replica sends use the context of
// Run, since they outlive the call of LinearizableRead.
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
	return errcode.New(errcode.NotLeader, "shard %d: this server is not the confirmed leader", r.options.Shard)
}

// completeReads runs the queries of the reads that have been confirmed, and fails the reads that can no
// longer be confirmed.
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

// Echo returns this server's answer to a leader that asks for confirmation. It returns false if this server
// has no slot.
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

// ReceiveEcho passes an echo to the replica. The echo answers a message that this server sent at sentAt.
func (r *ShardReplica) ReceiveEcho(
	ctx context.Context, sentAt clock.Microseconds, address string, echo consensus.Echo,
) {
	r.loop.Put(ctx, func() {
		if r.replica != nil {
			r.processOutput(ctx, r.replica.ReceiveEcho(r.options.Clock.Now(), sentAt, address, echo))
		}
	})
}
