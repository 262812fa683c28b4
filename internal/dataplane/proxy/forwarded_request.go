package proxy

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/route"
)

// forwardedRequest is one request on its way.
type forwardedRequest struct {
	*requestState
	proxy          *Proxy
	route          *route.Route
	service        string
	balancer       *balancer.Balancer
	request        platformport.Request
	responseWriter platformport.ResponseWriter
	startedAt      clock.Microseconds
	deadline       clock.Microseconds
	excluded       map[string]bool
	// prefillAttempts counts the calls that only read the prompt.
	prefillAttempts int
	attempts        int
	// retryAccount is what engines may have seen of the request, and what is paid for it.
	retryAccount retryAccount
	// allowSecondPrefill says that the prompt may be read at a second engine.
	allowSecondPrefill bool
	// headWritten says that the caller has the head of an answer, last the last event it has.
	headWritten bool
	lastEventID string
	// adopted says that the answer of the present try is passed on; release ends the try that
	// a stream is moved from as soon as another is taken, and says whether it still may be.
	adopted        bool
	detachPrevious func() bool
	// nextMigrationAt is when a move may be tried again.
	nextMigrationAt clock.Microseconds
}

func (way *forwardedRequest) now() clock.Microseconds { return way.proxy.clock.Now() }

// attemptOutcome is what became of one try.
type attemptOutcome int

const (
	outcomeCompleted attemptOutcome = iota
	// outcomeRetryElsewhere: nothing of it ran, another engine may be tried.
	outcomeRetryElsewhere
	// outcomeReselect: nothing was sent, since the engine had its share meanwhile; choose once more.
	outcomeReselect
	// outcomeMayHaveRun: it may have run, and the caller has no head yet.
	outcomeMayHaveRun
	// outcomeInterrupted: the caller has a head, and the answer ended early.
	outcomeInterrupted
	// outcomeEnded: the caller left or the time is up.
	outcomeEnded
	// outcomeNoRetryToken: the retry budget has no token for one more arrival at an engine.
	outcomeNoRetryToken
)

func (way *forwardedRequest) run(ctx context.Context) bool {
	way.mustTransition(lifecycle.StateQueued)
	waited := false
	for {
		selection, ok := way.selectEngines()
		if !ok || selection.Full && !waited {
			// A place may come free: wait a little, but no longer than leaves the caller
			// time to come back.
			if !waited && way.attempts == 0 && way.now()-way.startedAt < way.maxQueueTime() && way.waitForCapacity(ctx) {
				continue
			}
			if !ok {
				way.proxy.NoEngine.Add(1)
				return way.reject(errcode.NoEngine, retryAfterShort)
			}
			waited = true
		}
		switch way.attempt(ctx, selection) {
		case outcomeCompleted:
			way.mustTransition(lifecycle.StateFinished)
			way.proxy.Completed.Add(1)
			return true
		case outcomeReselect:
		case outcomeRetryElsewhere:
			if !way.acquireRetry() {
				return way.reject(errcode.NoEngine, retryAfterShort)
			}
		case outcomeMayHaveRun:
			if !way.route.IsRetryable() || !way.acquireRetry() {
				return way.reject(errcode.ExecutionUnknown, 0)
			}
			way.mustTransition(lifecycle.StateQueued)
			way.proxy.Retries.Add(1)
		case outcomeInterrupted:
			if !way.route.Resume || !way.acquireRetry() {
				way.proxy.Truncated.Add(1)
				return false
			}
			way.mustTransition(StateResuming)
			way.proxy.Resumed.Add(1)
		case outcomeNoRetryToken:
			return way.reject(errcode.NoEngine, retryAfterShort)
		case outcomeEnded:
			way.proxy.Canceled.Add(1)
			return way.finishEarly(ctx)
		}
		if way.now() >= way.deadline || ctx.Err() != nil {
			return way.finishEarly(ctx)
		}
	}
}

// maxQueueTime is how long a request may wait for a place before it is declined.
func (way *forwardedRequest) maxQueueTime() clock.Microseconds {
	if way.route.Start <= 0 {
		return 100 * clock.Millisecond
	}
	return way.route.Start / 5
}

func (way *forwardedRequest) waitForCapacity(ctx context.Context) bool {
	way.proxy.Queued.Add(1)
	timer := time.NewTimer((15 * clock.Millisecond).Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// selectEngines also says no once the engines that were tried are all there are.
func (way *forwardedRequest) selectEngines() (balancer.Selection, bool) {
	if way.balancer == nil {
		return balancer.Selection{}, false
	}
	return way.balancer.Select(way.now(), way.requirements())
}

func (way *forwardedRequest) requirements() balancer.Requirements {
	requirements := balancer.Requirements{Prompt: way.request.Prompt, BodyBytes: len(way.request.Body), NonRetryable: !way.route.IsRetryable(), ExcludedEngines: way.excluded, Key: way.request.RequestID, AllowedRegions: way.route.Homes}
	prefix := way.request.RequestID
	if count := len(way.request.Prompt); count > 1 {
		prefix = way.request.Prompt[count-2].Name
	}
	requirements.ClosedRegions = way.proxy.maintenance.ClosedRegions(way.now(), way.deadline, way.route.Kind == route.KindStream && way.route.Resume, prefix)
	// A prompt that is read elsewhere counts as an attempt if it is turned away.
	requirements.NoSplit = way.prefillAttempts > 0 && !way.allowSecondPrefill || len(way.request.Prompt) == 0
	return requirements
}

// acquireRetry tells whether one more engine may be asked, and pays for it.
func (way *forwardedRequest) acquireRetry() bool {
	if way.attempts >= max(way.route.Tries, 1) || way.now() >= way.deadline {
		return false
	}
	return way.payForArrival()
}

// payForArrival takes the tokens of the retry budget that one more arrival at an engine needs. Nothing
// is sent without it.
func (way *forwardedRequest) payForArrival() bool {
	if !way.retryAccount.acquireTokens(way.proxy.retryBudget.Withdraw) {
		way.proxy.RetryBudgetExhausted.Add(1)
		return false
	}
	return true
}

func (way *forwardedRequest) finishEarly(ctx context.Context) bool {
	if way.headWritten {
		way.proxy.Truncated.Add(1)
		return false
	}
	if way.IsUnstarted() {
		return way.reject(errcode.DeadlineExceeded, retryAfterShort)
	}
	return way.reject(errcode.ExecutionTimeout, 0)
}

// reject answers with what is proved and no more.
func (way *forwardedRequest) reject(code errcode.Code, retryAfter clock.Microseconds) bool {
	if way.headWritten {
		way.proxy.Truncated.Add(1)
		return false
	}
	if !way.IsUnstarted() && code.Status() == 503 {
		code, retryAfter = errcode.ExecutionUnknown, 0
	}
	if way.IsUnstarted() {
		way.proxy.Rejected.Add(1)
	} else {
		way.proxy.Unknown.Add(1)
	}
	way.responseWriter.Reject(errcode.New(code, "service %s", way.service), retryAfter)
	return true
}

func (way *forwardedRequest) priority() int { return min(1+3*max(way.route.Priority, 0), 9) }

func (way *forwardedRequest) newAttempt(engine platformport.Engine) platformport.Attempt {
	attempt := platformport.Attempt{Request: way.request, Address: engine.Address, Incarnation: engine.Incarnation, Urgency: way.priority()}
	if way.lastEventID != "" {
		attempt.LastEventID = way.lastEventID
	}
	return attempt
}

// unknownOutcome is a try whose fate is not known.
func (way *forwardedRequest) unknownOutcome() attemptOutcome {
	if way.headWritten {
		return outcomeInterrupted
	}
	return outcomeMayHaveRun
}

func (way *forwardedRequest) releaseKV(address, source string) {
	kvHandle := source[len(address)+1:]
	way.proxy.KVReleased.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), clock.Second.Duration())
		defer cancel()
		_ = way.proxy.engineClient.ReleaseKV(ctx, address, kvHandle)
	}()
}
