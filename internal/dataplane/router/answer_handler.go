package router

import (
	"context"
	"encoding/json"
	"net/http"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const maxBodyBytes = 4 << 20

// AnswerRequest is a caller's request.
type AnswerRequest struct {
	Tenant            string `json:"tenant"`
	Kind              string `json:"kind"`
	Key               string `json:"key"`
	Prompt            string `json:"prompt"`
	Tokens            int    `json:"tokens"`
	StartMilliseconds int64  `json:"startMilliseconds,omitempty"`
}

// AnswerFrame is one line of a streamed answer. Only the final frame, with the count,
// makes an answer whole.
type AnswerFrame struct {
	Run    string `json:"run"`
	Number int    `json:"number,omitempty"`
	Text   string `json:"text,omitempty"`
	Final  bool   `json:"final,omitempty"`
	Count  int    `json:"count,omitempty"`
}

// forwardedRequest is one request on its way through the router.
type forwardedRequest struct {
	*lifecycle.StateMachine
	AnswerRequest
	template          config.Template
	service           config.Service
	engineTable       *registry.Table
	retryBudget       *lifecycle.RetryBudget
	startedAt         clock.Microseconds
	startDeadline     clock.Microseconds
	deadline          clock.Microseconds
	runID             string
	keyReserved       bool
	reservationNumber uint64
	reservation       *keyReservation
	priorOutcome      lifecycle.Outcome
	excludedEngines   map[string]bool
	responseWriter    http.ResponseWriter
	encoder           *json.Encoder
	controller        *http.ResponseController
	framesSent        int
	retryAllowed      bool
}

func (r *Router) handleAnswer(writer http.ResponseWriter, httpRequest *http.Request) {
	r.Received.Add(1)
	now := r.clock.Now()
	request := &forwardedRequest{StateMachine: lifecycle.NewStateMachine(), responseWriter: writer, excludedEngines: map[string]bool{}}
	queue, err := r.admit(now, request, httpRequest)
	if err != nil {
		r.reject(request, err)
		return
	}
	r.inFlight.Add(1)
	queue.Add(1)
	defer func() {
		queue.Add(-1)
		r.inFlight.Done()
	}()
	r.Admitted.Add(1)
	ctx, cancel := context.WithTimeout(httpRequest.Context(), (request.deadline - now).Duration())
	defer cancel()
	r.finish(request, r.forward(ctx, request))
}

// admit checks a request against what is in force. Nothing has left for an engine
// before it is done, so every decline here is proved not run.
func (r *Router) admit(now clock.Microseconds, request *forwardedRequest, httpRequest *http.Request) (interface{ Add(int64) int64 }, error) {
	if err := transport.ReadJSON(request.responseWriter, httpRequest, maxBodyBytes, &request.AnswerRequest); err != nil {
		return nil, err
	}
	if request.Key == "" || len(request.Key) > 128 {
		return nil, errcode.New(errcode.KeyMissing, "%d characters", len(request.Key))
	}
	if err := r.checkAcceptsWork(); err != nil {
		r.StaleRejections.Add(1)
		return nil, err
	}
	view := r.configView.Load()
	if view == nil {
		return nil, errcode.New(errcode.UnknownTenant, "no configuration is in force")
	}
	template, err := view.Plan.Template(request.Tenant, request.Kind)
	if err != nil {
		return nil, err
	}
	if request.Tokens < 1 || request.Tokens > template.MostTokens {
		return nil, errcode.New(errcode.InvalidTimeout, "tokens: %d is not between 1 and %d", request.Tokens, template.MostTokens)
	}
	if request.StartMilliseconds < 0 || request.StartMilliseconds > template.StartMilliseconds {
		return nil, errcode.New(errcode.InvalidTimeout, "startMilliseconds: %d is not between 1 and %d", request.StartMilliseconds, template.StartMilliseconds)
	}
	request.template, request.service = template, view.Plan.Services[template.Service]
	request.engineTable = r.engineTable(template.Service)
	retryBudget, queue := r.budgetAndQueue(request.Tenant, template.Service)
	request.retryBudget = retryBudget
	request.startedAt, request.startDeadline, request.deadline = now, now+template.StartTimeout(), now+template.TotalTimeout()
	if request.StartMilliseconds > 0 {
		request.startDeadline = now + clock.Microseconds(request.StartMilliseconds)*clock.Millisecond
	}
	if queue.Load() >= int64(request.service.Queue) {
		return nil, errcode.New(errcode.QueueFull, "%d requests of service %s", queue.Load(), template.Service)
	}
	if err := r.reserveKey(now, request); err != nil {
		return nil, err
	}
	percent, allowance := view.Plan.Tenants[request.Tenant].RetryBudget()
	retryBudget.Deposit(percent, float64(allowance)/float64(r.routerCount()))
	return queue, request.Transition(lifecycle.StateQueued)
}

func (f *forwardedRequest) reservationKey() string { return f.Tenant + "/" + f.Key }

// routerCount is how many routers share an allowance, as far as is known here.
func (r *Router) routerCount() int {
	count := 1
	for _, peer := range r.gossip.Members() {
		if peer.Role == r.Role {
			count++
		}
	}
	return count
}

// reject answers before anything was streamed, with what is proved and no more.
func (r *Router) reject(request *forwardedRequest, err error) {
	if request.State == lifecycle.StateReceived || request.State == lifecycle.StateQueued || request.State == lifecycle.StateMatched {
		request.State = lifecycle.StateRejected
	}
	outcome := request.Outcome()
	r.recordOutcome(request, outcome)
	if request.priorOutcome != "" {
		outcome = request.priorOutcome
	}
	switch request.State {
	case lifecycle.StateRejected:
		r.Rejected.Add(1)
	case lifecycle.StateFailed:
		r.Failed.Add(1)
	default:
		r.Unknown.Add(1)
	}
	transport.WriteError(request.responseWriter, err, string(outcome), r.retryAfter(request, errcode.CodeOf(err, errcode.ExecutionUnknown)))
}

// finish closes a request honestly: a whole answer, an answer that breaks off
// visibly, or a numbered decline.
func (r *Router) finish(request *forwardedRequest, err error) {
	switch {
	case err == nil:
		r.recordOutcome(request, lifecycle.OutcomeRun)
		r.Completed.Add(1)
	case request.framesSent > 0:
		_ = request.Transition(lifecycle.StateTruncated)
		r.recordOutcome(request, lifecycle.OutcomeRun)
		r.Truncated.Add(1)
		panic(http.ErrAbortHandler)
	default:
		r.reject(request, err)
	}
}

func (r *Router) reportFailure(parent context.Context, request *forwardedRequest, engineName, phase string, blameless bool) controlapi.RetryDecision {
	r.EngineFailures.Add(1)
	failure := controlapi.FailureReport{
		Service: request.template.Service, Engine: engineName, Run: request.runID, Stage: phase, Streamed: request.framesSent > 0, Blameless: blameless,
		OneShot: request.template.OneShot(), Repeats: request.template.Repeat, Tries: request.Attempts, Left: request.deadline - r.clock.Now(),
	}
	owner := request.engineTable.Owner()
	if owner == "" {
		return controlapi.RetryDecision{}
	}
	decision, err := transport.Call[controlapi.FailureReport, controlapi.RetryDecision](parent, r.internal, owner, controlapi.FailureReportPath, 200*clock.Millisecond, &failure)
	if err != nil {
		return controlapi.RetryDecision{}
	}
	return *decision
}
