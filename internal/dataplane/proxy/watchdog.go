package proxy

import (
	"context"
	"sync"
	"time"

	"coursepass/internal/clock"
)

const (
	// watchdogInterval is how often a request whose patience is over looks for a token to go elsewhere.
	watchdogInterval = 50 * clock.Millisecond
	// stallThreshold is how late a look may come before this process itself counts as having stood
	// still.
	stallThreshold = 50 * clock.Millisecond
	// minStreamTimeout is the least time that a stream may pause before it is resumed elsewhere.
	minStreamTimeout = 800 * clock.Millisecond
)

// attemptWatchdog follows one attempt at an engine. Once nothing has come for as long as its patience
// lasts, the attempt is given up if the request may go elsewhere and the token for that is
// taken. Else it waits on, and the engine has a fault once that has lasted twice as long.
type attemptWatchdog struct {
	request       *forwardedRequest
	incarnation   string
	mayCancel     bool
	cancel        context.CancelFunc
	lock          sync.Mutex
	timer         *time.Timer
	startedAt     clock.Microseconds
	timeout       clock.Microseconds
	deadline      clock.Microseconds
	nextCheck     clock.Microseconds
	faultRecorded bool
	stopped       bool
}

// startWatchdog begins to follow an attempt; may says that it may be given up.
func (way *forwardedRequest) startWatchdog(ctx context.Context, incarnation string, mayCancel bool, timeout clock.Microseconds) (context.Context, *attemptWatchdog) {
	attemptCtx, cancel := context.WithCancel(ctx)
	watchdog := &attemptWatchdog{request: way, incarnation: incarnation, mayCancel: mayCancel, cancel: cancel, startedAt: way.now(), timeout: timeout}
	watchdog.lock.Lock()
	defer watchdog.lock.Unlock()
	watchdog.deadline = watchdog.startedAt + timeout
	watchdog.nextCheck = watchdog.deadline
	watchdog.timer = time.AfterFunc(timeout.Duration(), watchdog.check)
	return attemptCtx, watchdog
}

// check is called when the patience may be over.
func (a *attemptWatchdog) check() {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.stopped {
		return
	}
	now := a.request.now()
	if now-a.nextCheck > stallThreshold {
		// What did not come while this process stood still proves nothing.
		a.deadline = now + a.timeout
		a.request.balancer.RecordActivity(now, a.incarnation)
	}
	if now < a.deadline && !a.request.balancer.Unresponsive(now, a.incarnation) {
		a.reschedule(now, a.deadline-now)
		return
	}
	if a.mayCancel && a.request.retryAccount.acquireTokens(a.request.proxy.retryBudget.Withdraw) {
		a.request.proxy.TimedOut.Add(1)
		a.cancel()
		return
	}
	a.recordFault(now)
	if a.mayCancel || !a.faultRecorded {
		a.reschedule(now, watchdogInterval)
	}
}

// recordFault counts a fault of the engine once an attempt that is not given up has waited twice as
// long as its patience.
func (a *attemptWatchdog) recordFault(now clock.Microseconds) {
	if a.faultRecorded || now-a.deadline < a.timeout {
		return
	}
	a.faultRecorded = true
	a.request.balancer.RecordError(now, a.incarnation)
	// An engine that has answered others meanwhile has more than a long queue.
	if report := a.request.proxy.OnSuspect; report != nil && a.request.balancer.ActiveSince(a.incarnation, a.startedAt) {
		go report(a.request.service, a.incarnation)
	}
}

func (a *attemptWatchdog) reschedule(now, duration clock.Microseconds) {
	a.nextCheck = now + duration
	a.timer.Reset(duration.Duration())
}

// extend notes that something has come, and how long the next may take.
func (a *attemptWatchdog) extend(timeout clock.Microseconds) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.deadline, a.timeout = a.request.now()+timeout, timeout
}

// disableCancel says that the attempt is not given up any more.
func (a *attemptWatchdog) disableCancel() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.mayCancel = false
}

// stop ends the watch and the attempt.
func (a *attemptWatchdog) stop() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.stopped = true
	a.timer.Stop()
	a.cancel()
}
