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
func (a *Book) Apply(operation []byte) []byte {
	a.Lines = append(a.Lines, binary.LittleEndian.Uint64(operation))
	return operation
}

// Snapshot is the whole book.
func (a *Book) Snapshot() []byte {
	var buffer bytes.Buffer
	_ = binary.Write(&buffer, binary.LittleEndian, a.Lines)
	return buffer.Bytes()
}

// Restore takes the whole book.
func (a *Book) Restore(snapshot []byte) {
	a.Lines = make([]uint64, len(snapshot)/8)
	_ = binary.Read(bytes.NewReader(snapshot), binary.LittleEndian, a.Lines)
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
func (s *Core) Clock() schedule.Microseconds {
	now := s.group.Now()
	return s.offset + now + schedule.Microseconds(float64(now)*s.drift)
}

// Start begins a new life with what the disk holds.
func (s *Core) Start(founding bool) {
	place := s.group.Place
	place.Self = s.slot
	s.life++
	place.Life, place.Me = s.life, place.Bindings.Seats[s.slot]
	if s.wipes > 0 {
		place.Me.Identity = fmt.Sprintf("%d-%d", s.slot, s.wipes)
	}
	s.wakePlanned = false
	s.alive, s.frozen, s.unsynced, s.pending, s.syncing = true, 0, nil, nil, false
	s.book, s.gauges, s.waiting = &Book{}, map[int]*link.Gauge{}, map[[2]uint64]uint64{}
	s.reads = nil
	for slot := range place.Slots {
		s.gauges[slot] = &link.Gauge{}
	}
	past := *s.disk.Past(0)
	past.Entries = append([]journal.Entry(nil), past.Entries...)
	member, output := part.Start(place, s.book, past, s.Clock(), founding)
	s.member = member
	s.carry(output)
	s.plan()
	s.seek(s.life)
}

// Kill ends a life; what was not synced is lost, but for a first few records at
// the most.
func (s *Core) Kill() {
	if !s.alive {
		return
	}
	s.alive = false
	for _, record := range s.unsynced[:s.group.Chance.IntN(len(s.unsynced)+1)] {
		s.disk.Take(record)
	}
	s.unsynced, s.pending = nil, nil
}

// Wipe loses the disk of a dead core.
func (s *Core) Wipe() {
	s.disk = journal.NewImage()
	s.wipes++
}

// Freeze stops a core without its knowing, its clock running on.
func (s *Core) Freeze(span schedule.Microseconds) {
	s.frozen = max(s.frozen, s.group.Now()+span)
}

// step runs an action inside a life of the core, after it thaws.
func (s *Core) step(life uint64, action func()) {
	switch {
	case !s.alive || s.life != life:
	case s.frozen > s.group.Now():
		s.group.After(s.frozen-s.group.Now(), func() { s.step(life, action) })
	default:
		action()
	}
}

func (s *Core) plan() {
	s.reseat()
	life, due := s.life, s.member.Next()
	span := max(due-s.Clock(), 100)
	at := s.group.Now() + span
	if s.wakePlanned && s.wakeAt <= at && s.wakeAt > s.group.Now() {
		return
	}
	s.wakePlanned, s.wakeAt = true, at
	s.group.After(span, func() {
		s.step(life, func() {
			s.wakePlanned = false
			s.member.Hold(s.syncing && s.group.Now()-s.syncBegan > 5*Delta)
			s.carry(s.member.Wake(s.Clock()))
			s.plan()
		})
	})
}

func (s *Core) carry(output part.Output) {
	s.noteOwner()
	for _, message := range output.Urgent {
		s.send(message)
	}
	if len(output.Later) > 0 {
		output.Records = append(output.Records, output.Later...)
	}
	if len(output.Records)+len(output.Held) > 0 {
		s.pending = append(s.pending, write{output.Records, output.Held})
		s.unsynced = append(s.unsynced, output.Records...)
		s.sync()
	}
	for _, result := range output.Results {
		key := [2]uint64{result.Index, result.Round}
		if value, known := s.waiting[key]; known {
			s.group.Acked[value] = true
			s.group.AckedAt[value] = s.group.Now()
			delete(s.waiting, key)
		}
	}
	if output.Lost {
		clear(s.waiting)
	}
	s.answerReads()
}

// noteOwner checks that a round has one owner ever, also when its slot changes hands.
func (s *Core) noteOwner() {
	if s.member == nil || !s.member.Owns() {
		return
	}
	_, round := s.member.Leader()
	identity, known := s.group.owners[round]
	if !known {
		s.group.owners[round] = s.member.Me.Identity
	} else if identity != s.member.Me.Identity {
		s.group.Violate("round %d is owned by %s and by %s", round, identity, s.member.Me.Identity)
	}
}

// sync gives the disk all that waits for it at once, as the journal does.
func (s *Core) sync() {
	if s.syncing || len(s.pending) == 0 {
		return
	}
	life, batch := s.life, s.pending
	s.syncing, s.pending = true, nil
	s.syncBegan = s.group.Now()
	s.group.After(max(s.group.Between(s.syncSpan/4, s.syncSpan), s.stallEnds-s.group.Now()), func() {
		if !s.alive || s.life != life {
			return
		}
		s.syncing = false
		for _, each := range batch {
			for _, record := range each.records {
				s.disk.Take(record)
			}
		}
		s.unsynced = nil
		for _, each := range s.pending {
			s.unsynced = append(s.unsynced, each.records...)
		}
		for _, each := range batch {
			s.step(life, func() { s.release(each.held) })
		}
		s.sync()
	})
}

func (s *Core) release(messages []part.Message) {
	for _, message := range messages {
		if message.To != s.slot {
			s.send(message)
			continue
		}
		s.carry(s.member.Receive(s.Clock(), message))
		s.plan()
	}
}

// send carries a message with its stamp; a core that does not know the other's
// clock asks for it first.
func (s *Core) send(message part.Message) {
	at, sent := s.Clock(), s.group.Now()
	if s.gauges[message.To].Stamp(at).Known {
		s.deliver(message, at, sent)
		return
	}
	to, life := s.group.Cores[message.To], s.life
	s.group.Send(s.slot, message.To, func() {
		to.step(to.life, func() {
			s.answered(life, to, func() { s.deliver(message, at, sent) })
		})
	})
}

// deliver has the receiver drop elections' messages that it judges older than δ,
// and show its clock in its answer.
func (s *Core) deliver(message part.Message, at, sent schedule.Microseconds) {
	group, to, life := s.group, s.group.Cores[message.To], s.life
	stamp := s.gauges[message.To].Stamp(at)
	group.Send(s.slot, message.To, func() {
		to.step(to.life, func() {
			echo := to.member.Echo()
			s.answered(life, to, func() {
				if message.Echoes() {
					s.carry(s.member.Echoed(s.Clock(), at, to.member.Me.Address, echo))
					s.plan()
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
			message.Sender = s.member.Me
			to.carry(to.member.Receive(to.Clock(), message))
			to.plan()
		})
	})
}

func (s *Core) answered(life uint64, to *Core, then func()) {
	reading := link.Reading{Incarnation: to.life, Clock: to.Clock()}
	s.group.Send(to.slot, s.slot, func() {
		s.step(life, func() {
			s.gauges[to.slot].Read(s.Clock(), reading)
			then()
		})
	})
}

// Propose has the core put a new line into the book, if it owns the part.
func (s *Core) Propose() {
	life := s.life
	s.step(life, func() {
		s.group.Asked++
		value := s.group.Asked
		index, round, accepted, output := s.member.Propose(s.Clock(), binary.LittleEndian.AppendUint64(nil, value))
		if accepted {
			s.waiting[[2]uint64{index, round}] = value
		}
		s.carry(output)
		s.plan()
	})
}
