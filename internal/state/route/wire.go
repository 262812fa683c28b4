package route

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/credential"
	"coursepass/internal/wireform"
)

// The wire structs of this file have the field names under which the domain types stand in log
// entries and snapshots and are sent between servers. Names, order and types of their fields
// are part of these formats and must not change.

// Wire is a Route in log entries, in snapshots and in calls between servers.
type Wire struct {
	Name     string
	Host     string
	Prefix   string
	Kind     RequestKind
	Shares   []WeightedService
	Resume   bool
	Tries    int
	Priority int
	GiveUp   clock.Microseconds
	Start    clock.Microseconds
	Gap      clock.Microseconds
	Homes    []string
	Public   bool
}

// ToWire returns the route as it is encoded.
func (r Route) ToWire() Wire {
	return Wire{
		Name:     r.Name,
		Host:     r.Host,
		Prefix:   r.Prefix,
		Kind:     r.Kind,
		Shares:   r.Services,
		Resume:   r.Resume,
		Tries:    r.MaxAttempts,
		Priority: r.Priority,
		GiveUp:   r.TotalTimeout,
		Start:    r.StartTimeout,
		Gap:      r.EventTimeout,
		Homes:    r.Regions,
		Public:   r.Public,
	}
}

// ToDomain returns the route that was encoded.
func (r Wire) ToDomain() Route {
	return Route{
		Name:         r.Name,
		Host:         r.Host,
		Prefix:       r.Prefix,
		Kind:         r.Kind,
		Services:     r.Shares,
		Resume:       r.Resume,
		MaxAttempts:  r.Tries,
		Priority:     r.Priority,
		TotalTimeout: r.GiveUp,
		StartTimeout: r.Start,
		EventTimeout: r.Gap,
		Regions:      r.Homes,
		Public:       r.Public,
	}
}

// ServiceWire is a Service in log entries, in snapshots and in calls between servers.
type ServiceWire struct {
	Name       string
	Status     string
	Circuits   int
	Warm       clock.Microseconds
	ColdRate   float64
	Slots      int
	Memory     int
	TokenBytes int
	Link       float64
	Kept       clock.Microseconds
	Change     clock.Microseconds
	Scaling    *ScalingWire
}

// ToWire returns the service as it is encoded.
func (s Service) ToWire() ServiceWire {
	return ServiceWire{
		Name:       s.Name,
		Status:     s.Status,
		Circuits:   s.MaxConnections,
		Warm:       s.WarmUpDuration,
		ColdRate:   s.WarmUpRate,
		Slots:      s.Concurrency,
		Memory:     s.Memory,
		TokenBytes: s.TokenBytes,
		Link:       s.Link,
		Kept:       s.CacheRetention,
		Change:     s.RoleChangeDuration,
		Scaling:    wireform.Pointer(s.Scaling, Scaling.ToWire),
	}
}

// ToDomain returns the service that was encoded.
func (s ServiceWire) ToDomain() Service {
	return Service{
		Name:               s.Name,
		Status:             s.Status,
		MaxConnections:     s.Circuits,
		WarmUpDuration:     s.Warm,
		WarmUpRate:         s.ColdRate,
		Concurrency:        s.Slots,
		Memory:             s.Memory,
		TokenBytes:         s.TokenBytes,
		Link:               s.Link,
		CacheRetention:     s.Kept,
		RoleChangeDuration: s.Change,
		Scaling:            wireform.Pointer(s.Scaling, ScalingWire.ToDomain),
	}
}

// ScalingWire is a Scaling in log entries, in snapshots and in calls between servers.
type ScalingWire struct {
	Min     int
	Max     int
	StartUp clock.Microseconds
}

// ToWire returns the bounds as they are encoded.
func (s Scaling) ToWire() ScalingWire { return ScalingWire(s) }

// ToDomain returns the bounds that were encoded.
func (s ScalingWire) ToDomain() Scaling { return Scaling(s) }

// LimitsWire is Limits in log entries, in snapshots and in calls between servers.
type LimitsWire struct {
	Header  int
	Body    int
	Waiting clock.Microseconds
	Idle    clock.Microseconds
}

// ToWire returns the limits as it is encoded.
func (l Limits) ToWire() LimitsWire {
	return LimitsWire{
		Header:  l.Header,
		Body:    l.Body,
		Waiting: l.HeaderTimeout,
		Idle:    l.IdleTimeout,
	}
}

// ToDomain returns the limits that was encoded.
func (l LimitsWire) ToDomain() Limits {
	return Limits{
		Header:        l.Header,
		Body:          l.Body,
		HeaderTimeout: l.Waiting,
		IdleTimeout:   l.Idle,
	}
}

// TableWire is a Table, without its index, in snapshots and in calls between servers.
type TableWire struct {
	Routes   map[string]Wire
	Services map[string]ServiceWire
	Bounds   LimitsWire
	Tenants  map[string]credential.Tenant
}

// ToWire returns the table as it is encoded.
func (t Table) ToWire() TableWire {
	return TableWire{
		Routes:   wireform.Map(t.Routes, Route.ToWire),
		Services: wireform.Map(t.Services, Service.ToWire),
		Bounds:   t.Limits.ToWire(),
		Tenants:  t.Tenants,
	}
}

// ToDomain returns the table that was encoded.
func (t TableWire) ToDomain() Table {
	return Table{
		Routes:   wireform.Map(t.Routes, Wire.ToDomain),
		Services: wireform.Map(t.Services, ServiceWire.ToDomain),
		Limits:   t.Bounds.ToDomain(),
		Tenants:  t.Tenants,
	}
}
