package httpapi

import (
	"context"
	"crypto/rand"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/state/policy"
	"coursepass/internal/state/registry"
)

// maxAttempts bounds the attempts of a request, and the decodes of one attempt.
const maxAttempts = 3

// enginePair is the pair of engines that one attempt runs at.
type enginePair struct {
	prefiller *registry.PickResult
	decoder   *registry.PickResult
}

// forward runs a request until it ends. After an error, the request's state says what is proven.
func (h *Handler) forward(ctx context.Context, request *forwardedRequest) error {
	for {
		pair, err := h.reserveEngines(ctx, request)
		if err != nil {
			return err
		}
		err = h.runAttempt(ctx, request, pair)
		if err == nil || request.framesSent > 0 {
			return err
		}
		if ctx.Err() != nil || !h.mayRetry(request) {
			return err
		}
		if !request.retryBudget.Withdraw() {
			return errcode.Wrap(err, errcode.RetryBudgetExhausted, "no second attempt")
		}
		h.Retries.Add(1)
		if err := request.Transition(lifecycle.StateQueued); err != nil {
			return err
		}
	}
}

// reserveEngines begins an attempt: it waits for a pair of engines, and then for the
// reservation of the key.
func (h *Handler) reserveEngines(ctx context.Context, request *forwardedRequest) (enginePair, error) {
	var pair enginePair
	if err := request.Transition(lifecycle.StateMatched); err != nil {
		return enginePair{}, err
	}
	// Each attempt is a run of its own, since a run that was cancelled by its ID stays cancelled.
	request.runID = rand.Text()
	selectPair := func(now clock.Microseconds, requirements registry.Requirements) (selected, eligible bool) {
		requirements.Prefix = request.template.Prefix
		pair.prefiller, pair.decoder, eligible = request.engineTable.PickPair(now, requirements)
		return pair.prefiller != nil, eligible
	}
	if err := h.waitForEngine(ctx, request, operationServe, selectPair); err != nil {
		return enginePair{}, err
	}
	if err := h.awaitReservation(ctx, request); err != nil {
		pair.prefiller.Done(registry.DoneInfo{ObservedAt: h.clock.Now()})
		pair.decoder.Done(registry.DoneInfo{ObservedAt: h.clock.Now()})
		return enginePair{}, err
	}
	return pair, nil
}

// runAttempt runs one attempt at a pair of engines.
func (h *Handler) runAttempt(ctx context.Context, request *forwardedRequest, pair enginePair) error {
	ticket, err := h.prefill(ctx, request, pair.prefiller)
	if err != nil {
		pair.decoder.Done(registry.DoneInfo{ObservedAt: h.clock.Now()})
		return err
	}
	return h.decode(ctx, request, pair, ticket)
}

// mayRetry reports whether a failed attempt may be followed by another: with proof that it did not
// start, or by the leader's decision where the template allows repeats. The caller of mayRetry
// withdraws from the retry budget.
func (h *Handler) mayRetry(request *forwardedRequest) bool {
	notStarted := request.State == lifecycle.StateMatched
	if request.Attempts >= maxAttempts {
		return false
	}
	if !notStarted && (request.template.OneShot() || !request.retryAllowed) {
		return false
	}
	expression := policy.Cached(policy.KindRetry, request.template.RetryWhen)
	if expression == nil {
		return true
	}
	timeLeft := request.deadline - h.clock.Now()
	return expression.Evaluate(h.policyVariables(request, policy.Variables{
		"tries":            request.Attempts,
		"proved":           notStarted,
		"leftMilliseconds": int64(timeLeft / clock.Millisecond),
	}))
}
