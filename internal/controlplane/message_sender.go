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
	// maxQueuedMessages and maxQueuedBytes limit what may wait for one server. What exceeds them is
	// dropped: the protocol asks for it or sends it again.
	maxQueuedMessages = 256
	maxQueuedBytes    = 2 << 20
	// maxBatchBytes is the size at which a batch takes no more messages.
	maxBatchBytes = 64 << 10
	// urgentTimeoutDeltas and batchTimeoutDeltas are the timeouts of calls in δ. The response to an
	// urgent message confirms contact, and may take as long as the message itself.
	urgentTimeoutDeltas = 2
	batchTimeoutDeltas  = 5
)

// MessageBatch is a call with messages of any shards, and the stamp by which their age is judged.
type MessageBatch struct {
	messageage.Stamp
	Sender   consensus.Member
	Messages []consensus.Message
}

// MessageBatchResponse has the receiver's clock, and the echoes that the messages ask for.
type MessageBatchResponse struct {
	Incarnation uint64
	Clock       clock.Microseconds
	Echoes      []consensus.Echo
}

type outboundMessage struct {
	consensus.Message
	queuedAt clock.Microseconds
}

// messageSender carries the messages of all shards to one other server. Election messages have calls of
// their own, so that no message before them can delay them.
type messageSender struct {
	counters          *serverCounters
	internalTransport *transport.Internal
	clock             *clock.Clock
	self              consensus.Member
	address           string
	delta             clock.Microseconds
	onEcho            func(sentAt clock.Microseconds, echo consensus.Echo)
	queue             chan outboundMessage
	// queuedBytes is the size of the messages in the queue.
	queuedBytes atomic.Int64

	// lock guards ageEstimator.
	lock         sync.Mutex
	ageEstimator messageage.Estimator
}

func (m *messageSender) stamp(sentAt clock.Microseconds) messageage.Stamp {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.ageEstimator.Stamp(sentAt)
}

// send queues a message, or drops it if the queue is full. It never blocks.
func (m *messageSender) send(ctx context.Context, message consensus.Message) {
	now := m.clock.Now()
	if message.Kind == consensus.MsgElection || message.Kind == consensus.MsgConfirmLeadership {
		go m.deliver(ctx, now, urgentTimeoutDeltas*m.delta, []consensus.Message{message})
		return
	}
	// A message that is larger than the limit may wait alone.
	size := int64(message.Size())
	queuedTotal := m.queuedBytes.Add(size)
	if queuedTotal > maxQueuedBytes && queuedTotal > size {
		m.drop(size)
		return
	}
	select {
	case m.queue <- outboundMessage{Message: message, queuedAt: now}:
	default:
		m.drop(size)
	}
}

func (m *messageSender) drop(size int64) {
	m.queuedBytes.Add(-size)
	m.counters.Dropped.Add(1)
}

// run delivers queued messages, one batch after another, until the context ends.
func (m *messageSender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-m.queue:
			m.deliver(ctx, first.queuedAt, batchTimeoutDeltas*m.delta, m.takeBatch(first))
		}
	}
}

// takeBatch returns the first message and those queued behind it that fit into its batch.
func (m *messageSender) takeBatch(first outboundMessage) []consensus.Message {
	messages := []consensus.Message{first.Message}
	size := first.Size()
	for remaining := len(m.queue); remaining > 0 && size < maxBatchBytes; remaining-- {
		next := <-m.queue
		messages = append(messages, next.Message)
		size += next.Size()
	}
	m.queuedBytes.Add(-int64(size))
	return messages
}

// deliver sends messages in one call. Without an estimate of the receiver's clock an empty batch goes
// first, whose response brings one.
func (m *messageSender) deliver(ctx context.Context, sentAt, timeout clock.Microseconds, messages []consensus.Message) {
	stamp := m.stamp(sentAt)
	if !stamp.Known {
		m.sendBatch(ctx, sentAt, timeout, &MessageBatch{Sender: m.self})
		stamp = m.stamp(sentAt)
	}
	delivered := m.sendBatch(ctx, sentAt, timeout, &MessageBatch{Stamp: stamp, Sender: m.self, Messages: messages})
	if !delivered {
		m.counters.Dropped.Add(int64(len(messages)))
		return
	}
	m.counters.Sent.Add(int64(len(messages)))
}

// sendBatch tells whether the call was answered.
func (m *messageSender) sendBatch(ctx context.Context, sentAt, timeout clock.Microseconds, batch *MessageBatch) bool {
	response, err := transport.Call[MessageBatch, MessageBatchResponse](
		ctx, m.internalTransport, m.address, deliverPath, timeout, batch,
	)
	if err != nil {
		return false
	}
	reading := messageage.ClockReading{Incarnation: response.Incarnation, Clock: response.Clock}
	m.lock.Lock()
	m.ageEstimator.RecordReading(m.clock.Now(), reading)
	m.lock.Unlock()
	for _, echo := range response.Echoes {
		m.onEcho(sentAt, echo)
	}
	return true
}
