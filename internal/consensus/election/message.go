package election

// MessageKind is the kind of a message. The kinds have the names of the paper.
type MessageKind uint8

// The messages of Fig. 4 (OK, START, ALERT) and Fig. 5 (PING, PONG).
const (
	// OK is the heartbeat that the candidate of a term sends.
	OK MessageKind = iota + 1
	// START announces a term to slots that are in an earlier term.
	START
	// ALERT announces that its sender is about to start a term. A receiver in an earlier term
	// outputs no leader for 6δ.
	ALERT
	// PING asks whether its receiver is alive and could be a candidate.
	PING
	// PONG answers a PING and has the same term as the PING.
	PONG
)

// Message is a message of the paper. Its Term is called round in the paper and in the wire form,
// MessageWire.
type Message struct {
	Kind MessageKind
	Term uint64
}

// OutgoingMessage is a message to be sent to the slot To.
type OutgoingMessage struct {
	To int
	Message
}

// send queues a message to one slot.
func (e *Elector) send(slot int, message Message) {
	e.outgoing = append(e.outgoing, OutgoingMessage{To: slot, Message: message})
}

// broadcast queues a message to all other slots.
func (e *Elector) broadcast(message Message) {
	for slot := range e.Slots {
		if slot != e.Self {
			e.send(slot, message)
		}
	}
}

// takeOutgoing returns the queued messages and empties the queue.
func (e *Elector) takeOutgoing() []OutgoingMessage {
	outgoing := e.outgoing
	e.outgoing = nil
	return outgoing
}
