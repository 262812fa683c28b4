package config

import (
	"coursepass/internal/state/credential"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/route"
	"coursepass/internal/wireform"
)

// The wire structs of this file define the encoding of snapshots. As in wire.go, the names, the
// order and the types of their fields must not change.

// TemplateWire is a Template in log entries and snapshots.
type TemplateWire struct {
	Service             string
	Prefix              string
	StartMilliseconds   int64
	AbandonMilliseconds int64
	Priority            int
	Repeat              bool
	MostTokens          int
	Match               string
	RepeatWhen          string
}

// ToWire returns the template as it is encoded.
func (t Template) ToWire() TemplateWire {
	return TemplateWire{
		Service:             t.Service,
		Prefix:              t.Prefix,
		StartMilliseconds:   t.StartMilliseconds,
		AbandonMilliseconds: t.TotalMilliseconds,
		Priority:            t.Priority,
		Repeat:              t.Repeat,
		MostTokens:          t.MaxTokens,
		Match:               t.Match,
		RepeatWhen:          t.RetryWhen,
	}
}

// ToDomain returns the template that was encoded.
func (t TemplateWire) ToDomain() Template {
	return Template{
		Service:           t.Service,
		Prefix:            t.Prefix,
		StartMilliseconds: t.StartMilliseconds,
		TotalMilliseconds: t.AbandonMilliseconds,
		Priority:          t.Priority,
		Repeat:            t.Repeat,
		MaxTokens:         t.MostTokens,
		Match:             t.Match,
		RetryWhen:         t.RepeatWhen,
	}
}

// TenantWire is a Tenant in log entries and snapshots.
type TenantWire struct {
	RepeatPercent   *int
	RepeatAllowance *int
	Kinds           map[string]TemplateWire
	Credentials     []credential.Digest
}

// ToWire returns the tenant as it is encoded.
func (t Tenant) ToWire() TenantWire {
	return TenantWire{
		RepeatPercent:   t.RetryPercent,
		RepeatAllowance: t.RetryAllowance,
		Kinds:           wireform.Map(t.Kinds, Template.ToWire),
		Credentials:     t.Credentials,
	}
}

// ToDomain returns the tenant that was encoded.
func (t TenantWire) ToDomain() Tenant {
	return Tenant{
		RetryPercent:   t.RepeatPercent,
		RetryAllowance: t.RepeatAllowance,
		Kinds:          wireform.Map(t.Kinds, TemplateWire.ToDomain),
		Credentials:    t.Credentials,
	}
}

// PlanWire is a Plan in log entries and snapshots.
type PlanWire struct {
	Halls    []string
	Services map[string]Service
	Tenants  map[string]TenantWire
}

// ToWire returns the plan as it is encoded.
func (p Plan) ToWire() PlanWire {
	return PlanWire{
		Halls:    p.Zones,
		Services: p.Services,
		Tenants:  wireform.Map(p.Tenants, Tenant.ToWire),
	}
}

// ToDomain returns the plan that was encoded.
func (p PlanWire) ToDomain() Plan {
	return Plan{
		Zones:    p.Halls,
		Services: p.Services,
		Tenants:  wireform.Map(p.Tenants, TenantWire.ToDomain),
	}
}

// ViewWire is a View in snapshots and in calls between servers.
type ViewWire struct {
	Sequence  uint64
	Document  string
	Changes   map[string]string
	Evacuated []string
	Notices   []maintenance.WindowWire
	Plan      PlanWire
	Label     uint64
	Book      route.TableWire
	Items     map[string][]Item
	Others    []Item
}

// ToWire returns the view as it is encoded.
func (v View) ToWire() ViewWire {
	return ViewWire{
		Sequence:  v.Revision,
		Document:  v.Document,
		Changes:   v.Changes,
		Evacuated: v.Evacuated,
		Notices:   wireform.Slice(v.MaintenanceWindows, maintenance.Window.ToWire),
		Plan:      v.Plan.ToWire(),
		Label:     v.Label,
		Book:      v.RouteTable.ToWire(),
		Items:     v.Items,
		Others:    v.Others,
	}
}

// ToDomain returns the view that was encoded.
func (v ViewWire) ToDomain() View {
	return View{
		Revision:           v.Sequence,
		Document:           v.Document,
		Changes:            v.Changes,
		Evacuated:          v.Evacuated,
		MaintenanceWindows: wireform.Slice(v.Notices, maintenance.WindowWire.ToDomain),
		Plan:               v.Plan.ToDomain(),
		Label:              v.Label,
		RouteTable:         v.Book.ToDomain(),
		Items:              v.Items,
		Others:             v.Others,
	}
}

// DocumentWire is a Document in snapshots.
type DocumentWire struct {
	Document string
	Changes  map[string]string
	Plan     PlanWire
}

// ToWire returns the document as it is encoded.
func (d Document) ToWire() DocumentWire {
	return DocumentWire{
		Document: d.Document,
		Changes:  d.Changes,
		Plan:     d.Plan.ToWire(),
	}
}

// ToDomain returns the document that was encoded.
func (d DocumentWire) ToDomain() Document {
	return Document{
		Document: d.Document,
		Changes:  d.Changes,
		Plan:     d.Plan.ToDomain(),
	}
}

// rejectionWire is a Rejection in snapshots.
type rejectionWire struct {
	Key     string
	Outcome OutcomeWire
}

// toWire returns the rejection as it is encoded.
func (r Rejection) toWire() rejectionWire {
	return rejectionWire{
		Key:     r.Key,
		Outcome: r.ToWire(),
	}
}

// toDomain returns the rejection that was encoded.
func (r rejectionWire) toDomain() Rejection {
	return Rejection{
		Key:     r.Key,
		Outcome: r.Outcome.ToDomain(),
	}
}

// persistentStateWire is a persistentState, the content of a snapshot.
type persistentStateWire struct {
	View        ViewWire
	Format      int
	Before      []DocumentWire
	Accepted    acceptedOperations
	Keyed       acceptedOperations
	Refused     []rejectionWire
	HallChanges map[string]uint64
}

// toWire returns the state as it is encoded.
func (s persistentState) toWire() persistentStateWire {
	return persistentStateWire{
		View:        s.ToWire(),
		Format:      s.Format,
		Before:      wireform.Slice(s.Previous, Document.ToWire),
		Accepted:    s.Accepted,
		Keyed:       s.Keyed,
		Refused:     wireform.Slice(s.Rejections, Rejection.toWire),
		HallChanges: s.ZoneChanges,
	}
}

// toDomain returns the state that was encoded.
func (s persistentStateWire) toDomain() persistentState {
	return persistentState{
		View:        s.View.ToDomain(),
		Format:      s.Format,
		Previous:    wireform.Slice(s.Before, DocumentWire.ToDomain),
		Accepted:    s.Accepted,
		Keyed:       s.Keyed,
		Rejections:  wireform.Slice(s.Refused, rejectionWire.toDomain),
		ZoneChanges: s.HallChanges,
	}
}

// legacyStateWire is a legacyState, the fields of a snapshot of version 0 that later versions
// replaced.
type legacyStateWire struct {
	Outcomes map[string]OutcomeWire
	Order    []string
	Taken    map[uint64]string
	Labels   []uint64
}

// toDomain returns the state that was encoded.
func (s legacyStateWire) toDomain() legacyState {
	return legacyState{
		Outcomes: wireform.Map(s.Outcomes, OutcomeWire.ToDomain),
		Order:    s.Order,
		Accepted: s.Taken,
		Labels:   s.Labels,
	}
}

// WirePrototypes returns zero values of the unexported wire structs, by stable labels, for the
// checks of the stored formats in package compat.
func WirePrototypes() map[string]any {
	return map[string]any{
		"snapshot-configuration":         persistentStateWire{},
		"snapshot-configuration-earlier": legacyStateWire{},
	}
}
