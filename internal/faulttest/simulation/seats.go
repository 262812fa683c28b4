package simulation

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
)

// seekSpan is how often a core without a seat asks for one, as the daemons do.
const seekSpan = 500 * schedule.Millisecond

// reseat has a core that has lost its seat begin anew as a learner that asks for it.
func (s *Core) reseat() {
	if s.member.Unbound() {
		s.relearn(s.member.Bindings())
	}
}

// relearn begins anew, as a learner that knows these bindings.
func (s *Core) relearn(bindings part.Bindings) {
	s.unsynced, s.pending, s.syncing = nil, nil, false
	past := *s.disk.Past(0)
	past.Entries = append([]journal.Entry(nil), past.Entries...)
	place := s.member.Place
	s.life++
	place.Life, place.Bindings = s.life, bindings
	s.book, s.wakePlanned = &Book{}, false
	clear(s.waiting)
	member, output := part.StartLearner(place, s.book, past, s.Clock())
	s.member = member
	s.carry(output)
	s.seek(s.life)
}

// seek has this life ask all others: for the vacant seat if it learns, and while it hears
// no leader for their bindings, which tell whether its seat is another's.
func (s *Core) seek(life uint64) {
	s.group.After(seekSpan, func() {
		s.step(life, func() {
			learning, daemon := s.member.Learning(), s.member.Me
			if learning || s.member.Alone(s.Clock()) && !s.member.Recovering() {
				for _, other := range s.group.Cores {
					s.group.Send(s.slot, other.slot, func() {
						other.step(other.life, func() {
							if learning {
								other.enrol(s.slot, daemon)
								return
							}
							bindings := other.member.Bindings()
							s.group.Send(other.slot, s.slot, func() { s.step(life, func() { s.hear(bindings) }) })
						})
					})
				}
			}
			if s.life == life {
				s.seek(life)
			}
		})
	})
}

// hear ends a member whose seat is another's by later bindings.
func (s *Core) hear(bindings part.Bindings) {
	if bindings.Epoch > s.member.Bindings().Epoch && bindings.Slot(s.member.Me) < 0 && !s.member.Learning() {
		s.relearn(bindings)
		s.plan()
	}
}

func (s *Core) enrol(slot int, daemon part.Seat) {
	bindings := s.member.Bindings()
	if seated := bindings.Slot(daemon); seated >= 0 {
		s.carry(s.member.Restore(s.Clock(), seated, daemon))
		s.plan()
		return
	}
	s.carry(s.member.Teach(s.Clock(), slot, daemon, bindings.Seats[slot].Vacant()))
	s.plan()
}
