package simulation

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
)

// seekSpan is how often a core without a seat asks for one, as the daemons do.
const seekSpan = 500 * schedule.Millisecond

// reseat has a core that has lost its seat begin anew as a learner that asks for it.
func (core *Core) reseat() {
	if core.member.Unbound() {
		core.relearn(core.member.Bindings())
	}
}

// relearn begins anew, as a learner that knows these bindings.
func (core *Core) relearn(bindings part.Bindings) {
	core.unsynced, core.pending, core.syncing = nil, nil, false
	past := *core.disk.Past(0)
	past.Entries = append([]journal.Entry(nil), past.Entries...)
	place := core.member.Place
	core.life++
	place.Life, place.Bindings = core.life, bindings
	core.book, core.wakePlanned = &Book{}, false
	clear(core.waiting)
	member, output := part.StartLearner(place, core.book, past, core.Clock())
	core.member = member
	core.carry(output)
	core.seek(core.life)
}

// seek has this life ask all others: for the vacant seat if it learns, and while it hears
// no leader for their bindings, which tell whether its seat is another's.
func (core *Core) seek(life uint64) {
	core.group.After(seekSpan, func() {
		core.step(life, func() {
			learning, daemon := core.member.Learning(), core.member.Me
			if learning || core.member.Alone(core.Clock()) && !core.member.Recovering() {
				for _, other := range core.group.Cores {
					core.group.Send(core.slot, other.slot, func() {
						other.step(other.life, func() {
							if learning {
								other.enrol(core.slot, daemon)
								return
							}
							bindings := other.member.Bindings()
							core.group.Send(other.slot, core.slot, func() { core.step(life, func() { core.hear(bindings) }) })
						})
					})
				}
			}
			if core.life == life {
				core.seek(life)
			}
		})
	})
}

// hear ends a member whose seat is another's by later bindings.
func (core *Core) hear(bindings part.Bindings) {
	if bindings.Epoch > core.member.Bindings().Epoch && bindings.Slot(core.member.Me) < 0 && !core.member.Learning() {
		core.relearn(bindings)
		core.plan()
	}
}

func (core *Core) enrol(slot int, daemon part.Seat) {
	bindings := core.member.Bindings()
	if seated := bindings.Slot(daemon); seated >= 0 {
		core.carry(core.member.Restore(core.Clock(), seated, daemon))
		core.plan()
		return
	}
	core.carry(core.member.Teach(core.Clock(), slot, daemon, bindings.Seats[slot].Vacant()))
	core.plan()
}
