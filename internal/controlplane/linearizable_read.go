package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/errcode"
)

// pendingRead is a read that waits until a majority has confirmed that this core leads.
type pendingRead struct {
	consensus.PendingRead
	query func()
	done  chan error
}

// linearizableRead runs a question inside the shard, once a majority that was asked after this call
// came has confirmed that this core still leads the part: what the question sees has all
// that was acknowledged before the call. An error says that it was not run.
func (s *shardReplica) linearizableRead(ctx context.Context, query func()) error {
	read := &pendingRead{query: query, done: make(chan error, 1)}
	queued := s.Put(ctx, func() { s.beginRead(ctx, read) })
	if !queued {
		return errcode.New(errcode.NoQuorum, "part %d", s.index)
	}
	select {
	case err := <-read.done:
		return err
	case <-ctx.Done():
		return errcode.New(errcode.NoQuorum, "part %d: no majority has confirmed", s.index)
	}
}

func (s *shardReplica) beginRead(ctx context.Context, read *pendingRead) {
	if s.replica == nil {
		read.done <- s.notOwnerError()
		return
	}
	consensusRead, isOwner, output := s.replica.BeginRead(s.Clock.Now())
	if !isOwner {
		read.done <- s.notOwnerError()
		return
	}
	read.PendingRead = consensusRead
	s.pendingReads = append(s.pendingReads, read)
	s.processOutput(s.server.runContext, output)
}

func (s *shardReplica) notOwnerError() error {
	return errcode.New(errcode.NotLeader, "part %d", s.index)
}

// completeReads answers the reads that have been confirmed, and ends those that can't be here.
func (s *shardReplica) completeReads() {
	pending := s.pendingReads
	s.pendingReads = nil
	for _, read := range pending {
		state := consensus.ReadAborted
		if s.replica != nil {
			state = s.replica.CheckRead(s.Clock.Now(), read.PendingRead)
		}
		switch state {
		case consensus.ReadReady:
			read.query()
			read.done <- nil
		case consensus.ReadAborted:
			read.done <- s.notOwnerError()
		default:
			s.pendingReads = append(s.pendingReads, read)
		}
	}
}

// echo is what this core shows of a part to whoever asks for its contact.
func (s *shardReplica) echo() (consensus.Echo, bool) {
	status := s.status.Load()
	if status == nil || status.Slot < 0 {
		return consensus.Echo{}, false
	}
	return consensus.Echo{Part: s.index, Slot: status.Slot, Promised: status.PromisedTerm, Recovering: status.CatchingUp}, true
}

func (s *shardReplica) handleEcho(ctx context.Context, sentAt clock.Microseconds, address string, echo consensus.Echo) {
	s.Put(ctx, func() {
		if s.replica != nil {
			s.processOutput(ctx, s.replica.ReceiveEcho(s.Clock.Now(), sentAt, address, echo))
		}
	})
}

// currentStatus is what this core may say of the part now: whoever was owner when the status was
// shown speaks as such only as long as its contact with a majority allows.
func (s *shardReplica) currentStatus() *Status {
	status := s.status.Load()
	if status == nil || !status.Owner || s.Clock.Now() < status.ConfirmedUntil {
		return status
	}
	unconfirmed := *status
	unconfirmed.Owner, unconfirmed.UpToDate = false, false
	return &unconfirmed
}
