package router

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/placement"
	"coursepass/internal/state/pairing"
	"coursepass/internal/transport"
)

const (
	// placementPath is the path of placement queries to placement owners.
	placementPath = "/router/place"
	// engineReportPath is the path of reports to the owner of an engine.
	engineReportPath = "/router/engine-report"
	// placementCallTimeout is the timeout of a query or report, unless the context ends earlier.
	placementCallTimeout = 100 * clock.Millisecond
)

// AskPlacement asks another router, a placement owner, which engines should serve a request.
func (r *Router) AskPlacement(
	ctx context.Context, owner pairing.PlacementOwner, query *placement.Query,
) (*placement.Answer, error) {
	target := transport.Target{Address: owner.Address, Procedure: placementPath, Timeout: placementCallTimeout}
	return transport.Call[placement.Query, placement.Answer](ctx, r.internal, target, query)
}

// ReportEngine reports to the owner of an engine that a call to the engine failed or takes longer than
// expected.
func (r *Router) ReportEngine(
	ctx context.Context, owner pairing.PlacementOwner, report *placement.EngineReport,
) error {
	target := transport.Target{Address: owner.Address, Procedure: engineReportPath, Timeout: placementCallTimeout}
	_, err := transport.Call[placement.EngineReport, placement.EngineReportAnswer](ctx, r.internal, target, report)
	return err
}

// registerPlacementHandlers registers the handlers of other routers' placement queries and engine
// reports. Without a data plane, queries get an empty answer and reports are ignored.
func (r *Router) registerPlacementHandlers() {
	transport.Handle(r.internal, placementPath, func(
		_ context.Context, query *placement.Query,
	) (*placement.Answer, error) {
		if r.dataPlane == nil {
			return &placement.Answer{}, nil
		}
		return r.dataPlane.Place(query)
	})
	transport.Handle(r.internal, engineReportPath, func(
		_ context.Context, report *placement.EngineReport,
	) (*placement.EngineReportAnswer, error) {
		if r.dataPlane != nil {
			r.dataPlane.HandleEngineReport(report)
		}
		return &placement.EngineReportAnswer{Taken: 1}, nil
	})
}
