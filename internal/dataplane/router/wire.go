package router

import (
	"maps"
	"net/http"
	"slices"

	"coursepass/internal/dataplane/httpapi"
)

// WirePaths are the paths of the procedures that routers serve to each other, by stable labels.
func WirePaths() map[string]string {
	paths := httpapi.WirePaths()
	paths["engine-suspicion"] = suspectPath
	return paths
}

// PublicRoutes is the handler of the public interface.
func (r *Router) PublicRoutes() http.Handler { return r.publicHandler() }

// CounterNames are the names of all counters that operators see, sorted.
func (r *Router) CounterNames() []string { return slices.Sorted(maps.Keys(r.counterValues())) }
