package httpapi

import (
	"context"
	"encoding/json"
	"net/http"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/credential"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// AnswerRequest is the body of POST /v1/answer.
type AnswerRequest struct {
	Tenant string `json:"tenant"`
	// Kind names the tenant's request template.
	Kind string `json:"kind"`
	// Key is the caller's idempotency key.
	Key    string `json:"key"`
	Prompt string `json:"prompt"`
	// Tokens is the number of tokens to generate.
	Tokens int `json:"tokens"`
	// StartMilliseconds is a shorter start timeout than the template's. With 0, the template's start
	// timeout applies.
	StartMilliseconds int64 `json:"startMilliseconds,omitempty"`
}

// AnswerFrame is one line of a streamed response. A response is complete only if it ends with a final
// frame, whose Count is the number of frames before it.
type AnswerFrame struct {
	Run    string `json:"run"`
	Number int    `json:"number,omitempty"`
	Text   string `json:"text,omitempty"`
	Final  bool   `json:"final,omitempty"`
	Count  int    `json:"count,omitempty"`
}

// forwardedRequest is one request that the router processes. Only the goroutine that serves the
// request accesses its fields.
type forwardedRequest struct {
	*lifecycle.StateMachine
	AnswerRequest
	template    config.Template
	service     config.Service
	engineTable *registry.Table
	retryBudget *lifecycle.RetryBudget
	startedAt   clock.Microseconds
	// startDeadline is the time by which the first frame is due.
	startDeadline clock.Microseconds
	// deadline is the time at which the request is cancelled.
	deadline clock.Microseconds
	// runID identifies the current attempt at the engines.
	runID string
	// keyReserved says whether the router's own table has reserved the idempotency key for this request,
	// under reservationNumber.
	keyReserved       bool
	reservationNumber uint64
	// reservation is the reservation of the key at the control plane. It is nil unless the template is
	// one-shot.
	reservation *keyReservation
	// priorOutcome is the outcome of an earlier request with the same key, or empty if there is none.
	priorOutcome lifecycle.Outcome
	// excludedEngines has the names of the engines at which a call of this request failed.
	excludedEngines map[string]bool
	responseWriter  http.ResponseWriter
	// encoder and controller are nil until the stream has started.
	encoder    *json.Encoder
	controller *http.ResponseController
	framesSent int
	// retryAllowed is the leader's decision on a retry after the last failed call.
	retryAllowed bool
}

// reservationKey returns the idempotency key with the tenant's name, which makes it unique among all
// tenants.
func (f *forwardedRequest) reservationKey() string { return f.Tenant + "/" + f.Key }

// handleAnswer serves POST /v1/answer.
func (h *Handler) handleAnswer(writer http.ResponseWriter, httpRequest *http.Request) {
	h.Received.Add(1)
	now := h.clock.Now()
	request := &forwardedRequest{
		StateMachine:    lifecycle.NewStateMachine(),
		responseWriter:  writer,
		excludedEngines: map[string]bool{},
	}
	if err := readRequest(request, httpRequest); err != nil {
		h.reject(request, err)
		return
	}
	if !h.inFlight.Begin() {
		h.StaleRejections.Add(1)
		h.reject(request, errcode.New(errcode.RouterDraining, "router %q is draining", h.node.Name))
		return
	}
	defer h.inFlight.End()
	queueDepth, err := h.admit(now, request, httpRequest)
	if err != nil {
		h.reject(request, err)
		return
	}
	queueDepth.Add(1)
	defer queueDepth.Add(-1)
	h.Admitted.Add(1)
	ctx, cancel := context.WithTimeout(httpRequest.Context(), (request.deadline - now).Duration())
	defer cancel()
	h.finish(request, h.forward(ctx, request))
}

// reject ends a request of which nothing has been streamed with an error response. The response does
// not claim more about the execution than is proven.
func (h *Handler) reject(request *forwardedRequest, err error) {
	switch request.State {
	case lifecycle.StateReceived, lifecycle.StateQueued, lifecycle.StateMatched:
		request.State = lifecycle.StateRejected
	default:
	}
	outcome := request.Outcome()
	h.recordOutcome(request, outcome)
	if request.priorOutcome != "" {
		outcome = request.priorOutcome
	}
	switch request.State {
	case lifecycle.StateRejected:
		h.Rejected.Add(1)
	case lifecycle.StateFailed:
		h.Failed.Add(1)
	default:
		h.Unknown.Add(1)
	}
	code := errcode.CodeOf(err, errcode.ExecutionUnknown)
	if code == errcode.Unauthenticated {
		request.responseWriter.Header().Set(credential.HeaderChallenge, credential.Scheme)
	}
	retryAfter := h.retryAfter(request, code)
	transport.WriteError(request.responseWriter, err, string(outcome), retryAfter)
}

// finish ends an admitted request. A failure after the first frame aborts the connection, so that the
// caller sees that the response is truncated; an earlier failure gets an error response.
func (h *Handler) finish(request *forwardedRequest, err error) {
	switch {
	case err == nil:
		h.recordOutcome(request, lifecycle.OutcomeRun)
		h.Completed.Add(1)
	case request.framesSent > 0:
		_ = request.Transition(lifecycle.StateTruncated) // The stream ends here, whatever the request's state was.
		h.recordOutcome(request, lifecycle.OutcomeRun)
		h.Truncated.Add(1)
		panic(http.ErrAbortHandler)
	default:
		h.reject(request, err)
	}
}
