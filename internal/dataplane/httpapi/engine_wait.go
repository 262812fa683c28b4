package httpapi

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/registry"
)

// pollInterval is how often a waiting request looks for capacity.
const pollInterval = 5 * time.Millisecond

// What a request waits for, as error messages name it.
const (
	operationServe  = "serve"
	operationDecode = "decode"
)

// engineSelector picks engines that meet the requirements. It reports whether it picked any, and
// whether any engine is eligible at all, busy ones included.
type engineSelector func(now clock.Microseconds, requirements registry.Requirements) (selected, eligible bool)

// waitForEngine waits for engines with capacity as long as the start deadline can still be met. A
// request that would not have its turn in time, by the pace of the last ones, is rejected at once.
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
			return errcode.New(errcode.Cancelled, "the caller left")
		case <-time.After(pollInterval):
		}
	}
}

// enqueue counts a request as waiting, unless its turn would come after the start deadline.
func (h *Handler) enqueue(now clock.Microseconds, request *forwardedRequest, operation string) error {
	wait := request.engineTable.EstimateWait(now)
	if now+wait > request.startDeadline {
		h.EarlyRejections.Add(1)
		return errcode.New(errcode.DeadlineExceeded, "capacity to %s is %d ms away", operation, wait/clock.Millisecond)
	}
	request.engineTable.Enqueue()
	return nil
}

// noEngineError is the error of a request whose start deadline has passed while it waited.
func noEngineError(request *forwardedRequest, operation string, eligible bool) error {
	if eligible {
		return errcode.New(errcode.DeadlineExceeded, "no engine had capacity to %s", operation)
	}
	return errcode.New(errcode.NoEngine, "no engine can %s for %s", operation, request.template.Service)
}
