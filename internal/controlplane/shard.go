package core

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/enginecommand"
	"coursepass/internal/errcode"
	"coursepass/internal/gossip"
)

// replica is a part's state as a core keeps it.
type replica interface {
	part.State
	Number() uint64
}

// A sync that takes longer than so many δ has its core give way as a candidate.
const stallDeltas = 5

type spot struct{ index, round uint64 }

// Status is what a core says of one part.
type Status struct {
	Part       int    `json:"part"`
	Slot       int    `json:"slot"`
	Epoch      uint64 `json:"epoch"`
	Leader     int    `json:"leader"`
	Round      uint64 `json:"round"`
	Promised   uint64 `json:"promised"`
	Commit     uint64 `json:"commit"`
	Sequence   uint64 `json:"sequence"`
	Alone      bool   `json:"alone"`
	Owner      bool   `json:"owner"`
	Current    bool   `json:"current"`
	Recovering bool   `json:"recovering"`
	// ClaimsWhole says that the one-shot keys of this slot are known, so that it may grant claims.
	ClaimsWhole bool                  `json:"claimsWhole"`
	GrantLeft   schedule.Microseconds `json:"grantLeftMicroseconds"`
	// ConfirmedUntil is until when, on this core's clock, it may speak as owner.
	ConfirmedUntil schedule.Microseconds `json:"-"`
	QuietLeft      schedule.Microseconds `json:"quietLeftMicroseconds"`
}

// shard drives one part's member: it alone touches the member and its state.
type shard struct {
	*schedule.Loop[func()]
	core   *Core
	index  int
	member *part.Member
	state  replica
	blank  []byte
	begun  uint64
	// published is the last index that was passed on as news.
	published uint64
	lock      sync.Mutex
	waiting   map[spot]chan []byte
	reads     []*pendingRead
	status    atomic.Pointer[Status]
	seats     atomic.Pointer[part.Bindings]
	right     atomic.Pointer[order.Right]
	claims    atomic.Pointer[claims]
	head      atomic.Pointer[news.Head]
	// offered is the highest index of a copy that a router has offered to this life.
	offered atomic.Uint64
}

func (s *shard) run(ctx context.Context) {
	founding := part.Founding(s.core.Seeds, s.core.Group())
	if s.core.Joining {
		founding = part.Bindings{Seats: make([]part.Seat, s.core.Group())}
	}
	s.begin(ctx, founding, s.core.First)
	s.Run(ctx, func(step func()) schedule.Microseconds {
		step()
		return s.next(ctx)
	}, func() schedule.Microseconds {
		if s.member != nil {
			stalled := schedule.Of(s.core.journal.Stalled()) > stallDeltas*s.core.DeltaSpan()
			s.member.Hold(stalled || s.core.yields(s.member.Bindings()))
			s.carry(ctx, s.member.Wake(s.Clock.Now()))
		}
		return s.next(ctx)
	})
}

// begin starts the member that the bindings give to this daemon, if any; its own
// disk may know later ones. Only the seats of a first start have nothing to recover: one
// that is given later may have been another's.
func (s *shard) begin(ctx context.Context, bindings part.Bindings, first bool) {
	past := s.core.journal.Past(s.index)
	if held, read := part.LastBindings(past); read && held.Epoch >= bindings.Epoch {
		bindings = held
	}
	s.seats.Store(&bindings)
	slot := bindings.Slot(s.core.seat)
	if slot < 0 {
		s.status.Store(&Status{Part: s.index, Slot: slot, Leader: -1})
		return
	}
	s.renew()
	s.keepClaims(slot)
	place := s.core.place(s.index, slot, bindings)
	place.Life += s.begun
	member, output := part.Start(place, s.state, past, s.Clock.Now(), first)
	s.member = member
	s.carry(ctx, output)
}

// next also ends a member whose seat is another's.
func (s *shard) next(ctx context.Context) schedule.Microseconds {
	if s.member == nil {
		return schedule.Never
	}
	if s.member.Unbound() {
		s.end(s.member.Bindings())
		return schedule.Never
	}
	if s.member.Owns() {
		s.carry(ctx, s.member.Pin(s.Clock.Now()))
	}
	return s.member.Next()
}

func (s *shard) end(bindings part.Bindings) {
	log.Warn().Str("core", s.core.Machine.Name).Int("part", s.index).Uint64("epoch", bindings.Epoch).Msg("this core has no seat any more")
	s.settle(part.Output{Lost: true})
	s.member = nil
	s.answerReads()
	if s.index == 0 {
		s.core.board.Put(s.Clock.Now(), nil)
	}
	s.claims.Store(nil)
	s.seats.Store(&bindings)
	s.right.Store(nil)
	s.status.Store(&Status{Part: s.index, Slot: -1, Leader: -1})
}

func (s *shard) receive(ctx context.Context, message part.Message) {
	s.Put(ctx, func() {
		if s.learns(message) {
			s.beginLearner(ctx, message.To)
		}
		if s.member != nil {
			s.carry(ctx, s.member.Receive(s.Clock.Now(), message))
			s.graduates()
		}
	})
}

// What others read is shown before anything is answered, so that whoever hears an
// acknowledgement finds it in the heads of a majority.
func (s *shard) carry(ctx context.Context, output part.Output) {
	s.show(ctx, output.Applied)
	for _, message := range output.Urgent {
		s.core.post(message)
	}
	if len(output.Records)+len(output.Held) > 0 {
		slot := s.member.Self
		s.core.journal.Write(output.Records, func() {
			for _, message := range output.Held {
				if message.To == slot {
					go s.receive(s.core.running, message)
					continue
				}
				s.core.post(message)
			}
		})
	}
	if len(output.Later) > 0 {
		s.core.journal.Write(output.Later, func() {})
	}
	s.settle(output)
	s.answerReads()
}

func (s *shard) settle(output part.Output) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, result := range output.Results {
		key := spot{result.Index, result.Round}
		if waiting, known := s.waiting[key]; known {
			waiting <- result.Answer
			delete(s.waiting, key)
		}
	}
	if output.Lost {
		for key, waiting := range s.waiting {
			close(waiting)
			delete(s.waiting, key)
		}
	}
}

// show publishes what others read: status, right, head and news.
func (s *shard) show(ctx context.Context, applied bool) {
	member, now := s.member, s.Clock.Now()
	seats := member.Bindings()
	slot := member.Self
	if member.Learning() {
		slot = -1
	}
	if slot >= 0 || seats.Epoch >= s.seats.Load().Epoch {
		s.seats.Store(&seats)
	}
	leader, round := member.Leader()
	commit, current := member.Current()
	status := &Status{
		Part: s.index, Slot: slot, Epoch: seats.Epoch, Leader: leader, Round: round, Promised: member.Round(),
		Commit: commit, Sequence: s.state.Number(), Alone: member.Alone(now), Owner: member.Confirmed(now), Current: current && !member.Detached(now), Recovering: member.Recovering(),
		ConfirmedUntil: member.ConfirmedUntil(now),
	}
	var right *order.Right
	if holder := member.Holder(); holder != nil && member.Owns() {
		right = &order.Right{Round: holder.Round, Quiet: holder.Quiet(), Until: holder.Until()}
		status.GrantLeft = max(right.Until-now, 0)
		status.QuietLeft = min(max(right.Quiet-now, 0), holder.Lease)
	}
	s.right.Store(right)
	before := s.status.Swap(status)
	if before == nil || before.Leader != leader || before.Owner != status.Owner || before.Recovering != status.Recovering {
		log.Info().Str("core", s.core.Machine.Name).Int("part", s.index).Int("leader", leader).Uint64("round", round).
			Bool("owner", status.Owner).Bool("recovering", status.Recovering).Msg("part")
	}
	if applied && s.index == 0 {
		s.core.board.Put(now, s.core.configs.Notices)
	}
	if applied && commit > 0 {
		head := news.Head{Part: s.index, Index: member.Applied(), Round: member.AppliedRound(), Sequence: status.Sequence, Epoch: seats.Epoch}
		item := news.Item{Head: head, Data: member.Capture(), Steps: s.steps(head.Index)}
		s.published = head.Index
		s.head.Store(&head)
		go s.core.gossip.Publish(ctx, item)
	}
}

// propose puts an operation into the log and waits for its result.
func (s *shard) propose(ctx context.Context, draft func() ([]byte, error)) ([]byte, error) {
	type placed struct {
		waiting chan []byte
		failure error
	}
	answer := make(chan placed, 1)
	queued := s.Put(ctx, func() {
		if s.member == nil || !s.member.Confirmed(s.Clock.Now()) {
			answer <- placed{nil, mishap.New(mishap.NotOwner, "part %d", s.index)}
			return
		}
		operation, err := draft()
		if err != nil {
			answer <- placed{nil, err}
			return
		}
		index, round, _, output := s.member.Propose(s.Clock.Now(), operation)
		waiting := make(chan []byte, 1)
		s.lock.Lock()
		s.waiting[spot{index, round}] = waiting
		s.lock.Unlock()
		answer <- placed{waiting, nil}
		s.carry(ctx, output)
	})
	if !queued {
		return nil, mishap.New(mishap.NoMajority, "part %d", s.index)
	}
	var found placed
	select {
	case found = <-answer:
	case <-ctx.Done():
		return nil, mishap.New(mishap.OutcomeUnknown, "part %d", s.index)
	}
	if found.failure != nil {
		return nil, found.failure
	}
	select {
	case result, open := <-found.waiting:
		if open {
			return result, nil
		}
	case <-ctx.Done():
	}
	return nil, mishap.New(mishap.OutcomeUnknown, "part %d", s.index)
}

// ask runs a question inside the shard.
func (s *shard) ask(ctx context.Context, question func()) bool {
	done := make(chan struct{})
	if !s.Put(ctx, func() { question(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// offer hands a router's copy of the part to a member that recovers.
func (s *shard) offer(ctx context.Context, item news.Item) {
	s.Put(ctx, func() {
		if s.member != nil && s.member.Recovering() {
			if item.Index <= s.offered.Load() {
				return
			}
			s.offered.Store(item.Index)
			log.Warn().Str("core", s.core.Machine.Name).Int("part", s.index).Uint64("index", item.Index).Msg("copy offered by a router")
			s.member.Offer(journal.Entry{Index: item.Index, Round: item.Round, Data: item.Data})
		}
	})
}
