package core

import (
	"maps"
	"net/http"
	"slices"
)

// WirePrototypes are zero values of the types without exported names that travel, by
// stable labels.
func WirePrototypes() map[string]any {
	return map[string]any{
		"idempotency-shard-request": shareQuestion{},
		"idempotency-shard-answer":  shareAnswer{},
	}
}

// WirePaths are the paths of the procedures that control daemons serve, by stable labels.
func WirePaths() map[string]string {
	return map[string]string{
		"log-heads":          HeadsPath,
		"engine-failure":     MishapPath,
		"replica-copies":     CopyPath,
		"idempotency-claims": ClaimsPath,
		"idempotency-shard":  sharePath,
		"consensus-batch":    deliverPath,
		"join":               joinPath,
		"operation-forward":  operatePath,
	}
}

// PublicRoutes is the handler of the public interface.
func (s *Core) PublicRoutes() http.Handler { return s.public() }

// CounterNames are the names of all counters that are shown, in order.
func (s *Core) CounterNames() []string { return slices.Sorted(maps.Keys(s.counters())) }

// Discard closes the files of a core that was never run.
func (s *Core) Discard() {
	s.journal.Close()
	s.diary.Close()
}
