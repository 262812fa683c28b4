package compat

import (
	"reflect"
	"testing"

	"coursepass/internal/controlplane"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// conversion checks how a domain type is converted to its wire struct and back.
type conversion func(*testing.T)

// newConversion returns the check of a pair of conversions. Filled values are equal field by
// field, since both structs have fields of the same types in the same order; so a field that is
// lost, or mixed up with another, differs. Zero values must stay zero values.
func newConversion[Domain, Wire any](toWire func(Domain) Wire, toDomain func(Wire) Domain) conversion {
	return func(t *testing.T) {
		t.Helper()
		var zeroDomain, domain Domain
		var zeroWire, wire Wire
		Fill(&domain)
		Fill(&wire)
		requireEqual(t, "filled wire struct", toWire(domain), wire)
		requireEqual(t, "filled domain value", toDomain(wire), domain)
		requireEqual(t, "zero wire struct", toWire(zeroDomain), zeroWire)
		requireEqual(t, "zero domain value", toDomain(zeroWire), zeroDomain)
	}
}

// byPointer makes functions of pointers functions of values.
func byPointer[Source, Target any](convert func(*Source) *Target) func(Source) Target {
	return func(source Source) Target { return *convert(&source) }
}

// conversions are the checks of all domain types of which the state packages and the control
// plane have wire structs.
var conversions = []conversion{
	newConversion(pairing.Assignment.ToWire, pairing.AssignmentWire.ToDomain),
	newConversion(registry.Engine.ToWire, registry.EngineWire.ToDomain),
	newConversion(registry.Operation.ToWire, registry.OperationWire.ToDomain),
	newConversion(registry.View.ToWire, registry.ViewWire.ToDomain),
	newConversion(registry.Result.ToWire, registry.ResultWire.ToDomain),
	newConversion(registry.Report.ToWire, registry.ReportWire.ToDomain),
	newConversion(registry.BusyTime.ToWire, registry.BusyTimeWire.ToDomain),
	newConversion(outbox.Entry.ToWire, outbox.EntryWire.ToDomain),
	newConversion(outbox.Mark.ToWire, outbox.MarkWire.ToDomain),
	newConversion(outbox.Operation.ToWire, outbox.OperationWire.ToDomain),
	newConversion(outbox.Result.ToWire, outbox.ResultWire.ToDomain),
	newConversion(maintenance.Window.ToWire, maintenance.WindowWire.ToDomain),
	newConversion(route.Route.ToWire, route.Wire.ToDomain),
	newConversion(route.Service.ToWire, route.ServiceWire.ToDomain),
	newConversion(route.Scaling.ToWire, route.ScalingWire.ToDomain),
	newConversion(route.Limits.ToWire, route.LimitsWire.ToDomain),
	newConversion(route.Table.ToWire, route.TableWire.ToDomain),
	newConversion(config.Observation.ToWire, config.ObservationWire.ToDomain),
	newConversion(config.Request.ToWire, config.RequestWire.ToDomain),
	newConversion(config.Operation.ToWire, config.OperationWire.ToDomain),
	newConversion(config.Outcome.ToWire, config.OutcomeWire.ToDomain),
	newConversion(config.Routing.ToWire, config.RoutingWire.ToDomain),
	newConversion(config.Template.ToWire, config.TemplateWire.ToDomain),
	newConversion(config.Tenant.ToWire, config.TenantWire.ToDomain),
	newConversion(config.Plan.ToWire, config.PlanWire.ToDomain),
	newConversion(config.View.ToWire, config.ViewWire.ToDomain),
	newConversion(config.Document.ToWire, config.DocumentWire.ToDomain),
	newConversion(byPointer((*controlplane.ControlRequest).ToWire), byPointer((*controlplane.ControlRequestWire).ToDomain)),
	newConversion(byPointer((*controlplane.ControlResponse).ToWire), byPointer((*controlplane.ControlResponseWire).ToDomain)),
}

func TestWireStructs_HaveTheContentOfDomainTypes(t *testing.T) {
	for _, check := range conversions {
		check(t)
	}
}

// TestWireStructs_KeepEmptyMaps checks what gob tells apart: an empty map is sent, a nil one is not.
func TestWireStructs_KeepEmptyMaps(t *testing.T) {
	empty := registry.NewState().View
	requireEqual(t, "view", empty.ToWire().ToDomain(), empty)
	for _, plan := range []config.Plan{{}, {Tenants: map[string]config.Tenant{"a": {Kinds: map[string]config.Template{}}}}} {
		if got := plan.ToWire().ToDomain(); !reflect.DeepEqual(got, plan) {
			t.Errorf("%#v, want %#v", got, plan)
		}
	}
}
