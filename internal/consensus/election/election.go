// Package election is the stable leader election of Aguilera, Delporte-Gallet,
// Fauconnier and Toueg (Fig. 4 with the ping step of Fig. 5) as one pure state
// machine: messages and the time go in, messages and the next wake-up come out.
package election

import "coursepass/internal/clock"

// MessageKind is the paper's name of a message.
type MessageKind uint8

// The paper's messages.
const (
	OK MessageKind = iota + 1
	START
	ALERT
	PING
	PONG
)

// NoLeader is the paper's ⊥.
const NoLeader = -1

// Message is one of the paper's messages with its round.
type Message struct {
	Kind  MessageKind
	Round uint64
}

// OutgoingMessage is a message for one slot.
type OutgoingMessage struct {
	To int
	Message
}

// Config says who a machine is among how many, and its δ. Quorum is how many slots, itself
// included, must have answered a PING before a machine leaves its round, and must have
// answered its OKs lately for it to stay a candidate; with 0 or 1 it is the paper's machine.
type Config struct {
	Slots  int
	Self   int
	Quorum int
	Delta  clock.Microseconds
}

type receivedAlert struct {
	term       uint64
	receivedAt clock.Microseconds
}

// Elector is the election at one slot.
type Elector struct {
	Config
	term            uint64
	leader          int
	barredTerm      uint64
	barred          bool
	diskStalled     bool
	okCount         int
	alerts          []receivedAlert
	timerStartedAt  clock.Microseconds
	lastTickAt      clock.Microseconds
	lastHeartbeatAt clock.Microseconds
	heartbeatSent   bool
	pinging         bool
	pingSentAt      clock.Microseconds
	pongsFrom       map[int]bool
	alertSent       bool
	isolation       *isolation
	quorumContact   quorumContact
	outgoing        []OutgoingMessage
}

// Start begins at a first round, as the paper's initialization. A restarted
// machine counts its own waking as an alert, and is barred from leading any
// round up to its bar, since it may have led there before.
func Start(config Config, now clock.Microseconds, firstTerm uint64, restarted bool) (*Elector, []OutgoingMessage) {
	elector := &Elector{Config: config, leader: NoLeader, lastTickAt: now}
	if restarted {
		elector.barredTerm, elector.barred = firstTerm, true
		elector.alerts = append(elector.alerts, receivedAlert{term: ^uint64(0), receivedAt: now})
	}
	elector.startTerm(firstTerm, now)
	elector.sendHeartbeat(now)
	return elector, elector.takeOutgoing()
}

// Candidate is the slot that a round belongs to.
func (c Config) Candidate(term uint64) int { return int(term % uint64(c.Slots)) }

// Leader is the current output and its round; Nobody while there is none.
func (e *Elector) Leader() (int, uint64) { return e.leader, e.term }

// BarTerm keeps this machine from leading any round up to this one.
func (e *Elector) BarTerm(term uint64) {
	if !e.barred || term > e.barredTerm {
		e.barredTerm, e.barred = term, true
	}
}

// LiftBar takes the bar away again.
func (e *Elector) LiftBar() { e.barred = false }

// SetDiskStalled keeps this machine from being a candidate for as long as its own disk does not
// finish what it was given: it sends no OK and no PONG, and at once starts the round of
// another. This is an exception to the paper.
func (e *Elector) SetDiskStalled(stalled bool) { e.diskStalled = stalled }

func (e *Elector) mayLead(term uint64) bool {
	return e.Candidate(term) == e.Self && !e.diskStalled && !e.quorumContact.expired && !(e.barred && term <= e.barredTerm)
}

func (e *Elector) takeOutgoing() []OutgoingMessage {
	outgoing := e.outgoing
	e.outgoing = nil
	return outgoing
}

func (e *Elector) broadcast(message Message) {
	for slot := range e.Slots {
		if slot != e.Self {
			e.outgoing = append(e.outgoing, OutgoingMessage{To: slot, Message: message})
		}
	}
}

func (e *Elector) startTerm(term uint64, now clock.Microseconds) {
	e.broadcast(Message{ALERT, term})
	if e.Candidate(term) != e.Self {
		e.broadcast(Message{START, term})
	}
	e.term = term
	e.leader = NoLeader
	e.okCount = 0
	e.heartbeatSent = false
	e.pinging = false
	e.isolation = nil
	e.timerStartedAt = now
	e.quorumContact.reset(e.Slots, now)
}

func (e *Elector) handleAlert(term uint64, now clock.Microseconds) {
	recent := e.alerts[:0]
	for _, earlier := range e.alerts {
		if earlier.term > term && now-earlier.receivedAt <= 6*e.Delta {
			recent = append(recent, earlier)
		}
	}
	e.alerts = append(recent, receivedAlert{term, now})
	if term > e.term {
		e.leader = NoLeader
	}
}

func (e *Elector) recentlyAlerted(now clock.Microseconds) bool {
	for _, alert := range e.alerts {
		if alert.term > e.term && now-alert.receivedAt <= 6*e.Delta {
			return true
		}
	}
	return false
}

func (e *Elector) handleOK(now clock.Microseconds) {
	e.okCount++
	e.timerStartedAt = now
	if e.leader == NoLeader && e.okCount >= 2 && !e.recentlyAlerted(now) {
		e.leader = e.Candidate(e.term)
	}
}

func (e *Elector) sendHeartbeat(now clock.Microseconds) {
	if !e.mayLead(e.term) || e.heartbeatSent && now-e.lastHeartbeatAt < e.Delta {
		return
	}
	e.heartbeatSent, e.lastHeartbeatAt = true, now
	e.broadcast(Message{OK, e.term})
	e.handleOK(now)
}

// A machine that was frozen did not count the time that it slept.
func (e *Elector) discountPause(now clock.Microseconds) {
	if paused := now - e.lastTickAt - e.Delta; paused > 0 {
		e.timerStartedAt += paused
		e.pingSentAt += paused
	}
	e.lastTickAt = now
}

// Receive takes a message that is not older than δ from another slot.
func (e *Elector) Receive(now clock.Microseconds, from int, message Message) []OutgoingMessage {
	e.discountPause(now)
	if from < 0 || from >= e.Slots || from == e.Self {
		return nil
	}
	switch message.Kind {
	case OK, START:
		if message.Kind == OK && e.Candidate(message.Round) != from {
			return nil
		}
		switch {
		case message.Round > e.term:
			e.startTerm(message.Round, now)
			if message.Kind == OK {
				e.okCount = 1
			}
		case message.Round < e.term:
			e.outgoing = append(e.outgoing, OutgoingMessage{from, Message{START, e.term}})
		case message.Kind == OK:
			e.rejoin(now)
			e.handleOK(now)
		}
	case ALERT:
		e.handleAlert(message.Round, now)
	case PING:
		e.handlePing(from, message.Round)
	case PONG:
		e.handlePong(now, from, message.Round)
	}
	e.step(now)
	return e.takeOutgoing()
}

// Tick lets time pass. It is due at Next.
func (e *Elector) Tick(now clock.Microseconds) []OutgoingMessage {
	e.discountPause(now)
	e.step(now)
	return e.takeOutgoing()
}

func (e *Elector) step(now clock.Microseconds) {
	e.checkQuorumContact(now)
	if e.isolation != nil {
		e.retryQuorum(now)
	}
	switch {
	case e.pinging && now-e.pingSentAt >= 2*e.Delta:
		e.concludePing(now)
	case !e.pinging && (now-e.timerStartedAt > 2*e.Delta || e.cannotLeadOwnTerm()):
		e.startPing(now)
	}
	e.sendHeartbeat(now)
}

// startPing begins the ping step. A machine without a quorum's answers does not.
func (e *Elector) startPing(now clock.Microseconds) {
	if e.isolation != nil {
		return
	}
	e.pinging, e.pingSentAt, e.alertSent = true, now, false
	e.pongsFrom = map[int]bool{e.Self: true}
	e.leader = NoLeader
	e.sendAlert(now)
	e.broadcast(Message{PING, e.term})
}

// sendAlert sends the ALERT of the ping step as soon as a quorum has answered the PING.
func (e *Elector) sendAlert(now clock.Microseconds) {
	if e.alertSent || len(e.pongsFrom) < e.Quorum {
		return
	}
	e.alertSent = true
	e.broadcast(Message{ALERT, e.term + 1})
	e.handleAlert(e.term+1, now)
}

// concludePing ends the ping step: with the next round whose candidate has answered, or in the
// same round, isolated, if less than a quorum has answered.
func (e *Elector) concludePing(now clock.Microseconds) {
	if len(e.pongsFrom) >= e.Quorum {
		e.startTerm(e.nextAnsweredTerm(), now)
		return
	}
	e.isolate(now)
}

func (e *Elector) handlePing(from int, term uint64) {
	switch {
	case e.Quorum > 1 && term < e.term:
		e.outgoing = append(e.outgoing, OutgoingMessage{from, Message{START, e.term}})
	case !e.diskStalled && !e.quorumContact.expired:
		e.outgoing = append(e.outgoing, OutgoingMessage{from, Message{PONG, term}})
	}
}

func (e *Elector) handlePong(now clock.Microseconds, from int, term uint64) {
	switch {
	case term != e.term:
	case e.isolation != nil:
		e.isolation.pongAt[from] = now
	case e.pinging:
		e.pongsFrom[from] = true
		e.sendAlert(now)
	}
}

func (e *Elector) cannotLeadOwnTerm() bool {
	return e.Candidate(e.term) == e.Self && !e.mayLead(e.term)
}

func (e *Elector) nextAnsweredTerm() uint64 {
	for term := e.term + 1; ; term++ {
		if candidate := e.Candidate(term); e.pongsFrom[candidate] {
			if candidate != e.Self || e.mayLead(term) || len(e.pongsFrom) == 1 {
				return term
			}
		}
	}
}

// NextTick is when the machine wants to be woken.
func (e *Elector) NextTick() clock.Microseconds {
	next := e.timerStartedAt + 2*e.Delta + 1
	switch {
	case e.isolation != nil:
		next = e.isolation.pingSentAt + e.Delta
	case e.pinging:
		next = e.pingSentAt + 2*e.Delta
	}
	if e.mayLead(e.term) {
		next = min(next, e.lastHeartbeatAt+e.Delta)
	}
	return min(next, e.lastTickAt+e.Delta/2)
}
