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
func (c Place) Candidate(round uint64) int { return int(round % uint64(c.Slots)) }

// Leader is the current output and its round; Nobody while there is none.
func (e *Machine) Leader() (int, uint64) { return e.leader, e.round }

// Bar keeps this machine from leading any round up to this one.
func (e *Machine) Bar(round uint64) {
	if !e.barred || round > e.bar {
		e.bar, e.barred = round, true
	}
}

// Lift takes the bar away again.
func (e *Machine) Lift() { e.barred = false }

// Hold keeps this machine from being a candidate for as long as its own disk does not
// finish what it was given: it sends no OK and no PONG, and at once starts the round of
// another. This is an exception to the paper.
func (e *Machine) Hold(held bool) { e.held = held }

func (e *Machine) mayLead(round uint64) bool {
	return e.Candidate(round) == e.Self && !e.held && !e.contact.lost && !(e.barred && round <= e.bar)
}

func (e *Machine) take() []Send {
	sends := e.sends
	e.sends = nil
	return sends
}

func (e *Machine) all(message Message) {
	for slot := range e.Slots {
		if slot != e.Self {
			e.sends = append(e.sends, Send{To: slot, Message: message})
		}
	}
}

func (e *Machine) startRound(round uint64, now schedule.Microseconds) {
	e.all(Message{ALERT, round})
	if e.Candidate(round) != e.Self {
		e.all(Message{START, round})
	}
	e.round = round
	e.leader = Nobody
	e.okays = 0
	e.hasBeaten = false
	e.asking = false
	e.isolation = nil
	e.restarted = now
	e.contact.begin(e.Slots, now)
}

func (e *Machine) hearAlert(round uint64, now schedule.Microseconds) {
	kept := e.alerts[:0]
	for _, earlier := range e.alerts {
		if earlier.round > round && now-earlier.at <= 6*e.Delta {
			kept = append(kept, earlier)
		}
	}
	e.alerts = append(kept, alert{round, now})
	if round > e.round {
		e.leader = Nobody
	}
}

func (e *Machine) alerted(now schedule.Microseconds) bool {
	for _, heard := range e.alerts {
		if heard.round > e.round && now-heard.at <= 6*e.Delta {
			return true
		}
	}
	return false
}

func (e *Machine) hearOkay(now schedule.Microseconds) {
	e.okays++
	e.restarted = now
	if e.leader == Nobody && e.okays >= 2 && !e.alerted(now) {
		e.leader = e.Candidate(e.round)
	}
}

func (e *Machine) beat(now schedule.Microseconds) {
	if !e.mayLead(e.round) || e.hasBeaten && now-e.beaten < e.Delta {
		return
	}
	e.hasBeaten, e.beaten = true, now
	e.all(Message{OK, e.round})
	e.hearOkay(now)
}

// A machine that was frozen did not count the time that it slept.
func (e *Machine) thaw(now schedule.Microseconds) {
	if slept := now - e.stepped - e.Delta; slept > 0 {
		e.restarted += slept
		e.askedAt += slept
	}
	e.stepped = now
}

// Receive takes a message that is not older than δ from another slot.
func (e *Machine) Receive(now schedule.Microseconds, from int, message Message) []Send {
	e.thaw(now)
	if from < 0 || from >= e.Slots || from == e.Self {
		return nil
	}
	switch message.Kind {
	case OK, START:
		if message.Kind == OK && e.Candidate(message.Round) != from {
			return nil
		}
		switch {
		case message.Round > e.round:
			e.startRound(message.Round, now)
			if message.Kind == OK {
				e.okays = 1
			}
		case message.Round < e.round:
			e.sends = append(e.sends, Send{from, Message{START, e.round}})
		case message.Kind == OK:
			e.rejoin(now)
			e.hearOkay(now)
		}
	case ALERT:
		e.hearAlert(message.Round, now)
	case PING:
		e.hearPing(from, message.Round)
	case PONG:
		e.hearPong(now, from, message.Round)
	}
	e.step(now)
	return e.take()
}

// Wake lets time pass. It is due at Next.
func (e *Machine) Wake(now schedule.Microseconds) []Send {
	e.thaw(now)
	e.step(now)
	return e.take()
}

func (e *Machine) step(now schedule.Microseconds) {
	e.watchContact(now)
	if e.isolation != nil {
		e.seekQuorum(now)
	}
	switch {
	case e.asking && now-e.askedAt >= 2*e.Delta:
		e.conclude(now)
	case !e.asking && (now-e.restarted > 2*e.Delta || e.mute()):
		e.ask(now)
	}
	e.beat(now)
}

// ask begins the ping step. A machine without a quorum's answers does not.
func (e *Machine) ask(now schedule.Microseconds) {
	if e.isolation != nil {
		return
	}
	e.asking, e.askedAt, e.warned = true, now, false
	e.answered = map[int]bool{e.Self: true}
	e.leader = Nobody
	e.warn(now)
	e.all(Message{PING, e.round})
}

// warn sends the ALERT of the ping step as soon as a quorum has answered the PING.
func (e *Machine) warn(now schedule.Microseconds) {
	if e.warned || len(e.answered) < e.Quorum {
		return
	}
	e.warned = true
	e.all(Message{ALERT, e.round + 1})
	e.hearAlert(e.round+1, now)
}

// conclude ends the ping step: with the next round whose candidate has answered, or in the
// same round, isolated, if less than a quorum has answered.
func (e *Machine) conclude(now schedule.Microseconds) {
	if len(e.answered) >= e.Quorum {
		e.startRound(e.nextAnswered(), now)
		return
	}
	e.isolate(now)
}

func (e *Machine) hearPing(from int, round uint64) {
	switch {
	case e.Quorum > 1 && round < e.round:
		e.sends = append(e.sends, Send{from, Message{START, e.round}})
	case !e.held && !e.contact.lost:
		e.sends = append(e.sends, Send{from, Message{PONG, round}})
	}
}

func (e *Machine) hearPong(now schedule.Microseconds, from int, round uint64) {
	switch {
	case round != e.round:
	case e.isolation != nil:
		e.isolation.heard[from] = now
	case e.asking:
		e.answered[from] = true
		e.warn(now)
	}
}

func (e *Machine) mute() bool {
	return e.Candidate(e.round) == e.Self && !e.mayLead(e.round)
}

func (e *Machine) nextAnswered() uint64 {
	for round := e.round + 1; ; round++ {
		if candidate := e.Candidate(round); e.answered[candidate] {
			if candidate != e.Self || e.mayLead(round) || len(e.answered) == 1 {
				return round
			}
		}
	}
}

// Next is when the machine wants to be woken.
func (e *Machine) Next() schedule.Microseconds {
	next := e.restarted + 2*e.Delta + 1
	switch {
	case e.isolation != nil:
		next = e.isolation.asked + e.Delta
	case e.asking:
		next = e.askedAt + 2*e.Delta
	}
	if e.mayLead(e.round) {
		next = min(next, e.beaten+e.Delta)
	}
	return min(next, e.stepped+e.Delta/2)
}
