package core

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
	// queuedBytes is how much content may wait for one core: what does not fit is dropped,
	// and asked for or sent again. parcelBytes is how much goes in one call, if more than
	// one message goes in it.
	queuedBytes = 2 << 20
	parcelBytes = 64 << 10
)

// Parcel is a few messages of parts with the stamp of their sending.
type Parcel struct {
	link.Stamp
	Sender   part.Seat
	Messages []part.Message
}

// Receipt answers a parcel: the receiver's clock, and the echoes that its messages ask for.
type Receipt struct {
	Incarnation uint64
	Clock       schedule.Microseconds
	Echoes      []part.Echo
}

type outgoing struct {
	part.Message
	at schedule.Microseconds
}

// Sender counters.
type senderCounters struct {
	Sent    atomic.Int64
	Dropped atomic.Int64
	Late    atomic.Int64
	Taken   atomic.Int64
	// DiaryMishaps counts claims that could not be written down besides.
	DiaryMishaps atomic.Int64
}

// sender carries the messages of all parts to one other core. Election messages
// go each on their own, so that nothing before them can hold them up.
type sender struct {
	*senderCounters
	inner   *circuit.Inner
	clock   *schedule.Clock
	self    part.Seat
	address string
	delta   schedule.Microseconds
	queue   chan outgoing
	echoed  func(asked schedule.Microseconds, echo part.Echo)
	queued  atomic.Int64
	lock    sync.Mutex
	gauge   link.Gauge
}

func (sender *sender) stamp(at schedule.Microseconds) link.Stamp {
	sender.lock.Lock()
	defer sender.lock.Unlock()
	return sender.gauge.Stamp(at)
}

func (sender *sender) send(ctx context.Context, message part.Message) {
	each := outgoing{message, sender.clock.Now()}
	if message.Kind == part.Elect || message.Kind == part.Confirm {
		// The answer shows contact, and may take as long again as the message.
		go sender.deliver(ctx, each.at, 2*sender.delta, []part.Message{message})
		return
	}
	size := int64(message.Size())
	if waiting := sender.queued.Add(size); waiting > queuedBytes && waiting > size {
		sender.queued.Add(-size)
		sender.Dropped.Add(1)
		return
	}
	select {
	case sender.queue <- each:
	default:
		sender.queued.Add(-size)
		sender.Dropped.Add(1)
	}
}

func (sender *sender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-sender.queue:
			messages := []part.Message{first.Message}
			size := first.Size()
			for more := len(sender.queue); more > 0 && size < parcelBytes; more-- {
				messages = append(messages, (<-sender.queue).Message)
				size += messages[len(messages)-1].Size()
			}
			sender.queued.Add(-int64(size))
			sender.deliver(ctx, first.at, 5*sender.delta, messages)
		}
	}
}

func (sender *sender) deliver(ctx context.Context, at, budget schedule.Microseconds, messages []part.Message) {
	stamp := sender.stamp(at)
	if !stamp.Known {
		sender.call(ctx, at, budget, &Parcel{Sender: sender.self})
		stamp = sender.stamp(at)
	}
	if !sender.call(ctx, at, budget, &Parcel{Stamp: stamp, Sender: sender.self, Messages: messages}) {
		sender.Dropped.Add(int64(len(messages)))
		return
	}
	sender.Sent.Add(int64(len(messages)))
}

func (sender *sender) call(ctx context.Context, at, budget schedule.Microseconds, parcel *Parcel) bool {
	receipt, err := circuit.Call[Parcel, Receipt](ctx, sender.inner, sender.address, deliverPath, budget, parcel)
	if err != nil {
		return false
	}
	sender.lock.Lock()
	sender.gauge.Read(sender.clock.Now(), link.Reading{Incarnation: receipt.Incarnation, Clock: receipt.Clock})
	sender.lock.Unlock()
	for _, echo := range receipt.Echoes {
		sender.echoed(at, echo)
	}
	return true
}
