package messaging

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
	// maxQueuedMessages is the maximum number, and maxQueuedBytes the maximum total size in bytes, of the messages that
	// wait for one server. Further messages are dropped: the protocol requests them or sends them again.
	maxQueuedMessages = 256
	maxQueuedBytes    = 2 << 20
	// maxBatchBytes is the size in bytes from which no more messages are added to a batch.
	maxBatchBytes = 64 << 10
	// urgentTimeoutDeltas is the timeout of calls with an urgent message, and batchTimeoutDeltas is the timeout of
	// calls with queued messages, in multiples of δ. The response to an urgent message confirms that the receiver can
	// be reached, and may take as long as the message itself.
	urgentTimeoutDeltas = 2
	batchTimeoutDeltas  = 5
)

type outboundMessage struct {
	consensus.Message
	queuedAt clock.Microseconds
}

// Counters counts the messages that were sent and dropped. All senders of a server share one Counters.
type Counters struct {
	Sent    atomic.Int64
	Dropped atomic.Int64
}

// Options configures a Sender.
type Options struct {
	Transport *transport.Internal
	Clock     *clock.Clock
	Counters  *Counters
	// Self is the sending server, which is named in each batch.
	Self consensus.Member
	// Address is the internal address of the other server.
	Address string
	// Delta is the bound δ on the delay of messages.
	Delta clock.Microseconds
	// OnEcho is called with each echo, and with the time at which the first message of the batch was queued.
	OnEcho func(sentAt clock.Microseconds, echo consensus.Echo)
	// OnIdentity is called when the other server answers with the identity of another data directory than before.
	OnIdentity func(identity string)
}

// Sender sends the messages of all shards to one other server. Each urgent message, which is an election message or a
// MsgConfirmLeadership, is sent in a call of its own, so that it does not wait behind other messages.
type Sender struct {
	options Options
	queue   chan outboundMessage
	// queuedBytes is the size of the messages in the queue.
	queuedBytes atomic.Int64
	// features are the features in the last response of the other server. The pointer is nil before the first response.
	features atomic.Pointer[Features]

	// lock guards ageEstimator and identity.
	lock         sync.Mutex
	ageEstimator messageage.Estimator
	// identity is the identity in the last response of the other server.
	identity string
}

// NewSender creates a sender. All messages that are not urgent wait until Run is called.
func NewSender(options Options) *Sender {
	return &Sender{options: options, queue: make(chan outboundMessage, maxQueuedMessages)}
}

// Features returns the features that the build of the other server supports, or false if that server has not responded
// yet.
func (s *Sender) Features() (Features, bool) {
	if features := s.features.Load(); features != nil {
		return *features, true
	}
	return 0, false
}

func (s *Sender) stamp(sentAt clock.Microseconds) messageage.Stamp {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.ageEstimator.Stamp(sentAt)
}

// Send queues a message, or drops it if the queue is full. It never blocks.
func (s *Sender) Send(ctx context.Context, message consensus.Message) {
	now := s.options.Clock.Now()
	if message.Kind == consensus.MsgElection || message.Kind == consensus.MsgConfirmLeadership {
		go s.deliver(ctx, now, urgentTimeoutDeltas*s.options.Delta, []consensus.Message{message})
		return
	}
	// A message that is larger than maxQueuedBytes is queued if no other message is waiting.
	size := int64(message.Size())
	queuedTotal := s.queuedBytes.Add(size)
	if queuedTotal > maxQueuedBytes && queuedTotal > size {
		s.drop(size)
		return
	}
	select {
	case s.queue <- outboundMessage{Message: message, queuedAt: now}:
	default:
		s.drop(size)
	}
}

func (s *Sender) drop(size int64) {
	s.queuedBytes.Add(-size)
	s.options.Counters.Dropped.Add(1)
}

// Run sends the queued messages, one batch after another, until the context ends.
func (s *Sender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.queue:
			s.deliver(ctx, first.queuedAt, batchTimeoutDeltas*s.options.Delta, s.takeBatch(first))
		}
	}
}

// takeBatch returns the first message, followed by queued messages until the batch has at least maxBatchBytes.
func (s *Sender) takeBatch(first outboundMessage) []consensus.Message {
	messages := []consensus.Message{first.Message}
	size := first.Size()
	for remaining := len(s.queue); remaining > 0 && size < maxBatchBytes; remaining-- {
		next := <-s.queue
		messages = append(messages, next.Message)
		size += next.Size()
	}
	s.queuedBytes.Add(-int64(size))
	return messages
}

// deliver sends messages in one call. If there is no estimate of the receiver's clock yet, deliver first sends an empty
// batch, whose response has a clock reading.
func (s *Sender) deliver(ctx context.Context, sentAt, timeout clock.Microseconds, messages []consensus.Message) {
	stamp := s.stamp(sentAt)
	if !stamp.Known {
		s.sendBatch(ctx, sentAt, timeout, &MessageBatch{Sender: s.options.Self})
		stamp = s.stamp(sentAt)
	}
	batch := &MessageBatch{Stamp: stamp, Sender: s.options.Self, Messages: messages}
	delivered := s.sendBatch(ctx, sentAt, timeout, batch)
	if !delivered {
		s.options.Counters.Dropped.Add(int64(len(messages)))
		return
	}
	s.options.Counters.Sent.Add(int64(len(messages)))
}

// sendBatch sends a batch and reports whether the call got a response.
func (s *Sender) sendBatch(ctx context.Context, sentAt, timeout clock.Microseconds, batch *MessageBatch) bool {
	target := transport.Target{Address: s.options.Address, Procedure: DeliverPath, Timeout: timeout}
	response, err := transport.Call[MessageBatch, MessageBatchResponse](ctx, s.options.Transport, target, batch)
	if err != nil {
		return false
	}
	s.features.Store(&response.Features)
	reading := messageage.ClockReading{Incarnation: response.Incarnation, Clock: response.Clock}
	s.lock.Lock()
	s.ageEstimator.RecordReading(s.options.Clock.Now(), reading)
	identityChanged := s.identity != response.Identity
	s.identity = response.Identity
	s.lock.Unlock()
	if identityChanged {
		s.options.OnIdentity(response.Identity)
	}
	for _, echo := range response.Echoes {
		s.options.OnEcho(sentAt, echo)
	}
	return true
}
