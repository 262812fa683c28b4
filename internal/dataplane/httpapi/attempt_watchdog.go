package httpapi

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

const (
	// minStallTimeout is the shortest time after which an attempt counts as stalled.
	minStallTimeout = 100 * clock.Millisecond
	// minFirstFrameTimeout is the shortest time after which an attempt without a frame is given up.
	minFirstFrameTimeout = 2 * minStallTimeout
	// stallPercent is the share of the time left until the start deadline after which an attempt
	// that has shown nothing counts as stalled.
	stallPercent = 60
	fullPercent  = 100
)

// attemptWatchdog bounds one attempt: its engine must show something in time, and then keep showing.
type attemptWatchdog struct {
	cancel     context.CancelFunc
	stallTimer *time.Timer
	// idleTimer gives the attempt up: first when its start is far too late, and from the first
	// frame on when no frame came for idleTimeout.
	idleTimer   *time.Timer
	idleTimeout time.Duration
}

// startWatchdog bounds an attempt and returns its context. The watchdog must be stopped.
//
// An engine that shows nothing within stallPercent of the time left until the start deadline has
// stalled: it is ejected for a while, and an attempt that may be repeated is given up. A one-shot
// attempt is given up when its start is late by as much as the start timeout, and any stream when
// it falls idle: its caller then has the response at once, not at the request's deadline.
func (h *Handler) startWatchdog(
	parent context.Context, request *forwardedRequest, target *registry.PickResult,
) (context.Context, *attemptWatchdog) {
	ctx, stop := context.WithCancel(parent)
	now := h.clock.Now()
	eject := func() { request.engineTable.Eject(target.Name, h.clock.Now()) }
	abandonAttempt := func() {
		h.Stalls.Add(1)
		eject()
		stop()
	}
	onStall := abandonAttempt
	if request.template.OneShot() {
		onStall = eject
	}
	stallTimeout := max((request.startDeadline-now)*stallPercent/fullPercent, minStallTimeout)
	startTimeout := request.startDeadline - request.startedAt
	firstFrameTimeout := max(request.startDeadline+startTimeout-now, minFirstFrameTimeout)
	return ctx, &attemptWatchdog{
		cancel:      stop,
		stallTimer:  time.AfterFunc(stallTimeout.Duration(), onStall),
		idleTimer:   time.AfterFunc(firstFrameTimeout.Duration(), abandonAttempt),
		idleTimeout: h.streamIdleTimeout.Duration(),
	}
}

// recordFrame notes that the engine has shown a frame.
func (a *attemptWatchdog) recordFrame() {
	a.stallTimer.Stop()
	a.idleTimer.Reset(a.idleTimeout)
}

// stop ends the attempt's timers and context.
func (a *attemptWatchdog) stop() {
	a.stallTimer.Stop()
	a.idleTimer.Stop()
	a.cancel()
}
