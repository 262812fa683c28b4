package explore

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"hash/maphash"
	"math/bits"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// acknowledgement is an answered result.
type acknowledgement struct {
	position
	present *version
	// lagging are the slots that have called themselves current since without it, by the
	// epoch of their bindings.
	lagging map[uint64]uint32
}

// entry is what stands at a place of a log.
type entry struct {
	round uint64
	data  uint64
}

// lordship is who holds the lease of a round.
type lordship struct {
	daemon int
	life   uint64
}

// watch are the observers: what they note is never read by the code under test.
type watch struct {
	entries      map[position]uint64
	committed    map[uint64]entry
	acknowledged []acknowledgement
	lords        map[uint64]lordship
	labels       map[uint64]string
	bases        map[uint64]string
	// covered is the highest round that has given orders.
	covered uint64
	// longest is the longest history that any replica has applied.
	longest *version
	heard   map[[2]int]schedule.Microseconds
	// contacts are the last contacts of each daemon with a majority.
	contacts map[int]schedule.Microseconds
}

func newWatch() watch {
	return watch{
		entries: map[position]uint64{}, committed: map[uint64]entry{}, lords: map[uint64]lordship{},
		labels: map[uint64]string{}, bases: map[uint64]string{}, heard: map[[2]int]schedule.Microseconds{}, contacts: map[int]schedule.Microseconds{},
	}
}

var seed = maphash.MakeSeed()

func (world *World) violate(format string, values ...any) {
	if len(world.Violations) < 4 {
		world.Violations = append(world.Violations, fmt.Sprintf(format, values...))
	}
}

// hear notes who has heard whom, and the contact with a majority that this makes by the
// bindings of that moment: a later change of seats does not undo it.
func (world *World) hear(to *daemon, each envelope) {
	link := [2]int{each.from, each.to}
	world.watch.heard[link] = max(world.watch.heard[link], each.sent)
	world.watch.contacts[to.number] = max(world.watch.contacts[to.number], world.contact(to))
}

// check has all observers look at a state.
func (world *World) check() {
	ruling := -1
	for _, each := range world.daemons {
		if each.down || each.member == nil {
			continue
		}
		world.checkLog(each)
		world.checkHistory(each)
		world.checkOwner(each)
		if world.checkLease(each) {
			if ruling >= 0 {
				world.violate("leases overlap: daemons %d and %d both give orders", ruling, each.number)
			}
			ruling = each.number
		}
	}
	world.checkCurrent()
}

// checkLog: one log for each round, and committed entries stay.
func (world *World) checkLog(daemon *daemon) {
	member := daemon.member
	last, _ := member.Last()
	commit, _ := member.Current()
	for index := member.Base.Index + 1; index <= last; index++ {
		found, held := member.Entry(index)
		if !held {
			continue
		}
		data := maphash.Bytes(seed, found.Data)
		place := position{index, found.Round}
		if known, seen := world.watch.entries[place]; seen && known != data {
			world.violate("two entries at index %d of round %d, one at daemon %d", index, found.Round, daemon.number)
		}
		world.watch.entries[place] = data
		if index > commit {
			continue
		}
		if known, seen := world.watch.committed[index]; seen && known != (entry{found.Round, data}) {
			world.violate("daemon %d committed another entry at index %d: of round %d, not %d", daemon.number, index, found.Round, known.round)
		}
		world.watch.committed[index] = entry{found.Round, data}
	}
}

// checkHistory: all applied states are of one history, in which each label and each base
// was taken at most once.
func (world *World) checkHistory(daemon *daemon) {
	present := daemon.replica.present
	if world.watch.longest == nil || present.contains(world.watch.longest) {
		world.watch.longest = present
	} else if !world.watch.longest.contains(present) {
		world.violate("daemon %d has applied another history", daemon.number)
	}
}

// accepted notes that an order was answered as in force.
func (world *World) accepted(order Order) {
	content := order.content()
	if known, seen := world.watch.labels[order.Label]; seen && known != content {
		world.violate("label %d was accepted twice: %s and %s", order.Label, known, content)
	}
	if known, seen := world.watch.bases[order.On]; seen && known != content {
		world.violate("two orders on base %d were accepted: %s and %s", order.On, known, content)
	}
	world.watch.labels[order.Label], world.watch.bases[order.On] = content, content
}

// shown takes an answered read.
func (world *World) shown(daemon *daemon, read reading) {
	world.checkAge(daemon, read.acknowledged)
	world.watch.acknowledged = append(world.watch.acknowledged, acknowledgement{present: daemon.replica.present, lagging: map[uint64]uint32{}})
}

// checkAge: what a daemon shows has all that was acknowledged before it was asked.
func (world *World) checkAge(daemon *daemon, acknowledged int) {
	for _, earlier := range world.watch.acknowledged[:acknowledged] {
		if !daemon.replica.present.contains(earlier.present) {
			world.violate("daemon %d shows less than was acknowledged at index %d", daemon.number, earlier.index)
		}
	}
}

// answer takes a result: what was acknowledged before must be in it, and an order that
// is in force must not be refused.
func (world *World) answer(daemon *daemon, asked proposal, result part.Result) {
	present, place := daemon.replica.present, position{result.Index, result.Round}
	world.checkAge(daemon, asked.acknowledged)
	var outcome configuration.Outcome
	if err := gob.NewDecoder(bytes.NewReader(result.Answer)).Decode(&outcome); err != nil {
		world.violate("the outcome of order %v can't be read: %v", asked.order, err)
	}
	switch {
	case outcome.Code == mishap.Fine:
		world.accepted(asked.order)
	case present.took(asked.order) || world.watch.labels[asked.order.Label] == asked.order.content():
		world.violate("order %v was refused with %d though it was taken", asked.order, outcome.Code)
	}
	noted := acknowledgement{position: place, present: present, lagging: map[uint64]uint32{}}
	world.watch.acknowledged = append(world.watch.acknowledged, noted)
}

// checkOwner: who owns the part has all that was acknowledged in earlier rounds, and has
// heard a majority lately.
func (world *World) checkOwner(daemon *daemon) {
	member := daemon.member
	if !member.Owns() {
		return
	}
	for _, acknowledged := range world.watch.acknowledged {
		if acknowledged.round > member.Round() || acknowledged.index <= member.Base.Index {
			continue
		}
		if found, held := member.Entry(acknowledged.index); !held || found.Round != acknowledged.round {
			world.violate("daemon %d owns round %d without the acknowledged entry %d of round %d", daemon.number, member.Round(), acknowledged.index, acknowledged.round)
		}
	}
	if world.options.Contact == 0 || !member.Confirmed(world.Now) {
		return
	}
	if silent := world.Now - world.watch.contacts[daemon.number]; silent > world.options.Contact {
		world.violate("daemon %d says it owns the part %d ms after its last contact with a majority", daemon.number, silent/schedule.Millisecond)
	}
}

// contact is the last moment after which a majority of seats has said something that the
// daemon has heard, itself included.
func (world *World) contact(daemon *daemon) schedule.Microseconds {
	var heard []schedule.Microseconds
	for _, seat := range daemon.known.Seats {
		for _, other := range world.daemons {
			switch {
			case seat.Vacant() || other.seat.Address != seat.Address:
			case other == daemon:
				heard = append(heard, world.Now)
			default:
				heard = append(heard, world.watch.heard[[2]int{other.number, daemon.number}])
			}
		}
	}
	slices.Sort(heard)
	majority := len(daemon.known.Seats)/2 + 1
	if len(heard) < majority {
		return 0
	}
	return heard[len(heard)-majority]
}

// checkLease tells whether a daemon may give orders now. The right of a round is one
// life's, and no lower round has it after a higher one.
func (world *World) checkLease(daemon *daemon) bool {
	holder := daemon.member.Holder()
	if holder == nil {
		return false
	}
	mine := lordship{daemon.number, daemon.life}
	if known, seen := world.watch.lords[holder.Round]; seen && known != mine {
		world.violate("round %d has two holders: daemons %d and %d", holder.Round, known.daemon, daemon.number)
	}
	world.watch.lords[holder.Round] = mine
	if !daemon.member.Owns() || !holder.Covers(world.Now, 0) {
		return false
	}
	if holder.Round < world.watch.covered {
		world.violate("round %d gives orders after round %d", holder.Round, world.watch.covered)
	}
	world.watch.covered = max(world.watch.covered, holder.Round)
	return true
}

// checkCurrent: a majority read that begins after an acknowledgement finds it, however
// its answers are spread over time: fewer than a majority with bindings of one epoch ever
// call themselves current without it. Routers count answers of one epoch only.
func (world *World) checkCurrent() {
	for _, each := range world.daemons {
		if each.down || each.member == nil {
			continue
		}
		commit, current := each.member.Current()
		if !current || each.member.Detached(world.Now) {
			continue
		}
		for place := range world.watch.acknowledged {
			acknowledged := &world.watch.acknowledged[place]
			if commit >= acknowledged.index {
				continue
			}
			acknowledged.lagging[each.known.Epoch] |= 1 << each.member.Self
			if lagging := bits.OnesCount32(acknowledged.lagging[each.known.Epoch]); lagging > world.options.Members/2 {
				world.violate("%d slots have called themselves current without the acknowledged entry %d", lagging, acknowledged.index)
			}
		}
	}
}

func (world *World) founding() part.Bindings {
	founding := part.Bindings{}
	for _, each := range world.daemons[:world.options.Members] {
		founding.Seats = append(founding.Seats, each.seat)
	}
	return founding
}
