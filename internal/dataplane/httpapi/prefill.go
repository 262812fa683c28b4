package httpapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/engineapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// prefill runs the prompt's prefill at an engine, and returns the ticket for the KV cache.
func (h *Handler) prefill(
	parent context.Context, request *forwardedRequest, target *registry.PickResult,
) (engineapi.Ticket, error) {
	call := engineCall{request: request, engine: target, phase: pairing.RolePrefill}
	ctx, watchdog := h.startWatchdog(parent, request, target)
	defer watchdog.stop()
	doneInfo := registry.DoneInfo{}
	defer func() {
		doneInfo.ObservedAt = h.clock.Now()
		target.Done(doneInfo)
	}()
	_ = request.Transition(lifecycle.StatePrefilling) // This cannot fail: the state is StateMatched.
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
	body := io.LimitReader(response.Body, maxEngineResponseBytes)
	if json.NewDecoder(body).Decode(&ticket) != nil || ticket.Run != request.runID {
		err := errcode.New(errcode.ExecutionUnknown, "engine %s returned no valid ticket", target.Name)
		return engineapi.Ticket{}, h.handleUnknownOutcome(parent, call, err)
	}
	doneInfo.Prefix = request.template.Prefix
	return ticket, request.Transition(lifecycle.StateTransferred)
}
