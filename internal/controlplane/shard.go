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

func (shard *shard) run(ctx context.Context) {
	founding := part.Founding(shard.core.Seeds, shard.core.Group())
	if shard.core.Joining {
		founding = part.Bindings{Seats: make([]part.Seat, shard.core.Group())}
	}
	shard.begin(ctx, founding, shard.core.First)
	shard.Run(ctx, func(step func()) schedule.Microseconds {
		step()
		return shard.next(ctx)
	}, func() schedule.Microseconds {
		if shard.member != nil {
			stalled := schedule.Of(shard.core.journal.Stalled()) > stallDeltas*shard.core.DeltaSpan()
			shard.member.Hold(stalled || shard.core.yields(shard.member.Bindings()))
			shard.carry(ctx, shard.member.Wake(shard.Clock.Now()))
		}
		return shard.next(ctx)
	})
}

// begin starts the member that the bindings give to this daemon, if any; its own
// disk may know later ones. Only the seats of a first start have nothing to recover: one
// that is given later may have been another's.
func (shard *shard) begin(ctx context.Context, bindings part.Bindings, first bool) {
	past := shard.core.journal.Past(shard.index)
	if held, read := part.LastBindings(past); read && held.Epoch >= bindings.Epoch {
		bindings = held
	}
	shard.seats.Store(&bindings)
	slot := bindings.Slot(shard.core.seat)
	if slot < 0 {
		shard.status.Store(&Status{Part: shard.index, Slot: slot, Leader: -1})
		return
	}
	shard.renew()
	shard.keepClaims(slot)
	place := shard.core.place(shard.index, slot, bindings)
	place.Life += shard.begun
	member, output := part.Start(place, shard.state, past, shard.Clock.Now(), first)
	shard.member = member
	shard.carry(ctx, output)
}

// next also ends a member whose seat is another's.
func (shard *shard) next(ctx context.Context) schedule.Microseconds {
	if shard.member == nil {
		return schedule.Never
	}
	if shard.member.Unbound() {
		shard.end(shard.member.Bindings())
		return schedule.Never
	}
	if shard.member.Owns() {
		shard.carry(ctx, shard.member.Pin(shard.Clock.Now()))
	}
	return shard.member.Next()
}

func (shard *shard) end(bindings part.Bindings) {
	log.Warn().Str("core", shard.core.Machine.Name).Int("part", shard.index).Uint64("epoch", bindings.Epoch).Msg("this core has no seat any more")
	shard.settle(part.Output{Lost: true})
	shard.member = nil
	shard.answerReads()
	if shard.index == 0 {
		shard.core.board.Put(shard.Clock.Now(), nil)
	}
	shard.claims.Store(nil)
	shard.seats.Store(&bindings)
	shard.right.Store(nil)
	shard.status.Store(&Status{Part: shard.index, Slot: -1, Leader: -1})
}

func (shard *shard) receive(ctx context.Context, message part.Message) {
	shard.Put(ctx, func() {
		if shard.learns(message) {
			shard.beginLearner(ctx, message.To)
		}
		if shard.member != nil {
			shard.carry(ctx, shard.member.Receive(shard.Clock.Now(), message))
			shard.graduates()
		}
	})
}

// What others read is shown before anything is answered, so that whoever hears an
// acknowledgement finds it in the heads of a majority.
func (shard *shard) carry(ctx context.Context, output part.Output) {
	shard.show(ctx, output.Applied)
	for _, message := range output.Urgent {
		shard.core.post(message)
	}
	if len(output.Records)+len(output.Held) > 0 {
		slot := shard.member.Self
		shard.core.journal.Write(output.Records, func() {
			for _, message := range output.Held {
				if message.To == slot {
					go shard.receive(shard.core.running, message)
					continue
				}
				shard.core.post(message)
			}
		})
	}
	if len(output.Later) > 0 {
		shard.core.journal.Write(output.Later, func() {})
	}
	shard.settle(output)
	shard.answerReads()
}

func (shard *shard) settle(output part.Output) {
	shard.lock.Lock()
	defer shard.lock.Unlock()
	for _, result := range output.Results {
		key := spot{result.Index, result.Round}
		if waiting, known := shard.waiting[key]; known {
			waiting <- result.Answer
			delete(shard.waiting, key)
		}
	}
	if output.Lost {
		for key, waiting := range shard.waiting {
			close(waiting)
			delete(shard.waiting, key)
		}
	}
}

// show publishes what others read: status, right, head and news.
func (shard *shard) show(ctx context.Context, applied bool) {
	member, now := shard.member, shard.Clock.Now()
	seats := member.Bindings()
	slot := member.Self
	if member.Learning() {
		slot = -1
	}
	if slot >= 0 || seats.Epoch >= shard.seats.Load().Epoch {
		shard.seats.Store(&seats)
	}
	leader, round := member.Leader()
	commit, current := member.Current()
	status := &Status{
		Part: shard.index, Slot: slot, Epoch: seats.Epoch, Leader: leader, Round: round, Promised: member.Round(),
		Commit: commit, Sequence: shard.state.Number(), Alone: member.Alone(now), Owner: member.Confirmed(now), Current: current && !member.Detached(now), Recovering: member.Recovering(),
		ConfirmedUntil: member.ConfirmedUntil(now),
	}
	var right *order.Right
	if holder := member.Holder(); holder != nil && member.Owns() {
		right = &order.Right{Round: holder.Round, Quiet: holder.Quiet(), Until: holder.Until()}
		status.GrantLeft = max(right.Until-now, 0)
		status.QuietLeft = min(max(right.Quiet-now, 0), holder.Lease)
	}
	shard.right.Store(right)
	before := shard.status.Swap(status)
	if before == nil || before.Leader != leader || before.Owner != status.Owner || before.Recovering != status.Recovering {
		log.Info().Str("core", shard.core.Machine.Name).Int("part", shard.index).Int("leader", leader).Uint64("round", round).
			Bool("owner", status.Owner).Bool("recovering", status.Recovering).Msg("part")
	}
	if applied && shard.index == 0 {
		shard.core.board.Put(now, shard.core.configs.Notices)
	}
	if applied && commit > 0 {
		head := news.Head{Part: shard.index, Index: member.Applied(), Round: member.AppliedRound(), Sequence: status.Sequence, Epoch: seats.Epoch}
		item := news.Item{Head: head, Data: member.Capture(), Steps: shard.steps(head.Index)}
		shard.published = head.Index
		shard.head.Store(&head)
		go shard.core.gossip.Publish(ctx, item)
	}
}

// propose puts an operation into the log and waits for its result.
func (shard *shard) propose(ctx context.Context, draft func() ([]byte, error)) ([]byte, error) {
	type placed struct {
		waiting chan []byte
		failure error
	}
	answer := make(chan placed, 1)
	queued := shard.Put(ctx, func() {
		if shard.member == nil || !shard.member.Confirmed(shard.Clock.Now()) {
			answer <- placed{nil, mishap.New(mishap.NotOwner, "part %d", shard.index)}
			return
		}
		operation, err := draft()
		if err != nil {
			answer <- placed{nil, err}
			return
		}
		index, round, _, output := shard.member.Propose(shard.Clock.Now(), operation)
		waiting := make(chan []byte, 1)
		shard.lock.Lock()
		shard.waiting[spot{index, round}] = waiting
		shard.lock.Unlock()
		answer <- placed{waiting, nil}
		shard.carry(ctx, output)
	})
	if !queued {
		return nil, mishap.New(mishap.NoMajority, "part %d", shard.index)
	}
	var found placed
	select {
	case found = <-answer:
	case <-ctx.Done():
		return nil, mishap.New(mishap.OutcomeUnknown, "part %d", shard.index)
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
	return nil, mishap.New(mishap.OutcomeUnknown, "part %d", shard.index)
}

// ask runs a question inside the shard.
func (shard *shard) ask(ctx context.Context, question func()) bool {
	done := make(chan struct{})
	if !shard.Put(ctx, func() { question(); close(done) }) {
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
func (shard *shard) offer(ctx context.Context, item news.Item) {
	shard.Put(ctx, func() {
		if shard.member != nil && shard.member.Recovering() {
			if item.Index <= shard.offered.Load() {
				return
			}
			shard.offered.Store(item.Index)
			log.Warn().Str("core", shard.core.Machine.Name).Int("part", shard.index).Uint64("index", item.Index).Msg("copy offered by a router")
			shard.member.Offer(journal.Entry{Index: item.Index, Round: item.Round, Data: item.Data})
		}
	})
}
