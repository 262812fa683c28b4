package proxy

import (
	"context"
	"sync"
	"time"

	"coursepass/internal/clock"
)

const (
	// watchdogInterval is how often a call whose timeout has passed asks for a retry token.
	watchdogInterval = 50 * clock.Millisecond
	// stallThreshold is how late a check must come for this process itself to count as stalled.
	stallThreshold = 50 * clock.Millisecond
)

// attemptWatchdog watches one call to an engine. Once the engine has shown nothing for the timeout,
// the call is canceled if the request may be sent elsewhere and the retry token for that can be
// taken. Else the call goes on, and once the timeout has passed a second time the engine is
// charged with a failure.
type attemptWatchdog struct {
	request     *forwardedRequest
	incarnation string
	cancel      context.CancelFunc
	startedAt   clock.Microseconds
	// lock guards the fields below.
	lock  sync.Mutex
	timer *time.Timer
	// mayCancel says that the request may be sent elsewhere.
	mayCancel bool
	timeout   clock.Microseconds
	// deadline is when the timeout has passed, nextCheck when the timer is set to fire.
	deadline  clock.Microseconds
	nextCheck clock.Microseconds
	// overdueReported is set once the engine's owner was told that the engine has shown nothing.
	overdueReported bool
	failureRecorded bool
	stopped         bool
}

// startWatchdog starts to watch a call. It returns the context for the call; the caller must stop
// the watchdog, which also ends that context.
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

// check runs when the timer fires: the timeout may have passed.
func (w *attemptWatchdog) check() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.stopped {
		return
	}
	now := w.request.now()
	if now-w.nextCheck > stallThreshold {
		// What did not arrive while this process was stalled says nothing about the engine.
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

// recordFailure charges the engine with a failure, once, as soon as the call has waited for twice
// its timeout.
func (w *attemptWatchdog) recordFailure(now clock.Microseconds) {
	if w.failureRecorded || now-w.deadline < w.timeout {
		return
	}
	w.failureRecorded = true
	w.request.balancer.RecordError(now, w.incarnation)
	report := w.request.proxy.OnSuspect
	// An engine that has responded to other requests meanwhile has more than a long queue.
	if report != nil && w.request.balancer.ActiveSince(w.incarnation, w.startedAt) {
		go report(w.request.service, w.incarnation)
	}
}

// reschedule sets the next check. The caller holds the lock.
func (w *attemptWatchdog) reschedule(now, duration clock.Microseconds) {
	w.nextCheck = now + duration
	w.timer.Reset(duration.Duration())
}

// extend restarts the timeout, with a new length, since the engine has shown something.
func (w *attemptWatchdog) extend(timeout clock.Microseconds) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.deadline, w.timeout = w.request.now()+timeout, timeout
}

// disableCancel says that the request may not be sent elsewhere any more.
func (w *attemptWatchdog) disableCancel() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.mayCancel = false
}

// stop ends the watch and the call.
func (w *attemptWatchdog) stop() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.cancel()
}
