package router

import (
	"maps"
	"net/http"
	"slices"

	"coursepass/internal/dataplane/httpapi"
)

// WirePaths returns the paths of calls between routers, by stable labels. The compatibility tests
// compare them with their golden files.
func WirePaths() map[string]string {
	paths := httpapi.WirePaths()
	paths["engine-suspicion"] = suspectPath
	return paths
}

// PublicRoutes returns the handler of the public interface.
func (r *Router) PublicRoutes() http.Handler { return r.publicHandler() }

// CounterNames returns the exported names of all counters, sorted.
func (r *Router) CounterNames() []string { return slices.Sorted(maps.Keys(r.counterValues())) }
