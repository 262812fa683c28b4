package router

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/registry"
)

const (
	pollInterval = 5 * time.Millisecond
	// A try is never held to have stalled sooner than this.
	minStallTimeout = 100 * clock.Millisecond
	// Retry-After is never shorter nor longer than these.
	minRetryAfter = 100 * clock.Millisecond
	maxRetryAfter = 10 * clock.Second
)

// waitForEngine waits for engines with room as long as the start can still be met. A request
// that by the pace of the last ones would not have its turn in time is declined at once.
func (r *Router) waitForEngine(ctx context.Context, request *forwardedRequest, operation string, selectEngine func(clock.Microseconds, registry.Requirements) (selected, eligible bool)) error {
	requirements := registry.Requirements{Zone: r.Node.Hall, Versions: request.service.Versions, ExcludedEngines: request.excludedEngines, Match: r.matchPolicy(request)}
	queued := false
	defer func() {
		if queued {
			request.engineTable.Dequeue()
		}
	}()
	for {
		now := r.clock.Now()
		selected, eligible := selectEngine(now, requirements)
		if selected {
			request.engineTable.RecordAdmission(now, queued)
			return nil
		}
		if !eligible && len(request.excludedEngines) > 0 {
			clear(request.excludedEngines)
			continue
		}
		if !queued && eligible {
			if wait := request.engineTable.EstimateWait(now); now+wait > request.startDeadline {
				r.EarlyRejections.Add(1)
				return errcode.New(errcode.DeadlineExceeded, "room to %s is %d ms away", operation, wait/clock.Millisecond)
			}
			request.engineTable.Enqueue()
			queued = true
		}
		if now >= request.startDeadline {
			if eligible {
				return errcode.New(errcode.DeadlineExceeded, "no engine had room to %s", operation)
			}
			return errcode.New(errcode.NoEngine, "none can %s for %s", operation, request.template.Service)
		}
		select {
		case <-ctx.Done():
			return errcode.New(errcode.Cancelled, "the caller left")
		case <-time.After(pollInterval):
		}
	}
}

// attemptWatchdog bounds one try: its engine must show something in time, and then go on showing.
type attemptWatchdog struct {
	context.Context
	cancel      context.CancelFunc
	stallTimer  *time.Timer
	idleTimer   *time.Timer
	idleTimeout time.Duration
}

// startWatchdog bounds a try. An engine that shows nothing within the larger share of what is
// left of the start budget has stalled: it gets no other work from here for a while, and
// a try that may be repeated is given up. A one-shot try is given up when the start is
// late by as much as its budget, and a stream when it falls silent: its caller then has
// the answer at once, not at the abandon budget.
func (r *Router) startWatchdog(ctx context.Context, request *forwardedRequest, target *registry.PickResult) *attemptWatchdog {
	attemptCtx, stop := context.WithCancel(ctx)
	now := r.clock.Now()
	stallTimeout := max((request.startDeadline-now)*6/10, minStallTimeout)
	abandonAttempt := func() {
		r.Stalls.Add(1)
		request.engineTable.Eject(target.Name, r.clock.Now())
		stop()
	}
	watchdog := &attemptWatchdog{Context: attemptCtx, cancel: stop, idleTimeout: (clock.Microseconds(r.StreamIdleMillis) * clock.Millisecond).Duration()}
	watchdog.stallTimer = time.AfterFunc(stallTimeout.Duration(), func() {
		if !request.template.OneShot() {
			abandonAttempt()
			return
		}
		request.engineTable.Eject(target.Name, r.clock.Now())
	})
	watchdog.idleTimer = time.AfterFunc(max(2*request.startDeadline-request.startedAt-now, 2*minStallTimeout).Duration(), abandonAttempt)
	return watchdog
}

// recordFrame notes a frame.
func (a *attemptWatchdog) recordFrame() {
	a.stallTimer.Stop()
	a.idleTimer.Reset(a.idleTimeout)
}

func (a *attemptWatchdog) stop() {
	a.stallTimer.Stop()
	a.idleTimer.Stop()
	a.cancel()
}

// retryAfter is when a caller who was declined should come back, by what is known here; zero
// where coming back is no use.
func (r *Router) retryAfter(request *forwardedRequest, code errcode.Code) clock.Microseconds {
	now := r.clock.Now()
	delay := clock.Microseconds(0)
	switch code {
	case errcode.RouterStale:
		// A gate that has been shut for long is not tried as often as one that just shut.
		delay = max(r.freshnessGate.Staleness(now)/2, readInterval)
	case errcode.RouterDraining:
		delay = readInterval
	case errcode.ReservationNoQuorum:
		delay = failedMemberBackoff
	case errcode.IdempotencyTableFull:
		delay = r.idempotencyKeys.NextExpiry(now)
	case errcode.NoEngine, errcode.QueueFull, errcode.DeadlineExceeded, errcode.RetryBudgetExhausted:
		if delay = minRetryAfter; request != nil && request.engineTable != nil {
			delay = request.engineTable.EstimateWait(now)
		}
	default:
		return 0
	}
	return min(max(delay, minRetryAfter), maxRetryAfter)
}
