package peers

import (
	"coursepass/internal/node"
	"coursepass/internal/wireform"
)

// WirePaths returns the paths of the calls that all daemons answer, by stable labels.
func WirePaths() map[string]string {
	return map[string]string{
		"membership-shuffle": shufflePath,
		"gossip-push":        pushPath,
		"gossip-compare":     comparePath,
	}
}

// wireShuffleMessage is a ShuffleMessage as it is sent by encoding/gob: its field names are part of the protocol.
type wireShuffleMessage struct {
	From  node.Wire
	Offer []node.Wire
}

// WireForm implements transport.WireMarshaler.
func (s *ShuffleMessage) WireForm() any {
	return &wireShuffleMessage{
		From:  s.From.ToWire(),
		Offer: wireform.ConvertSlice(s.Offer, (*node.Node).ToWire),
	}
}

// NewWireForm implements transport.WireUnmarshaler.
func (*ShuffleMessage) NewWireForm() any { return &wireShuffleMessage{} }

// FromWire implements transport.WireUnmarshaler.
func (s *ShuffleMessage) FromWire(wireForm any) error {
	wire, err := wireform.Assert[wireShuffleMessage](wireForm)
	if err != nil {
		return err
	}
	*s = ShuffleMessage{
		From:  wire.From.ToDomain(),
		Offer: wireform.ConvertSlice(wire.Offer, (*node.Wire).ToDomain),
	}
	return nil
}
