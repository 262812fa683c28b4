package controlplane

import (
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/wireform"
)

// ControlRequestWire is the wire form of a ControlRequest between servers. The names, order and types of its fields are
// part of the protocol and must not change.
type ControlRequestWire struct {
	Configure *config.RequestWire
	Outcome   string
	Read      bool
	Engines   *registry.OperationWire
	Service   string
	Hops      int
	Origin    string
	// ObservedIndex was added after the first build. It is 0 in the request of a build that does not send it.
	ObservedIndex uint64
}

// ToWire returns the wire form of the request.
func (c *ControlRequest) ToWire() *ControlRequestWire {
	return &ControlRequestWire{
		Configure: wireform.Pointer(c.Configure, config.Request.ToWire),
		Outcome:   c.Outcome,
		Read:      c.Read,
		Engines:   wireform.Pointer(c.Engines, registry.Operation.ToWire),
		Service:   c.Service,
		Hops:      c.Hops,
		Origin:    c.Origin,

		ObservedIndex: c.ObservedIndex,
	}
}

// ToDomain returns the request that the wire form represents.
func (c *ControlRequestWire) ToDomain() *ControlRequest {
	return &ControlRequest{
		Configure: wireform.Pointer(c.Configure, config.RequestWire.ToDomain),
		Outcome:   c.Outcome,
		Read:      c.Read,
		Engines:   wireform.Pointer(c.Engines, registry.OperationWire.ToDomain),
		Service:   c.Service,
		Hops:      c.Hops,
		Origin:    c.Origin,

		ObservedIndex: c.ObservedIndex,
	}
}

// ControlResponseWire is the wire form of a ControlResponse between servers. The names, order and types of its fields
// are part of the protocol and must not change.
type ControlResponseWire struct {
	Outcome config.OutcomeWire
	View    config.ViewWire
	Engines registry.ViewWire
	// CommittedIndex, CommittedRevision and Overtaken were added after the first build. They are zero in the response of a
	// build that does not send them.
	CommittedIndex, CommittedRevision uint64
	Overtaken                         bool
}

// ToWire returns the wire form of the response.
func (c *ControlResponse) ToWire() *ControlResponseWire {
	return &ControlResponseWire{
		Outcome: c.Outcome.ToWire(),
		View:    c.View.ToWire(),
		Engines: c.Engines.ToWire(),

		CommittedIndex:    c.CommittedIndex,
		CommittedRevision: c.CommittedRevision,
		Overtaken:         c.Overtaken,
	}
}

// ToDomain returns the response that the wire form represents.
func (c *ControlResponseWire) ToDomain() *ControlResponse {
	return &ControlResponse{
		Outcome: c.Outcome.ToDomain(),
		View:    c.View.ToDomain(),
		Engines: c.Engines.ToDomain(),

		CommittedIndex:    c.CommittedIndex,
		CommittedRevision: c.CommittedRevision,
		Overtaken:         c.Overtaken,
	}
}
