package config

import (
	"bytes"
	"encoding/gob"

	"coursepass/internal/errcode"
	"coursepass/internal/state/credential"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/route"
	"coursepass/internal/wireform"
)

// The wire structs of this file define the encoding of the domain types in log entries and
// snapshots and in calls between servers. The names, the order and the types of their fields are
// part of these formats and must not change.

// ObservationWire is an Observation in log entries and in calls between servers.
type ObservationWire struct {
	Sequence uint64
}

// ToWire returns the observation as it is encoded.
func (o Observation) ToWire() ObservationWire {
	return ObservationWire{
		Sequence: o.Revision,
	}
}

// ToDomain returns the observation that was encoded.
func (o ObservationWire) ToDomain() Observation {
	return Observation{
		Revision: o.Sequence,
	}
}

// RequestWire is a Request in log entries and in calls between servers.
type RequestWire struct {
	Kind      OperationKind
	Key       string
	Expected  uint64
	Whichever bool
	Observed  *ObservationWire
	Document  string
	Changes   map[string]string
	Hall      string
	Notice    maintenance.WindowWire
	Regions   []string
	Routing   *RoutingWire
}

// ToWire returns the request as it is encoded.
func (r Request) ToWire() RequestWire {
	return RequestWire{
		Kind:      r.Kind,
		Key:       r.Key,
		Expected:  r.Expected,
		Whichever: r.AnyRevision,
		Observed:  wireform.Pointer(r.Observed, Observation.ToWire),
		Document:  r.Document,
		Changes:   r.Changes,
		Hall:      r.Zone,
		Notice:    r.Window.ToWire(),
		Regions:   r.Regions,
		Routing:   wireform.Pointer(r.Routing, Routing.ToWire),
	}
}

// ToDomain returns the request that was encoded.
func (r RequestWire) ToDomain() Request {
	return Request{
		Kind:        r.Kind,
		Key:         r.Key,
		Expected:    r.Expected,
		AnyRevision: r.Whichever,
		Observed:    wireform.Pointer(r.Observed, ObservationWire.ToDomain),
		Document:    r.Document,
		Changes:     r.Changes,
		Zone:        r.Hall,
		Window:      r.Notice.ToDomain(),
		Regions:     r.Regions,
		Routing:     wireform.Pointer(r.Routing, RoutingWire.ToDomain),
	}
}

// OperationWire is an Operation in log entries.
type OperationWire struct {
	Request RequestWire
	Plan    PlanWire
}

// ToWire returns the operation as it is encoded.
func (o Operation) ToWire() OperationWire {
	return OperationWire{
		Request: o.Request.ToWire(),
		Plan:    o.Plan.ToWire(),
	}
}

// ToDomain returns the operation that was encoded.
func (o OperationWire) ToDomain() Operation {
	return Operation{
		Request: o.Request.ToDomain(),
		Plan:    o.Plan.ToDomain(),
	}
}

// OutcomeWire is an Outcome in snapshots, in the results of log entries, and in calls between
// servers.
type OutcomeWire struct {
	Code     errcode.Code
	Sequence uint64
	Text     string
}

// ToWire returns the outcome as it is encoded.
func (o Outcome) ToWire() OutcomeWire {
	return OutcomeWire{
		Code:     o.Code,
		Sequence: o.Revision,
		Text:     o.Text,
	}
}

// ToDomain returns the outcome that was encoded.
func (o OutcomeWire) ToDomain() Outcome {
	return Outcome{
		Code:     o.Code,
		Revision: o.Sequence,
		Text:     o.Text,
	}
}

// RoutingWire is a Routing in log entries and in calls between servers.
type RoutingWire struct {
	Label    uint64
	On       uint64
	Digest   string
	Routes   map[string]route.Wire
	Services map[string]route.ServiceWire
	Bounds   *route.LimitsWire
	Remove   map[string][]string
	Items    map[string][]Item
	Others   []Item
	Tenants  map[string]credential.Tenant
}

// ToWire returns the routing as it is encoded.
func (r Routing) ToWire() RoutingWire {
	return RoutingWire{
		Label:    r.Label,
		On:       r.ParentLabel,
		Digest:   r.Digest,
		Routes:   wireform.Map(r.Routes, route.Route.ToWire),
		Services: wireform.Map(r.Services, route.Service.ToWire),
		Bounds:   wireform.Pointer(r.Bounds, route.Limits.ToWire),
		Remove:   r.Remove,
		Items:    r.Items,
		Others:   r.Others,
		Tenants:  r.Tenants,
	}
}

// ToDomain returns the routing that was encoded.
func (r RoutingWire) ToDomain() Routing {
	return Routing{
		Label:       r.Label,
		ParentLabel: r.On,
		Digest:      r.Digest,
		Routes:      wireform.Map(r.Routes, route.Wire.ToDomain),
		Services:    wireform.Map(r.Services, route.ServiceWire.ToDomain),
		Bounds:      wireform.Pointer(r.Bounds, route.LimitsWire.ToDomain),
		Remove:      r.Remove,
		Items:       r.Items,
		Others:      r.Others,
		Tenants:     r.Tenants,
	}
}

// Encode encodes an operation as a log entry.
func Encode(operation Operation) []byte { return encode(operation.ToWire()) }

// decodeOperation decodes a log entry. The errors of gob contain the name of the type that is
// decoded, and State.Apply returns their texts in outcomes, which must be the same in all builds:
// the name of the local type must stay Operation.
func decodeOperation(data []byte) (OperationWire, error) {
	type Operation OperationWire
	var operation Operation
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&operation)
	return OperationWire(operation), err
}

// DecodeOperation decodes a log entry.
func DecodeOperation(data []byte) (Operation, error) {
	operation, err := decodeOperation(data)
	return operation.ToDomain(), err
}

// DecodeOutcome decodes the outcome that State.Apply returned.
func DecodeOutcome(data []byte) (Outcome, error) {
	var outcome OutcomeWire
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&outcome)
	return outcome.ToDomain(), err
}

// encode encodes a wire struct with gob. It panics if gob can't encode the type, which would be
// a programming error.
func encode(value any) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}
