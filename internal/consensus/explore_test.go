package part_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/faulttest/simulation"
)

var walks = flag.Uint64("walks", 300, "number of random walks over the members of a group, for each size")

const (
	walkSteps = 4000
	mostOnWay = 400
	walkKeep  = 6
)

// walk is one random walk over the pure members of a group. Messages wait in a bag: each
// may be delivered at any later time, twice, or never, also after its sender has lost its
// disk; records may be unsynced when their member crashes.
type walk struct {
	chance  *rand.Rand
	now     schedule.Microseconds
	members []*walker
	onWay   []walkMessage
	// cut are two members between which nothing goes for now.
	cut [2]int
	// committed is what any member has ever known as committed.
	committed map[uint64]journal.Entry
	owners    map[uint64]string
	leases    []walkLease
	proposed  uint64
	wipes     int
	faults    []string
}

type walkMessage struct {
	part.Message
	at schedule.Microseconds
}

type walkLease struct {
	round uint64
	until schedule.Microseconds
}

type walker struct {
	*part.Member
	place    part.Place
	disk     *journal.Image
	unsynced []part.Output
}

func newWalk(seed uint64, slots int) *walk {
	walk := &walk{chance: rand.New(rand.NewPCG(seed, 7)), now: schedule.Second, committed: map[uint64]journal.Entry{}, owners: map[uint64]string{}}
	bindings := part.Bindings{}
	for slot := range slots {
		bindings.Seats = append(bindings.Seats, part.Seat{Identity: fmt.Sprint(slot), Name: fmt.Sprint(slot), Address: fmt.Sprint(slot)})
	}
	for slot := range slots {
		place := part.Place{
			Place: election.Place{Slots: slots, Self: slot, Delta: simulation.Delta}, Terms: simulation.Terms, Keep: walkKeep,
			Me: bindings.Seats[slot], Bindings: bindings,
		}
		walk.members = append(walk.members, &walker{place: place, disk: journal.NewImage()})
	}
	for slot := range slots {
		walk.start(slot, true)
	}
	return walk
}

func (r *walk) start(slot int, founding bool) {
	each := r.members[slot]
	each.place.Life++
	past := *each.disk.Past(0)
	past.Entries = append([]journal.Entry(nil), past.Entries...)
	member, output := part.Start(each.place, &simulation.Book{}, past, r.now, founding)
	each.Member, each.unsynced = member, nil
	r.carry(slot, output)
}

func (r *walk) carry(slot int, output part.Output) {
	each := r.members[slot]
	r.send(each, output.Urgent)
	each.unsynced = append(each.unsynced, output)
	if r.chance.IntN(4) > 0 {
		r.sync(slot)
	}
	r.check(each)
}

func (r *walk) send(from *walker, messages []part.Message) {
	for _, message := range messages {
		message.Sender = from.place.Me
		r.onWay = append(r.onWay, walkMessage{message, r.now})
	}
	for len(r.onWay) > mostOnWay {
		r.drop(r.chance.IntN(mostOnWay / 2))
	}
}

func (r *walk) drop(place int) {
	r.onWay = slices.Delete(r.onWay, place, place+1)
}

func (r *walk) sync(slot int) {
	each := r.members[slot]
	waiting := each.unsynced
	each.unsynced = nil
	for _, output := range waiting {
		for _, record := range output.Records {
			each.disk.Take(record)
		}
	}
	for _, output := range waiting {
		r.send(each, output.Held)
	}
}

func (r *walk) step(calm bool) {
	slot := r.chance.IntN(len(r.members))
	choice := r.chance.IntN(1000)
	switch {
	case choice < 880 && len(r.onWay) > 0:
		place := r.chance.IntN(len(r.onWay))
		if calm || r.chance.IntN(3) > 0 {
			place = max(0, len(r.onWay)-1-r.chance.IntN(8))
		}
		r.deliver(place, calm)
	case choice < 960:
		r.now += schedule.Microseconds(r.chance.Int64N(int64(simulation.Delta) / 4))
		r.carry(slot, r.members[slot].Wake(r.now))
	case choice < 985:
		r.proposed++
		_, _, _, output := r.members[slot].Propose(r.now, binary.LittleEndian.AppendUint64(nil, r.proposed))
		r.carry(slot, output)
	case calm:
		r.sync(slot)
	case choice < 992:
		r.start(slot, false)
	default:
		if slot = r.vouched(slot); !r.mayWipe(slot) {
			return
		}
		r.wipes++
		each := r.members[slot]
		each.disk = journal.NewImage()
		each.place.Me.Identity = fmt.Sprintf("%d-%d", slot, r.wipes)
		r.start(slot, false)
	}
}

// deliver takes a message out of the bag, or leaves a copy for later. What crosses the cut
// stays; so does, mostly, what a daemon has said that has lost its disk since. An
// election's message that is older than δ is dropped, as its receiver would.
func (r *walk) deliver(place int, calm bool) {
	message := r.onWay[place]
	between := message.From == r.cut[0] && message.To == r.cut[1] || message.From == r.cut[1] && message.To == r.cut[0]
	elects, former := message.Kind == part.Elect, message.Sender != r.members[message.From].place.Me
	if elects && (between || r.now-message.at > simulation.Delta) {
		r.drop(place)
		return
	}
	if between || former && r.chance.IntN(4) > 0 {
		return
	}
	if calm || elects || r.chance.IntN(8) > 0 {
		r.drop(place)
	}
	r.carry(message.To, r.members[message.To].Receive(r.now, message.Message))
}

// divide cuts two members off from each other, or heals the cut.
func (r *walk) divide() {
	r.cut = [2]int{-1, -1}
	if r.chance.IntN(3) > 0 {
		first := r.chance.IntN(len(r.members))
		r.cut = [2]int{first, (first + 1 + r.chance.IntN(len(r.members)-1)) % len(r.members)}
	}
}

// vouched is a member of whom a promise or an acceptance is still on its way.
func (r *walk) vouched(slot int) int {
	for _, message := range r.onWay {
		if message.Accepted && message.From != message.To && message.Sender == r.members[message.From].place.Me && r.chance.IntN(4) == 0 {
			return message.From
		}
	}
	return slot
}

// mayWipe keeps lost disks at a number that the group must bear.
func (r *walk) mayWipe(slot int) bool {
	lost := 0
	for place, each := range r.members {
		if place != slot && !each.disk.Past(0).Whole {
			lost++
		}
	}
	return lost < (len(r.members)-1)/2
}

func (r *walk) fault(format string, values ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, values...))
}

// check is what must hold in every state: committed entries stay, a round has one owner,
// and leases of two rounds never overlap.
func (r *walk) check(each *walker) {
	commit, _ := each.Current()
	for index := uint64(1); index <= commit; index++ {
		entry, held := each.Entry(index)
		if !held {
			continue
		}
		known, before := r.committed[index]
		switch {
		case !before:
			r.committed[index] = entry
		case known.Round != entry.Round || string(known.Data) != string(entry.Data):
			r.fault("entry %d of round %d and of round %d are both committed", index, known.Round, entry.Round)
		}
	}
	if !each.Owns() {
		return
	}
	_, round := each.Leader()
	if owner, known := r.owners[round]; known && owner != each.place.Me.Identity {
		r.fault("round %d is owned by %s and %s", round, owner, each.place.Me.Identity)
	}
	r.owners[round] = each.place.Me.Identity
	until := each.Holder().Until()
	if until <= r.now {
		return
	}
	for _, other := range r.leases {
		if other.round != round && other.until > r.now {
			r.fault("rounds %d and %d have leases at once", other.round, round)
		}
	}
	r.leases = append(r.leases, walkLease{round, until})
	if len(r.leases) > 64 {
		r.leases = r.leases[1:]
	}
}

// Groups of three and of five are walked at random: what is committed stays, each round
// has one owner, and leases don't overlap, whatever the order of messages, crashes and
// lost disks.
func TestRandomWalksKeepWhatIsCommitted(test *testing.T) {
	for _, slots := range []int{3, 5} {
		test.Run(fmt.Sprint(slots), func(test *testing.T) {
			commits, wipes, owners, faulty := 0, 0, 0, 0
			for seed := range *walks {
				walk := newWalk(seed, slots)
				for step := range walkSteps {
					if step%200 == 0 {
						walk.divide()
					}
					if walk.step(step%500 < 300); len(walk.faults) > 0 {
						break
					}
				}
				commits, wipes, owners = commits+len(walk.committed), wipes+walk.wipes, owners+len(walk.owners)
				if len(walk.faults) > 0 {
					if faulty++; faulty <= 5 {
						test.Errorf("seed %d: %v", seed, walk.faults)
					}
				}
			}
			test.Logf("%d walks, %d entries committed, %d owners, %d disks lost, %d walks with a fault", *walks, commits, owners, wipes, faulty)
			if commits < 10*int(*walks) || wipes < int(*walks) {
				test.Errorf("too little happened")
			}
		})
	}
}
