package httpapi

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
)

const (
	// hedgeDelay is the time after which a pending reservation is requested from all members, rather than
	// from a quorum only.
	hedgeDelay = 40 * clock.Millisecond
	// contestedRetryDelay is the time after which a member that had reserved the key for another request
	// is asked again.
	contestedRetryDelay = 15 * clock.Millisecond
	// responseSignals is the capacity of the channel that signals responses to the waiting request.
	responseSignals = 8
)

// keyReservation is the reservation of a request's key at the members of its service's shard. lock
// guards quorum, requested, notRequested and released.
type keyReservation struct {
	idempotency.Claim
	clock  *clock.Clock
	lock   sync.Mutex
	quorum *idempotency.QuorumCount
	// requested are the senders to the members that have been asked to reserve the key.
	requested []*reservationSender
	// notRequested are the senders to the members that have not been asked, the cheapest first.
	notRequested []*reservationSender
	// released says whether the key has been released at the members.
	released bool
	// responded receives a value after a response, which may have changed the outcome.
	responded chan struct{}
}

// reserveKey reserves the request's key in the router's own table. For a one-shot request, it also
// starts the reservation at the control plane, which then runs while the request waits for engines.
func (h *Handler) reserveKey(now clock.Microseconds, request *forwardedRequest) error {
	key := request.reservationKey()
	reserved := h.idempotencyKeys.Reserve(now, key)
	switch reserved.Result {
	case lifecycle.KeyConflict:
		request.priorOutcome = cmp.Or(reserved.Earlier.Outcome, lifecycle.OutcomeUnknown)
		return errcode.New(errcode.KeyReused, "key %q was used at this router", request.Key)
	case lifecycle.KeyTableFull:
		return errcode.New(errcode.IdempotencyTableFull, "key %q was not reserved", request.Key)
	case lifecycle.KeyReserved:
	}
	request.keyReserved = true
	request.reservationNumber = reserved.Number
	if request.template.OneShot() {
		h.idempotencyKeys.SetReplicated(key, reserved.Number)
		request.reservation = h.startReservation(now, request)
	}
	return nil
}

// newClaim returns this router's claim on a key.
func (h *Handler) newClaim(key string, reservationNumber uint64) idempotency.Claim {
	return idempotency.Claim{
		Key:     key,
		By:      idempotency.RequestID{Life: h.reserverID, Number: reservationNumber},
		Address: h.node.InternalAddress,
	}
}

// startReservation asks a quorum of the shard's members to reserve the key. It chooses the members with
// the lowest cost.
func (h *Handler) startReservation(now clock.Microseconds, request *forwardedRequest) *keyReservation {
	shard := controlapi.ServiceShard(request.template.Service, h.shards)
	reservation := &keyReservation{
		Claim:     h.newClaim(request.reservationKey(), request.reservationNumber),
		clock:     h.clock,
		responded: make(chan struct{}, responseSignals),
	}
	addresses, epoch := h.shardAddresses(shard)
	reservation.quorum = idempotency.NewQuorumCount(now, h.replicas, epoch, reservation.By)
	for slot, address := range addresses {
		if address == "" {
			reservation.quorum.RecordUnreachable(slot)
			continue
		}
		sender := h.senderFor(shardMember{shard, address})
		reservation.notRequested = append(reservation.notRequested, sender)
	}
	slices.SortStableFunc(reservation.notRequested, func(left, right *reservationSender) int {
		return cmp.Compare(left.cost(now), right.cost(now))
	})
	reservation.requestMore(h.quorum())
	return reservation
}

// shardAddresses returns the addresses of a shard's members by slot, and the epoch of the membership.
// The address of a vacant slot is empty. While the membership is unknown, it returns the seeds and
// epoch 0.
func (h *Handler) shardAddresses(shard int) (addresses []string, epoch uint64) {
	membership := h.control.Membership(shard)
	if membership == nil {
		return h.seeds, 0
	}
	for _, member := range membership.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses, membership.Epoch
}

// requestMore asks up to count more members to reserve the key.
func (k *keyReservation) requestMore(count int) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.requestMoreLocked(count)
}

// requestMoreLocked asks up to count more members to reserve the key while the outcome is pending. The
// caller holds the lock.
func (k *keyReservation) requestMoreLocked(count int) {
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

// sendTo queues the claim for a member. The caller holds the lock, so that no release can be queued
// before the claim.
func (k *keyReservation) sendTo(sender *reservationSender) {
	step := controlapi.ReservationStep{Claim: k.Claim}
	enqueued := sender.enqueue(step, func(response idempotency.Answer, received bool) {
		k.handleResponse(sender, response, received)
	})
	if !enqueued {
		go k.handleResponse(sender, idempotency.Answer{}, false)
	}
}

// handleResponse records a member's response, or that none was received. If the member did not reserve
// the key, all members that have not been asked are asked now. If the member had reserved the key for
// another request, it is asked again after a delay, while the outcome is pending.
func (k *keyReservation) handleResponse(sender *reservationSender, response idempotency.Answer, received bool) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if received {
		k.quorum.RecordAnswer(k.clock.Now(), response)
	}
	if !received || response.Verdict != idempotency.VerdictReserved {
		k.requestMoreLocked(len(k.notRequested))
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

// retryContested asks a member again that had reserved the key for another request, if the outcome is
// still pending.
func (k *keyReservation) retryContested(sender *reservationSender, slot int) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.quorum.ShouldRetry(k.clock.Now(), slot) {
		k.sendTo(sender)
	}
}

// evaluate returns the outcome so far. It releases a failed reservation at once, since another request
// may be waiting for the key. The caller holds the lock.
func (k *keyReservation) evaluate() idempotency.Outcome {
	outcome := k.quorum.Outcome(k.clock.Now())
	if outcome == idempotency.OutcomeConflict || outcome == idempotency.OutcomeNoQuorum {
		k.release()
	}
	return outcome
}

// release releases the key at all members that were asked, and prevents further requests. The caller
// holds the lock.
func (k *keyReservation) release() {
	if k.released {
		return
	}
	k.released = true
	k.quorum.Withdraw()
	step := controlapi.ReservationStep{Claim: k.Claim, Release: true}
	for _, sender := range k.requested {
		sender.enqueue(step, func(idempotency.Answer, bool) {})
	}
}

// result returns the outcome so far, and the conflicting claim if there is one.
func (k *keyReservation) result() (idempotency.Outcome, idempotency.Claim) {
	k.lock.Lock()
	defer k.lock.Unlock()
	outcome := k.evaluate()
	owner, _ := k.quorum.Owner()
	return outcome, owner
}

// awaitReservation waits until a quorum of the shard's members has reserved the key of a one-shot
// request, and returns an error if the reservation fails. Nothing is sent to an engine before it succeeds.
// It returns nil at once for a request without a reservation.
func (h *Handler) awaitReservation(ctx context.Context, request *forwardedRequest) error {
	reservation := request.reservation
	if reservation == nil {
		return nil
	}
	hedgeTimer := time.After(hedgeDelay.Duration())
	timeout := time.After(idempotency.ReservationTimeout.Duration())
	for {
		outcome, owner := reservation.result()
		switch outcome {
		case idempotency.OutcomeReserved:
			return nil
		case idempotency.OutcomeConflict:
			request.priorOutcome = h.queryKeyOutcome(ctx, owner)
			return errcode.New(errcode.KeyReused, "key %q is reserved for another request", request.Key)
		case idempotency.OutcomeNoQuorum:
			h.ReservationsWithoutQuorum.Add(1)
			return errcode.New(errcode.ReservationNoQuorum, "no quorum has reserved key %q", request.Key)
		case idempotency.OutcomePending:
		}
		select {
		case <-ctx.Done():
			return errcode.New(errcode.Cancelled, "the caller disconnected or the request timed out before its key was reserved")
		case <-reservation.responded:
		case <-hedgeTimer:
			hedgeTimer = nil
			reservation.requestMore(h.replicas)
		case <-timeout:
			// ReservationTimeout has also passed for the quorum count, so the next result is final.
		}
	}
}

// recordOutcome records the outcome of a request, and releases its key if the request is proven not to
// have run. If the release at a member is lost, the key stays reserved there, and later requests with
// it are rejected, which is safe.
func (h *Handler) recordOutcome(request *forwardedRequest, outcome lifecycle.Outcome) {
	if !request.keyReserved {
		return
	}
	h.idempotencyKeys.Complete(request.reservationKey(), request.reservationNumber, outcome)
	reservation := request.reservation
	if reservation != nil && outcome == lifecycle.OutcomeNotRun {
		reservation.lock.Lock()
		defer reservation.lock.Unlock()
		reservation.release()
	}
}
