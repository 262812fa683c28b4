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

func (walk *walk) start(slot int, founding bool) {
	each := walk.members[slot]
	each.place.Life++
	past := *each.disk.Past(0)
	past.Entries = append([]journal.Entry(nil), past.Entries...)
	member, output := part.Start(each.place, &simulation.Book{}, past, walk.now, founding)
	each.Member, each.unsynced = member, nil
	walk.carry(slot, output)
}

func (walk *walk) carry(slot int, output part.Output) {
	each := walk.members[slot]
	walk.send(each, output.Urgent)
	each.unsynced = append(each.unsynced, output)
	if walk.chance.IntN(4) > 0 {
		walk.sync(slot)
	}
	walk.check(each)
}

func (walk *walk) send(from *walker, messages []part.Message) {
	for _, message := range messages {
		message.Sender = from.place.Me
		walk.onWay = append(walk.onWay, walkMessage{message, walk.now})
	}
	for len(walk.onWay) > mostOnWay {
		walk.drop(walk.chance.IntN(mostOnWay / 2))
	}
}

func (walk *walk) drop(place int) {
	walk.onWay = slices.Delete(walk.onWay, place, place+1)
}

func (walk *walk) sync(slot int) {
	each := walk.members[slot]
	waiting := each.unsynced
	each.unsynced = nil
	for _, output := range waiting {
		for _, record := range output.Records {
			each.disk.Take(record)
		}
	}
	for _, output := range waiting {
		walk.send(each, output.Held)
	}
}

func (walk *walk) step(calm bool) {
	slot := walk.chance.IntN(len(walk.members))
	choice := walk.chance.IntN(1000)
	switch {
	case choice < 880 && len(walk.onWay) > 0:
		place := walk.chance.IntN(len(walk.onWay))
		if calm || walk.chance.IntN(3) > 0 {
			place = max(0, len(walk.onWay)-1-walk.chance.IntN(8))
		}
		walk.deliver(place, calm)
	case choice < 960:
		walk.now += schedule.Microseconds(walk.chance.Int64N(int64(simulation.Delta) / 4))
		walk.carry(slot, walk.members[slot].Wake(walk.now))
	case choice < 985:
		walk.proposed++
		_, _, _, output := walk.members[slot].Propose(walk.now, binary.LittleEndian.AppendUint64(nil, walk.proposed))
		walk.carry(slot, output)
	case calm:
		walk.sync(slot)
	case choice < 992:
		walk.start(slot, false)
	default:
		if slot = walk.vouched(slot); !walk.mayWipe(slot) {
			return
		}
		walk.wipes++
		each := walk.members[slot]
		each.disk = journal.NewImage()
		each.place.Me.Identity = fmt.Sprintf("%d-%d", slot, walk.wipes)
		walk.start(slot, false)
	}
}

// deliver takes a message out of the bag, or leaves a copy for later. What crosses the cut
// stays; so does, mostly, what a daemon has said that has lost its disk since. An
// election's message that is older than δ is dropped, as its receiver would.
func (walk *walk) deliver(place int, calm bool) {
	message := walk.onWay[place]
	between := message.From == walk.cut[0] && message.To == walk.cut[1] || message.From == walk.cut[1] && message.To == walk.cut[0]
	elects, former := message.Kind == part.Elect, message.Sender != walk.members[message.From].place.Me
	if elects && (between || walk.now-message.at > simulation.Delta) {
		walk.drop(place)
		return
	}
	if between || former && walk.chance.IntN(4) > 0 {
		return
	}
	if calm || elects || walk.chance.IntN(8) > 0 {
		walk.drop(place)
	}
	walk.carry(message.To, walk.members[message.To].Receive(walk.now, message.Message))
}

// divide cuts two members off from each other, or heals the cut.
func (walk *walk) divide() {
	walk.cut = [2]int{-1, -1}
	if walk.chance.IntN(3) > 0 {
		first := walk.chance.IntN(len(walk.members))
		walk.cut = [2]int{first, (first + 1 + walk.chance.IntN(len(walk.members)-1)) % len(walk.members)}
	}
}

// vouched is a member of whom a promise or an acceptance is still on its way.
func (walk *walk) vouched(slot int) int {
	for _, message := range walk.onWay {
		if message.Accepted && message.From != message.To && message.Sender == walk.members[message.From].place.Me && walk.chance.IntN(4) == 0 {
			return message.From
		}
	}
	return slot
}

// mayWipe keeps lost disks at a number that the group must bear.
func (walk *walk) mayWipe(slot int) bool {
	lost := 0
	for place, each := range walk.members {
		if place != slot && !each.disk.Past(0).Whole {
			lost++
		}
	}
	return lost < (len(walk.members)-1)/2
}

func (walk *walk) fault(format string, values ...any) {
	walk.faults = append(walk.faults, fmt.Sprintf(format, values...))
}

// check is what must hold in every state: committed entries stay, a round has one owner,
// and leases of two rounds never overlap.
func (walk *walk) check(each *walker) {
	commit, _ := each.Current()
	for index := uint64(1); index <= commit; index++ {
		entry, held := each.Entry(index)
		if !held {
			continue
		}
		known, before := walk.committed[index]
		switch {
		case !before:
			walk.committed[index] = entry
		case known.Round != entry.Round || string(known.Data) != string(entry.Data):
			walk.fault("entry %d of round %d and of round %d are both committed", index, known.Round, entry.Round)
		}
	}
	if !each.Owns() {
		return
	}
	_, round := each.Leader()
	if owner, known := walk.owners[round]; known && owner != each.place.Me.Identity {
		walk.fault("round %d is owned by %s and %s", round, owner, each.place.Me.Identity)
	}
	walk.owners[round] = each.place.Me.Identity
	until := each.Holder().Until()
	if until <= walk.now {
		return
	}
	for _, other := range walk.leases {
		if other.round != round && other.until > walk.now {
			walk.fault("rounds %d and %d have leases at once", other.round, round)
		}
	}
	walk.leases = append(walk.leases, walkLease{round, until})
	if len(walk.leases) > 64 {
		walk.leases = walk.leases[1:]
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
