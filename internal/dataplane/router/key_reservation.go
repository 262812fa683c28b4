package router

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

const (
	keyOutcomePath    = "/router/key"
	keyOutcomeTimeout = 150 * clock.Millisecond
	// After this the seats that were spared at first are asked as well.
	hedgeDelay = 40 * clock.Millisecond
	// After this a seat that another claimant has is asked again.
	contestedRetryDelay = 15 * clock.Millisecond
)

// KeyOutcomeRequest asks a router what became of a key that it has claimed.
type KeyOutcomeRequest struct{ Key string }

// KeyOutcomeResponse tells it, as far as it is known.
type KeyOutcomeResponse struct{ Ending lifecycle.Outcome }

func (r *Router) registerKeyOutcomeHandler() {
	transport.Handle(r.internal, keyOutcomePath, func(_ context.Context, request *KeyOutcomeRequest) (*KeyOutcomeResponse, error) {
		record, _ := r.idempotencyKeys.Lookup(request.Key)
		return &KeyOutcomeResponse{Ending: record.Outcome}, nil
	})
}

// keyReservation is one request's claim of its key at the seats of its service's part.
type keyReservation struct {
	idempotency.Claim
	clock        *clock.Clock
	lock         sync.Mutex
	quorum       *idempotency.QuorumCount
	requested    []*reservationSender
	notRequested []*reservationSender
	released     bool
	responded    chan struct{}
}

// reserveKey takes the key here and, for a one-shot request, begins to claim it at the
// cores, while engines are still being matched.
func (r *Router) reserveKey(now clock.Microseconds, request *forwardedRequest) error {
	reservationNumber, prior, duplicate, full := r.idempotencyKeys.Reserve(now, request.reservationKey())
	switch {
	case duplicate:
		if request.priorOutcome = prior.Outcome; prior.Outcome == "" {
			request.priorOutcome = lifecycle.OutcomeUnknown
		}
		return errcode.New(errcode.KeyReused, "%s", request.Key)
	case full:
		return errcode.New(errcode.IdempotencyTableFull, "%s", request.Key)
	}
	request.keyReserved, request.reservationNumber = true, reservationNumber
	if request.template.OneShot() {
		r.idempotencyKeys.SetReplicated(request.reservationKey(), reservationNumber)
		request.reservation = r.startReservation(now, request)
	}
	return nil
}

func (r *Router) startReservation(now clock.Microseconds, request *forwardedRequest) *keyReservation {
	shard := controlapi.ServiceShard(request.template.Service, r.Shards)
	reservation := &keyReservation{
		Claim:     idempotency.Claim{Key: request.reservationKey(), By: idempotency.RequestID{Life: r.reserverID, Number: request.reservationNumber}, Address: r.Node.Inner},
		clock:     r.clock,
		responded: make(chan struct{}, 8),
	}
	addresses, epoch := r.Seeds, uint64(0)
	if membership := r.memberships[shard].Load(); membership != nil {
		addresses, epoch = nil, membership.Epoch
		for _, member := range membership.Seats {
			addresses = append(addresses, member.Address)
		}
	}
	reservation.quorum = idempotency.NewQuorumCount(now, r.ShardReplicas(), epoch, reservation.By)
	for slot, address := range addresses {
		if address == "" {
			reservation.quorum.RecordUnreachable(slot)
			continue
		}
		reservation.notRequested = append(reservation.notRequested, r.senderFor(shardMember{shard, address}))
	}
	slices.SortStableFunc(reservation.notRequested, func(left, right *reservationSender) int { return cmp.Compare(left.cost(now), right.cost(now)) })
	reservation.requestFrom(r.ShardReplicas()/2 + 1)
	return reservation
}

// requestFrom puts the claim to so many of the seats that were spared.
func (k *keyReservation) requestFrom(count int) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.requestLocked(count)
}

// requestLocked is ask under the lock.
func (k *keyReservation) requestLocked(count int) {
	if k.quorum.Outcome(k.clock.Now()) != idempotency.OutcomePending {
		return
	}
	count = min(count, len(k.notRequested))
	batch := k.notRequested[:count]
	k.notRequested = k.notRequested[count:]
	k.requested = append(k.requested, batch...)
	for _, sender := range batch {
		k.sendTo(sender)
	}
}

// sendTo queues the claim for a seat. It is queued under the lock, so that no release can
// overtake it.
func (k *keyReservation) sendTo(sender *reservationSender) {
	enqueued := sender.enqueue(controlapi.ReservationStep{Claim: k.Claim}, func(response idempotency.Answer, received bool) { k.handleResponse(sender, response, received) })
	if !enqueued {
		go k.handleResponse(sender, idempotency.Answer{}, false)
	}
}

// handleResponse counts a seat's answer. While the claim is open, all other seats are asked after
// one that did not grant, and one that was taken is asked again after a pause.
func (k *keyReservation) handleResponse(sender *reservationSender, response idempotency.Answer, received bool) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if received {
		k.quorum.RecordAnswer(k.clock.Now(), response)
	}
	if !received || response.Verdict != idempotency.VerdictReserved {
		k.requestLocked(len(k.notRequested))
	}
	if received && k.quorum.ShouldRetry(k.clock.Now(), response.Slot) {
		time.AfterFunc(contestedRetryDelay.Duration(), func() { k.retryContested(sender, response.Slot) })
	}
	k.evaluate()
	select {
	case k.responded <- struct{}{}:
	default:
	}
}

// retryContested asks a seat again that another claimant had, if that may still help.
func (k *keyReservation) retryContested(sender *reservationSender, slot int) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.quorum.ShouldRetry(k.clock.Now(), slot) {
		k.sendTo(sender)
	}
}

// evaluate tells the outcome so far, and releases the grants of a claim that is not won
// at once: another claimant may be waiting for them.
func (k *keyReservation) evaluate() idempotency.Outcome {
	outcome := k.quorum.Outcome(k.clock.Now())
	if outcome == idempotency.OutcomeConflict || outcome == idempotency.OutcomeNoQuorum {
		k.release()
	}
	return outcome
}

// release gives back what the seats have granted, and asks for no more.
func (k *keyReservation) release() {
	if k.released {
		return
	}
	k.released = true
	k.quorum.Withdraw()
	for _, sender := range k.requested {
		sender.enqueue(controlapi.ReservationStep{Claim: k.Claim, Release: true}, func(idempotency.Answer, bool) {})
	}
}

func (k *keyReservation) result() (idempotency.Outcome, idempotency.Claim) {
	k.lock.Lock()
	defer k.lock.Unlock()
	outcome := k.evaluate()
	owner, _ := k.quorum.Owner()
	return outcome, owner
}

// awaitReservation has a one-shot request go on only once a majority of cores keeps its key
// to it. Nothing has left for an engine before.
func (r *Router) awaitReservation(ctx context.Context, request *forwardedRequest) error {
	reservation := request.reservation
	if reservation == nil {
		return nil
	}
	hedgeTimer, timeout := time.After(hedgeDelay.Duration()), time.After(idempotency.ReservationTimeout.Duration())
	for {
		outcome, owner := reservation.result()
		switch outcome {
		case idempotency.OutcomeReserved:
			return nil
		case idempotency.OutcomeConflict:
			request.priorOutcome = r.queryKeyOutcome(ctx, owner)
			return errcode.New(errcode.KeyReused, "%s", request.Key)
		case idempotency.OutcomeNoQuorum:
			r.ReservationsWithoutQuorum.Add(1)
			return errcode.New(errcode.ReservationNoQuorum, "%s", request.Key)
		}
		select {
		case <-ctx.Done():
			return errcode.New(errcode.Cancelled, "the caller left")
		case <-reservation.responded:
		case <-hedgeTimer:
			hedgeTimer = nil
			reservation.requestFrom(r.ShardReplicas())
		case <-timeout:
		}
	}
}

// queryKeyOutcome asks the router that has a key what became of its request; what it can't tell
// is unknown. An ending of not run is not passed on: another may be running by now.
func (r *Router) queryKeyOutcome(ctx context.Context, owner idempotency.Claim) lifecycle.Outcome {
	if transport.CheckAddress(owner.Address) == nil {
		response, err := transport.Call[KeyOutcomeRequest, KeyOutcomeResponse](ctx, r.internal, owner.Address, keyOutcomePath, keyOutcomeTimeout, &KeyOutcomeRequest{Key: owner.Key})
		if err == nil && response.Ending == lifecycle.OutcomeRun {
			return lifecycle.OutcomeRun
		}
	}
	return lifecycle.OutcomeUnknown
}

// recordOutcome notes how a request ended, and gives its key back where it is proved not to
// have run. A release that is lost leaves the key declined, which is safe.
func (r *Router) recordOutcome(request *forwardedRequest, outcome lifecycle.Outcome) {
	if !request.keyReserved {
		return
	}
	r.idempotencyKeys.Complete(request.reservationKey(), request.reservationNumber, outcome)
	if reservation := request.reservation; reservation != nil && outcome == lifecycle.OutcomeNotRun {
		reservation.lock.Lock()
		defer reservation.lock.Unlock()
		reservation.release()
	}
}

// restoreReservations tells a seat that has forgotten which keys are kept to this router, once for
// each of its lives.
func (r *Router) restoreReservations(parent context.Context, address string, response *controlapi.HeadsResponse) {
	for _, head := range response.Parts {
		member := shardMember{head.Part, address}
		r.reservationSenders.lock.Lock()
		restored := r.reservationSenders.restored[member] == head.Claims
		r.reservationSenders.lock.Unlock()
		if head.Part == 0 || !head.Forgetful || restored {
			continue
		}
		now := r.clock.Now()
		request := &controlapi.ReservationsRequest{Part: head.Part}
		for _, key := range r.idempotencyKeys.Replicated() {
			request.Holding = append(request.Holding, idempotency.Claim{
				Key: key.Name, By: idempotency.RequestID{Life: r.reserverID, Number: key.Number}, Address: r.Node.Inner, Age: now - key.ReservedAt,
			})
		}
		if _, err := transport.Call[controlapi.ReservationsRequest, controlapi.ReservationsResponse](parent, r.internal, address, controlapi.ReservationsPath, clock.Second, request); err == nil {
			r.reservationSenders.lock.Lock()
			r.reservationSenders.restored[member] = head.Claims
			r.reservationSenders.lock.Unlock()
		}
	}
}
