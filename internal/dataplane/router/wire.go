package router

import (
	"maps"
	"net/http"
	"slices"
)

// WirePaths are the paths of the procedures that routers serve to each other, by stable labels.
func WirePaths() map[string]string {
	return map[string]string{
		"idempotency-key":  keyOutcomePath,
		"engine-suspicion": suspectPath,
	}
}

// PublicRoutes is the handler of the public interface.
func (r *Router) PublicRoutes() http.Handler { return r.publicHandler() }

// CounterNames are the names of all counters that operators see, sorted.
func (r *Router) CounterNames() []string { return slices.Sorted(maps.Keys(r.counterValues())) }
