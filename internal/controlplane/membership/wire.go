package membership

import (
	"coursepass/internal/consensus"
	"coursepass/internal/wireform"
)

// wireJoinRequest is the encoding/gob form of a JoinRequest. Its field names are part of the protocol.
type wireJoinRequest struct {
	Daemon   consensus.MemberWire
	Replaces string
	Override bool
	Reserve  bool
}

// WireForm implements transport.WireMarshaler.
func (j *JoinRequest) WireForm() any {
	return &wireJoinRequest{
		Daemon:   j.Member.ToWire(),
		Replaces: j.Replaces,
		Override: j.Override,
		Reserve:  j.Standby,
	}
}

// NewWireForm implements transport.WireUnmarshaler.
func (*JoinRequest) NewWireForm() any { return &wireJoinRequest{} }

// FromWire implements transport.WireUnmarshaler.
func (j *JoinRequest) FromWire(wireForm any) error {
	wire, err := wireform.Assert[wireJoinRequest](wireForm)
	if err != nil {
		return err
	}
	*j = JoinRequest{
		Member:   wire.Daemon.ToDomain(),
		Replaces: wire.Replaces,
		Override: wire.Override,
		Standby:  wire.Reserve,
	}
	return nil
}

// wireMembershipResponse is the encoding/gob form of a MembershipResponse. Its field name is part of the protocol.
type wireMembershipResponse struct{ Parts []consensus.MembershipWire }

// WireForm implements transport.WireMarshaler.
func (m *MembershipResponse) WireForm() any {
	return &wireMembershipResponse{Parts: wireform.ConvertSlice(m.Memberships, (*consensus.Membership).ToWire)}
}

// NewWireForm implements transport.WireUnmarshaler.
func (*MembershipResponse) NewWireForm() any { return &wireMembershipResponse{} }

// FromWire implements transport.WireUnmarshaler.
func (m *MembershipResponse) FromWire(wireForm any) error {
	wire, err := wireform.Assert[wireMembershipResponse](wireForm)
	if err != nil {
		return err
	}
	m.Memberships = wireform.ConvertSlice(wire.Parts, (*consensus.MembershipWire).ToDomain)
	return nil
}
