package router

import (
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/state/config"
)

const (
	// answerKept is how long a core's answer counts for the first configuration, as the
	// cores are asked in turn.
	answerKept = 2 * schedule.Second
	// leaderlessAfter is how long a router waits if a majority of the seats answers, and too
	// few are current, and unheardAfter if no majority answers at all. Where a majority says
	// that it is not current, nobody can lead, and nothing is waited for.
	leaderlessAfter = schedule.Second
	unheardAfter    = 3 * schedule.Second
)

// Basis says by what a router's first configuration was put in force.
type Basis uint8

// What a first configuration may rest on.
const (
	Unconfirmed Basis = iota
	// ByMajority is the rule: it has all that was acknowledged before the router started.
	ByMajority
	// ByLeaderless is the highest of a majority that nobody leads, and ByUnheard of
	// whoever answers while there is no majority.
	ByLeaderless
	ByUnheard
)

type seatAnswer struct {
	asked    schedule.Microseconds
	epoch    uint64
	sequence uint64
	current  bool
}

// First decides when the first configuration of a router's life may be put in force, from
// single cores' answers that are gathered into a majority read.
type First struct {
	lock    sync.Mutex
	began   schedule.Microseconds
	quorum  int
	answers map[int]seatAnswer
	basis   Basis
}

// NewFirst begins at a router's start, among so many seats.
func NewFirst(now schedule.Microseconds, seats int) *First {
	return &First{began: now, quorum: seats/2 + 1, answers: map[int]seatAnswer{}}
}

// Hear takes a core's answer to a question that was sent at that moment.
func (b *First) Hear(asked schedule.Microseconds, head core.PartHead) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if head.Slot < 0 || head.Recovering || asked < b.began {
		return
	}
	if before, known := b.answers[head.Slot]; !known || asked >= before.asked {
		b.answers[head.Slot] = seatAnswer{asked, head.Epoch, head.Sequence, head.Current}
	}
}

// Take decides by the answers of the last while whether a sequence that is held may be put
// in force. A majority of seats that are current names the sequence that it must have.
func (b *First) Take(now schedule.Microseconds, held uint64) Basis {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.basis != Unconfirmed {
		return b.basis
	}
	epoch := uint64(0)
	for slot, answer := range b.answers {
		if now-answer.asked > answerKept {
			delete(b.answers, slot)
			continue
		}
		epoch = max(epoch, answer.epoch)
	}
	current, behind, highest, needed := 0, 0, uint64(0), uint64(0)
	for _, answer := range b.answers {
		highest = max(highest, answer.sequence)
		if !answer.current {
			behind++
		}
		if answer.current && answer.epoch == epoch {
			current++
			needed = max(needed, answer.sequence)
		}
	}
	switch waited := now - b.began; {
	case current >= b.quorum:
		if held >= needed {
			b.basis = ByMajority
		}
	case held < highest:
	case behind >= b.quorum || len(b.answers) >= b.quorum && waited >= leaderlessAfter:
		b.basis = ByLeaderless
	case waited >= unheardAfter:
		b.basis = ByUnheard
	}
	return b.basis
}

// Basis is by what the first configuration was put in force.
func (b *First) Basis() Basis {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.basis
}

// put puts a configuration in force, or holds it until the first one of this life may be.
func (r *Router) put(view *configuration.View) {
	r.putting.Lock()
	defer r.putting.Unlock()
	if r.Gate != gateOpen {
		r.enforce(view)
		return
	}
	r.held = view
	r.release()
}

// try puts the configuration that is held in force if it may be by now.
func (r *Router) try() {
	r.putting.Lock()
	defer r.putting.Unlock()
	r.release()
}

func (r *Router) release() {
	if r.held == nil {
		return
	}
	before := r.first.Basis()
	basis := r.first.Take(r.clock.Now(), r.held.Sequence)
	if basis == Unconfirmed {
		return
	}
	if before == Unconfirmed {
		log.Info().Str("router", r.Machine.Name).Uint64("sequence", r.held.Sequence).Uint8("basis", uint8(basis)).Msg("first configuration")
	}
	view := r.held
	r.held = nil
	r.enforce(view)
}
