package route

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/credential"
	"coursepass/internal/wireform"
)

// The wire structs in this file are the encoded forms of the domain types in log entries, in
// snapshots and in calls between servers. The names, order and types of their fields are part of
// these formats and must not change.

// Wire is the encoded form of a Route in log entries, in snapshots and in calls between servers.
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

// ToWire converts the route to its encoded form.
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

// ToDomain converts the encoded form to a Route.
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

// ServiceWire is the encoded form of a Service in log entries, in snapshots and in calls between servers.
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

// ToWire converts the service to its encoded form.
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

// ToDomain converts the encoded form to a Service.
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

// ScalingWire is the encoded form of a Scaling in log entries, in snapshots and in calls between servers.
type ScalingWire struct {
	Min     int
	Max     int
	StartUp clock.Microseconds
}

// ToWire converts the bounds to their encoded form.
func (s Scaling) ToWire() ScalingWire { return ScalingWire(s) }

// ToDomain converts the encoded form to a Scaling.
func (s ScalingWire) ToDomain() Scaling { return Scaling(s) }

// LimitsWire is the encoded form of Limits in log entries, in snapshots and in calls between servers.
type LimitsWire struct {
	Header  int
	Body    int
	Waiting clock.Microseconds
	Idle    clock.Microseconds
}

// ToWire converts the limits to their encoded form.
func (l Limits) ToWire() LimitsWire {
	return LimitsWire{
		Header:  l.Header,
		Body:    l.Body,
		Waiting: l.HeaderTimeout,
		Idle:    l.IdleTimeout,
	}
}

// ToDomain converts the encoded form to Limits.
func (l LimitsWire) ToDomain() Limits {
	return Limits{
		Header:        l.Header,
		Body:          l.Body,
		HeaderTimeout: l.Waiting,
		IdleTimeout:   l.Idle,
	}
}

// TableWire is the encoded form of a Table without its indexes in snapshots and in calls between servers.
type TableWire struct {
	Routes   map[string]Wire
	Services map[string]ServiceWire
	Bounds   LimitsWire
	Tenants  map[string]credential.Tenant
}

// ToWire converts the table to its encoded form.
func (t Table) ToWire() TableWire {
	return TableWire{
		Routes:   wireform.Map(t.Routes, Route.ToWire),
		Services: wireform.Map(t.Services, Service.ToWire),
		Bounds:   t.Limits.ToWire(),
		Tenants:  t.Tenants,
	}
}

// ToDomain converts the encoded form to a Table. The table has no indexes until BuildIndex is called.
func (t TableWire) ToDomain() Table {
	return Table{
		Routes:   wireform.Map(t.Routes, Wire.ToDomain),
		Services: wireform.Map(t.Services, ServiceWire.ToDomain),
		Limits:   t.Bounds.ToDomain(),
		Tenants:  t.Tenants,
	}
}
