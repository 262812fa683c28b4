package gossip

import "coursepass/internal/wireform"

// The wire forms below are sent by encoding/gob. Their field names, types and order are part of the
// protocol between daemons.

// WireHead is a Head as it is sent.
type WireHead struct {
	Part     int
	Index    uint64
	Round    uint64
	Sequence uint64
	Epoch    uint64
}

// ToWire returns the head's wire form.
func (h *Head) ToWire() WireHead {
	return WireHead{
		Part:     h.Part,
		Index:    h.Index,
		Round:    h.Round,
		Sequence: h.Sequence,
		Epoch:    h.Epoch,
	}
}

// ToHead returns the head of which this is the wire form.
func (w *WireHead) ToHead() Head {
	return Head{
		Part:     w.Part,
		Index:    w.Index,
		Round:    w.Round,
		Sequence: w.Sequence,
		Epoch:    w.Epoch,
	}
}

// WireEntry is an Entry as it is sent.
type WireEntry struct {
	Index, Round uint64
	Data         []byte
}

// ToWire returns the entry's wire form, which shares its data.
func (e *Entry) ToWire() WireEntry {
	return WireEntry{Index: e.Index, Round: e.Round, Data: e.Data}
}

// ToEntry returns the entry of which this is the wire form. Both share the data.
func (w *WireEntry) ToEntry() Entry {
	return Entry{Index: w.Index, Round: w.Round, Data: w.Data}
}

// WireUpdate is an Update as it is sent.
type WireUpdate struct {
	Head  WireHead
	Data  []byte
	Steps []WireEntry
}

// ToWire returns the update's wire form, which shares its data.
func (u *Update) ToWire() WireUpdate {
	return WireUpdate{
		Head:  u.Head.ToWire(),
		Data:  u.Data,
		Steps: wireform.ConvertSlice(u.Steps, (*Entry).ToWire),
	}
}

// ToUpdate returns the update of which this is the wire form. Both share the data.
func (w *WireUpdate) ToUpdate() Update {
	return Update{
		Head:  w.Head.ToHead(),
		Data:  w.Data,
		Steps: wireform.ConvertSlice(w.Steps, (*WireEntry).ToEntry),
	}
}

// wirePushRequest is a PushRequest as it is sent by encoding/gob.
type wirePushRequest struct {
	From  string
	Items []WireUpdate
}

// WireForm implements transport.WireMarshaler.
func (p *PushRequest) WireForm() any {
	return &wirePushRequest{
		From:  p.From,
		Items: wireform.ConvertSlice(p.Items, (*Update).ToWire),
	}
}

// NewWireForm implements transport.WireUnmarshaler.
func (*PushRequest) NewWireForm() any { return &wirePushRequest{} }

// FromWire implements transport.WireUnmarshaler.
func (p *PushRequest) FromWire(wireForm any) error {
	wire, err := wireform.Assert[wirePushRequest](wireForm)
	if err != nil {
		return err
	}
	*p = PushRequest{
		From:  wire.From,
		Items: wireform.ConvertSlice(wire.Items, (*WireUpdate).ToUpdate),
	}
	return nil
}

// wireDigest is a Digest as it is sent by encoding/gob.
type wireDigest struct {
	Heads []WireHead
}

// WireForm implements transport.WireMarshaler.
func (d *Digest) WireForm() any {
	return &wireDigest{
		Heads: wireform.ConvertSlice(d.Heads, (*Head).ToWire),
	}
}

// NewWireForm implements transport.WireUnmarshaler.
func (*Digest) NewWireForm() any { return &wireDigest{} }

// FromWire implements transport.WireUnmarshaler.
func (d *Digest) FromWire(wireForm any) error {
	wire, err := wireform.Assert[wireDigest](wireForm)
	if err != nil {
		return err
	}
	*d = Digest{
		Heads: wireform.ConvertSlice(wire.Heads, (*WireHead).ToHead),
	}
	return nil
}

// wireDigestResponse is a DigestResponse as it is sent by encoding/gob.
type wireDigestResponse struct {
	Items []WireUpdate
	Heads []WireHead
}

// WireForm implements transport.WireMarshaler.
func (d *DigestResponse) WireForm() any {
	return &wireDigestResponse{
		Items: wireform.ConvertSlice(d.Items, (*Update).ToWire),
		Heads: wireform.ConvertSlice(d.Heads, (*Head).ToWire),
	}
}

// NewWireForm implements transport.WireUnmarshaler.
func (*DigestResponse) NewWireForm() any { return &wireDigestResponse{} }

// FromWire implements transport.WireUnmarshaler.
func (d *DigestResponse) FromWire(wireForm any) error {
	wire, err := wireform.Assert[wireDigestResponse](wireForm)
	if err != nil {
		return err
	}
	*d = DigestResponse{
		Items: wireform.ConvertSlice(wire.Items, (*WireUpdate).ToUpdate),
		Heads: wireform.ConvertSlice(wire.Heads, (*WireHead).ToHead),
	}
	return nil
}
