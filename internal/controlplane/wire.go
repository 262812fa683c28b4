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

// WirePrototypes returns zero values of further types that travel between servers, by stable labels.
func WirePrototypes() map[string]any {
	return map[string]any{
		"idempotency-shard-request": reservations.SnapshotRequest{},
		"idempotency-shard-answer":  reservations.SnapshotResponse{},
	}
}

// WirePaths returns the paths of the calls that servers answer, by stable labels.
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

// PublicRoutes returns the handler of the public interface.
func (s *Server) PublicRoutes() http.Handler { return s.publicHandler() }

// CounterNames returns the sorted names of all counters.
func (s *Server) CounterNames() []string { return slices.Sorted(maps.Keys(s.counters())) }
