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

func (m *sender) stamp(at schedule.Microseconds) link.Stamp {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.gauge.Stamp(at)
}

func (m *sender) send(ctx context.Context, message part.Message) {
	each := outgoing{message, m.clock.Now()}
	if message.Kind == part.Elect || message.Kind == part.Confirm {
		// The answer shows contact, and may take as long again as the message.
		go m.deliver(ctx, each.at, 2*m.delta, []part.Message{message})
		return
	}
	size := int64(message.Size())
	if waiting := m.queued.Add(size); waiting > queuedBytes && waiting > size {
		m.queued.Add(-size)
		m.Dropped.Add(1)
		return
	}
	select {
	case m.queue <- each:
	default:
		m.queued.Add(-size)
		m.Dropped.Add(1)
	}
}

func (m *sender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-m.queue:
			messages := []part.Message{first.Message}
			size := first.Size()
			for more := len(m.queue); more > 0 && size < parcelBytes; more-- {
				messages = append(messages, (<-m.queue).Message)
				size += messages[len(messages)-1].Size()
			}
			m.queued.Add(-int64(size))
			m.deliver(ctx, first.at, 5*m.delta, messages)
		}
	}
}

func (m *sender) deliver(ctx context.Context, at, budget schedule.Microseconds, messages []part.Message) {
	stamp := m.stamp(at)
	if !stamp.Known {
		m.call(ctx, at, budget, &Parcel{Sender: m.self})
		stamp = m.stamp(at)
	}
	if !m.call(ctx, at, budget, &Parcel{Stamp: stamp, Sender: m.self, Messages: messages}) {
		m.Dropped.Add(int64(len(messages)))
		return
	}
	m.Sent.Add(int64(len(messages)))
}

func (m *sender) call(ctx context.Context, at, budget schedule.Microseconds, parcel *Parcel) bool {
	receipt, err := circuit.Call[Parcel, Receipt](ctx, m.inner, m.address, deliverPath, budget, parcel)
	if err != nil {
		return false
	}
	m.lock.Lock()
	m.gauge.Read(m.clock.Now(), link.Reading{Incarnation: receipt.Incarnation, Clock: receipt.Clock})
	m.lock.Unlock()
	for _, echo := range receipt.Echoes {
		m.echoed(at, echo)
	}
	return true
}
