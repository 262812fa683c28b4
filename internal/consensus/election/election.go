package election

import "coursepass/internal/clock"

// NoLeader is the output while there is no leader, the paper's ⊥.
const NoLeader = -1

const (
	// requiredOKs is how many OKs of a term its candidate needs to become leader (Fig. 4).
	requiredOKs = 2
	// heartbeatTimeoutDeltas is for how many δ a slot waits for an OK until it starts the
	// ping step: one δ between two OKs and one on the way (Fig. 4).
	heartbeatTimeoutDeltas = 2
	// ticksPerDelta is how often the elector is ticked in one δ at least, so that a pause of
	// the process is noticed.
	ticksPerDelta = 2
)

// Config describes one slot of an election. It does not change.
type Config struct {
	// Slots is the number of slots.
	Slots int
	// Self is the slot of this elector, from 0 to Slots-1.
	Self int
	// Quorum is how many slots, Self included, must have answered a PING before this slot
	// leaves its term, and must answer its OKs for it to stay a candidate. With 0 or 1 the
	// algorithm is the paper's.
	Quorum int
	// Delta is the paper's δ: the period of OKs, and the age from which messages are dropped.
	Delta clock.Microseconds
}

// Candidate returns the slot that leads a term if any does.
func (c Config) Candidate(term uint64) int {
	return int(term % uint64(c.Slots))
}

// Elector is the election as run by one slot. Start makes one.
type Elector struct {
	Config
	term   uint64
	leader int
	// okCount is how many OKs of the current term have arrived, own ones included.
	okCount int
	// timerStartedAt is when the candidate of the term was last heard from.
	timerStartedAt clock.Microseconds
	// lastTickAt is when the elector last ran, to notice pauses of the process.
	lastTickAt    clock.Microseconds
	heartbeat     heartbeat
	eligibility   eligibility
	alerts        []receivedAlert
	ping          pingStep
	isolation     *isolation
	quorumContact quorumContact
	outgoing      []OutgoingMessage
}

// heartbeat is the sending of OKs in the current term.
type heartbeat struct {
	sentAt clock.Microseconds
	sent   bool
}

// StartOptions is what an elector starts from.
type StartOptions struct {
	// Now is the time of the start.
	Now clock.Microseconds
	// FirstTerm is the term to start in: the last one that the slot is known to have promised.
	FirstTerm uint64
	// Restarted means that the slot may have led terms and received ALERTs that it does not know
	// of any more.
	Restarted bool
}

// Start returns an elector in the first term, and its first messages (the initialization of
// Fig. 4). A slot that is restarted is barred from leading any term up to the first one, and
// counts its own start as an ALERT.
func Start(config Config, options StartOptions) (*Elector, []OutgoingMessage) {
	now := options.Now
	elector := &Elector{Config: config, leader: NoLeader, lastTickAt: now}
	if options.Restarted {
		elector.BarTerm(options.FirstTerm)
		elector.alerts = append(elector.alerts, receivedAlert{term: highestTerm, receivedAt: now})
	}
	elector.startTerm(options.FirstTerm, now)
	elector.sendHeartbeat(now)
	return elector, elector.takeOutgoing()
}

// Leader returns the current leader, or NoLeader, and the current term.
func (e *Elector) Leader() (leader int, term uint64) {
	return e.leader, e.term
}

// Receive handles a message from another slot and returns the messages to send. The message
// must not be older than δ. Messages from a slot that does not exist, or from Self, are
// ignored.
func (e *Elector) Receive(now clock.Microseconds, from int, message Message) []OutgoingMessage {
	e.discountPause(now)
	if from < 0 || from >= e.Slots || from == e.Self {
		return nil
	}
	switch message.Kind {
	case OK:
		if e.Candidate(message.Term) != from {
			return nil
		}
		e.handleTermMessage(now, from, message)
	case START:
		e.handleTermMessage(now, from, message)
	case ALERT:
		e.handleAlert(message.Term, now)
	case PING:
		e.handlePing(from, message.Term)
	case PONG:
		e.handlePong(now, from, message.Term)
	}
	e.step(now)
	return e.takeOutgoing()
}

// Tick lets time pass and returns the messages to send. It must be called at NextTick at the
// latest, and may be called earlier.
func (e *Elector) Tick(now clock.Microseconds) []OutgoingMessage {
	e.discountPause(now)
	e.step(now)
	return e.takeOutgoing()
}

// NextTick returns when Tick has to be called next if no message arrives before.
func (e *Elector) NextTick() clock.Microseconds {
	next := e.timerStartedAt + heartbeatTimeoutDeltas*e.Delta + 1
	switch {
	case e.isolation != nil:
		next = e.isolation.pingSentAt + e.Delta
	case e.ping.active:
		next = e.ping.sentAt + pingTimeoutDeltas*e.Delta
	}
	if e.mayLead(e.term) {
		next = min(next, e.heartbeat.sentAt+e.Delta)
	}
	return min(next, e.lastTickAt+e.Delta/ticksPerDelta)
}

// step does what is due by time alone.
func (e *Elector) step(now clock.Microseconds) {
	e.checkQuorumContact(now)
	if e.isolation != nil {
		e.retryQuorum(now)
	}
	switch {
	case e.ping.active && now-e.ping.sentAt >= pingTimeoutDeltas*e.Delta:
		e.concludePing(now)
	case !e.ping.active && (e.candidateTimedOut(now) || e.cannotLeadOwnTerm()):
		e.startPing(now)
	}
	e.sendHeartbeat(now)
}

// startTerm moves to a term: the paper's StartRound.
func (e *Elector) startTerm(term uint64, now clock.Microseconds) {
	e.broadcast(Message{ALERT, term})
	if e.Candidate(term) != e.Self {
		e.broadcast(Message{START, term})
	}
	e.term = term
	e.leader = NoLeader
	e.okCount = 0
	e.heartbeat.sent = false
	e.ping.active = false
	e.isolation = nil
	e.timerStartedAt = now
	e.quorumContact.reset(e.Slots, now)
}

// handleTermMessage handles an OK of the term's candidate, or a START: a higher term is
// joined, a lower one is answered with START of the current term.
func (e *Elector) handleTermMessage(now clock.Microseconds, from int, message Message) {
	switch {
	case message.Term > e.term:
		e.startTerm(message.Term, now)
		if message.Kind == OK {
			e.okCount = 1
		}
	case message.Term < e.term:
		e.send(from, Message{START, e.term})
	case message.Kind == OK:
		e.endIsolation(now)
		e.handleOK(now)
	}
}

// handleOK counts an OK of the current term. The second one makes the candidate leader unless
// an ALERT for a higher term is recent (Fig. 4, lines 14–17 and 25–26).
func (e *Elector) handleOK(now clock.Microseconds) {
	e.okCount++
	e.timerStartedAt = now
	if e.leader == NoLeader && e.okCount >= requiredOKs && !e.recentlyAlerted(now) {
		e.leader = e.Candidate(e.term)
	}
}

// sendHeartbeat broadcasts an OK every δ while this slot is the candidate of the current term
// and may lead it. An own OK counts like one that was received.
func (e *Elector) sendHeartbeat(now clock.Microseconds) {
	if !e.mayLead(e.term) {
		return
	}
	if e.heartbeat.sent && now-e.heartbeat.sentAt < e.Delta {
		return
	}
	e.heartbeat = heartbeat{sentAt: now, sent: true}
	e.broadcast(Message{OK, e.term})
	e.handleOK(now)
}

// candidateTimedOut reports whether the OKs of the term's candidate have stopped.
func (e *Elector) candidateTimedOut(now clock.Microseconds) bool {
	return now-e.timerStartedAt > heartbeatTimeoutDeltas*e.Delta
}

// discountPause moves the timers on by the time during which the process did not run: what
// arrived meanwhile has not been read yet. The paper assumes that a step takes no time.
func (e *Elector) discountPause(now clock.Microseconds) {
	if paused := now - e.lastTickAt - e.Delta; paused > 0 {
		e.timerStartedAt += paused
		e.ping.sentAt += paused
	}
	e.lastTickAt = now
}
