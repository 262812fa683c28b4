package proxy

import (
	"context"
	"sync"
	"time"

	"coursepass/internal/clock"
)

const (
	// watchdogInterval is the time between two checks of a call whose timeout has passed. Each check
	// tries to take a retry token if the call may be canceled.
	watchdogInterval = 50 * clock.Millisecond
	// stallThreshold is the delay of a check beyond which this process is considered to have stalled.
	stallThreshold = 50 * clock.Millisecond
)

// attemptWatchdog monitors one call to an engine. If the call has no output within the timeout, it is
// canceled, provided that the request may be sent to another engine and that the retry token for this
// is available. Otherwise the call continues. If the timeout passes a second time, an error of the
// engine is recorded.
type attemptWatchdog struct {
	request     *forwardedRequest
	incarnation string
	cancel      context.CancelFunc
	startedAt   clock.Microseconds
	// lock guards the fields below.
	lock  sync.Mutex
	timer *time.Timer
	// mayCancel is set if the call may be canceled and the request sent to another engine.
	mayCancel bool
	// timeout is the maximum time without output from the engine.
	timeout clock.Microseconds
	// deadline is the time at which the timeout expires.
	deadline clock.Microseconds
	// nextCheck is the time for which the timer is set.
	nextCheck clock.Microseconds
	// overdueReported is set once the missing output was reported to the engine's placement owner.
	overdueReported bool
	// failureRecorded is set once an error of the engine was recorded for this call.
	failureRecorded bool
	// stopped is set once the watchdog must not act any more.
	stopped bool
}

// startWatchdog starts a watchdog for a call that is about to be sent. It returns the context for the
// call. The caller must stop the watchdog, which also cancels that context.
func (f *forwardedRequest) startWatchdog(
	ctx context.Context,
	incarnation string,
	mayCancel bool,
	timeout clock.Microseconds,
) (context.Context, *attemptWatchdog) {
	attemptCtx, cancel := context.WithCancel(ctx)
	watchdog := &attemptWatchdog{
		request:     f,
		incarnation: incarnation,
		cancel:      cancel,
		startedAt:   f.now(),
		mayCancel:   mayCancel,
		timeout:     timeout,
	}
	watchdog.lock.Lock()
	defer watchdog.lock.Unlock()
	watchdog.deadline = watchdog.startedAt + timeout
	watchdog.nextCheck = watchdog.deadline
	watchdog.timer = time.AfterFunc(timeout.Duration(), watchdog.check)
	return attemptCtx, watchdog
}

// check runs when the timer fires. It cancels the call, records an error of the engine or schedules the
// next check.
func (w *attemptWatchdog) check() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.stopped {
		return
	}
	now := w.request.now()
	if now-w.nextCheck > stallThreshold {
		// This process was stalled, so that the missing output says nothing about the engine.
		// Restart the timeout.
		w.deadline = now + w.timeout
		w.request.balancer.RecordActivity(now, w.incarnation)
	}
	if now < w.deadline && !w.request.balancer.Unresponsive(now, w.incarnation) {
		w.reschedule(now, w.deadline-now)
		return
	}
	if !w.overdueReported {
		w.overdueReported = true
		w.request.proxy.reportEngine(context.Background(), w.request.service, w.incarnation)
	}
	if w.mayCancel && w.request.retryAccount.acquireTokens(w.request.proxy.retryBudget.Withdraw) {
		w.request.proxy.TimedOut.Add(1)
		w.cancel()
		return
	}
	w.recordFailure(now)
	if w.mayCancel || !w.failureRecorded {
		w.reschedule(now, watchdogInterval)
	}
}

// recordFailure records an error of the engine once the call has had no output for twice its timeout. It
// does so at most once for each call.
func (w *attemptWatchdog) recordFailure(now clock.Microseconds) {
	if w.failureRecorded || now-w.deadline < w.timeout {
		return
	}
	w.failureRecorded = true
	w.request.balancer.RecordError(now, w.incarnation)
	report := w.request.proxy.OnSuspect
	// Report the engine to other routers only if it has responded to other requests since the call
	// began. A long queue does not explain the missing output then.
	if report != nil && w.request.balancer.ActiveSince(w.incarnation, w.startedAt) {
		go report(w.request.service, w.incarnation)
	}
}

// reschedule sets the timer for the next check. The caller holds the lock.
func (w *attemptWatchdog) reschedule(now, duration clock.Microseconds) {
	w.nextCheck = now + duration
	w.timer.Reset(duration.Duration())
}

// extend restarts the timeout with a new length after output of the engine.
func (w *attemptWatchdog) extend(timeout clock.Microseconds) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.deadline, w.timeout = w.request.now()+timeout, timeout
}

// disableCancel prevents that the call is canceled, because the request may no longer be sent to another
// engine.
func (w *attemptWatchdog) disableCancel() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.mayCancel = false
}

// stop stops the watchdog and cancels the context of the call.
func (w *attemptWatchdog) stop() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.cancel()
}
