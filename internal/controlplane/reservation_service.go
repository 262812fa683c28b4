package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/reservations"
)

// newReservationService creates the reservation service of all service shards.
func newReservationService(server *Server) *reservations.Service {
	var shards []reservations.Shard
	for _, shard := range server.shards[1:] {
		shards = append(shards, shard)
	}
	return reservations.NewService(reservations.Options{
		Server:                server.Name,
		Transport:             server.internalTransport,
		Clock:                 server.clock,
		Log:                   server.reservationLog,
		Shards:                shards,
		ObserveLongestRequest: server.observeLongestRequest,
	})
}

// observeLongestRequest calls observe in the loop of shard 0 with the longest total timeout of a one-shot request in
// the applied configuration.
func (s *Server) observeLongestRequest(ctx context.Context, observe func(longest clock.Microseconds)) {
	s.shards[0].RunInLoop(ctx, func() {
		longest := clock.Microseconds(0)
		for _, tenant := range s.configuration.View().Plan.Tenants {
			for _, template := range tenant.Kinds {
				if template.OneShot() {
					longest = max(longest, template.TotalTimeout())
				}
			}
		}
		observe(longest)
	})
}
