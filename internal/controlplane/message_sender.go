package controlplane

import (
	"context"
	"sync"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/messageage"
	"coursepass/internal/transport"
)

const (
	deliverPath = "/core/deliver"
	// maxQueuedBytes is how much content may wait for one core: what does not fit is dropped,
	// and asked for or sent again. parcelBytes is how much goes in one call, if more than
	// one message goes in it.
	maxQueuedBytes = 2 << 20
	maxBatchBytes  = 64 << 10
)

// MessageBatch is a few messages of parts with the stamp of their sending.
type MessageBatch struct {
	messageage.Stamp
	Sender   consensus.Member
	Messages []consensus.Message
}

// MessageBatchResponse answers a parcel: the receiver's clock, and the echoes that its messages ask for.
type MessageBatchResponse struct {
	Incarnation uint64
	Clock       clock.Microseconds
	Echoes      []consensus.Echo
}

type outboundMessage struct {
	consensus.Message
	queuedAt clock.Microseconds
}

// Sender counters.
type senderCounters struct {
	Sent     atomic.Int64
	Dropped  atomic.Int64
	Late     atomic.Int64
	Received atomic.Int64
	// ReservationLogErrors counts claims that could not be written down besides.
	ReservationLogErrors atomic.Int64
}

// messageSender carries the messages of all parts to one other core. Election messages
// go each on their own, so that nothing before them can hold them up.
type messageSender struct {
	*senderCounters
	internalTransport *transport.Internal
	clock             *clock.Clock
	self              consensus.Member
	address           string
	delta             clock.Microseconds
	queue             chan outboundMessage
	onEcho            func(sentAt clock.Microseconds, echo consensus.Echo)
	queuedBytes       atomic.Int64
	lock              sync.Mutex
	ageEstimator      messageage.Estimator
}

func (m *messageSender) stamp(sentAt clock.Microseconds) messageage.Stamp {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.ageEstimator.Stamp(sentAt)
}

func (m *messageSender) send(ctx context.Context, message consensus.Message) {
	outbound := outboundMessage{message, m.clock.Now()}
	if message.Kind == consensus.MsgElection || message.Kind == consensus.MsgConfirmLeadership {
		// The answer shows contact, and may take as long again as the message.
		go m.deliver(ctx, outbound.queuedAt, 2*m.delta, []consensus.Message{message})
		return
	}
	size := int64(message.Size())
	if queuedTotal := m.queuedBytes.Add(size); queuedTotal > maxQueuedBytes && queuedTotal > size {
		m.queuedBytes.Add(-size)
		m.Dropped.Add(1)
		return
	}
	select {
	case m.queue <- outbound:
	default:
		m.queuedBytes.Add(-size)
		m.Dropped.Add(1)
	}
}

func (m *messageSender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-m.queue:
			messages := []consensus.Message{first.Message}
			size := first.Size()
			for remaining := len(m.queue); remaining > 0 && size < maxBatchBytes; remaining-- {
				messages = append(messages, (<-m.queue).Message)
				size += messages[len(messages)-1].Size()
			}
			m.queuedBytes.Add(-int64(size))
			m.deliver(ctx, first.queuedAt, 5*m.delta, messages)
		}
	}
}

func (m *messageSender) deliver(ctx context.Context, sentAt, timeout clock.Microseconds, messages []consensus.Message) {
	stamp := m.stamp(sentAt)
	if !stamp.Known {
		m.sendBatch(ctx, sentAt, timeout, &MessageBatch{Sender: m.self})
		stamp = m.stamp(sentAt)
	}
	if !m.sendBatch(ctx, sentAt, timeout, &MessageBatch{Stamp: stamp, Sender: m.self, Messages: messages}) {
		m.Dropped.Add(int64(len(messages)))
		return
	}
	m.Sent.Add(int64(len(messages)))
}

func (m *messageSender) sendBatch(ctx context.Context, sentAt, timeout clock.Microseconds, batch *MessageBatch) bool {
	response, err := transport.Call[MessageBatch, MessageBatchResponse](ctx, m.internalTransport, m.address, deliverPath, timeout, batch)
	if err != nil {
		return false
	}
	m.lock.Lock()
	m.ageEstimator.RecordReading(m.clock.Now(), messageage.ClockReading{Incarnation: response.Incarnation, Clock: response.Clock})
	m.lock.Unlock()
	for _, echo := range response.Echoes {
		m.onEcho(sentAt, echo)
	}
	return true
}
