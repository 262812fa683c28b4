package controlplane

import (
	"maps"
	"net/http"
	"slices"

	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/membership"
	"coursepass/internal/controlplane/messaging"
	"coursepass/internal/controlplane/reservations"
)

// WirePrototypes returns zero values of wire types of calls between servers, by stable labels. The compatibility tests
// compare the encodings of these types between builds.
func WirePrototypes() map[string]any {
	return map[string]any{
		"idempotency-shard-request": reservations.SnapshotRequest{},
		"idempotency-shard-answer":  reservations.SnapshotResponse{},
	}
}

// WirePaths returns the paths of the calls that servers accept, by stable labels.
func WirePaths() map[string]string {
	return map[string]string{
		"log-heads":          controlapi.HeadsPath,
		"engine-failure":     controlapi.FailureReportPath,
		"replica-copies":     controlapi.SnapshotOfferPath,
		"idempotency-claims": controlapi.ReservationsPath,
		"idempotency-shard":  reservations.SnapshotPath,
		"consensus-batch":    messaging.DeliverPath,
		"join":               membership.JoinPath,
		"operation-forward":  forwardPath,
		"usage-report":       controlapi.UsageReportPath,
		"usage-digests":      controlapi.UsageDigestsPath,
		"usage-counts":       controlapi.UsageCountsPath,
	}
}

// PublicRoutes returns the handler of the public HTTP interface.
func (s *Server) PublicRoutes() http.Handler { return s.publicHandler() }

// CounterNames returns the sorted names of all counters.
func (s *Server) CounterNames() []string { return slices.Sorted(maps.Keys(s.counters())) }
