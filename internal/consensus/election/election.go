// Package election is the stable leader election of Aguilera, Delporte-Gallet,
// Fauconnier and Toueg (Fig. 4 with the ping step of Fig. 5) as one pure state
// machine: messages and the time go in, messages and the next wake-up come out.
package election

import "coursepass/internal/clock"

// Kind is the paper's name of a message.
type Kind uint8

// The paper's messages.
const (
	OK Kind = iota + 1
	START
	ALERT
	PING
	PONG
)

// Nobody is the paper's ⊥.
const Nobody = -1

// Message is one of the paper's messages with its round.
type Message struct {
	Kind  Kind
	Round uint64
}

// Send is a message for one slot.
type Send struct {
	To int
	Message
}

// Place says who a machine is among how many, and its δ. Quorum is how many slots, itself
// included, must have answered a PING before a machine leaves its round, and must have
// answered its OKs lately for it to stay a candidate; with 0 or 1 it is the paper's machine.
type Place struct {
	Slots  int
	Self   int
	Quorum int
	Delta  schedule.Microseconds
}

type alert struct {
	round uint64
	at    schedule.Microseconds
}

// Machine is the election at one slot.
type Machine struct {
	Place
	round     uint64
	leader    int
	bar       uint64
	barred    bool
	held      bool
	okays     int
	alerts    []alert
	restarted schedule.Microseconds
	stepped   schedule.Microseconds
	beaten    schedule.Microseconds
	hasBeaten bool
	asking    bool
	askedAt   schedule.Microseconds
	answered  map[int]bool
	warned    bool
	isolation *isolation
	contact   contact
	sends     []Send
}

// Start begins at a first round, as the paper's initialization. A restarted
// machine counts its own waking as an alert, and is barred from leading any
// round up to its bar, since it may have led there before.
func Start(place Place, now schedule.Microseconds, first uint64, restarted bool) (*Machine, []Send) {
	machine := &Machine{Place: place, leader: Nobody, stepped: now}
	if restarted {
		machine.bar, machine.barred = first, true
		machine.alerts = append(machine.alerts, alert{round: ^uint64(0), at: now})
	}
	machine.startRound(first, now)
	machine.beat(now)
	return machine, machine.take()
}

// Candidate is the slot that a round belongs to.
func (place Place) Candidate(round uint64) int { return int(round % uint64(place.Slots)) }

// Leader is the current output and its round; Nobody while there is none.
func (machine *Machine) Leader() (int, uint64) { return machine.leader, machine.round }

// Bar keeps this machine from leading any round up to this one.
func (machine *Machine) Bar(round uint64) {
	if !machine.barred || round > machine.bar {
		machine.bar, machine.barred = round, true
	}
}

// Lift takes the bar away again.
func (machine *Machine) Lift() { machine.barred = false }

// Hold keeps this machine from being a candidate for as long as its own disk does not
// finish what it was given: it sends no OK and no PONG, and at once starts the round of
// another. This is an exception to the paper.
func (machine *Machine) Hold(held bool) { machine.held = held }

func (machine *Machine) mayLead(round uint64) bool {
	return machine.Candidate(round) == machine.Self && !machine.held && !machine.contact.lost && !(machine.barred && round <= machine.bar)
}

func (machine *Machine) take() []Send {
	sends := machine.sends
	machine.sends = nil
	return sends
}

func (machine *Machine) all(message Message) {
	for slot := range machine.Slots {
		if slot != machine.Self {
			machine.sends = append(machine.sends, Send{To: slot, Message: message})
		}
	}
}

func (machine *Machine) startRound(round uint64, now schedule.Microseconds) {
	machine.all(Message{ALERT, round})
	if machine.Candidate(round) != machine.Self {
		machine.all(Message{START, round})
	}
	machine.round = round
	machine.leader = Nobody
	machine.okays = 0
	machine.hasBeaten = false
	machine.asking = false
	machine.isolation = nil
	machine.restarted = now
	machine.contact.begin(machine.Slots, now)
}

func (machine *Machine) hearAlert(round uint64, now schedule.Microseconds) {
	kept := machine.alerts[:0]
	for _, earlier := range machine.alerts {
		if earlier.round > round && now-earlier.at <= 6*machine.Delta {
			kept = append(kept, earlier)
		}
	}
	machine.alerts = append(kept, alert{round, now})
	if round > machine.round {
		machine.leader = Nobody
	}
}

func (machine *Machine) alerted(now schedule.Microseconds) bool {
	for _, heard := range machine.alerts {
		if heard.round > machine.round && now-heard.at <= 6*machine.Delta {
			return true
		}
	}
	return false
}

func (machine *Machine) hearOkay(now schedule.Microseconds) {
	machine.okays++
	machine.restarted = now
	if machine.leader == Nobody && machine.okays >= 2 && !machine.alerted(now) {
		machine.leader = machine.Candidate(machine.round)
	}
}

func (machine *Machine) beat(now schedule.Microseconds) {
	if !machine.mayLead(machine.round) || machine.hasBeaten && now-machine.beaten < machine.Delta {
		return
	}
	machine.hasBeaten, machine.beaten = true, now
	machine.all(Message{OK, machine.round})
	machine.hearOkay(now)
}

// A machine that was frozen did not count the time that it slept.
func (machine *Machine) thaw(now schedule.Microseconds) {
	if slept := now - machine.stepped - machine.Delta; slept > 0 {
		machine.restarted += slept
		machine.askedAt += slept
	}
	machine.stepped = now
}

// Receive takes a message that is not older than δ from another slot.
func (machine *Machine) Receive(now schedule.Microseconds, from int, message Message) []Send {
	machine.thaw(now)
	if from < 0 || from >= machine.Slots || from == machine.Self {
		return nil
	}
	switch message.Kind {
	case OK, START:
		if message.Kind == OK && machine.Candidate(message.Round) != from {
			return nil
		}
		switch {
		case message.Round > machine.round:
			machine.startRound(message.Round, now)
			if message.Kind == OK {
				machine.okays = 1
			}
		case message.Round < machine.round:
			machine.sends = append(machine.sends, Send{from, Message{START, machine.round}})
		case message.Kind == OK:
			machine.rejoin(now)
			machine.hearOkay(now)
		}
	case ALERT:
		machine.hearAlert(message.Round, now)
	case PING:
		machine.hearPing(from, message.Round)
	case PONG:
		machine.hearPong(now, from, message.Round)
	}
	machine.step(now)
	return machine.take()
}

// Wake lets time pass. It is due at Next.
func (machine *Machine) Wake(now schedule.Microseconds) []Send {
	machine.thaw(now)
	machine.step(now)
	return machine.take()
}

func (machine *Machine) step(now schedule.Microseconds) {
	machine.watchContact(now)
	if machine.isolation != nil {
		machine.seekQuorum(now)
	}
	switch {
	case machine.asking && now-machine.askedAt >= 2*machine.Delta:
		machine.conclude(now)
	case !machine.asking && (now-machine.restarted > 2*machine.Delta || machine.mute()):
		machine.ask(now)
	}
	machine.beat(now)
}

// ask begins the ping step. A machine without a quorum's answers does not.
func (machine *Machine) ask(now schedule.Microseconds) {
	if machine.isolation != nil {
		return
	}
	machine.asking, machine.askedAt, machine.warned = true, now, false
	machine.answered = map[int]bool{machine.Self: true}
	machine.leader = Nobody
	machine.warn(now)
	machine.all(Message{PING, machine.round})
}

// warn sends the ALERT of the ping step as soon as a quorum has answered the PING.
func (machine *Machine) warn(now schedule.Microseconds) {
	if machine.warned || len(machine.answered) < machine.Quorum {
		return
	}
	machine.warned = true
	machine.all(Message{ALERT, machine.round + 1})
	machine.hearAlert(machine.round+1, now)
}

// conclude ends the ping step: with the next round whose candidate has answered, or in the
// same round, isolated, if less than a quorum has answered.
func (machine *Machine) conclude(now schedule.Microseconds) {
	if len(machine.answered) >= machine.Quorum {
		machine.startRound(machine.nextAnswered(), now)
		return
	}
	machine.isolate(now)
}

func (machine *Machine) hearPing(from int, round uint64) {
	switch {
	case machine.Quorum > 1 && round < machine.round:
		machine.sends = append(machine.sends, Send{from, Message{START, machine.round}})
	case !machine.held && !machine.contact.lost:
		machine.sends = append(machine.sends, Send{from, Message{PONG, round}})
	}
}

func (machine *Machine) hearPong(now schedule.Microseconds, from int, round uint64) {
	switch {
	case round != machine.round:
	case machine.isolation != nil:
		machine.isolation.heard[from] = now
	case machine.asking:
		machine.answered[from] = true
		machine.warn(now)
	}
}

func (machine *Machine) mute() bool {
	return machine.Candidate(machine.round) == machine.Self && !machine.mayLead(machine.round)
}

func (machine *Machine) nextAnswered() uint64 {
	for round := machine.round + 1; ; round++ {
		if candidate := machine.Candidate(round); machine.answered[candidate] {
			if candidate != machine.Self || machine.mayLead(round) || len(machine.answered) == 1 {
				return round
			}
		}
	}
}

// Next is when the machine wants to be woken.
func (machine *Machine) Next() schedule.Microseconds {
	next := machine.restarted + 2*machine.Delta + 1
	switch {
	case machine.isolation != nil:
		next = machine.isolation.asked + machine.Delta
	case machine.asking:
		next = machine.askedAt + 2*machine.Delta
	}
	if machine.mayLead(machine.round) {
		next = min(next, machine.beaten+machine.Delta)
	}
	return min(next, machine.stepped+machine.Delta/2)
}
