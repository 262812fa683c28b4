// Package route holds the routing table: the services that handle the requests of each route,
// and the timeouts, retries and priorities of these requests. A route is selected by the host
// and the longest matching prefix of the path.
//
// Package config builds a [Table] from operations in the log, and checks it with
// [Table.Validate] before the table becomes active. A router calls [Table.BuildIndex] once on
// its copy, and then [Table.Find] and [Table.Authenticate] for each request. After BuildIndex
// the table must not change, and is safe for concurrent use.
//
// Log entries and snapshots contain the wire structs of the types ([Wire], [ServiceWire],
// [LimitsWire], [TableWire]), whose field names are part of these formats.
package route

import (
	"strings"

	"coursepass/internal/clock"
	"coursepass/internal/state/credential"
)

// RequestKind determines whether a request may run more than once.
type RequestKind string

// The kinds of requests. The values are part of the log format.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable RequestKind = "repeatable"
	// KindOneShot requests run at most once.
	KindOneShot RequestKind = "one-shot"
	// KindStream requests are answered with a stream of events. They run at most once unless
	// Route.Resume is set.
	KindStream RequestKind = "stream"
)

// WeightedService is a service with the weight of its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route selects requests by host and path prefix, and sets their services, timeouts, retries and
// priority.
type Route struct {
	Name string
	Host string
	// Prefix is the prefix of the path. It starts and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Services are the services among which the requests are split by weight.
	Services []WeightedService `json:"Shares"`
	// Resume means that a stream may be resumed at another engine.
	Resume bool
	// MaxAttempts is the maximum number of engines to which one request may be sent.
	MaxAttempts int `json:"Tries"`
	Priority    int
	// TotalTimeout is the timeout of the complete request. It must be above 0. StartTimeout is the
	// timeout of the first event, and EventTimeout the timeout between two events; 0 disables them.
	TotalTimeout clock.Microseconds `json:"GiveUp"`
	StartTimeout clock.Microseconds `json:"Start"`
	EventTimeout clock.Microseconds `json:"Gap"`
	// Regions are the regions that may process the requests and keep their KV caches. An empty
	// list allows all regions.
	Regions []string `json:"Homes"`
	// Public means that requests without a valid key are accepted even if the table has tenants.
	Public bool `json:",omitempty"`
}

// IsRetryable reports whether a request of the route may run more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resume
}

// EffectivePriority returns the priority of a tenant's requests on the route. The priority of the
// tenant, if set, overrides that of the route. The tenant may be nil.
func (r *Route) EffectivePriority(tenant *credential.Tenant) int {
	if tenant != nil && tenant.HasPriority {
		return tenant.Priority
	}
	return r.Priority
}

// Service is a model service and the properties of its engines.
type Service struct {
	Name string
	// Status is the path of the engines' health check. MaxConnections is the maximum number of
	// connections to one engine.
	Status         string
	MaxConnections int `json:"Circuits"`
	// WarmUpDuration is the duration of an engine's warm-up after its start. WarmUpRate is the
	// maximum rate, in requests per second, of all callers together to an engine that is warming up.
	WarmUpDuration clock.Microseconds `json:"Warm"`
	WarmUpRate     float64            `json:"ColdRate"`
	// Concurrency is the number of requests that an engine runs concurrently.
	Concurrency int `json:"Slots"`
	// Memory is the size of an engine's KV cache in tokens, TokenBytes the size of one cached token
	// in bytes, and Link the network bandwidth of an engine in bits per second.
	Memory     int
	TokenBytes int
	Link       float64
	// CacheRetention is the time for which an engine keeps a KV cache for the transfer to another
	// engine. RoleChangeDuration is the time that an engine needs to change its role.
	CacheRetention     clock.Microseconds `json:"Kept"`
	RoleChangeDuration clock.Microseconds `json:"Change"`
	// Scaling enables autoscaling of the service. If it is nil, the number of engines is fixed.
	Scaling *Scaling `json:",omitempty"`
}

// Scaling sets the bounds for autoscaling a service in each zone.
type Scaling struct {
	// Min and Max are the minimum and the maximum number of engines in one zone.
	Min int
	Max int
	// StartUp is the time from an order of a new engine until the engine takes its first request.
	StartUp clock.Microseconds
}

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	// Header and Body are the maximum sizes of a request's header and body in bytes.
	Header int
	Body   int
	// HeaderTimeout is the timeout for reading the header of a request. IdleTimeout is the time after
	// which an idle connection is closed.
	HeaderTimeout clock.Microseconds `json:"Waiting"`
	IdleTimeout   clock.Microseconds `json:"Idle"`
}

// Table holds the routes, services and tenants by name, and the limits. An active table is not
// modified.
type Table struct {
	Routes   map[string]Route
	Services map[string]Service
	Limits   Limits
	// Tenants are the tenants whose requests are accepted. If the map is nil, the requests of all
	// callers are accepted. If it is empty but not nil, only requests on public routes are.
	Tenants map[string]credential.Tenant
	// hosts holds the routes by host, and tenants the tenants by key. BuildIndex sets both.
	hosts   map[string][]*Route
	tenants *credential.Index
}

// BuildIndex builds the indexes that Find and Authenticate use. It must be called before either
// of them, and is not safe for concurrent use.
func (t *Table) BuildIndex() {
	t.tenants = credential.NewIndex(t.Tenants)
	t.hosts = map[string][]*Route{}
	for _, route := range t.Routes {
		t.hosts[route.Host] = append(t.hosts[route.Host], &route)
	}
}

// Find returns the route of the host with the longest matching prefix of the path, or nil if no
// route matches.
func (t *Table) Find(host, path string) *Route {
	var best *Route
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Authenticate returns the tenant whose key is presented by a request on the target route. The
// tenant is nil if the request is accepted without one, because the map of tenants is nil or
// the route is public. Any other request without a valid key is rejected with the code
// Unauthenticated.
func (t *Table) Authenticate(target *Route, presented credential.Presented) (*credential.Tenant, error) {
	if t.Tenants == nil {
		return nil, nil
	}
	tenant := t.tenants.Find(presented)
	if tenant == nil && !target.Public {
		return nil, presented.Rejection()
	}
	return tenant, nil
}
