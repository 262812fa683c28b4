package simulation

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/messageage"
	"coursepass/internal/consensus/wal"
)

// Book is the state of the simulated part: all operations ever applied, in order.
type Book struct{ Lines []uint64 }

// Apply adds a line once.
func (book *Book) Apply(operation []byte) []byte {
	book.Lines = append(book.Lines, binary.LittleEndian.Uint64(operation))
	return operation
}

// Snapshot is the whole book.
func (book *Book) Snapshot() []byte {
	var buffer bytes.Buffer
	_ = binary.Write(&buffer, binary.LittleEndian, book.Lines)
	return buffer.Bytes()
}

// Restore takes the whole book.
func (book *Book) Restore(snapshot []byte) {
	book.Lines = make([]uint64, len(snapshot)/8)
	_ = binary.Read(bytes.NewReader(snapshot), binary.LittleEndian, book.Lines)
}

type write struct {
	records []journal.Record
	held    []part.Message
}

// Core is one simulated control daemon with one part.
type Core struct {
	group *Group
	slot  int
	life  uint64
	// wipes counts lost disks: each empty one gets an identity of its own.
	wipes       int
	alive       bool
	frozen      schedule.Microseconds
	offset      schedule.Microseconds
	drift       float64
	member      *part.Member
	book        *Book
	disk        *journal.Image
	unsynced    []journal.Record
	pending     []write
	syncing     bool
	syncSpan    schedule.Microseconds
	syncBegan   schedule.Microseconds
	stallEnds   schedule.Microseconds
	gauges      map[int]*link.Gauge
	waiting     map[[2]uint64]uint64
	reads       []pendingRead
	wakeAt      schedule.Microseconds
	wakePlanned bool
}

// Group is all cores of one part.
type Group struct {
	*Network
	part.Place
	Cores []*Core
	Acked map[uint64]bool
	Asked uint64
	// AckedAt is when each line was acknowledged, by true time.
	AckedAt map[uint64]schedule.Microseconds
	Late    int
	// Read counts the reads that were answered, and ReadLost those that could not be.
	Read, ReadLost int
	// owners are the identities that have owned a round.
	owners map[uint64]string
}

// Terms of simulated groups: δ 200 ms, lease-ms 3000.
var (
	Delta = 200 * schedule.Millisecond
	Terms = grant.Terms{Lease: 3 * schedule.Second, Margin: 150 * schedule.Millisecond}
)

// NewGroup founds a group of so many cores.
func NewGroup(network *Network, slots int) *Group {
	group := &Group{
		Network: network, Acked: map[uint64]bool{}, AckedAt: map[uint64]schedule.Microseconds{}, owners: map[uint64]string{},
		Place: part.Place{Place: election.Place{Slots: slots, Delta: Delta}, Terms: Terms, Keep: 24, Piece: 256},
	}
	for slot := range slots {
		group.Bindings.Seats = append(group.Bindings.Seats, part.Seat{Identity: fmt.Sprint(slot), Name: fmt.Sprint(slot), Address: fmt.Sprint(slot)})
	}
	for slot := range slots {
		core := &Core{
			group: group, slot: slot, disk: journal.NewImage(), syncSpan: 2 * schedule.Millisecond,
			offset: network.Between(schedule.Second, 1000*schedule.Second),
		}
		group.Cores = append(group.Cores, core)
	}
	for _, core := range group.Cores {
		core.Start(true)
	}
	return group
}

// Clock is what the core's own monotonic clock shows.
func (core *Core) Clock() schedule.Microseconds {
	now := core.group.Now()
	return core.offset + now + schedule.Microseconds(float64(now)*core.drift)
}

// Start begins a new life with what the disk holds.
func (core *Core) Start(founding bool) {
	place := core.group.Place
	place.Self = core.slot
	core.life++
	place.Life, place.Me = core.life, place.Bindings.Seats[core.slot]
	if core.wipes > 0 {
		place.Me.Identity = fmt.Sprintf("%d-%d", core.slot, core.wipes)
	}
	core.wakePlanned = false
	core.alive, core.frozen, core.unsynced, core.pending, core.syncing = true, 0, nil, nil, false
	core.book, core.gauges, core.waiting = &Book{}, map[int]*link.Gauge{}, map[[2]uint64]uint64{}
	core.reads = nil
	for slot := range place.Slots {
		core.gauges[slot] = &link.Gauge{}
	}
	past := *core.disk.Past(0)
	past.Entries = append([]journal.Entry(nil), past.Entries...)
	member, output := part.Start(place, core.book, past, core.Clock(), founding)
	core.member = member
	core.carry(output)
	core.plan()
	core.seek(core.life)
}

// Kill ends a life; what was not synced is lost, but for a first few records at
// the most.
func (core *Core) Kill() {
	if !core.alive {
		return
	}
	core.alive = false
	for _, record := range core.unsynced[:core.group.Chance.IntN(len(core.unsynced)+1)] {
		core.disk.Take(record)
	}
	core.unsynced, core.pending = nil, nil
}

// Wipe loses the disk of a dead core.
func (core *Core) Wipe() {
	core.disk = journal.NewImage()
	core.wipes++
}

// Freeze stops a core without its knowing, its clock running on.
func (core *Core) Freeze(span schedule.Microseconds) {
	core.frozen = max(core.frozen, core.group.Now()+span)
}

// step runs an action inside a life of the core, after it thaws.
func (core *Core) step(life uint64, action func()) {
	switch {
	case !core.alive || core.life != life:
	case core.frozen > core.group.Now():
		core.group.After(core.frozen-core.group.Now(), func() { core.step(life, action) })
	default:
		action()
	}
}

func (core *Core) plan() {
	core.reseat()
	life, due := core.life, core.member.Next()
	span := max(due-core.Clock(), 100)
	at := core.group.Now() + span
	if core.wakePlanned && core.wakeAt <= at && core.wakeAt > core.group.Now() {
		return
	}
	core.wakePlanned, core.wakeAt = true, at
	core.group.After(span, func() {
		core.step(life, func() {
			core.wakePlanned = false
			core.member.Hold(core.syncing && core.group.Now()-core.syncBegan > 5*Delta)
			core.carry(core.member.Wake(core.Clock()))
			core.plan()
		})
	})
}

func (core *Core) carry(output part.Output) {
	core.noteOwner()
	for _, message := range output.Urgent {
		core.send(message)
	}
	if len(output.Later) > 0 {
		output.Records = append(output.Records, output.Later...)
	}
	if len(output.Records)+len(output.Held) > 0 {
		core.pending = append(core.pending, write{output.Records, output.Held})
		core.unsynced = append(core.unsynced, output.Records...)
		core.sync()
	}
	for _, result := range output.Results {
		key := [2]uint64{result.Index, result.Round}
		if value, known := core.waiting[key]; known {
			core.group.Acked[value] = true
			core.group.AckedAt[value] = core.group.Now()
			delete(core.waiting, key)
		}
	}
	if output.Lost {
		clear(core.waiting)
	}
	core.answerReads()
}

// noteOwner checks that a round has one owner ever, also when its slot changes hands.
func (core *Core) noteOwner() {
	if core.member == nil || !core.member.Owns() {
		return
	}
	_, round := core.member.Leader()
	identity, known := core.group.owners[round]
	if !known {
		core.group.owners[round] = core.member.Me.Identity
	} else if identity != core.member.Me.Identity {
		core.group.Violate("round %d is owned by %s and by %s", round, identity, core.member.Me.Identity)
	}
}

// sync gives the disk all that waits for it at once, as the journal does.
func (core *Core) sync() {
	if core.syncing || len(core.pending) == 0 {
		return
	}
	life, batch := core.life, core.pending
	core.syncing, core.pending = true, nil
	core.syncBegan = core.group.Now()
	core.group.After(max(core.group.Between(core.syncSpan/4, core.syncSpan), core.stallEnds-core.group.Now()), func() {
		if !core.alive || core.life != life {
			return
		}
		core.syncing = false
		for _, each := range batch {
			for _, record := range each.records {
				core.disk.Take(record)
			}
		}
		core.unsynced = nil
		for _, each := range core.pending {
			core.unsynced = append(core.unsynced, each.records...)
		}
		for _, each := range batch {
			core.step(life, func() { core.release(each.held) })
		}
		core.sync()
	})
}

func (core *Core) release(messages []part.Message) {
	for _, message := range messages {
		if message.To != core.slot {
			core.send(message)
			continue
		}
		core.carry(core.member.Receive(core.Clock(), message))
		core.plan()
	}
}

// send carries a message with its stamp; a core that does not know the other's
// clock asks for it first.
func (core *Core) send(message part.Message) {
	at, sent := core.Clock(), core.group.Now()
	if core.gauges[message.To].Stamp(at).Known {
		core.deliver(message, at, sent)
		return
	}
	to, life := core.group.Cores[message.To], core.life
	core.group.Send(core.slot, message.To, func() {
		to.step(to.life, func() {
			core.answered(life, to, func() { core.deliver(message, at, sent) })
		})
	})
}

// deliver has the receiver drop elections' messages that it judges older than δ,
// and show its clock in its answer.
func (core *Core) deliver(message part.Message, at, sent schedule.Microseconds) {
	group, to, life := core.group, core.group.Cores[message.To], core.life
	stamp := core.gauges[message.To].Stamp(at)
	group.Send(core.slot, message.To, func() {
		to.step(to.life, func() {
			echo := to.member.Echo()
			core.answered(life, to, func() {
				if message.Echoes() {
					core.carry(core.member.Echoed(core.Clock(), at, to.member.Me.Address, echo))
					core.plan()
				}
			})
			age, judged := stamp.Age(to.Clock(), to.life)
			if message.Kind == part.Elect {
				if !judged || age > Delta {
					group.Late++
					return
				}
				if true := group.Now() - sent; true > Delta+Delta/1000 {
					group.Violate("a message of %d µs passed as young", true)
				}
			}
			message.Sender = core.member.Me
			to.carry(to.member.Receive(to.Clock(), message))
			to.plan()
		})
	})
}

func (core *Core) answered(life uint64, to *Core, then func()) {
	reading := link.Reading{Incarnation: to.life, Clock: to.Clock()}
	core.group.Send(to.slot, core.slot, func() {
		core.step(life, func() {
			core.gauges[to.slot].Read(core.Clock(), reading)
			then()
		})
	})
}

// Propose has the core put a new line into the book, if it owns the part.
func (core *Core) Propose() {
	life := core.life
	core.step(life, func() {
		core.group.Asked++
		value := core.group.Asked
		index, round, accepted, output := core.member.Propose(core.Clock(), binary.LittleEndian.AppendUint64(nil, value))
		if accepted {
			core.waiting[[2]uint64{index, round}] = value
		}
		core.carry(output)
		core.plan()
	})
}
