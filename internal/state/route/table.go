// Package route says which requests go to which service, and on what terms. A route is a
// tenant's template that is picked by host and path.
package route

import (
	"strings"

	"coursepass/internal/clock"
)

// RequestKind says what may be repeated.
type RequestKind string

// The kinds.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable RequestKind = "repeatable"
	// KindOneShot requests run at most once.
	KindOneShot RequestKind = "one-shot"
	// KindStream requests are answered by events; they are one-shot unless they may be resumed.
	KindStream RequestKind = "stream"
)

// WeightedService is a service's share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is one route.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RequestKind
	Shares []WeightedService
	Resume bool
	// Tries is the most engines that one request may be sent to.
	Tries    int
	Priority int
	// GiveUp is the longest that a request is held, Start and Gap the budgets of the first
	// event and of each pause; 0 if there is none.
	GiveUp clock.Microseconds
	Start  clock.Microseconds
	Gap    clock.Microseconds
	// Homes are the regions to which requests and their prompt memory may go, none if to all.
	Homes []string
}

// IsRetryable tells whether a request of the route may run more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resume
}

// Service is one model service as its engines are reached.
type Service struct {
	Name string
	// Status is the path of the engines' status, Circuits the most circuits to one engine.
	Status   string
	Circuits int
	// Warm is how long an engine is cold after its start, ColdRate the requests a second
	// that all callers together may send it meanwhile.
	Warm     clock.Microseconds
	ColdRate float64
	Slots    int
	// Memory is in tokens, each of TokenBytes; Link is in bits a second.
	Memory     int
	TokenBytes int
	Link       float64
	// Kept is how long prompt memory is held for a taker, Change how long an engine takes
	// to change its part.
	Kept   clock.Microseconds
	Change clock.Microseconds
}

// Limits are what callers may send and how long they may take.
type Limits struct {
	Header  int
	Body    int
	Waiting clock.Microseconds
	Idle    clock.Microseconds
}

// Table is all routes, services and bounds in force. It is never changed once made.
type Table struct {
	Routes   map[string]Route
	Services map[string]Service
	Bounds   Limits
	hosts    map[string][]*Route
}

// BuildIndex prepares a book for look-ups.
func (t *Table) BuildIndex() {
	t.hosts = map[string][]*Route{}
	for _, route := range t.Routes {
		t.hosts[route.Host] = append(t.hosts[route.Host], &route)
	}
}

// Find is the route of a host whose prefix begins the path and is the longest.
func (t *Table) Find(host, path string) *Route {
	var best *Route
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}
