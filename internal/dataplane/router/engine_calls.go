package router

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/engineapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/policy"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	maxAttempts = 3
)

// forward runs a request until it ends. An error leaves the chart in the state that
// tells the caller what is proved.
func (r *Router) forward(ctx context.Context, request *forwardedRequest) error {
	for {
		if err := request.Transition(lifecycle.StateMatched); err != nil {
			return err
		}
		// Each try is a run of its own: what is cancelled under the name of an earlier
		// one stays cancelled.
		request.runID = rand.Text()
		var prefiller, decoder *registry.PickResult
		err := r.waitForEngine(ctx, request, "serve", func(now clock.Microseconds, requirements registry.Requirements) (selected, eligible bool) {
			requirements.Prefix = request.template.Prefix
			prefiller, decoder, eligible = request.engineTable.PickPair(now, requirements)
			return prefiller != nil, eligible
		})
		if err != nil {
			return err
		}
		if err := r.awaitReservation(ctx, request); err != nil {
			prefiller.Done(registry.DoneInfo{ObservedAt: r.clock.Now()})
			decoder.Done(registry.DoneInfo{ObservedAt: r.clock.Now()})
			return err
		}
		ticket, err := r.prefill(ctx, request, prefiller)
		if err == nil {
			err = r.decode(ctx, request, prefiller, decoder, ticket)
		} else {
			decoder.Done(registry.DoneInfo{ObservedAt: r.clock.Now()})
		}
		if err == nil || request.framesSent > 0 {
			return err
		}
		if ctx.Err() != nil || !r.mayRetry(request) {
			return err
		}
		if !request.retryBudget.Withdraw() {
			return errcode.Wrap(err, errcode.RetryBudgetExhausted, "no second try")
		}
		r.Retries.Add(1)
		if err := request.Transition(lifecycle.StateQueued); err != nil {
			return err
		}
	}
}

// mayRetry tells whether a try that came to nothing may be followed by another:
// with proof that it did not start, or by the leader's ruling where the template
// lets the request be repeated. The budget of repeats has its say after that.
func (r *Router) mayRetry(request *forwardedRequest) bool {
	notStarted := request.State == lifecycle.StateMatched
	if request.Attempts >= maxAttempts || !notStarted && (request.template.OneShot() || !request.retryAllowed) {
		return false
	}
	expression := policy.Cached(policy.KindRetry, request.template.RepeatWhen)
	return expression == nil || expression.Evaluate(r.policyVariables(request, policy.Variables{
		"tries": request.Attempts, "proved": notStarted, "leftMilliseconds": int64((request.deadline - r.clock.Now()) / clock.Millisecond),
	}))
}

// policyVariables are what the template's rules see of a request.
func (r *Router) policyVariables(request *forwardedRequest, values policy.Variables) policy.Variables {
	values["tokens"], values["promptBytes"], values["hall"] = request.Tokens, len(request.Prompt), r.Node.Hall
	return values
}

// matchPolicy is the template's rule on engines, if it has one.
func (r *Router) matchPolicy(request *forwardedRequest) func(registry.Engine, string) bool {
	expression := policy.Cached(policy.KindMatch, request.template.Match)
	if expression == nil {
		return nil
	}
	return func(candidate registry.Engine, version string) bool {
		return expression.Evaluate(r.policyVariables(request, policy.Variables{"engineName": candidate.Name, "engineHall": candidate.Hall, "engineVersion": version}))
	}
}

// post sends one try to an engine. It is never sent twice by the library, since
// its body can't be read again.
func (r *Router) post(ctx context.Context, address, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.Malformed, path)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, io.NopCloser(bytes.NewReader(encoded)))
	if err != nil {
		return nil, errcode.Wrap(err, errcode.Malformed, path)
	}
	request.ContentLength = int64(len(encoded))
	request.Header.Set("Content-Type", "application/json")
	response, err := r.engineClient.Do(request)
	return response, errcode.Wrap(err, errcode.ConnectionLost, address)
}

func rejectionCode(response *http.Response) errcode.Code {
	var rejection transport.ErrorResponse
	if json.NewDecoder(io.LimitReader(response.Body, 64<<10)).Decode(&rejection) != nil {
		return errcode.ExecutionFailed
	}
	return rejection.Code
}

func (r *Router) prefill(parent context.Context, request *forwardedRequest, target *registry.PickResult) (engineapi.Ticket, error) {
	watchdog := r.startWatchdog(parent, request, target)
	defer watchdog.stop()
	doneInfo := registry.DoneInfo{}
	defer func() { doneInfo.ObservedAt = r.clock.Now(); target.Done(doneInfo) }()
	_ = request.Transition(lifecycle.StatePrefilling)
	request.RecordSend()
	request.Attempts++
	response, err := r.post(watchdog, target.Address, engineapi.PrefillPath, engineapi.PrefillRequest{
		Run: request.runID, Key: request.reservationKey(), Service: request.template.Service, Version: target.Version, Prefix: request.template.Prefix,
		PrefixTokens: request.service.Prefixes[request.template.Prefix].Tokens, Prompt: request.Prompt, Timeout: request.deadline - r.clock.Now(),
	})
	if err != nil {
		doneInfo.Failed = parent.Err() == nil
		return engineapi.Ticket{}, r.handleUnknownOutcome(parent, request, target, pairing.RolePrefill, err)
	}
	defer response.Body.Close()
	doneInfo.Running = reportedRunning(response)
	if response.StatusCode != http.StatusOK {
		code := rejectionCode(response)
		doneInfo.Saturated, doneInfo.WarmingUp = code.ProvesNotStarted(), code == errcode.EngineWarmingUp
		return engineapi.Ticket{}, r.handleRejection(parent, request, target, pairing.RolePrefill, code)
	}
	var ticket engineapi.Ticket
	if json.NewDecoder(io.LimitReader(response.Body, 64<<10)).Decode(&ticket) != nil || ticket.Run != request.runID {
		return engineapi.Ticket{}, r.handleUnknownOutcome(parent, request, target, pairing.RolePrefill, errcode.New(errcode.ExecutionUnknown, "no ticket from %s", target.Name))
	}
	doneInfo.Prefix = request.template.Prefix
	return ticket, request.Transition(lifecycle.StateTransferred)
}

// handleUnknownOutcome ends a try whose outcome is not known, or asks the leader about it.
func (r *Router) handleUnknownOutcome(ctx context.Context, request *forwardedRequest, target *registry.PickResult, phase string, err error) error {
	request.excludedEngines[target.Name] = true
	request.retryAllowed = false
	r.cancelRun(request.runID, target.Address)
	if ctx.Err() == nil {
		request.retryAllowed = r.reportFailure(ctx, request, target.Name, phase, false).Retry
	}
	_ = request.Transition(lifecycle.StateUnknown)
	return errcode.Wrap(err, errcode.ExecutionUnknown, phase+" at "+target.Name)
}

// handleRejection ends a try that an engine answered with a code.
func (r *Router) handleRejection(ctx context.Context, request *forwardedRequest, target *registry.PickResult, phase string, code errcode.Code) error {
	request.excludedEngines[target.Name] = true
	err := errcode.New(code, "%s at %s", phase, target.Name)
	if !code.ProvesNotStarted() {
		if code != errcode.Cancelled {
			request.retryAllowed = r.reportFailure(ctx, request, target.Name, phase, false).Retry
		}
		_ = request.Transition(lifecycle.StateFailed)
		return errcode.Wrap(err, errcode.ExecutionFailed, "the engine's answer")
	}
	if phase == pairing.RolePrefill {
		request.RecordNotStarted()
		_ = request.Transition(lifecycle.StateMatched)
		return errcode.Wrap(err, errcode.NoEngine, "the engine's answer")
	}
	_ = request.Transition(lifecycle.StateTransferred)
	return err
}

// cancelRun ends abandoned work by its name, apart from the caller's own context.
func (r *Router) cancelRun(runID string, addresses ...string) {
	for _, address := range addresses {
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), time.Second)
			defer stop()
			if response, err := r.post(ctx, address, engineapi.CancelPath, engineapi.CancelRequest{Run: runID}); err == nil {
				response.Body.Close()
			}
		}()
	}
}

// decode has the token maker take the ticket. Only the engine's own proof that it did
// not start lets another one have the same ticket.
func (r *Router) decode(ctx context.Context, request *forwardedRequest, prefiller, decoder *registry.PickResult, ticket engineapi.Ticket) error {
	for attempts := 1; ; attempts++ {
		err := r.runDecode(ctx, request, prefiller, decoder, ticket)
		if err == nil || request.State != lifecycle.StateTransferred {
			return err
		}
		code := errcode.CodeOf(err, errcode.ExecutionUnknown)
		if code == errcode.KVHandleUnknown || attempts >= maxAttempts || !request.retryBudget.Withdraw() {
			// A busy token maker is no mishap, and prompt memory that lapsed no reason to
			// suspect its reader.
			if request.retryAllowed = false; code == errcode.KVHandleUnknown {
				request.retryAllowed = r.reportFailure(ctx, request, prefiller.Name, pairing.RoleDecode, true).Retry
			}
			r.cancelRun(request.runID, prefiller.Address)
			_ = request.Transition(lifecycle.StateFailed)
			return errcode.Wrap(err, errcode.ExecutionFailed, "decode")
		}
		r.Retries.Add(1)
		err = r.waitForEngine(ctx, request, "make tokens", func(now clock.Microseconds, requirements registry.Requirements) (selected, eligible bool) {
			requirements.Role, requirements.PrefillEngine = pairing.RoleDecode, prefiller.Name
			decoder, eligible = request.engineTable.Pick(now, requirements)
			return decoder != nil, eligible
		})
		if err != nil {
			r.cancelRun(request.runID, prefiller.Address)
			_ = request.Transition(lifecycle.StateFailed)
			return errcode.Wrap(err, errcode.ExecutionFailed, "prompt read, but no engine made tokens")
		}
	}
}

func (r *Router) runDecode(parent context.Context, request *forwardedRequest, prefiller, target *registry.PickResult, ticket engineapi.Ticket) error {
	watchdog := r.startWatchdog(parent, request, target)
	defer watchdog.stop()
	doneInfo := registry.DoneInfo{}
	defer func() { doneInfo.ObservedAt = r.clock.Now(); target.Done(doneInfo) }()
	_ = request.Transition(lifecycle.StateDecoding)
	response, err := r.post(watchdog, target.Address, engineapi.DecodePath, engineapi.DecodeRequest{
		Ticket: ticket, Key: request.reservationKey(), Service: request.template.Service, Source: prefiller.Address,
		Tokens: request.Tokens, Timeout: request.deadline - r.clock.Now(),
	})
	if err != nil {
		doneInfo.Failed = parent.Err() == nil
		r.cancelRun(request.runID, prefiller.Address)
		return r.handleUnknownOutcome(parent, request, target, pairing.RoleDecode, err)
	}
	defer response.Body.Close()
	doneInfo.Running = reportedRunning(response)
	if response.StatusCode != http.StatusOK {
		code := rejectionCode(response)
		doneInfo.Saturated, doneInfo.WarmingUp = code.ProvesNotStarted() && code != errcode.KVHandleUnknown, code == errcode.EngineWarmingUp
		return r.handleRejection(parent, request, target, pairing.RoleDecode, code)
	}
	err = r.relayFrames(request, response.Body, ticket, watchdog.recordFrame)
	if err == nil {
		return request.Transition(lifecycle.StateFinished)
	}
	if request.framesSent == 0 {
		doneInfo.Failed = parent.Err() == nil
		return r.handleUnknownOutcome(parent, request, target, pairing.RoleDecode, err)
	}
	r.cancelRun(request.runID, target.Address)
	go r.reportFailure(context.WithoutCancel(parent), request, target.Name, pairing.RoleDecode, false)
	return err
}

// relayFrames relays frames of one run, in order, once the ticket was echoed; the final
// frame goes out only when its count fits.
func (r *Router) relayFrames(request *forwardedRequest, body io.Reader, ticket engineapi.Ticket, onFrame func()) error {
	lines := bufio.NewReaderSize(body, 4096)
	echoed := false
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return errcode.Wrap(err, errcode.StreamInterrupted, "decode stream")
		}
		var frame engineapi.Frame
		if err := json.Unmarshal(line, &frame); err != nil {
			return errcode.Wrap(err, errcode.StreamInterrupted, "decode frame")
		}
		switch {
		case frame.Run != request.runID || frame.Code != 0:
			return errcode.New(errcode.StreamInterrupted, "frame of run %s, code %d", frame.Run, frame.Code)
		case !echoed:
			if frame.Ticket == nil || *frame.Ticket != ticket {
				return errcode.New(errcode.KVHandleUnknown, "the ticket was not echoed")
			}
			echoed = true
		case frame.Final:
			if frame.Count != request.framesSent || frame.Count != request.Tokens {
				return errcode.New(errcode.StreamInterrupted, "%d frames, but the count says %d", request.framesSent, frame.Count)
			}
			return request.sendFrame(AnswerFrame{Run: request.runID, Final: true, Count: frame.Count})
		case frame.Number != request.framesSent+1:
			return errcode.New(errcode.StreamInterrupted, "frame %d after %d", frame.Number, request.framesSent)
		default:
			if err := request.startStream(); err != nil {
				return err
			}
			request.framesSent++
			onFrame()
			if err := request.sendFrame(AnswerFrame{Run: request.runID, Number: frame.Number, Text: frame.Text}); err != nil {
				return err
			}
		}
	}
}

func (f *forwardedRequest) startStream() error {
	if f.encoder != nil {
		return nil
	}
	f.encoder, f.controller = json.NewEncoder(f.responseWriter), http.NewResponseController(f.responseWriter)
	f.responseWriter.Header().Set("Content-Type", "application/x-ndjson")
	return f.Transition(lifecycle.StateStreaming)
}

func (f *forwardedRequest) sendFrame(frame AnswerFrame) error {
	if err := f.encoder.Encode(frame); err != nil {
		return errcode.Wrap(err, errcode.ExecutionTimeout, "the caller's circuit")
	}
	return errcode.Wrap(f.controller.Flush(), errcode.ExecutionTimeout, "the caller's circuit")
}

func reportedRunning(response *http.Response) int {
	count, _ := strconv.Atoi(response.Header.Get(engineapi.RunningHeader))
	return count
}
