package gossip

import "coursepass/internal/wireform"

// The wire forms below are encoded by encoding/gob. The names, types and order of their fields are part of the
// protocol between daemons.

// HeadWire is the wire form of Head.
type HeadWire struct {
	Part     int
	Index    uint64
	Round    uint64
	Sequence uint64
	Epoch    uint64
}

// ToWire converts the head to its wire form.
func (h *Head) ToWire() HeadWire {
	return HeadWire{
		Part:     h.Shard,
		Index:    h.Index,
		Round:    h.Term,
		Sequence: h.Revision,
		Epoch:    h.Epoch,
	}
}

// ToDomain converts the wire form to a Head.
func (w *HeadWire) ToDomain() Head {
	return Head{
		Shard:    w.Part,
		Index:    w.Index,
		Term:     w.Round,
		Revision: w.Sequence,
		Epoch:    w.Epoch,
	}
}

// EntryWire is the wire form of Entry.
type EntryWire struct {
	Index, Round uint64
	Data         []byte
}

// ToWire converts the entry to its wire form, which shares the entry's Data slice.
func (e *Entry) ToWire() EntryWire {
	return EntryWire{Index: e.Index, Round: e.Term, Data: e.Data}
}

// ToDomain converts the wire form to an Entry, which shares the wire form's Data slice.
func (w *EntryWire) ToDomain() Entry {
	return Entry{Index: w.Index, Term: w.Round, Data: w.Data}
}

// UpdateWire is the wire form of Update.
type UpdateWire struct {
	Head  HeadWire
	Data  []byte
	Steps []EntryWire
}

// ToWire converts the update to its wire form, which shares the update's Data slices.
func (u *Update) ToWire() UpdateWire {
	return UpdateWire{
		Head:  u.Head.ToWire(),
		Data:  u.Data,
		Steps: wireform.ConvertSlice(u.Entries, (*Entry).ToWire),
	}
}

// ToDomain converts the wire form to an Update, which shares the wire form's Data slices.
func (w *UpdateWire) ToDomain() Update {
	return Update{
		Head:    w.Head.ToDomain(),
		Data:    w.Data,
		Entries: wireform.ConvertSlice(w.Steps, (*EntryWire).ToDomain),
	}
}

// wirePushRequest is the wire form of PushRequest.
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

// wireDigest is the wire form of Digest.
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

// wireDigestResponse is the wire form of DigestResponse.
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
