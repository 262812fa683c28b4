package httpapi

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

const (
	// minStallTimeout is the minimum time without a frame after which an attempt counts as stalled.
	minStallTimeout = 100 * clock.Millisecond
	// minFirstFrameTimeout is the minimum time without a frame after which any attempt is cancelled.
	minFirstFrameTimeout = 2 * minStallTimeout
	// stallPercent is the share of the time until the start deadline, in percent, after which an
	// attempt without a frame counts as stalled.
	stallPercent = 60
	// percentScale converts stallPercent to a fraction.
	percentScale = 100
)

// attemptWatchdog limits the time of one attempt until its first frame, and the time between two
// frames.
type attemptWatchdog struct {
	cancel context.CancelFunc
	// stallTimer fires when the attempt has stalled before its first frame.
	stallTimer *time.Timer
	// idleTimer cancels the attempt. Before the first frame, it fires when the attempt's start is far
	// too late; after each frame, it fires when idleTimeout passes without another frame.
	idleTimer   *time.Timer
	idleTimeout time.Duration
}

// startWatchdog starts the watchdog of a call to the target engine and returns the call's context. The
// caller must stop the watchdog.
//
// An engine has stalled if it neither ends the call nor sends a frame within stallPercent of the time
// until the start deadline. The router then gives the engine no new work for a while, and cancels the
// call if the request may be repeated. The call of a one-shot request is cancelled only when it is late
// by another start timeout. A stream is cancelled when no frame arrives for idleTimeout. Once the call
// is cancelled, the caller gets a response at once, rather than at the request's deadline.
func (h *Handler) startWatchdog(
	parent context.Context, request *forwardedRequest, target *registry.PickResult,
) (context.Context, *attemptWatchdog) {
	ctx, stop := context.WithCancel(parent)
	now := h.clock.Now()
	eject := func() { request.engineTable.Eject(target.Name, h.clock.Now()) }
	cancelAttempt := func() {
		h.Stalls.Add(1)
		eject()
		stop()
	}
	onStall := cancelAttempt
	if request.template.OneShot() {
		onStall = eject
	}
	stallTimeout := max((request.startDeadline-now)*stallPercent/percentScale, minStallTimeout)
	startTimeout := request.startDeadline - request.startedAt
	firstFrameTimeout := max(request.startDeadline+startTimeout-now, minFirstFrameTimeout)
	return ctx, &attemptWatchdog{
		cancel:      stop,
		stallTimer:  time.AfterFunc(stallTimeout.Duration(), onStall),
		idleTimer:   time.AfterFunc(firstFrameTimeout.Duration(), cancelAttempt),
		idleTimeout: h.streamIdleTimeout.Duration(),
	}
}

// recordFrame records that the engine has sent a frame.
func (a *attemptWatchdog) recordFrame() {
	a.stallTimer.Stop()
	a.idleTimer.Reset(a.idleTimeout)
}

// stop stops the timers and cancels the context.
func (a *attemptWatchdog) stop() {
	a.stallTimer.Stop()
	a.idleTimer.Stop()
	a.cancel()
}
