package part

import (
	"bytes"
	"encoding/gob"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
)

// Seat binds a slot to a daemon: whoever stands at the inner address, since two can't.
// One that comes back there without its disk recovers first. The name is what another
// daemon replaces it by; the identity of its data folder is for operators to see. A
// seat without an address is vacant.
type Seat struct {
	Identity string
	Name     string
	Address  string
	// Hall is where the daemon stands, as far as it has told.
	Hall string
}

// Vacant tells whether nobody has the seat.
func (m Seat) Vacant() bool { return m.Address == "" }

func (m Seat) holds(other Seat) bool {
	return !m.Vacant() && m.Address == other.Address
}

// Bindings say who has each slot. Each change is one entry of the part's own log
// and has the next epoch; as in any log with changing voters, the last one held
// counts, whether or not it is committed.
type Bindings struct {
	Epoch uint64
	Seats []Seat
	// Retired are identities of data folders that have lost their slots: what they said
	// may still arrive, and counts no more.
	Retired []string
}

// retiredKept is how many retired identities are kept.
const retiredKept = 64

// sits tells whether a daemon speaks for a slot: it stands at the address of the seat, and
// its data folder has not lost one.
func (m Bindings) sits(slot int, daemon Seat) bool {
	return m.Seats[slot].holds(daemon) && !slices.Contains(m.Retired, daemon.Identity)
}

// Founding are the bindings of a new fleet: the seeds in their order, and vacant seats
// where there are fewer seeds than slots.
func Founding(seeds []string, slots int) Bindings {
	bindings := Bindings{Seats: make([]Seat, slots)}
	for slot, seed := range seeds[:min(len(seeds), slots)] {
		bindings.Seats[slot] = Seat{Address: seed}
	}
	return bindings
}

// Slot is the slot of a daemon, or -1.
func (m Bindings) Slot(daemon Seat) int {
	return slices.IndexFunc(m.Seats, func(seat Seat) bool { return seat.holds(daemon) })
}

func (m Bindings) with(slot int, seat Seat) Bindings {
	seats, before := slices.Clone(m.Seats), m.Seats[slot].Identity
	seats[slot] = seat
	retired := slices.DeleteFunc(slices.Clone(m.Retired), func(identity string) bool { return identity == seat.Identity })
	if before != "" && before != seat.Identity {
		retired = append(retired, before)
	}
	return Bindings{Epoch: m.Epoch + 1, Seats: seats, Retired: retired[max(0, len(retired)-retiredKept):]}
}

const (
	operationTag byte = iota
	bindingsTag
)

type packed struct {
	Bindings Bindings
	State    []byte
}

func encode(value any) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

// Unpack splits a capture into bindings and state.
func Unpack(capture []byte) (Bindings, []byte, bool) {
	var found packed
	err := gob.NewDecoder(bytes.NewReader(capture)).Decode(&found)
	return found.Bindings, found.State, err == nil
}

func readBindings(entry journal.Entry) (Bindings, bool) {
	var found Bindings
	if len(entry.Data) == 0 || entry.Data[0] != bindingsTag {
		return found, false
	}
	err := gob.NewDecoder(bytes.NewReader(entry.Data[1:])).Decode(&found)
	return found, err == nil
}

// LastBindings are the last that a disk holds.
func LastBindings(past journal.Past) (Bindings, bool) {
	for place := range slices.Backward(past.Entries) {
		if found, yes := readBindings(past.Entries[place]); yes {
			return found, true
		}
	}
	found, _, read := Unpack(past.Base.Data)
	return found, read && len(found.Seats) > 0
}

// keptFor tells whether a disk's log was kept for this slot. One that was kept for another
// slot remembers that slot's promises and leases, and nothing of those given in this one.
// A log without bindings is that of a founding seat.
func keptFor(past journal.Past, place Place) bool {
	held, read := LastBindings(past)
	return !read || held.Slot(place.Me) == place.Self
}

// Bindings are those that count here now.
func (r *Member) Bindings() Bindings { return r.bindings }

// Replay applies one committed entry to a state and the bindings beside it.
func Replay(state State, bindings *Bindings, entry journal.Entry) []byte {
	if found, yes := readBindings(entry); yes {
		*bindings = found
		return nil
	}
	if len(entry.Data) == 0 {
		return nil
	}
	return state.Apply(entry.Data[1:])
}

// Pack joins bindings and state, as Unpack splits them.
func Pack(bindings Bindings, state []byte) []byte { return encode(packed{bindings, state}) }

// Entry is an entry of the log that is still held.
func (r *Member) Entry(index uint64) (journal.Entry, bool) { return r.at(index) }

// Capture is the applied state with the bindings that were committed with it.
func (r *Member) Capture() []byte {
	return Pack(r.settledBindings, r.state.Snapshot())
}

// rebind finds the last bindings in the log again, after the log has changed.
func (r *Member) rebind() {
	r.bindings = r.settledBindings
	if found, yes := LastBindings(r.Past); yes {
		r.bindings = found
	}
	// A member that recovers catches up through bindings older than those by which it has
	// its slot.
	if r.recovery != nil && r.Place.Bindings.Epoch > r.bindings.Epoch {
		r.bindings = r.Place.Bindings
	}
}

// Unbound tells whether this member's slot is another's now.
func (r *Member) Unbound() bool {
	taught := r.recovery != nil && (r.recovery.learner || r.recovery.taught)
	return !taught && r.bindings.Slot(r.Me) != r.Self
}

// stranger tells whether an election's message is of a daemon that has no right to
// the slot it speaks for. What a sender with later bindings says is believed.
func (r *Member) stranger(message Message) bool {
	return message.Epoch <= r.bindings.Epoch && !r.sits(message)
}

func (r *Member) sits(message Message) bool {
	return r.bindings.sits(message.From, message.Sender)
}

func (r *Member) mayRebind() bool {
	return r.Owns() && r.bindings.Epoch == r.settledBindings.Epoch && r.settled >= r.commit
}

func (r *Member) writeBindings(now schedule.Microseconds, bindings Bindings) {
	r.write(BindingsData(bindings))
	r.rebind()
	r.replicate(now)
}

// Pin writes down the name that was heard at a seat's address, once, so that another
// daemon may replace it by that name.
func (r *Member) Pin(now schedule.Microseconds) Output {
	if !r.mayRebind() {
		return Output{}
	}
	for slot, seat := range r.bindings.Seats {
		heard := r.others[slot].sender
		if heard.Name != "" && heard.Address == seat.Address && (seat.Name == "" || seat.Identity != heard.Identity) {
			r.writeBindings(now, r.bindings.with(slot, heard))
			return r.take()
		}
	}
	return Output{}
}

// Absent is how long the daemon of a slot has not answered this leader.
func (r *Member) Absent(now schedule.Microseconds, slot int) schedule.Microseconds {
	return now - r.others[slot].heard
}

// Caught tells whether a slot has about all that is committed, as this leader knows.
func (r *Member) Caught(slot int) bool {
	return slot == r.Self || r.others[slot].matched+caughtSlack >= r.commit
}

// caughtSlack is how many entries may be under way to a slot that has caught up.
const caughtSlack = 16

// Alone tells whether this member hears too little to know that its seat is still
// its own: as leader no majority, else no leader that has shown it the log.
func (r *Member) Alone(now schedule.Microseconds) bool {
	leader, _ := r.election.Leader()
	if r.stage != leading {
		return leader == election.Nobody || leader == r.Self || !r.current || r.forsaken(now)
	}
	heard := 0
	for slot := range r.others {
		if r.Absent(now, slot) < r.Lease {
			heard++
		}
	}
	return heard < r.majority()
}

// Replace gives a slot to a daemon at once, without a copy first; it says whether a change
// was begun. Daemons use Teach; the exploration also seats empty ones.
func (r *Member) Replace(now schedule.Microseconds, slot int, daemon Seat, patience schedule.Microseconds) (bool, Output) {
	if slot == r.Self || slot < 0 || slot >= r.Slots || r.bindings.Slot(daemon) >= 0 {
		return false, Output{}
	}
	return r.replace(now, slot, daemon, patience), r.take()
}

// replace gives a slot to another daemon, in two changes that each overlap with the
// bindings before: first the seat is vacated, then it is given. A majority of seats
// besides it must be held by daemons that answer: with three slots, both others.
func (r *Member) replace(now schedule.Microseconds, slot int, daemon Seat, patience schedule.Microseconds) bool {
	if !r.mayRebind() {
		return false
	}
	answering := 0
	for other, seat := range r.bindings.Seats {
		if other != slot && !seat.Vacant() && (other == r.Self || r.Absent(now, other) <= patience) {
			answering++
		}
	}
	if answering < r.majority() {
		return false
	}
	seat := Seat{}
	if r.bindings.Seats[slot].Vacant() {
		seat = daemon
	}
	other := follower{next: r.Base.Index + 1, sender: daemon, heard: now}
	if r.learner != nil && r.learner.sender == daemon {
		other.life = r.learner.life
	}
	r.others[slot] = other
	r.holder.Forget(slot)
	r.writeBindings(now, r.bindings.with(slot, seat))
	return true
}
