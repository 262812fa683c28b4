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
	// maxBatchSteps bounds the steps that are sent at once.
	maxBatchSteps = 512
	// senderQueueSteps is how many steps may wait for one member.
	senderQueueSteps = 4 * maxBatchSteps
	// failedMemberBackoff is for how long a member that did not respond is asked after the others.
	failedMemberBackoff = 2 * clock.Second
	// failedMemberCost and otherZoneCost add up to the cost of asking a member.
	failedMemberCost = 2
	otherZoneCost    = 1
)

// shardMember is one replica of one shard.
type shardMember struct {
	shard   int
	address string
}

// reservationRequest is a step and what is called with its response.
type reservationRequest struct {
	controlapi.ReservationStep
	// onResponse receives the response, or false if none was received.
	onResponse func(idempotency.Answer, bool)
}

// reservationSender sends claims and releases to one member, in order, one batch at a time.
type reservationSender struct {
	shardMember
	handler *Handler
	queue   chan reservationRequest
	// lock guards failedAt, which is zero if the last batch was answered.
	lock     sync.Mutex
	failedAt clock.Microseconds
}

// senderTable has a router's senders by member. Its fields are guarded by lock.
type senderTable struct {
	lock sync.Mutex
	// ctx bounds the senders' goroutines.
	ctx     context.Context
	senders map[shardMember]*reservationSender
	// restored has, by member, the incarnation of the reservation table that was restored.
	restored map[shardMember]uint64
}

// newSenderTable makes a table without senders.
func newSenderTable() senderTable {
	return senderTable{
		senders:  map[shardMember]*reservationSender{},
		restored: map[shardMember]uint64{},
	}
}

// start sets the context of the senders. It comes before the first senderFor.
func (s *senderTable) start(ctx context.Context) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ctx = ctx
}

// senderFor returns the sender of a member and starts it if there is none.
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

// enqueue queues a step, and reports whether there was capacity.
func (s *reservationSender) enqueue(step controlapi.ReservationStep, onResponse func(idempotency.Answer, bool)) bool {
	select {
	case s.queue <- reservationRequest{step, onResponse}:
		return true
	default:
		return false
	}
}

// run sends what is queued until the context ends. The consensus messages of a member have a sender
// of their own, messaging.Sender, which bounds queue and batches by bytes and stamps each batch with the age of its messages.
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

// sendBatch sends one batch and passes the verdicts on.
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

// isValidResponse reports whether a response of a member has a verdict and an owner for each step.
func isValidResponse(response *controlapi.ReservationsResponse, steps int) bool {
	return response.Slot >= 0 && len(response.Verdicts) == steps && len(response.Holders) == steps
}

// recordResponse notes whether the member responded to the last batch.
func (s *reservationSender) recordResponse(received bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.failedAt = 0
	if !received {
		s.failedAt = s.handler.clock.Now()
	}
}

// cost orders members: those that failed lately last, before them those of other zones.
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
