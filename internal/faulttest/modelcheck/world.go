// Package explore searches the states of a small group of control daemons: the real
// pure machines of internal/part (with the election, the log and the lease inside) and
// internal/configuration, under a network, disks and timers that the search drives.
package explore

import (
	"fmt"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

// Options are the lengths and bounds of a search.
type Options struct {
	// Members have the seats at first; Newcomers have none.
	Members, Newcomers int
	Delta              schedule.Microseconds
	grant.Terms
	// Keep is how many applied entries a log keeps before it takes a snapshot.
	Keep int
	// InFlight is how many messages may be under way; beyond it the oldest is lost.
	InFlight int
	// Budget bounds the failures and orders of one path.
	Budget Budget
	// Contact is how long a member may say that it owns the part without having heard a
	// majority; zero leaves that unchecked.
	Contact schedule.Microseconds
	// HeedOlder has a daemon without a member take a seat also from older bindings than it
	// knows: the guard against that is taken out.
	HeedOlder bool
}

// Budget is how often each kind of event may stand in one path.
type Budget struct {
	Crashes, Wipes, Freezes, Cuts, Repeats, Orders, Reads, Seeks, Stalls int
}

// Standard are options for a group of so many members.
func Standard(members int) *Options {
	return &Options{
		Members: members, Newcomers: 1, Delta: 200 * schedule.Millisecond,
		Terms: grant.Terms{Lease: 3 * schedule.Second, Margin: 150 * schedule.Millisecond},
		Keep:  4, InFlight: 12, Contact: 800 * schedule.Millisecond,
		Budget: Budget{Crashes: 2, Wipes: 1, Freezes: 1, Cuts: 2, Repeats: 1, Orders: 2, Reads: 1, Seeks: 1, Stalls: 1},
	}
}

// write is one batch given to a disk, and what goes out once it is synced.
type write struct {
	records []journal.Record
	held    []part.Message
}

// proposal is an order that waits for its result.
type proposal struct {
	order Order
	// acknowledged is how many acknowledgements had been given when it began.
	acknowledged int
}

// reading is a read that waits until a majority has confirmed that its daemon leads.
type reading struct {
	part.Read
	acknowledged int
}

type position struct{ index, round uint64 }

// daemon is one control daemon with its disk.
type daemon struct {
	number  int
	seat    part.Seat
	life    uint64
	down    bool
	frozen  bool
	stalled bool
	wiped   bool
	member  *part.Member
	replica *replica
	// known are the last bindings that were seen.
	known   part.Bindings
	disk    *journal.Image
	pending []write
	waiting map[position]proposal
	reads   []reading
	// seeks is the name of the daemon whose seat this one is to have.
	seeks    string
	override bool
}

func (d *daemon) running() bool { return !d.down && !d.frozen }

// envelope is a message under way between two daemons.
type envelope struct {
	from, to int
	// life is the receiver's life when the message was sent, asker the sender's.
	life, asker uint64
	sent        schedule.Microseconds
	message     part.Message
	// echoes marks what a receiver's transport answers to a message sent at a moment.
	echoes bool
	echo   part.Echo
	asked  schedule.Microseconds
}

// World is one state of the search.
type World struct {
	Now        schedule.Microseconds
	options    *Options
	daemons    []*daemon
	network    []envelope
	cuts       map[[2]int]bool
	left       Budget
	sendings   int
	history    *version
	watch      watch
	Violations []string
	path       *path
}

// path is the list of events that led to a state, last first.
type path struct {
	event  Event
	before *path
}

// New founds a group.
func New(options *Options) *World {
	world := &World{
		Now: 1000 * schedule.Second, options: options, left: options.Budget, cuts: map[[2]int]bool{}, history: newHistory(),
		watch: newWatch(),
	}
	founding := part.Bindings{}
	for number := range options.Members + options.Newcomers {
		name := fmt.Sprint(number)
		each := &daemon{number: number, seat: part.Seat{Identity: name, Name: name, Address: name}, disk: journal.NewImage()}
		world.daemons = append(world.daemons, each)
		if number < options.Members {
			founding.Seats = append(founding.Seats, each.seat)
		}
	}
	for _, each := range world.daemons {
		each.known = founding
		world.begin(each, founding, true)
	}
	return world
}

func (s *World) clone() *World { return duplicate(s) }

// begin starts the member that the bindings give to a daemon, if any, as a shard of a
// core does.
func (s *World) begin(daemon *daemon, bindings part.Bindings, founding bool) {
	past := *daemon.disk.Past(0)
	past.Entries = append([]journal.Entry(nil), past.Entries...)
	if held, read := part.LastBindings(past); read && held.Epoch >= bindings.Epoch {
		bindings = held
	}
	daemon.known, daemon.member = bindings, nil
	daemon.waiting = map[position]proposal{}
	daemon.replica = &replica{s.history}
	slot := bindings.Slot(daemon.seat)
	if slot < 0 {
		return
	}
	daemon.life++
	place := part.Place{
		Place: election.Place{Slots: s.options.Members, Self: slot, Delta: s.options.Delta}, Terms: s.options.Terms,
		Keep: s.options.Keep, Life: uint64(daemon.number+1)<<16 + daemon.life, Me: daemon.seat, Bindings: bindings,
	}
	member, output := part.Start(place, daemon.replica, past, s.Now, founding)
	daemon.member = member
	s.carry(daemon, output)
}

// carry does what a step of a member asks for, and ends a member whose seat is another's.
func (s *World) carry(daemon *daemon, output part.Output) {
	daemon.known = daemon.member.Bindings()
	slot := daemon.member.Self
	for _, message := range output.Urgent {
		s.post(daemon, message)
	}
	if len(output.Records)+len(output.Held) > 0 {
		daemon.pending = append(daemon.pending, write{output.Records, output.Held})
	}
	if len(output.Later) > 0 {
		daemon.pending = append(daemon.pending, write{records: output.Later})
	}
	s.settle(daemon, output)
	if daemon.member.Slots != len(daemon.known.Seats) || daemon.known.Slot(daemon.seat) != slot {
		daemon.member, daemon.waiting = nil, map[position]proposal{}
	}
	s.judge(daemon)
}

// judge answers the reads that a majority has confirmed: they must show all that was
// acknowledged before they began.
func (s *World) judge(daemon *daemon) {
	waiting := daemon.reads
	daemon.reads = nil
	for _, read := range waiting {
		state := part.ReadLost
		if daemon.member != nil {
			state = daemon.member.Judge(s.Now, read.Read)
		}
		switch state {
		case part.ReadReady:
			s.shown(daemon, read)
		case part.ReadWaits:
			daemon.reads = append(daemon.reads, read)
		}
	}
}

// post puts a message under way to whoever has the seat, as the sender knows.
func (s *World) post(daemon *daemon, message part.Message) {
	seat := daemon.known.Seats[message.To]
	if seat.Vacant() || seat.Address == daemon.seat.Address {
		return
	}
	for _, to := range s.daemons {
		if to.seat.Address == seat.Address {
			s.network = append(s.network, envelope{from: daemon.number, to: to.number, life: to.life, asker: daemon.life, sent: s.Now, message: message})
		}
	}
	if len(s.network) > s.options.InFlight {
		s.network = s.network[1:]
	}
}

// receive hands over a message; one of an election that is older than δ, or was sent to
// an earlier life, is dropped as the daemons do.
func (s *World) receive(each envelope) {
	to, message := s.daemons[each.to], each.message
	if to.down || to.member == nil {
		return
	}
	if each.echoes {
		if each.life == to.life {
			s.hear(to, each)
			s.carry(to, to.member.Echoed(s.Now, each.asked, s.daemons[each.from].seat.Address, each.echo))
		}
		return
	}
	if message.Echoes() {
		s.network = append(s.network, envelope{
			from: each.to, to: each.from, life: each.asker, sent: s.Now, echoes: true, echo: to.member.Echo(), asked: each.sent,
		})
	}
	if message.Kind == part.Confirm {
		return
	}
	if message.Kind == part.Elect && (s.Now-each.sent > s.options.Delta || each.life != to.life) {
		return
	}
	message.Sender = s.daemons[each.from].seat
	s.hear(to, each)
	s.carry(to, to.member.Receive(s.Now, message))
}

// sync makes the oldest batch of a daemon durable, and sends what waited for it.
func (s *World) sync(daemon *daemon) {
	batch := daemon.pending[0]
	daemon.pending = daemon.pending[1:]
	for _, record := range batch.records {
		daemon.disk.Take(record)
	}
	if daemon.disk.Past(0).Whole {
		daemon.wiped = false
	}
	for _, message := range batch.held {
		if daemon.member == nil {
			return
		}
		if message.To != daemon.member.Self {
			s.post(daemon, message)
			continue
		}
		s.carry(daemon, daemon.member.Receive(s.Now, message))
	}
}

// wake lets the time of all daemons that run pass.
func (s *World) wake() {
	for _, each := range s.daemons {
		if each.running() && each.member != nil {
			each.member.Hold(each.stalled)
			s.carry(each, each.member.Wake(s.Now))
		}
	}
}

// crash ends a life; of what was not synced the first batches may be on the disk.
func (s *World) crash(daemon *daemon, kept int) {
	for _, batch := range daemon.pending[:min(kept, len(daemon.pending))] {
		for _, record := range batch.records {
			daemon.disk.Take(record)
		}
	}
	daemon.down, daemon.frozen, daemon.stalled = true, false, false
	daemon.member, daemon.pending, daemon.waiting, daemon.reads = nil, nil, nil, nil
	daemon.life++
}

// ask has a daemon ask another for a seat and for the bindings, as internal/core does.
func (s *World) ask(daemon, other *daemon) {
	if daemon.seeks != "" && daemon.member == nil {
		s.enrol(other, daemon)
	}
	bindings := other.known
	slot := bindings.Slot(daemon.seat)
	switch {
	case bindings.Epoch < daemon.known.Epoch && !s.options.HeedOlder:
	case bindings.Epoch <= daemon.known.Epoch && (daemon.member != nil || slot < 0):
	case daemon.member == nil && slot >= 0:
		s.begin(daemon, bindings, false)
	case daemon.member == nil:
		daemon.known = bindings
	case slot < 0:
		daemon.member, daemon.known, daemon.waiting = nil, bindings, map[position]proposal{}
	}
}

// enrol gives a seat to a daemon that has none, if the one that is asked owns the part.
func (s *World) enrol(owner, newcomer *daemon) {
	if owner.member == nil || !owner.member.Owns() {
		return
	}
	slot, bindings := -1, owner.member.Bindings()
	for place, seat := range bindings.Seats {
		if seat.Vacant() || seat.Name == newcomer.seeks {
			slot = place
		}
	}
	if slot < 0 || !bindings.Seats[slot].Vacant() && !newcomer.override && owner.member.Absent(s.Now, slot) < s.options.Lease {
		return
	}
	_, output := owner.member.Replace(s.Now, slot, newcomer.seat, s.options.Lease)
	s.carry(owner, output)
}

// read begins a read at a daemon that owns the part.
func (s *World) read(daemon *daemon) {
	begun, owns, output := daemon.member.BeginRead(s.Now)
	if !owns {
		return
	}
	daemon.reads = append(daemon.reads, reading{begun, len(s.watch.acknowledged)})
	s.carry(daemon, output)
}

// propose sends an order to a daemon; only an owner takes it.
func (s *World) propose(daemon *daemon, order Order) {
	s.sendings++
	asked := proposal{order, len(s.watch.acknowledged)}
	index, round, accepted, output := daemon.member.Propose(s.Now, order.encode(s.sendings))
	if !accepted {
		return
	}
	daemon.waiting[position{index, round}] = asked
	s.carry(daemon, output)
}

// settle takes the results of a step.
func (s *World) settle(daemon *daemon, output part.Output) {
	for _, result := range output.Results {
		place := position{result.Index, result.Round}
		if asked, known := daemon.waiting[place]; known {
			delete(daemon.waiting, place)
			s.answer(daemon, asked, result)
		}
	}
	if output.Lost {
		clear(daemon.waiting)
	}
}
