package router

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

// forward runs a request until it ends. After an error, the request's state says what is proven.
func (r *Router) forward(ctx context.Context, request *forwardedRequest) error {
	for {
		prefiller, decoder, err := r.reserveEngines(ctx, request)
		if err != nil {
			return err
		}
		err = r.runAttempt(ctx, request, prefiller, decoder)
		if err == nil || request.framesSent > 0 {
			return err
		}
		if ctx.Err() != nil || !r.mayRetry(request) {
			return err
		}
		if !request.retryBudget.Withdraw() {
			return errcode.Wrap(err, errcode.RetryBudgetExhausted, "no second attempt")
		}
		r.Retries.Add(1)
		if err := request.Transition(lifecycle.StateQueued); err != nil {
			return err
		}
	}
}

// reserveEngines begins an attempt: it waits for a pair of engines, and then for the
// reservation of the key.
func (r *Router) reserveEngines(ctx context.Context, request *forwardedRequest) (prefiller, decoder *registry.PickResult, err error) {
	if err := request.Transition(lifecycle.StateMatched); err != nil {
		return nil, nil, err
	}
	// Each attempt is a run of its own, since a run that was cancelled by its ID stays cancelled.
	request.runID = rand.Text()
	selectPair := func(now clock.Microseconds, requirements registry.Requirements) (selected, eligible bool) {
		requirements.Prefix = request.template.Prefix
		prefiller, decoder, eligible = request.engineTable.PickPair(now, requirements)
		return prefiller != nil, eligible
	}
	if err := r.waitForEngine(ctx, request, operationServe, selectPair); err != nil {
		return nil, nil, err
	}
	if err := r.awaitReservation(ctx, request); err != nil {
		prefiller.Done(registry.DoneInfo{ObservedAt: r.clock.Now()})
		decoder.Done(registry.DoneInfo{ObservedAt: r.clock.Now()})
		return nil, nil, err
	}
	return prefiller, decoder, nil
}

// runAttempt runs one attempt at a pair of engines.
func (r *Router) runAttempt(ctx context.Context, request *forwardedRequest, prefiller, decoder *registry.PickResult) error {
	ticket, err := r.prefill(ctx, request, prefiller)
	if err != nil {
		decoder.Done(registry.DoneInfo{ObservedAt: r.clock.Now()})
		return err
	}
	return r.decode(ctx, request, prefiller, decoder, ticket)
}

// mayRetry reports whether a failed attempt may be followed by another: with proof that it did not
// start, or by the leader's decision where the template allows repeats. The caller of mayRetry
// withdraws from the retry budget.
func (r *Router) mayRetry(request *forwardedRequest) bool {
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
	timeLeft := request.deadline - r.clock.Now()
	return expression.Evaluate(r.policyVariables(request, policy.Variables{
		"tries":            request.Attempts,
		"proved":           notStarted,
		"leftMilliseconds": int64(timeLeft / clock.Millisecond),
	}))
}

// policyVariables adds to the values the variables of a request that each policy expression sees.
func (r *Router) policyVariables(request *forwardedRequest, values policy.Variables) policy.Variables {
	values["tokens"] = request.Tokens
	values["promptBytes"] = len(request.Prompt)
	values["hall"] = r.Hall
	return values
}

// matchPolicy is the template's policy on engines, nil if it has none.
func (r *Router) matchPolicy(request *forwardedRequest) func(registry.Engine, string) bool {
	expression := policy.Cached(policy.KindMatch, request.template.Match)
	if expression == nil {
		return nil
	}
	return func(candidate registry.Engine, version string) bool {
		return expression.Evaluate(r.policyVariables(request, policy.Variables{
			"engineName":    candidate.Name,
			"engineHall":    candidate.Hall,
			"engineVersion": version,
		}))
	}
}

// prefill has an engine read the prompt, and returns the ticket of its KV cache.
func (r *Router) prefill(parent context.Context, request *forwardedRequest, target *registry.PickResult) (engineapi.Ticket, error) {
	ctx, watchdog := r.startWatchdog(parent, request, target)
	defer watchdog.stop()
	doneInfo := registry.DoneInfo{}
	defer func() {
		doneInfo.ObservedAt = r.clock.Now()
		target.Done(doneInfo)
	}()
	_ = request.Transition(lifecycle.StatePrefilling) // Always allowed: the request is matched.
	request.RecordSend()
	request.Attempts++
	response, err := r.post(ctx, target.Address, engineapi.PrefillPath, engineapi.PrefillRequest{
		Run:          request.runID,
		Key:          request.reservationKey(),
		Service:      request.template.Service,
		Version:      target.Version,
		Prefix:       request.template.Prefix,
		PrefixTokens: request.service.Prefixes[request.template.Prefix].Tokens,
		Prompt:       request.Prompt,
		Timeout:      request.deadline - r.clock.Now(),
	})
	if err != nil {
		doneInfo.Failed = parent.Err() == nil
		return engineapi.Ticket{}, r.handleUnknownOutcome(parent, request, target, pairing.RolePrefill, err)
	}
	defer closeBody(response)
	doneInfo.Running = reportedRunning(response)
	if response.StatusCode != http.StatusOK {
		code := rejectionCode(response)
		doneInfo.Saturated = code.ProvesNotStarted()
		doneInfo.WarmingUp = code == errcode.EngineWarmingUp
		return engineapi.Ticket{}, r.handleRejection(parent, request, target, pairing.RolePrefill, code)
	}
	var ticket engineapi.Ticket
	body := io.LimitReader(response.Body, maxEngineReplyBytes)
	if json.NewDecoder(body).Decode(&ticket) != nil || ticket.Run != request.runID {
		err := errcode.New(errcode.ExecutionUnknown, "no ticket from %s", target.Name)
		return engineapi.Ticket{}, r.handleUnknownOutcome(parent, request, target, pairing.RolePrefill, err)
	}
	doneInfo.Prefix = request.template.Prefix
	return ticket, request.Transition(lifecycle.StateTransferred)
}

// decode has the decode engine take the ticket over and generate. Only the engine's own proof that
// it did not start lets another engine have the same ticket.
func (r *Router) decode(ctx context.Context, request *forwardedRequest, prefiller, decoder *registry.PickResult, ticket engineapi.Ticket) error {
	for attempts := 1; ; attempts++ {
		err := r.runDecode(ctx, request, prefiller, decoder, ticket)
		if err == nil || request.State != lifecycle.StateTransferred {
			return err
		}
		code := errcode.CodeOf(err, errcode.ExecutionUnknown)
		if code == errcode.KVHandleUnknown || attempts >= maxAttempts || !request.retryBudget.Withdraw() {
			request.retryAllowed = false
			// A busy decode engine is no failure, and an expired KV cache is no reason to
			// suspect its prefill engine.
			if code == errcode.KVHandleUnknown {
				failure := engineFailure{engine: prefiller.Name, phase: pairing.RoleDecode, blameless: true}
				request.retryAllowed = r.reportFailure(ctx, request, failure).Retry
			}
			return r.abandonKVCache(ctx, request, prefiller, err, "decode")
		}
		r.Retries.Add(1)
		selectDecoder := func(now clock.Microseconds, requirements registry.Requirements) (selected, eligible bool) {
			requirements.Role = pairing.RoleDecode
			requirements.PrefillEngine = prefiller.Name
			decoder, eligible = request.engineTable.Pick(now, requirements)
			return decoder != nil, eligible
		}
		err = r.waitForEngine(ctx, request, operationDecode, selectDecoder)
		if err != nil {
			return r.abandonKVCache(ctx, request, prefiller, err, "prompt was prefilled, but no engine decoded it")
		}
	}
}

// abandonKVCache fails a request whose prompt was prefilled and has the prefill engine drop its run.
func (r *Router) abandonKVCache(ctx context.Context, request *forwardedRequest, prefiller *registry.PickResult, err error, reason string) error {
	r.cancelRun(ctx, request.runID, prefiller.Address)
	_ = request.Transition(lifecycle.StateFailed) // Always allowed: the request is transferred.
	return errcode.Wrap(err, errcode.ExecutionFailed, reason)
}

// runDecode runs one decode and relays its frames to the caller.
func (r *Router) runDecode(parent context.Context, request *forwardedRequest, prefiller, target *registry.PickResult, ticket engineapi.Ticket) error {
	ctx, watchdog := r.startWatchdog(parent, request, target)
	defer watchdog.stop()
	doneInfo := registry.DoneInfo{}
	defer func() {
		doneInfo.ObservedAt = r.clock.Now()
		target.Done(doneInfo)
	}()
	_ = request.Transition(lifecycle.StateDecoding) // Always allowed: the request is transferred.
	response, err := r.post(ctx, target.Address, engineapi.DecodePath, engineapi.DecodeRequest{
		Ticket:  ticket,
		Key:     request.reservationKey(),
		Service: request.template.Service,
		Source:  prefiller.Address,
		Tokens:  request.Tokens,
		Timeout: request.deadline - r.clock.Now(),
	})
	if err != nil {
		doneInfo.Failed = parent.Err() == nil
		r.cancelRun(parent, request.runID, prefiller.Address)
		return r.handleUnknownOutcome(parent, request, target, pairing.RoleDecode, err)
	}
	defer closeBody(response)
	doneInfo.Running = reportedRunning(response)
	if response.StatusCode != http.StatusOK {
		code := rejectionCode(response)
		doneInfo.Saturated = code.ProvesNotStarted() && code != errcode.KVHandleUnknown
		doneInfo.WarmingUp = code == errcode.EngineWarmingUp
		return r.handleRejection(parent, request, target, pairing.RoleDecode, code)
	}
	err = request.relayFrames(response.Body, ticket, watchdog.recordFrame)
	if err == nil {
		return request.Transition(lifecycle.StateFinished)
	}
	if request.framesSent == 0 {
		doneInfo.Failed = parent.Err() == nil
		return r.handleUnknownOutcome(parent, request, target, pairing.RoleDecode, err)
	}
	r.cancelRun(parent, request.runID, target.Address)
	failure := engineFailure{engine: target.Name, phase: pairing.RoleDecode}
	go r.reportFailure(context.WithoutCancel(parent), request, failure)
	return err
}
