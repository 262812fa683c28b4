package election

import "coursepass/internal/clock"

// NoLeader is returned in place of a leader while there is none: the paper's ⊥.
const NoLeader = -1

const (
	// requiredOKs is the number of OKs of a term after which its candidate becomes leader (Fig. 4).
	requiredOKs = 2
	// heartbeatTimeoutDeltas is the time without an OK, in δ, after which a slot starts the ping
	// step: one δ between two OKs and one δ for the delivery (Fig. 4).
	heartbeatTimeoutDeltas = 2
	// ticksPerDelta is the minimum number of calls of Tick per δ. The elector recognizes a pause of
	// the process by the time since its last call (see discountPause).
	ticksPerDelta = 2
)

// Config is the configuration of one slot of an election. It does not change.
type Config struct {
	// Slots is the number of slots, which are numbered from 0 to Slots-1.
	Slots int
	// Self is the slot that this elector runs for.
	Self int
	// Quorum is the minimum number of slots, Self included, that must have answered a PING before
	// this slot moves to a later term on its own initiative, and that must answer the OKs of this
	// slot for it to remain a candidate. With 0 or 1 the algorithm is the paper's.
	Quorum int
	// Delta is the paper's δ: the interval between two OKs, and the age above which the caller
	// drops messages.
	Delta clock.Microseconds
}

// Candidate returns the slot that is the candidate of a term: no other slot can lead the term.
func (c Config) Candidate(term uint64) int {
	return int(term % uint64(c.Slots))
}

// Elector runs the election for one slot. Start returns a new one.
type Elector struct {
	Config
	term   uint64
	leader int
	// okCount is the number of OKs of the current term, both received and sent by this slot.
	okCount int
	// timerStartedAt is when the heartbeat timeout was last restarted: at the start of the term, at
	// an OK of the term, or at the end of an isolation.
	timerStartedAt clock.Microseconds
	// lastTickAt is when Tick or Receive was last called. It serves to recognize pauses of the
	// process.
	lastTickAt    clock.Microseconds
	heartbeat     heartbeat
	eligibility   eligibility
	alerts        []receivedAlert
	ping          pingStep
	isolation     *isolation
	quorumContact quorumContact
	outgoing      []OutgoingMessage
}

// heartbeat is the state of the sending of OKs in the current term.
type heartbeat struct {
	// sentAt is when the last OK was sent; it is valid if sent is set.
	sentAt clock.Microseconds
	sent   bool
}

// StartOptions is the state from which an elector starts.
type StartOptions struct {
	// Now is the time of the start.
	Now clock.Microseconds
	// FirstTerm is the term in which the elector starts: the last term that the slot is known to
	// have promised.
	FirstTerm uint64
	// Restarted is set if the slot may have led terms and received ALERTs of which it has no
	// record.
	Restarted bool
}

// Start returns an elector in the term FirstTerm, and its first messages (the initialization of
// Fig. 4). A restarted slot is barred from leading FirstTerm and all earlier terms, and counts its
// own start as an ALERT for a higher term: it adopts no leader for 6δ.
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

// Receive handles a message from another slot and returns the messages to send. The message must
// not be older than δ. A message is ignored if its sender does not exist or is this slot.
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

// Tick performs the actions that have become due and returns the messages to send. It must be
// called no later than at the time that NextTick returns, and may be called earlier.
func (e *Elector) Tick(now clock.Microseconds) []OutgoingMessage {
	e.discountPause(now)
	e.step(now)
	return e.takeOutgoing()
}

// NextTick returns the latest time of the next call of Tick, provided that no message arrives
// before.
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

// step performs the actions that are due because of the time alone.
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

// startTerm moves this slot to a term (StartRound in the paper).
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

// handleTermMessage handles an OK of the term's candidate, or a START. If the message has a higher
// term, this slot joins that term; if it has a lower one, this slot answers with a START of the
// current term.
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

// handleOK counts an OK of the current term and restarts the heartbeat timeout. The candidate
// becomes leader at the second OK, or at the first later one at which no ALERT for a higher term is
// valid (Fig. 4, lines 14–17 and 25–26).
func (e *Elector) handleOK(now clock.Microseconds) {
	e.okCount++
	e.timerStartedAt = now
	if e.leader == NoLeader && e.okCount >= requiredOKs && !e.recentlyAlerted(now) {
		e.leader = e.Candidate(e.term)
	}
}

// sendHeartbeat broadcasts an OK every δ while this slot is the candidate of the current term and
// may lead it. The slot counts its own OK like a received one.
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

// candidateTimedOut reports whether the last OK of the current term is older than the heartbeat
// timeout.
func (e *Elector) candidateTimedOut(now clock.Microseconds) bool {
	return now-e.timerStartedAt > heartbeatTimeoutDeltas*e.Delta
}

// discountPause moves the heartbeat timeout and the ping timeout forward by the length of a pause
// of the process, which is the time since the last call less δ. Messages that arrived during the
// pause have not been read yet. The paper assumes that a step takes no time.
func (e *Elector) discountPause(now clock.Microseconds) {
	if paused := now - e.lastTickAt - e.Delta; paused > 0 {
		e.timerStartedAt += paused
		e.ping.sentAt += paused
	}
	e.lastTickAt = now
}
