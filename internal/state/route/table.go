// Package route holds the table of routes: which requests go to which services, and on what
// terms. A route is selected by the host and the longest matching prefix of the path.
//
// A [Table] is built by package config from operations in the log, and checked with
// [Table.Validate] before it is put in force. A router calls [Table.BuildIndex] once on its
// copy, and then [Table.Find] and [Table.Authenticate] for each request; from then on the table
// must not change, and is safe for concurrent use.
//
// Log entries and snapshots hold the wire structs of the types ([Wire], [ServiceWire],
// [LimitsWire], [TableWire]), whose field names are part of these formats.
package route

import (
	"strings"

	"coursepass/internal/clock"
	"coursepass/internal/state/credential"
)

// RequestKind tells whether a request may run more than once.
type RequestKind string

// The kinds of requests. The values are part of the log format.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable RequestKind = "repeatable"
	// KindOneShot requests run at most once.
	KindOneShot RequestKind = "one-shot"
	// KindStream requests are answered by a stream of events; they run at most once unless the
	// route allows to resume them.
	KindStream RequestKind = "stream"
)

// WeightedService is a service with its share of a route's requests, by weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route selects requests by host and prefix, and sets their terms.
type Route struct {
	Name string
	Host string
	// Prefix is the prefix of the path, with a slash at its start and end.
	Prefix string
	Kind   RequestKind
	// Services are those among which the requests are split.
	Services []WeightedService `json:"Shares"`
	// Resume allows to resume a stream at another engine.
	Resume bool
	// MaxAttempts is the most engines that one request may be sent to.
	MaxAttempts int `json:"Tries"`
	Priority    int
	// TotalTimeout is that of the complete request, StartTimeout that of the first event and
	// EventTimeout that between two events; 0 is none.
	TotalTimeout clock.Microseconds `json:"GiveUp"`
	StartTimeout clock.Microseconds `json:"Start"`
	EventTimeout clock.Microseconds `json:"Gap"`
	// Regions are those that may process the requests and keep their KV cache; none means
	// all regions.
	Regions []string `json:"Homes"`
	// Public allows requests without a key where the table has tenants.
	Public bool `json:",omitempty"`
}

// IsRetryable reports whether a request of the route may run more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resume
}

// EffectivePriority returns the priority of a tenant's requests along the route: the tenant's, if
// it has one, before the route's. The tenant may be nil.
func (r *Route) EffectivePriority(tenant *credential.Tenant) int {
	if tenant != nil && tenant.HasPriority {
		return tenant.Priority
	}
	return r.Priority
}

// Service is a model service with the properties of its engines.
type Service struct {
	Name string
	// Status is the path of the engines' health check, MaxConnections the most connections to
	// one engine.
	Status         string
	MaxConnections int `json:"Circuits"`
	// WarmUpDuration is how long an engine warms up after its start, WarmUpRate the requests per
	// second that all callers together may send it meanwhile.
	WarmUpDuration clock.Microseconds `json:"Warm"`
	WarmUpRate     float64            `json:"ColdRate"`
	// Concurrency is the number of requests that an engine runs at a time.
	Concurrency int `json:"Slots"`
	// Memory is an engine's KV cache in tokens, TokenBytes the size of one token in bytes, and
	// Link the bandwidth of its network in bits per second.
	Memory     int
	TokenBytes int
	Link       float64
	// CacheRetention is how long an engine keeps a KV cache for the transfer to another,
	// RoleChangeDuration how long it takes to change its role.
	CacheRetention     clock.Microseconds `json:"Kept"`
	RoleChangeDuration clock.Microseconds `json:"Change"`
	// Scaling allows to order the number of the service's engines; nil means that it is fixed.
	Scaling *Scaling `json:",omitempty"`
}

// Scaling bounds the number of a service's engines that may be ordered in each zone.
type Scaling struct {
	// Min and Max are the fewest and the most engines in one zone.
	Min int
	Max int
	// StartUp is how long after an order a new engine takes its first request.
	StartUp clock.Microseconds
}

// Limits bound what callers may send.
type Limits struct {
	// Header and Body are sizes in bytes.
	Header int
	Body   int
	// HeaderTimeout is that of a request's header, IdleTimeout that of an idle connection.
	HeaderTimeout clock.Microseconds `json:"Waiting"`
	IdleTimeout   clock.Microseconds `json:"Idle"`
}

// Table holds the routes and services by name, and the limits. It is not changed once it is
// in force.
type Table struct {
	Routes   map[string]Route
	Services map[string]Service
	Limits   Limits
	// Tenants are those that may call. Without any map, nil, everybody may; with an empty one
	// nobody may, but on public routes.
	Tenants map[string]credential.Tenant
	// hosts are the routes by host, and tenants those with keys, see BuildIndex.
	hosts   map[string][]*Route
	tenants *credential.Index
}

// BuildIndex prepares the table for Find and Authenticate. It must be called before, and isn't
// safe for concurrent use.
func (t *Table) BuildIndex() {
	t.tenants = credential.NewIndex(t.Tenants)
	t.hosts = map[string][]*Route{}
	for _, route := range t.Routes {
		t.hosts[route.Host] = append(t.hosts[route.Host], &route)
	}
}

// Find returns the route of a host with the longest prefix that matches the path, or nil.
func (t *Table) Find(host, path string) *Route {
	var best *Route
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Authenticate returns the tenant whose key a request along a route carries. The tenant is nil if
// the request belongs to none and may run all the same, as the table has no tenants or the route
// is public. Any other request is rejected with the code Unauthenticated.
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
