package controlapi

import (
	"coursepass/internal/gossip"
	"coursepass/internal/node"
	"coursepass/internal/state/registry"
	"coursepass/internal/wireform"
)

// The wire forms below are encoded with encoding/gob. Their field names, types and order are part of the
// protocol between daemons.

// wireHeadsRequest is the wire form of a HeadsRequest.
type wireHeadsRequest struct {
	From node.Wire
	Soft bool
	Work []registry.BusyTimeWire
	Live map[string]int
}

// WireForm implements transport.WireMarshaler.
func (h *HeadsRequest) WireForm() any {
	return &wireHeadsRequest{
		From: h.From.ToWire(),
		Soft: h.WantReports,
		Work: h.BusyTimes,
		Live: h.ActiveCalls,
	}
}

// NewWireForm implements transport.WireUnmarshaler.
func (*HeadsRequest) NewWireForm() any { return &wireHeadsRequest{} }

// FromWire implements transport.WireUnmarshaler.
func (h *HeadsRequest) FromWire(wireForm any) error {
	wire, err := wireform.Assert[wireHeadsRequest](wireForm)
	if err != nil {
		return err
	}
	*h = HeadsRequest{
		From:        wire.From.ToDomain(),
		WantReports: wire.Soft,
		BusyTimes:   wire.Work,
		ActiveCalls: wire.Live,
	}
	return nil
}

// wireShardHead is the wire form of a ShardHead.
type wireShardHead struct {
	Head       gossip.HeadWire
	Slot       int
	Epoch      uint64
	Current    bool
	Recovering bool
	Offered    uint64
	Claims     uint64
	Forgetful  bool
}

func (s *ShardHead) toWire() wireShardHead {
	head := s.Head
	return wireShardHead{
		Head:       head.ToWire(),
		Slot:       s.Slot,
		Epoch:      s.Epoch,
		Current:    s.Current,
		Recovering: s.Recovering,
		Offered:    s.Offered,
		Claims:     s.ReservationStoreIncarnation,
		Forgetful:  s.Forgetful,
	}
}

func (w *wireShardHead) toShardHead() ShardHead {
	return ShardHead{
		Head:                        w.Head.ToDomain(),
		Slot:                        w.Slot,
		Epoch:                       w.Epoch,
		Current:                     w.Current,
		Recovering:                  w.Recovering,
		Offered:                     w.Offered,
		ReservationStoreIncarnation: w.Claims,
		Forgetful:                   w.Forgetful,
	}
}

// wireHeadsResponse is the wire form of a HeadsResponse.
type wireHeadsResponse struct {
	Parts []wireShardHead
	Soft  []registry.ReportWire
}

// WireForm implements transport.WireMarshaler.
func (h *HeadsResponse) WireForm() any {
	return &wireHeadsResponse{
		Parts: wireform.ConvertSlice(h.Heads, (*ShardHead).toWire),
		Soft:  h.EngineReports,
	}
}

// NewWireForm implements transport.WireUnmarshaler.
func (*HeadsResponse) NewWireForm() any { return &wireHeadsResponse{} }

// FromWire implements transport.WireUnmarshaler.
func (h *HeadsResponse) FromWire(wireForm any) error {
	wire, err := wireform.Assert[wireHeadsResponse](wireForm)
	if err != nil {
		return err
	}
	*h = HeadsResponse{
		Heads:         wireform.ConvertSlice(wire.Parts, (*wireShardHead).toShardHead),
		EngineReports: wire.Soft,
	}
	return nil
}

// wireSnapshotOffer is the wire form of a SnapshotOffer.
type wireSnapshotOffer struct {
	Items []gossip.UpdateWire
}

// WireForm implements transport.WireMarshaler.
func (s *SnapshotOffer) WireForm() any {
	return &wireSnapshotOffer{
		Items: wireform.ConvertSlice(s.Updates, (*gossip.Update).ToWire),
	}
}

// NewWireForm implements transport.WireUnmarshaler.
func (*SnapshotOffer) NewWireForm() any { return &wireSnapshotOffer{} }

// FromWire implements transport.WireUnmarshaler.
func (s *SnapshotOffer) FromWire(wireForm any) error {
	wire, err := wireform.Assert[wireSnapshotOffer](wireForm)
	if err != nil {
		return err
	}
	*s = SnapshotOffer{
		Updates: wireform.ConvertSlice(wire.Items, (*gossip.UpdateWire).ToDomain),
	}
	return nil
}
