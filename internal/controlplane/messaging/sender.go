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

type outboundMessage struct {
	consensus.Message
	queuedAt clock.Microseconds
}

// Counters of messages. All senders of a server share them.
type Counters struct {
	Sent    atomic.Int64
	Dropped atomic.Int64
}

// Options of a sender.
type Options struct {
	Transport *transport.Internal
	Clock     *clock.Clock
	Counters  *Counters
	// Self names the sending server in batches.
	Self consensus.Member
	// Address is the internal address of the other server.
	Address string
	// Delta is the bound δ on the delay of messages.
	Delta clock.Microseconds
	// OnEcho gets each echo, with the time at which its batch's first message was queued.
	OnEcho func(sentAt clock.Microseconds, echo consensus.Echo)
}

// Sender carries the messages of all shards to one other server. Election messages have calls of their own,
// so that no message before them can delay them.
type Sender struct {
	options Options
	queue   chan outboundMessage
	// queuedBytes is the size of the messages in the queue.
	queuedBytes atomic.Int64
	// features are those of the other server's last response, nil before.
	features atomic.Pointer[Features]

	// lock guards ageEstimator.
	lock         sync.Mutex
	ageEstimator messageage.Estimator
}

// NewSender makes a sender. Messages other than those of elections wait until Run is called.
func NewSender(options Options) *Sender {
	return &Sender{options: options, queue: make(chan outboundMessage, maxQueuedMessages)}
}

// Features returns what the build of the other server knows; false if it has not responded yet.
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
	// A message that is larger than the limit may wait alone.
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

// Run delivers queued messages, one batch after another, until the context ends.
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

// takeBatch returns the first message and those queued behind it that fit into its batch.
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

// deliver sends messages in one call. Without an estimate of the receiver's clock an empty batch goes
// first, whose response brings one.
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

// sendBatch tells whether the call was answered.
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
	s.lock.Unlock()
	for _, echo := range response.Echoes {
		s.options.OnEcho(sentAt, echo)
	}
	return true
}
