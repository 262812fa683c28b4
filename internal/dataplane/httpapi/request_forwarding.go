package httpapi

import (
	"context"
	"crypto/rand"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/policy"
	"coursepass/internal/state/registry"
)

// maxAttempts is the maximum number of attempts of a request, and of decode calls in one attempt.
const maxAttempts = 3

// enginePair is the pair of engines on which an attempt runs.
type enginePair struct {
	prefiller *registry.PickResult
	decoder   *registry.PickResult
}

// forward attempts a request until an attempt succeeds or no further attempt is allowed. After an
// error, the request's state says what is proven about the execution.
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
			return errcode.Wrap(err, errcode.RetryBudgetExhausted, "no further attempt")
		}
		h.Retries.Add(1)
		if err := request.Transition(lifecycle.StateQueued); err != nil {
			return err
		}
	}
}

// reserveEngines starts an attempt. It waits for a pair of engines with capacity, and then for the
// reservation of the key. If one of the engines leaves service during that, it waits for another pair.
func (h *Handler) reserveEngines(ctx context.Context, request *forwardedRequest) (enginePair, error) {
	var pair enginePair
	if err := request.Transition(lifecycle.StateMatched); err != nil {
		return enginePair{}, err
	}
	// Each attempt has its own run ID, since an engine does not run an ID that was cancelled.
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
		h.releasePair(pair)
		return enginePair{}, err
	}
	for !pair.inService(request.engineTable) {
		h.releasePair(pair)
		if err := h.waitForEngine(ctx, request, operationServe, selectPair); err != nil {
			return enginePair{}, err
		}
	}
	return pair, nil
}

// inService reports whether both engines still get new work.
func (e enginePair) inService(table *registry.Table) bool {
	return table.InService(e.prefiller.Engine, pairing.RolePrefill) && table.InService(e.decoder.Engine, pairing.RoleDecode)
}

// releasePair ends the runs that are reserved at a pair of engines and were not sent.
func (h *Handler) releasePair(pair enginePair) {
	pair.prefiller.Done(registry.DoneInfo{ObservedAt: h.clock.Now()})
	pair.decoder.Done(registry.DoneInfo{ObservedAt: h.clock.Now()})
}

// runAttempt runs one attempt on a pair of engines.
func (h *Handler) runAttempt(ctx context.Context, request *forwardedRequest, pair enginePair) error {
	ticket, err := h.prefill(ctx, request, pair.prefiller)
	if err != nil {
		pair.decoder.Done(registry.DoneInfo{ObservedAt: h.clock.Now()})
		return err
	}
	return h.decode(ctx, request, pair, ticket)
}

// mayRetry reports whether another attempt may follow a failed one. The failed attempt must be proven
// not to have started, or the request must not be one-shot and the leader must have allowed a retry.
// The template's retry policy must also allow it. The retry budget is not checked here: the caller
// withdraws from it.
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
