package httpapi

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/engineapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
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
	expression := policy.Cached(policy.KindRetry, request.template.RepeatWhen)
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

// policyVariables adds to the values the variables of a request that each policy expression sees.
func (h *Handler) policyVariables(request *forwardedRequest, values policy.Variables) policy.Variables {
	values["tokens"] = request.Tokens
	values["promptBytes"] = len(request.Prompt)
	values["hall"] = h.node.Hall
	return values
}

// matchPolicy is the template's policy on engines, nil if it has none.
func (h *Handler) matchPolicy(request *forwardedRequest) func(registry.Engine, string) bool {
	expression := policy.Cached(policy.KindMatch, request.template.Match)
	if expression == nil {
		return nil
	}
	return func(candidate registry.Engine, version string) bool {
		return expression.Evaluate(h.policyVariables(request, policy.Variables{
			"engineName":    candidate.Name,
			"engineHall":    candidate.Hall,
			"engineVersion": version,
		}))
	}
}

// prefill has an engine read the prompt, and returns the ticket of its KV cache.
func (h *Handler) prefill(parent context.Context, request *forwardedRequest, target *registry.PickResult) (engineapi.Ticket, error) {
	call := engineCall{request: request, engine: target, phase: pairing.RolePrefill}
	ctx, watchdog := h.startWatchdog(parent, request, target)
	defer watchdog.stop()
	doneInfo := registry.DoneInfo{}
	defer func() {
		doneInfo.ObservedAt = h.clock.Now()
		target.Done(doneInfo)
	}()
	_ = request.Transition(lifecycle.StatePrefilling) // Always allowed: the request is matched.
	request.RecordSend()
	request.Attempts++
	response, err := h.post(ctx, target.Address, engineapi.PrefillPath, engineapi.PrefillRequest{
		Run:          request.runID,
		Key:          request.reservationKey(),
		Service:      request.template.Service,
		Version:      target.Version,
		Prefix:       request.template.Prefix,
		PrefixTokens: request.service.Prefixes[request.template.Prefix].Tokens,
		Prompt:       request.Prompt,
		Timeout:      request.deadline - h.clock.Now(),
	})
	if err != nil {
		doneInfo.Failed = parent.Err() == nil
		return engineapi.Ticket{}, h.handleUnknownOutcome(parent, call, err)
	}
	defer closeBody(response)
	doneInfo.Running = reportedRunning(response)
	if response.StatusCode != http.StatusOK {
		code := rejectionCode(response)
		doneInfo.Saturated = code.ProvesNotStarted()
		doneInfo.WarmingUp = code == errcode.EngineWarmingUp
		return engineapi.Ticket{}, h.handleRejection(parent, call, code)
	}
	var ticket engineapi.Ticket
	body := io.LimitReader(response.Body, maxEngineReplyBytes)
	if json.NewDecoder(body).Decode(&ticket) != nil || ticket.Run != request.runID {
		err := errcode.New(errcode.ExecutionUnknown, "no ticket from %s", target.Name)
		return engineapi.Ticket{}, h.handleUnknownOutcome(parent, call, err)
	}
	doneInfo.Prefix = request.template.Prefix
	return ticket, request.Transition(lifecycle.StateTransferred)
}

// decode has the decode engine take the ticket over and generate. Only the engine's own proof that
// it did not start lets another engine have the same ticket.
func (h *Handler) decode(ctx context.Context, request *forwardedRequest, pair enginePair, ticket engineapi.Ticket) error {
	for attempts := 1; ; attempts++ {
		err := h.runDecode(ctx, request, pair, ticket)
		if err == nil || request.State != lifecycle.StateTransferred {
			return err
		}
		code := errcode.CodeOf(err, errcode.ExecutionUnknown)
		if code == errcode.KVHandleUnknown || attempts >= maxAttempts || !request.retryBudget.Withdraw() {
			request.retryAllowed = false
			// A busy decode engine is no failure, and an expired KV cache is no reason to
			// suspect its prefill engine.
			if code == errcode.KVHandleUnknown {
				call := engineCall{request: request, engine: pair.prefiller, phase: pairing.RoleDecode, blameless: true}
				request.retryAllowed = h.reportFailure(ctx, call).Retry
			}
			return h.abandonKVCache(ctx, request, pair, errcode.Wrap(err, errcode.ExecutionFailed, "decode"))
		}
		h.Retries.Add(1)
		selectDecoder := func(now clock.Microseconds, requirements registry.Requirements) (selected, eligible bool) {
			requirements.Role = pairing.RoleDecode
			requirements.PrefillEngine = pair.prefiller.Name
			pair.decoder, eligible = request.engineTable.Pick(now, requirements)
			return pair.decoder != nil, eligible
		}
		err = h.waitForEngine(ctx, request, operationDecode, selectDecoder)
		if err != nil {
			err = errcode.Wrap(err, errcode.ExecutionFailed, "prompt was prefilled, but no engine decoded it")
			return h.abandonKVCache(ctx, request, pair, err)
		}
	}
}

// abandonKVCache fails a request whose prompt was prefilled, has the prefill engine drop the run, and
// returns the error that the request ends with.
func (h *Handler) abandonKVCache(ctx context.Context, request *forwardedRequest, pair enginePair, err error) error {
	h.cancelRun(ctx, request.runID, pair.prefiller.Address)
	_ = request.Transition(lifecycle.StateFailed) // Always allowed: the request is transferred.
	return err
}

// runDecode runs one decode and relays its frames to the caller.
func (h *Handler) runDecode(parent context.Context, request *forwardedRequest, pair enginePair, ticket engineapi.Ticket) error {
	call := engineCall{request: request, engine: pair.decoder, phase: pairing.RoleDecode}
	ctx, watchdog := h.startWatchdog(parent, request, pair.decoder)
	defer watchdog.stop()
	doneInfo := registry.DoneInfo{}
	defer func() {
		doneInfo.ObservedAt = h.clock.Now()
		pair.decoder.Done(doneInfo)
	}()
	_ = request.Transition(lifecycle.StateDecoding) // Always allowed: the request is transferred.
	response, err := h.post(ctx, pair.decoder.Address, engineapi.DecodePath, engineapi.DecodeRequest{
		Ticket:  ticket,
		Key:     request.reservationKey(),
		Service: request.template.Service,
		Source:  pair.prefiller.Address,
		Tokens:  request.Tokens,
		Timeout: request.deadline - h.clock.Now(),
	})
	if err != nil {
		doneInfo.Failed = parent.Err() == nil
		h.cancelRun(parent, request.runID, pair.prefiller.Address)
		return h.handleUnknownOutcome(parent, call, err)
	}
	defer closeBody(response)
	doneInfo.Running = reportedRunning(response)
	if response.StatusCode != http.StatusOK {
		code := rejectionCode(response)
		doneInfo.Saturated = code.ProvesNotStarted() && code != errcode.KVHandleUnknown
		doneInfo.WarmingUp = code == errcode.EngineWarmingUp
		return h.handleRejection(parent, call, code)
	}
	err = request.relayFrames(response.Body, ticket, watchdog.recordFrame)
	if err == nil {
		return request.Transition(lifecycle.StateFinished)
	}
	if request.framesSent == 0 {
		doneInfo.Failed = parent.Err() == nil
		return h.handleUnknownOutcome(parent, call, err)
	}
	h.cancelRun(parent, request.runID, pair.decoder.Address)
	go h.reportFailure(context.WithoutCancel(parent), call)
	return err
}
