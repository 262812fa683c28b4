package peers

import (
	"coursepass/internal/clock"
	"coursepass/internal/node"
	"coursepass/internal/wireform"
)

// WirePaths maps stable labels to the paths of the calls that all daemons serve.
func WirePaths() map[string]string {
	return map[string]string{
		"membership-shuffle": shufflePath,
		"gossip-push":        pushPath,
		"gossip-compare":     comparePath,
	}
}

// ShuffleMessageWire is the wire form of ShuffleMessage. It is encoded by encoding/gob, so its field names are part of
// the protocol.
type ShuffleMessageWire struct {
	From      node.Wire
	Offer     []node.Wire
	WallClock int64
}

// WireForm implements transport.WireMarshaler.
func (s *ShuffleMessage) WireForm() any {
	return &ShuffleMessageWire{
		From:      s.From.ToWire(),
		Offer:     wireform.ConvertSlice(s.Offer, (*node.Node).ToWire),
		WallClock: int64(s.WallClock),
	}
}

// NewWireForm implements transport.WireUnmarshaler.
func (*ShuffleMessage) NewWireForm() any { return &ShuffleMessageWire{} }

// FromWire implements transport.WireUnmarshaler.
func (s *ShuffleMessage) FromWire(wireForm any) error {
	wire, err := wireform.Assert[ShuffleMessageWire](wireForm)
	if err != nil {
		return err
	}
	*s = ShuffleMessage{
		From:      wire.From.ToDomain(),
		Offer:     wireform.ConvertSlice(wire.Offer, (*node.Wire).ToDomain),
		WallClock: clock.Microseconds(wire.WallClock),
	}
	return nil
}
