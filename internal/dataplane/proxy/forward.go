package proxy

import (
	"context"
	"hash/fnv"
	"net/http"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/route"
)

const (
	// retryAfterShort is the retry delay sent to clients when no engine is available or the deadline
	// has passed.
	retryAfterShort = 150 * clock.Millisecond
	// retryAfterLong is the retry delay sent to clients when the router has no configuration.
	retryAfterLong = 500 * clock.Millisecond
	// queueInterval is the time between two engine selections of a queued request.
	queueInterval = 15 * clock.Millisecond
	// defaultQueueTime is the maximum time that a request is queued if its route has no target for
	// the time to the first event.
	defaultQueueTime = 100 * clock.Millisecond
	// queueTimeDivisor divides a route's target for the time to the first event to get the maximum
	// time that a request is queued. The rest of the target leaves the client time to try another
	// router.
	queueTimeDivisor = 5
)

// Forward forwards one request and relays the response. It reports whether the client received a
// complete response or a rejection. The route and the tenant are looked up in the current
// configuration for each request, so that earlier requests on the same connection grant nothing.
func (p *Proxy) Forward(
	parent context.Context,
	request platformport.Request,
	responseWriter platformport.ResponseWriter,
) bool {
	p.Received.Add(1)
	view := p.configView.Load()
	if view == nil || len(view.RouteTable.Routes) == 0 {
		p.Rejected.Add(1)
		failure := errcode.New(errcode.RouterStale, "this router has no configuration with routes yet")
		responseWriter.Reject(failure, retryAfterLong)
		return true
	}
	matchedRoute := view.RouteTable.Find(request.Host, request.Path)
	if matchedRoute == nil {
		p.NoRoute.Add(1)
		responseWriter.Reject(errcode.New(errcode.UnknownRoute, "%s%s", request.Host, request.Path), 0)
		return true
	}
	tenant, err := view.RouteTable.Authenticate(matchedRoute, request.Credential)
	if err != nil {
		p.Unauthenticated.Add(1)
		responseWriter.Reject(err, 0)
		return true
	}
	forwarded := p.newForwardedRequest(matchedRoute, tenant, request, responseWriter)
	retryPercent := int(p.RetryRatio * retryPercentFactor)
	p.retryBudget.Deposit(retryPercent, p.RetryBurst*retryBudgetMargin/float64(p.activeRouters()))
	ctx, cancel := context.WithTimeout(parent, (forwarded.deadline - forwarded.startedAt).Duration())
	defer cancel()
	defer func() { p.InvalidTransitions.Add(forwarded.invalidTransitions) }()
	completed := forwarded.run(ctx)
	forwarded.recordTiming(completed)
	return completed
}

// selectService selects one of a route's services by a hash of the request ID, in proportion to the
// services' weights. It returns "" if the route has no service with a positive weight.
func selectService(target *route.Route, requestID string) string {
	totalWeight := 0
	for _, share := range target.Services {
		totalWeight += share.Weight
	}
	if totalWeight <= 0 {
		return ""
	}
	hash := fnv.New32a()
	hash.Write([]byte(requestID))
	offset := int(hash.Sum32() % uint32(totalWeight))
	for _, share := range target.Services {
		offset -= share.Weight
		if offset < 0 {
			return share.Service
		}
	}
	return ""
}

// run makes attempts until the request has ended. It reports whether the client received a complete
// response or a rejection.
func (f *forwardedRequest) run(ctx context.Context) bool {
	f.tryTransition(lifecycle.StateQueued)
	for {
		queuedAt := f.now()
		selection, ok := f.selectOrQueue(ctx)
		f.timing.add(phaseQueue, f.now()-queuedAt)
		if !ok {
			f.proxy.NoEngine.Add(1)
			return f.reject(errcode.NoEngine, retryAfterShort)
		}
		if f.shouldReject(selection) {
			f.proxy.RejectedToAvoidPauses.Add(1)
			return f.reject(errcode.NoEngine, retryAfterShort)
		}
		completed, ended := f.handleOutcome(f.attempt(ctx, selection))
		if ended {
			return completed
		}
		if f.now() >= f.deadline || ctx.Err() != nil {
			return f.finishEarly()
		}
	}
}

// maxPausedRuns is the maximum number of other responses that a request may pause for longer than
// their targets allow. A request that would pause more is rejected if its prefill failed.
const maxPausedRuns = 1

// shouldReject reports whether to reject a request whose prefill failed. Its decode engine would have
// to prefill the prompt and would pause other responses meanwhile. After the rejection, the client
// can retry and may get a prefill engine. Requests in the second half of their time limit are not
// rejected.
func (f *forwardedRequest) shouldReject(selection balancer.Selection) bool {
	return !selection.Split && f.prefillAttempts > 0 && selection.PausedRuns > maxPausedRuns &&
		f.IsUnstarted() && !f.headWritten && f.now()-f.startedAt < (f.deadline-f.startedAt)/2
}

// selectOrQueue selects engines for the next attempt. A request that has not been attempted yet is
// queued while all engines are full. It reports whether an engine was found.
func (f *forwardedRequest) selectOrQueue(ctx context.Context) (balancer.Selection, bool) {
	for {
		selection, ok := f.selectEngines(ctx)
		if ok && (f.queueingOver || !selection.Full) {
			return selection, true
		}
		if f.mayQueue() && f.waitForCapacity(ctx) {
			continue
		}
		f.queueingOver = f.queueingOver || ok
		return selection, ok
	}
}

// mayQueue reports whether the request may wait for a free slot.
func (f *forwardedRequest) mayQueue() bool {
	return !f.queueingOver && f.attempts == 0 && f.now()-f.startedAt < f.maxQueueTime()
}

// maxQueueTime returns the maximum time that the request is queued before it is sent or rejected.
func (f *forwardedRequest) maxQueueTime() clock.Microseconds {
	if f.route.StartTimeout <= 0 {
		return defaultQueueTime
	}
	return f.route.StartTimeout / queueTimeDivisor
}

// waitForCapacity waits for queueInterval. It reports false if the context ends first.
func (f *forwardedRequest) waitForCapacity(ctx context.Context) bool {
	f.proxy.Queued.Add(1)
	timer := time.NewTimer(queueInterval.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// handleOutcome decides after an attempt whether the request is sent again. It reports whether the
// request has ended and, if so, whether the client received a complete response or a rejection.
func (f *forwardedRequest) handleOutcome(outcome attemptOutcome) (completed, ended bool) {
	switch outcome {
	case outcomeCompleted:
		f.tryTransition(lifecycle.StateFinished)
		f.proxy.Completed.Add(1)
		return true, true
	case outcomeReselect, outcomeOtherDecoder:
	case outcomeRetryElsewhere:
		if !f.acquireRetry() {
			return f.reject(errcode.NoEngine, retryAfterShort), true
		}
	case outcomeMayHaveRun:
		if !f.route.IsRetryable() || !f.acquireRetry() {
			return f.reject(errcode.ExecutionUnknown, 0), true
		}
		f.tryTransition(lifecycle.StateQueued)
		f.proxy.Retries.Add(1)
	case outcomeInterrupted:
		if !f.route.Resume || !f.acquireRetry() {
			f.proxy.Truncated.Add(1)
			return false, true
		}
		f.tryTransition(StateResuming)
		f.proxy.Resumed.Add(1)
	case outcomeNoRetryToken:
		return f.reject(errcode.NoEngine, retryAfterShort), true
	case outcomeEnded:
		f.proxy.Canceled.Add(1)
		return f.finishEarly(), true
	}
	return false, false
}

// finishEarly ends a request whose client disconnected or whose deadline has passed.
func (f *forwardedRequest) finishEarly() bool {
	if f.headWritten {
		f.proxy.Truncated.Add(1)
		return false
	}
	if f.IsUnstarted() {
		return f.reject(errcode.DeadlineExceeded, retryAfterShort)
	}
	return f.reject(errcode.ExecutionTimeout, 0)
}

// reject ends the request with a rejection, or truncates the response if its head was already sent.
// A code with status 503 tells the client that the request has not run. Unless this is proven,
// reject replaces such a code with ExecutionUnknown.
func (f *forwardedRequest) reject(code errcode.Code, retryAfter clock.Microseconds) bool {
	if f.headWritten {
		f.proxy.Truncated.Add(1)
		return false
	}
	if !f.IsUnstarted() && code.Status() == http.StatusServiceUnavailable {
		code, retryAfter = errcode.ExecutionUnknown, 0
	}
	if f.IsUnstarted() {
		f.proxy.Rejected.Add(1)
	} else {
		f.proxy.Unknown.Add(1)
	}
	f.responseWriter.Reject(errcode.New(code, "service %s", f.service), retryAfter)
	return true
}
