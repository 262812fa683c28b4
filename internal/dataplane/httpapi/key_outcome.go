package httpapi

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

const (
	// keyOutcomePath is the procedure by which routers ask each other for the outcome of a key.
	keyOutcomePath    = "/router/key"
	keyOutcomeTimeout = 150 * clock.Millisecond
)

// KeyOutcomeRequest asks a router for the outcome of the request with a key that it reserved.
type KeyOutcomeRequest struct{ Key string }

// KeyOutcomeResponse is the outcome as far as the router knows it, empty if it does not.
type KeyOutcomeResponse struct{ Ending lifecycle.Outcome }

// registerKeyOutcomeHandler serves KeyOutcomeRequest to other routers.
func (h *Handler) registerKeyOutcomeHandler() {
	transport.Handle(h.internal, keyOutcomePath, func(_ context.Context, request *KeyOutcomeRequest) (*KeyOutcomeResponse, error) {
		record, _ := h.idempotencyKeys.Lookup(request.Key)
		return &KeyOutcomeResponse{Ending: record.Outcome}, nil
	})
}

// queryKeyOutcome asks the router that owns a key for the outcome of its request; what that router
// can't tell is unknown. An outcome of not run is not passed on, since another request with
// the key may be running by now.
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
