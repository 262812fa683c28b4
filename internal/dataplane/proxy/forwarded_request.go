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

// forwardedRequest is one request while it is forwarded. The goroutine that called Forward owns
// it; the watchdogs of its attempts use only retryAccount and fields that never change.
type forwardedRequest struct {
	*requestState
	proxy   *Proxy
	route   *route.Route
	service string
	// tenant is the name of the tenant that the request belongs to, empty if it has none, and
	// priority that of its requests along the route.
	tenant   string
	priority int
	// balancer is nil if the service is not configured.
	balancer       *balancer.Balancer
	request        platformport.Request
	responseWriter platformport.ResponseWriter
	startedAt      clock.Microseconds
	deadline       clock.Microseconds
	// excluded holds the incarnations that failed the request and get it no more.
	excluded map[string]bool
	// prefillAttempts counts the prefill calls that may have reached an engine.
	prefillAttempts int
	// attempts counts what the route's limit of attempts applies to: each run, and each prefill
	// but the first that an engine accepted.
	attempts     int
	retryAccount retryAccount
	// timing is where the request's time went.
	timing requestTiming
	// allowSecondPrefill permits one more prefill call, at another engine.
	allowSecondPrefill bool
	// queueingOver is set once the request has been queued for as long as it may.
	queueingOver bool
	// headWritten is set once the client has the head of a response.
	headWritten bool
	// adopted is set once the response of the current attempt is relayed to the client.
	adopted bool
	// usageRecorded is set once an engine has begun the request.
	usageRecorded bool
	// lastEventID is the ID of the last event that the client has, empty if there is none.
	lastEventID string
	// detachPrevious, set during a migration only, ends the attempt that the stream migrates away
	// from. It reports false if the migration has timed out.
	detachPrevious func() bool
	// nextMigrationAt is the earliest time of the next migration attempt.
	nextMigrationAt clock.Microseconds
}

// newForwardedRequest starts the forwarding of a request along a route, for a tenant or, if that is
// nil, for none.
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
	// The credential is checked once, and is of no further use.
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

// selectEngines asks the placement owner for the best engines, or else the load balancer. It reports false
// if there are none, also because all have failed the request.
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

// requirements returns what the next attempt needs of its engines.
func (f *forwardedRequest) requirements() balancer.Requirements {
	// Requests that share a prompt prefix leave a region under maintenance together.
	drainKey := f.request.RequestID
	if count := len(f.request.Prompt); count > 1 {
		drainKey = f.request.Prompt[count-2].Name
	}
	work := maintenance.Work{
		Name:    drainKey,
		EndsBy:  f.deadline,
		Movable: f.route.Kind == route.KindStream && f.route.Resume,
	}
	// A further prefill that an engine rejects would count as an attempt.
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

// Engines take an urgency from 0, the most urgent, to lowestUrgency. The priorities 0, 1, 2 and above
// become the urgencies 1, 4, 7 and 9.
const (
	lowestUrgency = 9
	urgencyStep   = 3
)

// urgency returns the urgency that is sent to engines.
func (f *forwardedRequest) urgency() int {
	return min(1+urgencyStep*max(f.priority, 0), lowestUrgency)
}

// newAttempt returns the call that an engine is sent.
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
