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
	// hedgeDelay is after how long all members are asked, also those beyond a quorum.
	hedgeDelay = 40 * clock.Millisecond
	// contestedRetryDelay is after how long a member is asked again that had reserved the key for
	// another request.
	contestedRetryDelay = 15 * clock.Millisecond
	// responseSignals is how many responses may be signalled before the waiting request looks.
	responseSignals = 8
)

// keyReservation is the reservation of one request's key at the members of its service's shard. Its
// fields other than responded are guarded by lock.
type keyReservation struct {
	idempotency.Claim
	clock        *clock.Clock
	lock         sync.Mutex
	quorum       *idempotency.QuorumCount
	requested    []*reservationSender
	notRequested []*reservationSender
	released     bool
	// responded is signalled after a response; the reservation has to be looked at again.
	responded chan struct{}
}

// reserveKey reserves the key here and, for a one-shot request, begins to reserve it at the control
// plane, while engines are still being matched.
func (h *Handler) reserveKey(now clock.Microseconds, request *forwardedRequest) error {
	key := request.reservationKey()
	reserved := h.idempotencyKeys.Reserve(now, key)
	switch reserved.Result {
	case lifecycle.KeyConflict:
		request.priorOutcome = cmp.Or(reserved.Earlier.Outcome, lifecycle.OutcomeUnknown)
		return errcode.New(errcode.KeyReused, "%s", request.Key)
	case lifecycle.KeyTableFull:
		return errcode.New(errcode.IdempotencyTableFull, "%s", request.Key)
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

// claimOf is the claim of this router on a key.
func (h *Handler) claimOf(key string, reservationNumber uint64) idempotency.Claim {
	return idempotency.Claim{
		Key:     key,
		By:      idempotency.RequestID{Life: h.reserverID, Number: reservationNumber},
		Address: h.node.InternalAddress,
	}
}

// startReservation asks a quorum of the shard's members to reserve the key, the cheapest ones first.
func (h *Handler) startReservation(now clock.Microseconds, request *forwardedRequest) *keyReservation {
	shard := controlapi.ServiceShard(request.template.Service, h.shards)
	reservation := &keyReservation{
		Claim:     h.claimOf(request.reservationKey(), request.reservationNumber),
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
	reservation.requestFrom(h.quorum())
	return reservation
}

// shardAddresses are the addresses of a shard's members by slot, empty for a vacant one, with the
// epoch of the membership; the seeds as long as the membership is unknown.
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

// requestFrom asks so many more of the members that were not asked yet.
func (k *keyReservation) requestFrom(count int) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.requestLocked(count)
}

// requestLocked is requestFrom with the lock held.
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

// sendTo queues the claim for a member. The lock is held, so that no release can overtake the claim.
func (k *keyReservation) sendTo(sender *reservationSender) {
	step := controlapi.ReservationStep{Claim: k.Claim}
	enqueued := sender.enqueue(step, func(response idempotency.Answer, received bool) {
		k.handleResponse(sender, response, received)
	})
	if !enqueued {
		go k.handleResponse(sender, idempotency.Answer{}, false)
	}
}

// handleResponse counts a member's response. While the reservation is pending, all other members
// are asked after one that did not reserve, and a member that had reserved the key for another
// request is asked again after a delay.
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

// retryContested asks a member again that had reserved the key for another request, if that may
// still help.
func (k *keyReservation) retryContested(sender *reservationSender, slot int) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.quorum.ShouldRetry(k.clock.Now(), slot) {
		k.sendTo(sender)
	}
}

// evaluate returns the outcome so far. A reservation that has failed is released at once, since
// another request may be waiting for it. The lock is held.
func (k *keyReservation) evaluate() idempotency.Outcome {
	outcome := k.quorum.Outcome(k.clock.Now())
	if outcome == idempotency.OutcomeConflict || outcome == idempotency.OutcomeNoQuorum {
		k.release()
	}
	return outcome
}

// release releases the key at all members that were asked, and asks no more. The lock is held.
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

// result returns the outcome so far, and the claim that stands against this one, if any.
func (k *keyReservation) result() (idempotency.Outcome, idempotency.Claim) {
	k.lock.Lock()
	defer k.lock.Unlock()
	outcome := k.evaluate()
	owner, _ := k.quorum.Owner()
	return outcome, owner
}

// awaitReservation lets a one-shot request go on only once a quorum of the shard has reserved its
// key. Nothing has left for an engine before.
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
			return errcode.New(errcode.KeyReused, "%s", request.Key)
		case idempotency.OutcomeNoQuorum:
			h.ReservationsWithoutQuorum.Add(1)
			return errcode.New(errcode.ReservationNoQuorum, "%s", request.Key)
		case idempotency.OutcomePending:
		}
		select {
		case <-ctx.Done():
			return errcode.New(errcode.Cancelled, "the caller left")
		case <-reservation.responded:
		case <-hedgeTimer:
			hedgeTimer = nil
			reservation.requestFrom(h.replicas)
		case <-timeout:
			// The quorum's own timeout has passed too: the next result is final.
		}
	}
}

// recordOutcome notes how a request ended, and releases its key if the request is proven not run. A
// release that is lost leaves the key rejected, which is safe.
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
