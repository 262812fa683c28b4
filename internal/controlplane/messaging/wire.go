package messaging

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/messageage"
	"coursepass/internal/wireform"
)

// wireBatch is the wire form of a MessageBatch in encoding/gob. Its field names and the name of the embedded type are
// part of the protocol.
type wireBatch struct {
	messageage.Stamp
	Sender   consensus.MemberWire
	Messages []consensus.MessageWire
}

// WireForm implements transport.WireMarshaler.
func (m *MessageBatch) WireForm() any {
	return &wireBatch{
		Stamp:    m.Stamp,
		Sender:   m.Sender.ToWire(),
		Messages: wireform.ConvertSlice(m.Messages, (*consensus.Message).ToWire),
	}
}

// NewWireForm implements transport.WireUnmarshaler.
func (*MessageBatch) NewWireForm() any { return &wireBatch{} }

// FromWire implements transport.WireUnmarshaler.
func (m *MessageBatch) FromWire(wireForm any) error {
	wire, err := wireform.Assert[wireBatch](wireForm)
	if err != nil {
		return err
	}
	*m = MessageBatch{
		Stamp:    wire.Stamp,
		Sender:   wire.Sender.ToDomain(),
		Messages: wireform.ConvertSlice(wire.Messages, (*consensus.MessageWire).ToDomain),
	}
	return nil
}

// MessageBatchResponseWire is the wire form of a MessageBatchResponse in encoding/gob.
type MessageBatchResponseWire struct {
	Incarnation uint64
	Clock       clock.Microseconds
	Echoes      []consensus.EchoWire
	// Features was added after the first build. It is 0 in the response of a build that does not send it.
	Features uint64
	// Identity was added after the first build. It is empty in the response of a build that does not send it.
	Identity string
}

// WireForm implements transport.WireMarshaler.
func (m *MessageBatchResponse) WireForm() any {
	return &MessageBatchResponseWire{
		Incarnation: m.Incarnation,
		Clock:       m.Clock,
		Echoes:      wireform.ConvertSlice(m.Echoes, (*consensus.Echo).ToWire),
		Features:    uint64(m.Features),
		Identity:    m.Identity,
	}
}

// NewWireForm implements transport.WireUnmarshaler.
func (*MessageBatchResponse) NewWireForm() any { return &MessageBatchResponseWire{} }

// FromWire implements transport.WireUnmarshaler.
func (m *MessageBatchResponse) FromWire(wireForm any) error {
	wire, err := wireform.Assert[MessageBatchResponseWire](wireForm)
	if err != nil {
		return err
	}
	*m = MessageBatchResponse{
		Incarnation: wire.Incarnation,
		Clock:       wire.Clock,
		Echoes:      wireform.ConvertSlice(wire.Echoes, (*consensus.EchoWire).ToDomain),
		Features:    Features(wire.Features),
		Identity:    wire.Identity,
	}
	return nil
}
