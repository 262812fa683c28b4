package proxy

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/platformport"
	"coursepass/internal/state/credential"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/route"
)

// forwardedRequest is the state of one request during Forward. Only the goroutine that called Forward
// uses it, except that the watchdogs of its calls use retryAccount and fields that never change.
type forwardedRequest struct {
	*requestState
	proxy   *Proxy
	route   *route.Route
	service string
	// tenant is the name of the request's tenant, empty if there is none.
	tenant string
	// priority is the priority that the route and the tenant give the request.
	priority int
	// balancer is nil if the service is not configured.
	balancer       *balancer.Balancer
	request        platformport.Request
	responseWriter platformport.ResponseWriter
	startedAt      clock.Microseconds
	deadline       clock.Microseconds
	// excluded holds the incarnations of engines that failed this request. They are not selected for
	// it again.
	excluded map[string]bool
	// prefillAttempts counts the prefill calls that may have reached an engine.
	prefillAttempts int
	// attempts counts the calls that are limited by the route's MaxAttempts: each generate call, each
	// prefill call after the first, and the first prefill call if an engine rejected it. Calls that
	// were not sent do not count.
	attempts     int
	retryAccount retryAccount
	// timing is the time that the request spent in each phase.
	timing requestTiming
	// allowSecondPrefill permits another prefill call, at another engine.
	allowSecondPrefill bool
	// queueingOver is set when the request must not be queued any longer.
	queueingOver bool
	// headWritten is set once a response head was written to the client.
	headWritten bool
	// relayStarted is set once the response of the current attempt is relayed to the client.
	relayStarted bool
	// usageRecorded is set once the request was reported to the UsageRecorder.
	usageRecorded bool
	// lastEventID is the ID of the last event that was relayed to the client, empty if there is none.
	lastEventID string
	// abortPrevious is set only during a migration. It ends the call that the stream migrates away
	// from, and reports false if the migration has timed out.
	abortPrevious func() bool
	// nextMigrationAt is the earliest time of the next migration attempt.
	nextMigrationAt clock.Microseconds
}

// newForwardedRequest returns the initial state of a request. The tenant is nil if the request has
// none.
func (p *Proxy) newForwardedRequest(
	matchedRoute *route.Route,
	tenant *credential.Tenant,
	request platformport.Request,
	responseWriter platformport.ResponseWriter,
) *forwardedRequest {
	forwarded := &forwardedRequest{
		requestState:   newRequestState(),
		proxy:          p,
		route:          matchedRoute,
		priority:       matchedRoute.EffectivePriority(tenant),
		request:        request,
		responseWriter: responseWriter,
		startedAt:      p.clock.Now(),
		excluded:       map[string]bool{},
	}
	// The credential has been checked and must not be passed on to engines.
	forwarded.request.Credential = credential.Presented{}
	if tenant != nil {
		forwarded.tenant = tenant.Name
	}
	forwarded.service = selectService(matchedRoute, request.RequestID)
	forwarded.balancer = p.balancer(forwarded.service)
	forwarded.deadline = forwarded.startedAt + matchedRoute.TotalTimeout
	if request.Timeout > 0 {
		forwarded.deadline = min(forwarded.deadline, forwarded.startedAt+request.Timeout)
	}
	return forwarded
}

func (f *forwardedRequest) now() clock.Microseconds { return f.proxy.clock.Now() }

// selectEngines selects the engines of the next attempt. It asks the placement owner first, and the
// load balancer of this router if the owner returns no usable placement. It reports false if no
// engine is eligible. Engines that failed this request are not eligible.
func (f *forwardedRequest) selectEngines(ctx context.Context) (balancer.Selection, bool) {
	if f.balancer == nil {
		return balancer.Selection{}, false
	}
	requirements := f.requirements()
	if selection, placed := f.place(ctx, requirements); placed {
		return selection, true
	}
	return f.balancer.Select(f.now(), requirements)
}

// requirements returns the requirements that the engines of the next attempt must meet.
func (f *forwardedRequest) requirements() balancer.Requirements {
	// Requests with the same prompt prefix are moved out of a region under maintenance together.
	drainKey := f.request.RequestID
	if count := len(f.request.Prompt); count > 1 {
		drainKey = f.request.Prompt[count-2].Name
	}
	work := maintenance.Work{
		Name:    drainKey,
		EndsBy:  f.deadline,
		Movable: f.route.Kind == route.KindStream && f.route.Resume,
	}
	// A second prefill call would count as an attempt.
	prefillUsedUp := f.prefillAttempts > 0 && !f.allowSecondPrefill
	return balancer.Requirements{
		Prompt:          f.request.Prompt,
		Urgency:         f.urgency(),
		Router:          f.proxy.Router,
		EventTimeout:    f.route.EventTimeout,
		BodyBytes:       len(f.request.Body),
		NoSplit:         prefillUsedUp || len(f.request.Prompt) == 0,
		SingleAttempt:   f.route.MaxAttempts <= 1,
		NonRetryable:    !f.route.IsRetryable(),
		Key:             f.request.RequestID,
		ExcludedEngines: f.excluded,
		ClosedRegions:   f.proxy.maintenance.ClosedRegions(f.now(), work),
		AllowedRegions:  f.route.Regions,
	}
}

// Engines accept urgencies from 0, the most urgent, to lowestUrgency. Priorities 0, 1 and 2 map to
// urgencies 1, 4 and 7, and all greater priorities to urgency 9.
const (
	lowestUrgency = 9
	// urgencyStep is the difference in urgency between two consecutive priorities.
	urgencyStep = 3
)

// urgency returns the urgency of the request that is sent to engines.
func (f *forwardedRequest) urgency() int {
	return min(1+urgencyStep*max(f.priority, 0), lowestUrgency)
}

// newAttempt returns the message that is sent to an engine.
func (f *forwardedRequest) newAttempt(engine platformport.Engine) platformport.Attempt {
	attempt := platformport.Attempt{
		Request:     f.request,
		Address:     engine.Address,
		Incarnation: engine.Incarnation,
		Urgency:     f.urgency(),
		Tenant:      f.tenant,
	}
	if f.lastEventID != "" {
		attempt.LastEventID = f.lastEventID
	}
	return attempt
}
