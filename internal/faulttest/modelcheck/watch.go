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

func (s *World) violate(format string, values ...any) {
	if len(s.Violations) < 4 {
		s.Violations = append(s.Violations, fmt.Sprintf(format, values...))
	}
}

// hear notes who has heard whom, and the contact with a majority that this makes by the
// bindings of that moment: a later change of seats does not undo it.
func (s *World) hear(to *daemon, each envelope) {
	link := [2]int{each.from, each.to}
	s.watch.heard[link] = max(s.watch.heard[link], each.sent)
	s.watch.contacts[to.number] = max(s.watch.contacts[to.number], s.contact(to))
}

// check has all observers look at a state.
func (s *World) check() {
	ruling := -1
	for _, each := range s.daemons {
		if each.down || each.member == nil {
			continue
		}
		s.checkLog(each)
		s.checkHistory(each)
		s.checkOwner(each)
		if s.checkLease(each) {
			if ruling >= 0 {
				s.violate("leases overlap: daemons %d and %d both give orders", ruling, each.number)
			}
			ruling = each.number
		}
	}
	s.checkCurrent()
}

// checkLog: one log for each round, and committed entries stay.
func (s *World) checkLog(daemon *daemon) {
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
		if known, seen := s.watch.entries[place]; seen && known != data {
			s.violate("two entries at index %d of round %d, one at daemon %d", index, found.Round, daemon.number)
		}
		s.watch.entries[place] = data
		if index > commit {
			continue
		}
		if known, seen := s.watch.committed[index]; seen && known != (entry{found.Round, data}) {
			s.violate("daemon %d committed another entry at index %d: of round %d, not %d", daemon.number, index, found.Round, known.round)
		}
		s.watch.committed[index] = entry{found.Round, data}
	}
}

// checkHistory: all applied states are of one history, in which each label and each base
// was taken at most once.
func (s *World) checkHistory(daemon *daemon) {
	present := daemon.replica.present
	if s.watch.longest == nil || present.contains(s.watch.longest) {
		s.watch.longest = present
	} else if !s.watch.longest.contains(present) {
		s.violate("daemon %d has applied another history", daemon.number)
	}
}

// accepted notes that an order was answered as in force.
func (s *World) accepted(order Order) {
	content := order.content()
	if known, seen := s.watch.labels[order.Label]; seen && known != content {
		s.violate("label %d was accepted twice: %s and %s", order.Label, known, content)
	}
	if known, seen := s.watch.bases[order.On]; seen && known != content {
		s.violate("two orders on base %d were accepted: %s and %s", order.On, known, content)
	}
	s.watch.labels[order.Label], s.watch.bases[order.On] = content, content
}

// shown takes an answered read.
func (s *World) shown(daemon *daemon, read reading) {
	s.checkAge(daemon, read.acknowledged)
	s.watch.acknowledged = append(s.watch.acknowledged, acknowledgement{present: daemon.replica.present, lagging: map[uint64]uint32{}})
}

// checkAge: what a daemon shows has all that was acknowledged before it was asked.
func (s *World) checkAge(daemon *daemon, acknowledged int) {
	for _, earlier := range s.watch.acknowledged[:acknowledged] {
		if !daemon.replica.present.contains(earlier.present) {
			s.violate("daemon %d shows less than was acknowledged at index %d", daemon.number, earlier.index)
		}
	}
}

// answer takes a result: what was acknowledged before must be in it, and an order that
// is in force must not be refused.
func (s *World) answer(daemon *daemon, asked proposal, result part.Result) {
	present, place := daemon.replica.present, position{result.Index, result.Round}
	s.checkAge(daemon, asked.acknowledged)
	var outcome configuration.Outcome
	if err := gob.NewDecoder(bytes.NewReader(result.Answer)).Decode(&outcome); err != nil {
		s.violate("the outcome of order %v can't be read: %v", asked.order, err)
	}
	switch {
	case outcome.Code == mishap.Fine:
		s.accepted(asked.order)
	case present.took(asked.order) || s.watch.labels[asked.order.Label] == asked.order.content():
		s.violate("order %v was refused with %d though it was taken", asked.order, outcome.Code)
	}
	noted := acknowledgement{position: place, present: present, lagging: map[uint64]uint32{}}
	s.watch.acknowledged = append(s.watch.acknowledged, noted)
}

// checkOwner: who owns the part has all that was acknowledged in earlier rounds, and has
// heard a majority lately.
func (s *World) checkOwner(daemon *daemon) {
	member := daemon.member
	if !member.Owns() {
		return
	}
	for _, acknowledged := range s.watch.acknowledged {
		if acknowledged.round > member.Round() || acknowledged.index <= member.Base.Index {
			continue
		}
		if found, held := member.Entry(acknowledged.index); !held || found.Round != acknowledged.round {
			s.violate("daemon %d owns round %d without the acknowledged entry %d of round %d", daemon.number, member.Round(), acknowledged.index, acknowledged.round)
		}
	}
	if s.options.Contact == 0 || !member.Confirmed(s.Now) {
		return
	}
	if silent := s.Now - s.watch.contacts[daemon.number]; silent > s.options.Contact {
		s.violate("daemon %d says it owns the part %d ms after its last contact with a majority", daemon.number, silent/schedule.Millisecond)
	}
}

// contact is the last moment after which a majority of seats has said something that the
// daemon has heard, itself included.
func (s *World) contact(daemon *daemon) schedule.Microseconds {
	var heard []schedule.Microseconds
	for _, seat := range daemon.known.Seats {
		for _, other := range s.daemons {
			switch {
			case seat.Vacant() || other.seat.Address != seat.Address:
			case other == daemon:
				heard = append(heard, s.Now)
			default:
				heard = append(heard, s.watch.heard[[2]int{other.number, daemon.number}])
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
func (s *World) checkLease(daemon *daemon) bool {
	holder := daemon.member.Holder()
	if holder == nil {
		return false
	}
	mine := lordship{daemon.number, daemon.life}
	if known, seen := s.watch.lords[holder.Round]; seen && known != mine {
		s.violate("round %d has two holders: daemons %d and %d", holder.Round, known.daemon, daemon.number)
	}
	s.watch.lords[holder.Round] = mine
	if !daemon.member.Owns() || !holder.Covers(s.Now, 0) {
		return false
	}
	if holder.Round < s.watch.covered {
		s.violate("round %d gives orders after round %d", holder.Round, s.watch.covered)
	}
	s.watch.covered = max(s.watch.covered, holder.Round)
	return true
}

// checkCurrent: a majority read that begins after an acknowledgement finds it, however
// its answers are spread over time: fewer than a majority with bindings of one epoch ever
// call themselves current without it. Routers count answers of one epoch only.
func (s *World) checkCurrent() {
	for _, each := range s.daemons {
		if each.down || each.member == nil {
			continue
		}
		commit, current := each.member.Current()
		if !current || each.member.Detached(s.Now) {
			continue
		}
		for place := range s.watch.acknowledged {
			acknowledged := &s.watch.acknowledged[place]
			if commit >= acknowledged.index {
				continue
			}
			acknowledged.lagging[each.known.Epoch] |= 1 << each.member.Self
			if lagging := bits.OnesCount32(acknowledged.lagging[each.known.Epoch]); lagging > s.options.Members/2 {
				s.violate("%d slots have called themselves current without the acknowledged entry %d", lagging, acknowledged.index)
			}
		}
	}
}

func (s *World) founding() part.Bindings {
	founding := part.Bindings{}
	for _, each := range s.daemons[:s.options.Members] {
		founding.Seats = append(founding.Seats, each.seat)
	}
	return founding
}
