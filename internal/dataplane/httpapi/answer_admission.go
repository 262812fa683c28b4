package httpapi

import (
	"net/http"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/credential"
	"coursepass/internal/transport"
)

const (
	// maxBodyBytes is the maximum size of a request's body.
	maxBodyBytes = 4 << 20
	// maxKeyLength is the maximum length of an idempotency key, in bytes.
	maxKeyLength = 128
)

// readRequest reads a request's body and checks that it names a key.
func readRequest(request *forwardedRequest, httpRequest *http.Request) error {
	err := transport.ReadJSON(request.responseWriter, httpRequest, maxBodyBytes, &request.AnswerRequest)
	if err != nil {
		return err
	}
	if request.Key == "" || len(request.Key) > maxKeyLength {
		return errcode.New(errcode.KeyMissing, "the key has %d bytes, not 1 to %d", len(request.Key), maxKeyLength)
	}
	return nil
}

// admit checks a request against the active configuration, reserves its key and returns the counter of
// the service's requests in flight. Nothing is sent to an engine before admit returns, so a request
// that admit rejects is proven not to have run.
func (h *Handler) admit(
	now clock.Microseconds, request *forwardedRequest, httpRequest *http.Request,
) (*atomic.Int64, error) {
	if err := h.control.CheckAcceptsWork(); err != nil {
		h.StaleRejections.Add(1)
		return nil, err
	}
	view := h.control.ConfigView()
	if view == nil {
		return nil, errcode.New(errcode.UnknownTenant, "no configuration is active")
	}
	presented := credential.FromHeader(httpRequest.Header[credential.HeaderAuthorization])
	if err := view.Plan.Authenticate(request.Tenant, presented); err != nil {
		h.Unauthenticated.Add(1)
		return nil, err
	}
	template, err := view.Plan.Template(request.Tenant, request.Kind)
	if err != nil {
		return nil, err
	}
	if err := checkTemplateLimits(request.AnswerRequest, template); err != nil {
		return nil, err
	}
	request.template = template
	request.service = view.Plan.Services[template.Service]
	request.engineTable = h.engineTable(template.Service)
	retryBudget, queueDepth := h.budgetAndQueueDepth(request.Tenant, template.Service)
	request.retryBudget = retryBudget
	request.setDeadlines(now)
	if depth := queueDepth.Load(); depth >= int64(request.service.Queue) {
		return nil, errcode.New(errcode.QueueFull, "%d requests of service %q are in flight", depth, template.Service)
	}
	if err := h.reserveKey(now, request); err != nil {
		return nil, err
	}
	percent, allowance := view.Plan.Tenants[request.Tenant].RetryBudget()
	retryBudget.Deposit(percent, float64(allowance)/float64(h.control.RouterCount()))
	return queueDepth, request.Transition(lifecycle.StateQueued)
}

// checkTemplateLimits returns an error if the number of tokens or the start timeout of a request is
// outside the template's limits.
func checkTemplateLimits(request AnswerRequest, template config.Template) error {
	if request.Tokens < 1 || request.Tokens > template.MaxTokens {
		return errcode.New(errcode.InvalidTimeout, "tokens: %d is not between 1 and %d", request.Tokens, template.MaxTokens)
	}
	if request.StartMilliseconds < 0 || request.StartMilliseconds > template.StartMilliseconds {
		return errcode.New(errcode.InvalidTimeout, "startMilliseconds: %d is not between 0 and %d",
			request.StartMilliseconds, template.StartMilliseconds)
	}
	return nil
}

// setDeadlines sets the request's deadlines, counted from now, by the template's timeouts and the start
// timeout that the caller may have set.
func (f *forwardedRequest) setDeadlines(now clock.Microseconds) {
	f.startedAt = now
	f.startDeadline = now + f.template.StartTimeout()
	f.deadline = now + f.template.TotalTimeout()
	if f.StartMilliseconds > 0 {
		f.startDeadline = now + clock.Microseconds(f.StartMilliseconds)*clock.Millisecond
	}
}
