package core

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/errcode"
)

// pendingRead is a read that waits until a majority has confirmed that this core leads.
type pendingRead struct {
	part.Read
	question func()
	done     chan error
}

// confirmed runs a question inside the shard, once a majority that was asked after this call
// came has confirmed that this core still leads the part: what the question sees has all
// that was acknowledged before the call. An error says that it was not run.
func (shard *shard) confirmed(ctx context.Context, question func()) error {
	read := &pendingRead{question: question, done: make(chan error, 1)}
	queued := shard.Put(ctx, func() { shard.beginRead(ctx, read) })
	if !queued {
		return mishap.New(mishap.NoMajority, "part %d", shard.index)
	}
	select {
	case err := <-read.done:
		return err
	case <-ctx.Done():
		return mishap.New(mishap.NoMajority, "part %d: no majority has confirmed", shard.index)
	}
}

func (shard *shard) beginRead(ctx context.Context, read *pendingRead) {
	if shard.member == nil {
		read.done <- shard.notOwner()
		return
	}
	begun, owns, output := shard.member.BeginRead(shard.Clock.Now())
	if !owns {
		read.done <- shard.notOwner()
		return
	}
	read.Read = begun
	shard.reads = append(shard.reads, read)
	shard.carry(shard.core.running, output)
}

func (shard *shard) notOwner() error { return mishap.New(mishap.NotOwner, "part %d", shard.index) }

// answerReads answers the reads that have been confirmed, and ends those that can't be here.
func (shard *shard) answerReads() {
	waiting := shard.reads
	shard.reads = nil
	for _, read := range waiting {
		state := part.ReadLost
		if shard.member != nil {
			state = shard.member.Judge(shard.Clock.Now(), read.Read)
		}
		switch state {
		case part.ReadReady:
			read.question()
			read.done <- nil
		case part.ReadLost:
			read.done <- shard.notOwner()
		default:
			shard.reads = append(shard.reads, read)
		}
	}
}

// echo is what this core shows of a part to whoever asks for its contact.
func (shard *shard) echo() (part.Echo, bool) {
	status := shard.status.Load()
	if status == nil || status.Slot < 0 {
		return part.Echo{}, false
	}
	return part.Echo{Part: shard.index, Slot: status.Slot, Promised: status.Promised, Recovering: status.Recovering}, true
}

func (shard *shard) echoed(ctx context.Context, asked schedule.Microseconds, address string, echo part.Echo) {
	shard.Put(ctx, func() {
		if shard.member != nil {
			shard.carry(ctx, shard.member.Echoed(shard.Clock.Now(), asked, address, echo))
		}
	})
}

// standing is what this core may say of the part now: whoever was owner when the status was
// shown speaks as such only as long as its contact with a majority allows.
func (shard *shard) standing() *Status {
	status := shard.status.Load()
	if status == nil || !status.Owner || shard.Clock.Now() < status.ConfirmedUntil {
		return status
	}
	unconfirmed := *status
	unconfirmed.Owner, unconfirmed.Current = false, false
	return &unconfirmed
}
