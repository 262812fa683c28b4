package httpapi

import (
	"context"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

const (
	// maxBatchSteps is the maximum number of steps in one call.
	maxBatchSteps = 512
	// senderQueueSteps is the maximum number of steps that wait for one member.
	senderQueueSteps = 4 * maxBatchSteps
	// failedMemberBackoff is the time for which a member that did not respond is asked only after the
	// other members. It is also the Retry-After of a request whose key no quorum reserved.
	failedMemberBackoff = 2 * clock.Second
	// failedMemberCost is the cost of asking a member that failed recently. It exceeds otherZoneCost, so
	// that a working member of another zone is preferred to a failed one of the router's own zone.
	failedMemberCost = 2
	// otherZoneCost is the cost of asking a member of another zone.
	otherZoneCost = 1
)

// shardMember identifies a member of a shard.
type shardMember struct {
	shard   int
	address string
}

// reservationRequest is a step with the callback for its response.
type reservationRequest struct {
	controlapi.ReservationStep
	// onResponse is called with the response and true, or with false if no valid response was received.
	onResponse func(idempotency.Answer, bool)
}

// reservationSender sends claims and releases to one member in the order in which they were queued, one
// batch at a time.
type reservationSender struct {
	shardMember
	handler *Handler
	queue   chan reservationRequest
	// lock guards failedAt.
	lock sync.Mutex
	// failedAt is the time at which the last batch failed, or zero if the member responded to it.
	failedAt clock.Microseconds
}

// senderTable has a router's reservation senders. lock guards the other fields.
type senderTable struct {
	lock sync.Mutex
	// ctx is the context of the senders' goroutines.
	ctx context.Context
	// senders has the sender of each member, by member.
	senders map[shardMember]*reservationSender
	// restored has the incarnation of each member's reservation store to which this router's claims were
	// last sent, by member.
	restored map[shardMember]uint64
}

// newSenderTable returns a table without senders.
func newSenderTable() senderTable {
	return senderTable{
		senders:  map[shardMember]*reservationSender{},
		restored: map[shardMember]uint64{},
	}
}

// start sets the context of the senders' goroutines. It must be called before senderFor.
func (s *senderTable) start(ctx context.Context) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ctx = ctx
}

// senderFor returns the sender of a member. It creates and starts the sender if there is none.
func (h *Handler) senderFor(member shardMember) *reservationSender {
	table := &h.senders
	table.lock.Lock()
	defer table.lock.Unlock()
	sender, ok := table.senders[member]
	if !ok {
		sender = &reservationSender{
			shardMember: member,
			handler:     h,
			queue:       make(chan reservationRequest, senderQueueSteps),
		}
		table.senders[member] = sender
		go sender.run(table.ctx)
	}
	return sender
}

// enqueue queues a step, and reports whether the queue had room for it.
func (s *reservationSender) enqueue(step controlapi.ReservationStep, onResponse func(idempotency.Answer, bool)) bool {
	select {
	case s.queue <- reservationRequest{step, onResponse}:
		return true
	default:
		return false
	}
}

// run sends the queued steps until the context ends. Consensus messages to a member are sent by a
// different sender, messaging.Sender, which limits its queue and batches by bytes and adds the age of
// the messages to each batch.
func (s *reservationSender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.queue:
			batch := []reservationRequest{first}
			for remaining := min(len(s.queue), maxBatchSteps-1); remaining > 0; remaining-- {
				batch = append(batch, <-s.queue)
			}
			s.sendBatch(ctx, batch)
		}
	}
}

// sendBatch sends one batch and calls each step's onResponse.
func (s *reservationSender) sendBatch(ctx context.Context, batch []reservationRequest) {
	request := &controlapi.ReservationsRequest{Part: s.shard}
	for _, entry := range batch {
		request.Steps = append(request.Steps, entry.ReservationStep)
	}
	target := transport.Target{
		Address:   s.address,
		Procedure: controlapi.ReservationsPath,
		Timeout:   idempotency.ReservationTimeout,
	}
	response, err := transport.Call[controlapi.ReservationsRequest, controlapi.ReservationsResponse](
		ctx, s.handler.internal, target, request,
	)
	received := err == nil && isValidResponse(response, len(batch))
	s.recordResponse(received)
	for index, entry := range batch {
		if !received {
			entry.onResponse(idempotency.Answer{}, false)
			continue
		}
		entry.onResponse(idempotency.Answer{
			Slot:    response.Slot,
			Epoch:   response.Epoch,
			Verdict: response.Verdicts[index],
			Owner:   response.Holders[index],
		}, true)
	}
}

// isValidResponse reports whether a response comes from a member and has a verdict and an owner for
// each step.
func isValidResponse(response *controlapi.ReservationsResponse, steps int) bool {
	return response.Slot >= 0 && len(response.Verdicts) == steps && len(response.Holders) == steps
}

// recordResponse records whether the member responded to the last batch.
func (s *reservationSender) recordResponse(received bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.failedAt = 0
	if !received {
		s.failedAt = s.handler.clock.Now()
	}
}

// cost returns the cost of asking the member: members that failed within failedMemberBackoff cost the
// most, then members of other zones.
func (s *reservationSender) cost(now clock.Microseconds) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	cost := 0
	if s.failedAt > 0 && now-s.failedAt < failedMemberBackoff {
		cost += failedMemberCost
	}
	if s.handler.meter.ZoneOf(s.address) != s.handler.node.Zone {
		cost += otherZoneCost
	}
	return cost
}
