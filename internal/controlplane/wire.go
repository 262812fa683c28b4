package controlplane

import (
	"maps"
	"net/http"
	"slices"
)

// WirePrototypes are zero values of the types without exported names that travel, by
// stable labels.
func WirePrototypes() map[string]any {
	return map[string]any{
		"idempotency-shard-request": reservationSnapshotRequest{},
		"idempotency-shard-answer":  reservationSnapshotResponse{},
	}
}

// WirePaths are the paths of the procedures that control daemons serve, by stable labels.
func WirePaths() map[string]string {
	return map[string]string{
		"log-heads":          HeadsPath,
		"engine-failure":     FailureReportPath,
		"replica-copies":     SnapshotOfferPath,
		"idempotency-claims": ReservationsPath,
		"idempotency-shard":  reservationSnapshotPath,
		"consensus-batch":    deliverPath,
		"join":               joinPath,
		"operation-forward":  forwardPath,
	}
}

// PublicRoutes is the handler of the public interface.
func (s *Server) PublicRoutes() http.Handler { return s.publicHandler() }

// CounterNames are the names of all counters that are shown, in order.
func (s *Server) CounterNames() []string { return slices.Sorted(maps.Keys(s.counters())) }

// Discard closes the files of a core that was never run.
func (s *Server) Discard() {
	s.wal.Close()
	s.reservationLog.Close()
}
