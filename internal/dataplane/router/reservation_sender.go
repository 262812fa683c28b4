package router

import (
	"context"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

const (
	maxBatchSteps = 512
	// A seat that did not answer is asked after the others for a while.
	failedMemberBackoff = 2 * clock.Second
)

// shardMember is one core's seat in one part.
type shardMember struct {
	shard   int
	address string
}

type reservationRequest struct {
	controlapi.ReservationStep
	onResponse func(idempotency.Answer, bool)
}

// reservationSender carries claims and releases to one desk, in their order, one batch at a time.
type reservationSender struct {
	shardMember
	router   *Router
	queue    chan reservationRequest
	lock     sync.Mutex
	failedAt clock.Microseconds
}

// senderTable are all that a router has.
type senderTable struct {
	lock     sync.Mutex
	ctx      context.Context
	senders  map[shardMember]*reservationSender
	restored map[shardMember]uint64
}

func (s *senderTable) start(ctx context.Context) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ctx = ctx
}

func (r *Router) senderFor(member shardMember) *reservationSender {
	table := &r.reservationSenders
	table.lock.Lock()
	defer table.lock.Unlock()
	sender, ok := table.senders[member]
	if !ok {
		sender = &reservationSender{shardMember: member, router: r, queue: make(chan reservationRequest, 4*maxBatchSteps)}
		table.senders[member] = sender
		go sender.run(table.ctx)
	}
	return sender
}

// enqueue queues an errand, and tells whether there was room.
func (r *reservationSender) enqueue(step controlapi.ReservationStep, onResponse func(idempotency.Answer, bool)) bool {
	select {
	case r.queue <- reservationRequest{step, onResponse}:
		return true
	default:
		return false
	}
}

func (r *reservationSender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.queue:
			batch := []reservationRequest{first}
			for remaining := min(len(r.queue), maxBatchSteps-1); remaining > 0; remaining-- {
				batch = append(batch, <-r.queue)
			}
			r.sendBatch(ctx, batch)
		}
	}
}

func (r *reservationSender) sendBatch(ctx context.Context, batch []reservationRequest) {
	request := &controlapi.ReservationsRequest{Part: r.shard}
	for _, entry := range batch {
		request.Steps = append(request.Steps, entry.ReservationStep)
	}
	response, err := transport.Call[controlapi.ReservationsRequest, controlapi.ReservationsResponse](ctx, r.router.internal, r.address, controlapi.ReservationsPath, idempotency.ReservationTimeout, request)
	received := err == nil && response.Slot >= 0 && len(response.Verdicts) == len(batch) && len(response.Holders) == len(batch)
	r.lock.Lock()
	r.failedAt = 0
	if !received {
		r.failedAt = r.router.clock.Now()
	}
	r.lock.Unlock()
	for index, entry := range batch {
		if !received {
			entry.onResponse(idempotency.Answer{}, false)
			continue
		}
		entry.onResponse(idempotency.Answer{Slot: response.Slot, Epoch: response.Epoch, Verdict: response.Verdicts[index], Owner: response.Holders[index]}, true)
	}
}

// cost orders desks: those that fail last, then those of another hall.
func (r *reservationSender) cost(now clock.Microseconds) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	cost := 0
	if r.failedAt > 0 && now-r.failedAt < failedMemberBackoff {
		cost += 2
	}
	if r.router.meter.ZoneOf(r.address) != r.router.Node.Hall {
		cost++
	}
	return cost
}
