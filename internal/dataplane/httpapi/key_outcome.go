package httpapi

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

const (
	// keyOutcomePath is the path of calls by which routers ask each other for the outcome of a key.
	keyOutcomePath = "/router/key"
	// keyOutcomeTimeout is the timeout of such a call.
	keyOutcomeTimeout = 150 * clock.Millisecond
)

// KeyOutcomeRequest asks a router for the outcome of the request for which it reserved a key.
type KeyOutcomeRequest struct{ Key string }

// KeyOutcomeResponse has the outcome of the request. It is empty if the router does not know the
// outcome.
type KeyOutcomeResponse struct{ Ending lifecycle.Outcome }

// registerKeyOutcomeHandler registers the handler of KeyOutcomeRequest calls from other routers.
func (h *Handler) registerKeyOutcomeHandler() {
	transport.Handle(h.internal, keyOutcomePath, func(_ context.Context, request *KeyOutcomeRequest) (*KeyOutcomeResponse, error) {
		record, _ := h.idempotencyKeys.Lookup(request.Key)
		return &KeyOutcomeResponse{Ending: record.Outcome}, nil
	})
}

// queryKeyOutcome asks the router that owns a key for the outcome of the request with that key. It
// returns OutcomeRun or OutcomeUnknown. An OutcomeNotRun is reported as unknown, since that outcome
// releases the key and another request with the key may be running by now.
func (h *Handler) queryKeyOutcome(ctx context.Context, owner idempotency.Claim) lifecycle.Outcome {
	if transport.CheckAddress(owner.Address) != nil {
		return lifecycle.OutcomeUnknown
	}
	target := transport.Target{Address: owner.Address, Procedure: keyOutcomePath, Timeout: keyOutcomeTimeout}
	response, err := transport.Call[KeyOutcomeRequest, KeyOutcomeResponse](
		ctx, h.internal, target, &KeyOutcomeRequest{Key: owner.Key},
	)
	if err != nil || response.Ending != lifecycle.OutcomeRun {
		return lifecycle.OutcomeUnknown
	}
	return lifecycle.OutcomeRun
}
