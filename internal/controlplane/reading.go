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
func (s *shard) confirmed(ctx context.Context, question func()) error {
	read := &pendingRead{question: question, done: make(chan error, 1)}
	queued := s.Put(ctx, func() { s.beginRead(ctx, read) })
	if !queued {
		return mishap.New(mishap.NoMajority, "part %d", s.index)
	}
	select {
	case err := <-read.done:
		return err
	case <-ctx.Done():
		return mishap.New(mishap.NoMajority, "part %d: no majority has confirmed", s.index)
	}
}

func (s *shard) beginRead(ctx context.Context, read *pendingRead) {
	if s.member == nil {
		read.done <- s.notOwner()
		return
	}
	begun, owns, output := s.member.BeginRead(s.Clock.Now())
	if !owns {
		read.done <- s.notOwner()
		return
	}
	read.Read = begun
	s.reads = append(s.reads, read)
	s.carry(s.core.running, output)
}

func (s *shard) notOwner() error { return mishap.New(mishap.NotOwner, "part %d", s.index) }

// answerReads answers the reads that have been confirmed, and ends those that can't be here.
func (s *shard) answerReads() {
	waiting := s.reads
	s.reads = nil
	for _, read := range waiting {
		state := part.ReadLost
		if s.member != nil {
			state = s.member.Judge(s.Clock.Now(), read.Read)
		}
		switch state {
		case part.ReadReady:
			read.question()
			read.done <- nil
		case part.ReadLost:
			read.done <- s.notOwner()
		default:
			s.reads = append(s.reads, read)
		}
	}
}

// echo is what this core shows of a part to whoever asks for its contact.
func (s *shard) echo() (part.Echo, bool) {
	status := s.status.Load()
	if status == nil || status.Slot < 0 {
		return part.Echo{}, false
	}
	return part.Echo{Part: s.index, Slot: status.Slot, Promised: status.Promised, Recovering: status.Recovering}, true
}

func (s *shard) echoed(ctx context.Context, asked schedule.Microseconds, address string, echo part.Echo) {
	s.Put(ctx, func() {
		if s.member != nil {
			s.carry(ctx, s.member.Echoed(s.Clock.Now(), asked, address, echo))
		}
	})
}

// standing is what this core may say of the part now: whoever was owner when the status was
// shown speaks as such only as long as its contact with a majority allows.
func (s *shard) standing() *Status {
	status := s.status.Load()
	if status == nil || !status.Owner || s.Clock.Now() < status.ConfirmedUntil {
		return status
	}
	unconfirmed := *status
	unconfirmed.Owner, unconfirmed.Current = false, false
	return &unconfirmed
}
