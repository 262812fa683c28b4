package gossip

import "coursepass/internal/wireform"

// The wire forms below are sent by encoding/gob. Their field names, types and order are part of the
// protocol between daemons.

// HeadWire is a Head as it is sent.
type HeadWire struct {
	Part     int
	Index    uint64
	Round    uint64
	Sequence uint64
	Epoch    uint64
}

// ToWire returns the head's wire form.
func (h *Head) ToWire() HeadWire {
	return HeadWire{
		Part:     h.Shard,
		Index:    h.Index,
		Round:    h.Term,
		Sequence: h.Revision,
		Epoch:    h.Epoch,
	}
}

// ToDomain returns the head of which this is the wire form.
func (w *HeadWire) ToDomain() Head {
	return Head{
		Shard:    w.Part,
		Index:    w.Index,
		Term:     w.Round,
		Revision: w.Sequence,
		Epoch:    w.Epoch,
	}
}

// EntryWire is an Entry as it is sent.
type EntryWire struct {
	Index, Round uint64
	Data         []byte
}

// ToWire returns the entry's wire form, which shares its data.
func (e *Entry) ToWire() EntryWire {
	return EntryWire{Index: e.Index, Round: e.Term, Data: e.Data}
}

// ToDomain returns the entry of which this is the wire form. Both share the data.
func (w *EntryWire) ToDomain() Entry {
	return Entry{Index: w.Index, Term: w.Round, Data: w.Data}
}

// UpdateWire is an Update as it is sent.
type UpdateWire struct {
	Head  HeadWire
	Data  []byte
	Steps []EntryWire
}

// ToWire returns the update's wire form, which shares its data.
func (u *Update) ToWire() UpdateWire {
	return UpdateWire{
		Head:  u.Head.ToWire(),
		Data:  u.Data,
		Steps: wireform.ConvertSlice(u.Entries, (*Entry).ToWire),
	}
}

// ToDomain returns the update of which this is the wire form. Both share the data.
func (w *UpdateWire) ToDomain() Update {
	return Update{
		Head:    w.Head.ToDomain(),
		Data:    w.Data,
		Entries: wireform.ConvertSlice(w.Steps, (*EntryWire).ToDomain),
	}
}

// wirePushRequest is a PushRequest as it is sent by encoding/gob.
type wirePushRequest struct {
	From  string
	Items []UpdateWire
}

// WireForm implements transport.WireMarshaler.
func (p *PushRequest) WireForm() any {
	return &wirePushRequest{
		From:  p.From,
		Items: wireform.ConvertSlice(p.Updates, (*Update).ToWire),
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
		From:    wire.From,
		Updates: wireform.ConvertSlice(wire.Items, (*UpdateWire).ToDomain),
	}
	return nil
}

// wireDigest is a Digest as it is sent by encoding/gob.
type wireDigest struct {
	Heads []HeadWire
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
		Heads: wireform.ConvertSlice(wire.Heads, (*HeadWire).ToDomain),
	}
	return nil
}

// wireDigestResponse is a DigestResponse as it is sent by encoding/gob.
type wireDigestResponse struct {
	Items []UpdateWire
	Heads []HeadWire
}

// WireForm implements transport.WireMarshaler.
func (d *DigestResponse) WireForm() any {
	return &wireDigestResponse{
		Items: wireform.ConvertSlice(d.Updates, (*Update).ToWire),
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
		Updates: wireform.ConvertSlice(wire.Items, (*UpdateWire).ToDomain),
		Heads:   wireform.ConvertSlice(wire.Heads, (*HeadWire).ToDomain),
	}
	return nil
}
