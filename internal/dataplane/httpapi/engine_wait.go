package httpapi

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/registry"
)

// pollInterval is the interval at which a waiting request checks for engines with capacity.
const pollInterval = 5 * time.Millisecond

// The operations for which a request waits for engines, as they appear in error messages.
const (
	operationServe  = "serve"
	operationDecode = "decode"
)

// engineSelector selects engines that meet the requirements and have capacity. It reports whether it
// selected any, and whether any engine meets the requirements, with or without capacity.
type engineSelector func(now clock.Microseconds, requirements registry.Requirements) (selected, eligible bool)

// waitForEngine waits until selectEngine finds engines with capacity, or until the start deadline. A
// request whose estimated wait goes beyond its start deadline is rejected without waiting. If no engine
// is eligible, the engines at which the request failed before become eligible again.
func (h *Handler) waitForEngine(
	ctx context.Context, request *forwardedRequest, operation string, selectEngine engineSelector,
) error {
	table := request.engineTable
	requirements := registry.Requirements{
		Zone:            h.node.Zone,
		Versions:        request.service.Versions,
		ExcludedEngines: request.excludedEngines,
		Match:           h.matchPolicy(request),
	}
	queued := false
	defer func() {
		if queued {
			table.Dequeue()
		}
	}()
	for {
		now := h.clock.Now()
		selected, eligible := selectEngine(now, requirements)
		if selected {
			table.RecordAdmission(now, queued)
			return nil
		}
		if !eligible && len(request.excludedEngines) > 0 {
			clear(request.excludedEngines)
			continue
		}
		if !queued && eligible {
			if err := h.enqueue(now, request, operation); err != nil {
				return err
			}
			queued = true
		}
		if now >= request.startDeadline {
			return noEngineError(request, operation, eligible)
		}
		select {
		case <-ctx.Done():
			return errcode.New(errcode.Cancelled, "the caller disconnected or the request timed out while waiting for an engine")
		case <-time.After(pollInterval):
		}
	}
}

// enqueue counts a request as waiting, or returns an error if its estimated wait goes beyond its start
// deadline.
func (h *Handler) enqueue(now clock.Microseconds, request *forwardedRequest, operation string) error {
	wait := request.engineTable.EstimateWait(now)
	if now+wait > request.startDeadline {
		h.EarlyRejections.Add(1)
		return errcode.New(errcode.DeadlineExceeded, "the estimated wait for capacity to %s the request is %d ms",
			operation, wait/clock.Millisecond)
	}
	request.engineTable.Enqueue()
	return nil
}

// noEngineError returns the error of a request that found no engine before its start deadline.
func noEngineError(request *forwardedRequest, operation string, eligible bool) error {
	if eligible {
		return errcode.New(errcode.DeadlineExceeded, "no engine had capacity to %s the request", operation)
	}
	return errcode.New(errcode.NoEngine, "no engine of service %q can %s the request", request.template.Service, operation)
}
