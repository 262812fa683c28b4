package registry

import (
	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/wireform"
)

// The wire structs in this file are the encoded forms of the domain types in log entries, in
// snapshots and in calls between daemons. The names, order and types of their fields are part of
// these formats and must not change.

// EngineWire is the encoded form of an Engine in log entries, in snapshots and in calls between servers.
type EngineWire struct {
	Name        string
	Service     string
	Hall        string
	Address     string
	Incarnation string
	Leaving     bool
	Part        string
	Slots       int
	Weights     int
	Cold        bool
}

// ToWire converts the engine to its encoded form.
func (e Engine) ToWire() EngineWire {
	return EngineWire{
		Name:        e.Name,
		Service:     e.Service,
		Hall:        e.Zone,
		Address:     e.Address,
		Incarnation: e.Incarnation,
		Leaving:     e.Draining,
		Part:        e.Role,
		Slots:       e.Slots,
		Weights:     e.Weights,
		Cold:        e.WarmingUp,
	}
}

// ToDomain converts the encoded form to an Engine.
func (e EngineWire) ToDomain() Engine {
	return Engine{
		Name:        e.Name,
		Service:     e.Service,
		Zone:        e.Hall,
		Address:     e.Address,
		Incarnation: e.Incarnation,
		Draining:    e.Leaving,
		Role:        e.Part,
		Slots:       e.Slots,
		Weights:     e.Weights,
		WarmingUp:   e.Cold,
	}
}

// OperationWire is the encoded form of an Operation in log entries and in calls between servers.
type OperationWire struct {
	Kind     OperationKind
	Engine   EngineWire
	Contract pairing.AssignmentWire
	Put      []EngineWire
	Drop     []string
}

// ToWire converts the operation to its encoded form.
func (o Operation) ToWire() OperationWire {
	return OperationWire{
		Kind:     o.Kind,
		Engine:   o.Engine.ToWire(),
		Contract: o.Assignment.ToWire(),
		Put:      wireform.Slice(o.Put, Engine.ToWire),
		Drop:     o.Drop,
	}
}

// ToDomain converts the encoded form to an Operation.
func (o OperationWire) ToDomain() Operation {
	return Operation{
		Kind:       o.Kind,
		Engine:     o.Engine.ToDomain(),
		Assignment: o.Contract.ToDomain(),
		Put:        wireform.Slice(o.Put, EngineWire.ToDomain),
		Drop:       o.Drop,
	}
}

// ViewWire is the encoded form of a View in snapshots and in calls between servers.
type ViewWire struct {
	Sequence  uint64
	Engines   map[string]EngineWire
	Contracts map[string]pairing.AssignmentWire
	Replaced  map[string]string
	Left      []string
}

// ToWire converts the view to its encoded form.
func (v View) ToWire() ViewWire {
	return ViewWire{
		Sequence:  v.Revision,
		Engines:   wireform.Map(v.Engines, Engine.ToWire),
		Contracts: wireform.Map(v.Assignments, pairing.Assignment.ToWire),
		Replaced:  v.Replaced,
		Left:      v.Drained,
	}
}

// ToDomain converts the encoded form to a View.
func (v ViewWire) ToDomain() View {
	return View{
		Revision:    v.Sequence,
		Engines:     wireform.Map(v.Engines, EngineWire.ToDomain),
		Assignments: wireform.Map(v.Contracts, pairing.AssignmentWire.ToDomain),
		Replaced:    v.Replaced,
		Drained:     v.Left,
	}
}

// ResultWire is the encoded form of a Result that replicas store.
type ResultWire struct {
	Code     errcode.Code
	Sequence uint64
}

// ToWire converts the result to its encoded form.
func (r Result) ToWire() ResultWire {
	return ResultWire{
		Code:     r.Code,
		Sequence: r.Revision,
	}
}

// ToDomain converts the encoded form to a Result.
func (r ResultWire) ToDomain() Result {
	return Result{
		Code:     r.Code,
		Revision: r.Sequence,
	}
}

// ReportWire is the encoded form of a Report in calls between servers and routers.
type ReportWire struct {
	Name            string
	Service         string
	Hall            string
	Address         string
	Incarnation     string
	Version         string
	Part            string
	Running         int
	Waiting         int
	Capacity        int
	Prefixes        []string
	PrefillBusy     clock.Microseconds
	DecodeBusy      clock.Microseconds
	Age             clock.Microseconds
	Completed       int64
	Tickets         int
	Draining        bool
	Drained         bool
	Round           uint64
	OrderSequence   uint64
	OrderViolations int64
}

// ToWire converts the report to its encoded form.
func (r Report) ToWire() ReportWire {
	return ReportWire{
		Name:            r.Name,
		Service:         r.Service,
		Hall:            r.Zone,
		Address:         r.Address,
		Incarnation:     r.Incarnation,
		Version:         r.Version,
		Part:            r.Role,
		Running:         r.Running,
		Waiting:         r.Waiting,
		Capacity:        r.Capacity,
		Prefixes:        r.Prefixes,
		PrefillBusy:     r.PrefillBusy,
		DecodeBusy:      r.DecodeBusy,
		Age:             r.Age,
		Completed:       r.Completed,
		Tickets:         r.Tickets,
		Draining:        r.Draining,
		Drained:         r.Drained,
		Round:           r.Term,
		OrderSequence:   r.CommandNumber,
		OrderViolations: r.CommandViolations,
	}
}

// ToDomain converts the encoded form to a Report.
func (r ReportWire) ToDomain() Report {
	return Report{
		Name:              r.Name,
		Service:           r.Service,
		Zone:              r.Hall,
		Address:           r.Address,
		Incarnation:       r.Incarnation,
		Version:           r.Version,
		Role:              r.Part,
		Running:           r.Running,
		Waiting:           r.Waiting,
		Capacity:          r.Capacity,
		Prefixes:          r.Prefixes,
		PrefillBusy:       r.PrefillBusy,
		DecodeBusy:        r.DecodeBusy,
		Age:               r.Age,
		Completed:         r.Completed,
		Tickets:           r.Tickets,
		Draining:          r.Draining,
		Drained:           r.Drained,
		Term:              r.Round,
		CommandNumber:     r.OrderSequence,
		CommandViolations: r.OrderViolations,
	}
}

// BusyTimeWire is the encoded form of a BusyTime in calls from routers.
type BusyTimeWire struct {
	Service string
	Read    clock.Microseconds
	Made    clock.Microseconds
}

// ToWire converts the busy time to its encoded form.
func (b BusyTime) ToWire() BusyTimeWire {
	return BusyTimeWire{
		Service: b.Service,
		Read:    b.Prefill,
		Made:    b.Decode,
	}
}

// ToDomain converts the encoded form to a BusyTime.
func (b BusyTimeWire) ToDomain() BusyTime {
	return BusyTime{
		Service: b.Service,
		Prefill: b.Read,
		Decode:  b.Made,
	}
}
