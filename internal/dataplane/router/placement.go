package router

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/placement"
	"coursepass/internal/state/pairing"
	"coursepass/internal/transport"
)

const (
	// placementPath is the procedure by which a router asks a placement owner.
	placementPath = "/router/place"
	// placementCallTimeout bounds the call where the caller's context allows longer.
	placementCallTimeout = 100 * clock.Millisecond
)

// AskPlacement asks another router, a placement owner, which engines shall serve a request.
func (r *Router) AskPlacement(
	ctx context.Context, owner pairing.PlacementOwner, query *placement.Query,
) (*placement.Answer, error) {
	target := transport.Target{Address: owner.Address, Procedure: placementPath, Timeout: placementCallTimeout}
	return transport.Call[placement.Query, placement.Answer](ctx, r.internal, target, query)
}

// registerPlacementHandler serves other routers' queries. Without a data plane nothing is placed.
func (r *Router) registerPlacementHandler() {
	transport.Handle(r.internal, placementPath, func(
		_ context.Context, query *placement.Query,
	) (*placement.Answer, error) {
		if r.dataPlane == nil {
			return &placement.Answer{}, nil
		}
		return r.dataPlane.Place(query)
	})
}
